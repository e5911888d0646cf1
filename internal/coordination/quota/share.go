package quota

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Share records the limits that are in force at one instance. It is not safe for
// concurrent use.
type Share struct {
	limits map[fleet.Identity]*limit
	// unreadable is the last ignored text of each target.
	unreadable map[fleet.Identity]string
	onChange   func(Change)
}

// limit is the limit of one target.
type limit struct {
	perSecond float64
	// namedAt is when the limit was first heard.
	namedAt time.Time
}

// Option configures a Share.
type Option func(*Share)

// WithObserver calls f after each change of a limit; f must not block.
func WithObserver(f func(Change)) Option {
	return func(s *Share) { s.onChange = f }
}

// NewShare returns a Share without limits.
func NewShare(opts ...Option) *Share {
	s := &Share{
		limits: make(map[fleet.Identity]*limit), unreadable: make(map[fleet.Identity]string),
		onChange: func(Change) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Hear applies what a target's own response says.
func (s *Share) Hear(target fleet.Identity, n Notice, now time.Time) {
	switch {
	case n.Readable:
		s.set(target, n.PerSecond, now, SourceResponse)
	case n.Text != "":
		s.ignore(target, n.Text)
	default:
		s.lift(target, SourceResponse)
	}
}

// Limit returns a target's limit in requests a second and the time since it was first
// heard, and false if there is none.
func (s *Share) Limit(target fleet.Identity, now time.Time) (float64, time.Duration, bool) {
	l := s.limits[target]
	if l == nil {
		return 0, 0, false
	}
	return l.perSecond, now.Sub(l.namedAt), true
}

func (s *Share) set(target fleet.Identity, perSecond float64, now time.Time, from Source) {
	l := s.limits[target]
	if l != nil && l.perSecond == perSecond {
		return
	}
	if l == nil {
		l = &limit{namedAt: now}
		s.limits[target] = l
	}
	l.perSecond = perSecond
	s.onChange(Change{Target: target, Source: from, PerSecond: perSecond, InForce: len(s.limits)})
}

func (s *Share) lift(target fleet.Identity, from Source) {
	if s.limits[target] == nil {
		return
	}
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
