package quota

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	// permitTTL is how long a permit may be used, from the sending of the message that
	// asked for it. Permits that are kept would add up to a burst.
	permitTTL = 500 * time.Millisecond
	// waitTTL is how long the holder's expected waits are believed.
	waitTTL = time.Second
	// aloneAfter and alonePerMember are the time without a reply of the holder after which
	// an instance draws permits by itself; messages are less frequent in large fleets.
	aloneAfter     = 2 * time.Second
	alonePerMember = 4 * time.Millisecond
	// aloneShare is the part of a limit that instances without a holder use. Others may
	// still get permits from a holder that these cannot reach.
	aloneShare = 0.2
	// aloneSlot is the interval at which they draw. It is about as long as a response takes,
	// so that few requests go to a target that has meanwhile named a lower limit.
	aloneSlot = 200 * time.Millisecond
	// assumedMembers is the number of instances until a holder has told it.
	assumedMembers = 100
	// maxSpare limits the spare permits that are asked for at a time.
	maxSpare = 8
)

// Share is what one instance knows of the limits in force, and its permits. It is not
// safe for concurrent use.
type Share struct {
	limits map[fleet.Identity]*limit
	// unreadable is the last ignored text of each target.
	unreadable map[fleet.Identity]string
	onChange   func(Change)
	random     func() float64

	term    int64
	members int
	// repliedAt is when the last message was sent that the holder has replied to.
	repliedAt time.Time
}

// limit is the limit of one target.
type limit struct {
	perSecond float64
	// since is when this instance has first heard of the limit, namedAt when it last
	// heard the present value.
	since, namedAt time.Time
	// isReported means that the holder of the present term knows the limit.
	isReported bool
	// raise is a higher limit, or the end of it, that the holder has not heard of yet.
	raise *raise
	// permits holds when each permit expires.
	permits []time.Time
	// waits and line are the holder's expected waits as of waitsAt, zero if unknown.
	waits   []time.Duration
	line    time.Duration
	waitsAt time.Time
	// spare is the number of requests that went elsewhere since the last message.
	spare int
	// askedAt is when permits were first asked for without a reply, zero if none are.
	askedAt time.Time
	// slotEnd is when permits are next drawn without a holder.
	slotEnd time.Time
	absence absence
}

// raise is a higher limit, 0 for none, that the response to a request sent at sentAt
// names.
type raise struct {
	perSecond float64
	sentAt    time.Time
}

// Option configures a Share.
type Option func(*Share)

// WithObserver calls f after each change of a limit; f must not block.
func WithObserver(f func(Change)) Option {
	return func(s *Share) { s.onChange = f }
}

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option {
	return func(s *Share) { s.random = f }
}

// NewShare returns a Share without limits.
func NewShare(opts ...Option) *Share {
	s := &Share{
		limits: make(map[fleet.Identity]*limit), unreadable: make(map[fleet.Identity]string),
		onChange: func(Change) {}, random: rand.Float64, members: assumedMembers,
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Hear applies what a target's response to a request sent at sentAt says. A first or
// lower limit is in force at once. A higher one, and the end of a limit, is for the holder
// to decide, since only it can tell that no response under way says otherwise. isRun tells
// that the target has run the request; rejections do not end a limit.
func (s *Share) Hear(target fleet.Identity, n Notice, sentAt time.Time, isRun bool, now time.Time) {
	if n.Text != "" && !n.Readable {
		s.ignore(target, n.Text)
		return
	}
	l, perSecond := s.limits[target], n.rate()
	switch {
	case l == nil && perSecond == 0, perSecond == 0 && !isRun:
	case l == nil || perSecond > 0 && perSecond < l.perSecond:
		s.set(target, perSecond, now, SourceResponse).isReported = false
	case perSecond == l.perSecond:
		l.namedAt, l.raise = now, nil
	case s.isAlone(l, now):
		s.raiseAlone(target, l, perSecond, sentAt, now)
	default:
		l.raise = &raise{perSecond: perSecond, sentAt: sentAt}
	}
}

// raiseAlone raises or ends a limit without a holder.
func (s *Share) raiseAlone(target fleet.Identity, l *limit, perSecond float64, sentAt, now time.Time) {
	if sentAt.Before(l.namedAt.Add(raiseDelay)) {
		return
	}
	if perSecond == 0 {
		s.end(target, SourceResponse)
		return
	}
	s.set(target, perSecond, now, SourceResponse)
}

// Adopt applies the holder's word on a target's limit, 0 for none.
func (s *Share) Adopt(target fleet.Identity, perSecond float64, now time.Time) {
	l := s.limits[target]
	isHigher := l != nil && (perSecond == 0 || perSecond > l.perSecond)
	switch {
	case l == nil && perSecond == 0:
	case isHigher && !l.isReported:
		// The holder has not heard yet what this instance has.
	case perSecond == 0:
		s.end(target, SourceHolder)
	default:
		s.set(target, perSecond, now, SourceHolder).isReported = true
	}
}

// Limit returns a target's limit in requests a second and the time since it was first
// heard, and 0 if there is none.
func (s *Share) Limit(target fleet.Identity, now time.Time) (perSecond float64, age time.Duration) {
	l := s.limits[target]
	if l == nil {
		return 0, 0
	}
	return l.perSecond, now.Sub(l.since)
}

// set puts a limit in force. Permits for more than it allows are dropped.
func (s *Share) set(target fleet.Identity, perSecond float64, now time.Time, from Source) *limit {
	l := s.limits[target]
	if l != nil && l.perSecond == perSecond {
		return l
	}
	if l == nil {
		l = &limit{since: now}
		s.limits[target] = l
	}
	if perSecond < l.perSecond {
		l.permits = nil
	}
	l.perSecond, l.namedAt, l.raise = perSecond, now, nil
	s.onChange(Change{Target: target, Source: from, PerSecond: perSecond, InForce: len(s.limits)})
	return l
}

func (s *Share) end(target fleet.Identity, from Source) {
	delete(s.limits, target)
	s.onChange(Change{Target: target, Source: from, InForce: len(s.limits)})
}

// ignore reports an unreadable limit, once for each text.
func (s *Share) ignore(target fleet.Identity, text string) {
	if s.unreadable[target] == text {
		return
	}
	s.unreadable[target] = text
	s.onChange(Change{Target: target, Source: SourceResponse, Unreadable: text, InForce: len(s.limits)})
}

// IsLimited reports whether a target has a limit.
func (s *Share) IsLimited(target fleet.Identity) bool { return s.limits[target] != nil }

// InForce reports whether any target has a limit.
func (s *Share) InForce() bool { return len(s.limits) > 0 }

// Blocks reports whether a target has a limit and this instance has no permit for it.
func (s *Share) Blocks(target fleet.Identity, now time.Time) bool {
	l := s.limits[target]
	return l != nil && s.countPermits(l, now) == 0
}

// Permits returns the number of permits for a target.
func (s *Share) Permits(target fleet.Identity, now time.Time) int {
	l := s.limits[target]
	if l == nil {
		return 0
	}
	return s.countPermits(l, now)
}

// Take uses a permit if the target has a limit.
func (s *Share) Take(target fleet.Identity) {
	if l := s.limits[target]; l != nil && len(l.permits) > 0 {
		l.permits = l.permits[1:]
	}
}

// Pass records that a request went elsewhere because this instance had no permit.
func (s *Share) Pass(target fleet.Identity) {
	if l := s.limits[target]; l != nil {
		l.spare = min(l.spare+1, maxSpare)
	}
}

func (s *Share) countPermits(l *limit, now time.Time) int {
	if s.isAlone(l, now) {
		s.draw(l, now)
	}
	l.permits = slices.DeleteFunc(l.permits, func(until time.Time) bool { return !now.Before(until) })
	return len(l.permits)
}

// isAlone reports whether no holder issues permits for a limit to this instance.
func (s *Share) isAlone(l *limit, now time.Time) bool {
	timeout := aloneAfter + time.Duration(s.members)*alonePerMember
	return now.Sub(s.repliedAt) > timeout || !l.askedAt.IsZero() && now.Sub(l.askedAt) > timeout
}

// draw draws the permits of a slot at random, so that all instances together have their
// part of the limit on average, even if the part of one is less than a request. Permits
// of different slots do not add up.
func (s *Share) draw(l *limit, now time.Time) {
	if now.Before(l.slotEnd) {
		return
	}
	l.slotEnd = now.Add(aloneSlot)
	part := aloneShare * l.perSecond * aloneSlot.Seconds() / float64(s.members)
	n := int(math.Floor(part + s.random()))
	l.permits = slices.Repeat([]time.Time{l.slotEnd}, n)
}

// Wait returns the expected time until a permit for a request behind ahead others of this
// instance, and false if the holder has not told it.
func (s *Share) Wait(target fleet.Identity, ahead int, now time.Time) (time.Duration, bool) {
	l := s.limits[target]
	switch {
	case l == nil:
		return 0, true
	case l.waitsAt.IsZero() || now.Sub(l.waitsAt) > waitTTL:
		return 0, false
	}
	behind := float64(ahead-len(l.waits)) / (issueShare * l.perSecond)
	wait := l.line + time.Duration(behind*float64(time.Second))
	if ahead < len(l.waits) {
		wait = l.waits[ahead]
	}
	return max(wait-now.Sub(l.waitsAt), 0), true
}
