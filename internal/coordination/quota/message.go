package quota

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Reply is the holder's reply to a message with reports and wants.
type Reply struct {
	// Term identifies the holder's term, Members is the number of instances.
	Term    int64
	Members int
	// SentAt is when the message was sent that had Reports.
	SentAt  time.Time
	Reports []Report
	Grants  []Grant
}

// Reports returns what the holder has not heard yet.
func (s *Share) Reports(now time.Time) []Report {
	var out []Report
	for target, l := range s.limits {
		if !l.isReported {
			out = append(out, Report{Identity: target, PerSecond: l.perSecond, AgeMS: now.Sub(l.namedAt).Milliseconds()})
		} else if l.raise != nil {
			out = append(out, Report{Identity: target, PerSecond: l.raise.perSecond, AgeMS: now.Sub(l.raise.sentAt).Milliseconds()})
		}
	}
	return out
}

// Queued describes the requests that are queued for one target.
type Queued struct {
	Count int
	// Deadline is when the last of them must be sent.
	Deadline time.Time
}

// Wants returns what to ask the holder for, given what is queued for each target.
func (s *Share) Wants(queued map[fleet.Identity]Queued, now time.Time) []Want {
	var out []Want
	for target, l := range s.limits {
		q := queued[target]
		w := Want{Identity: target, Queued: q.Count, Spare: l.spare}
		if q.Count > 0 {
			w.PatienceMS = max(q.Deadline.Sub(now).Milliseconds(), 0)
		}
		l.spare = 0
		if w.Queued+w.Spare == 0 {
			l.askedAt = time.Time{}
			continue
		}
		if l.askedAt.IsZero() {
			l.askedAt = now
		}
		out = append(out, w)
	}
	return out
}

// Apply applies a reply of the holder.
func (s *Share) Apply(r Reply, now time.Time) {
	if r.Term != s.term {
		s.startTerm(r.Term)
	}
	s.members = max(r.Members, 1)
	s.repliedAt = r.SentAt
	for _, report := range r.Reports {
		s.acknowledge(report)
	}
	for _, g := range r.Grants {
		s.grant(g, r.SentAt, now)
	}
}

// startTerm has everything reported again to a new holder.
func (s *Share) startTerm(term int64) {
	s.term = term
	for _, l := range s.limits {
		l.isReported = false
	}
}

// acknowledge records that the holder has heard a report.
func (s *Share) acknowledge(r Report) {
	l := s.limits[r.Identity]
	switch {
	case l == nil:
	case l.perSecond == r.PerSecond:
		l.isReported = true
	case l.raise != nil && l.raise.perSecond == r.PerSecond:
		l.raise = nil
	}
}

func (s *Share) grant(g Grant, sentAt, now time.Time) {
	l := s.limits[g.Identity]
	if l == nil {
		return
	}
	if s.isAlone(l, now) {
		// What was drawn is not used beside what the holder issues.
		l.permits = nil
	}
	l.askedAt = time.Time{}
	l.permits = append(l.permits, slices.Repeat([]time.Time{sentAt.Add(permitTTL)}, g.Permits)...)
	l.waits = l.waits[:0]
	for _, ms := range g.WaitsMS {
		l.waits = append(l.waits, time.Duration(ms)*time.Millisecond)
	}
	l.line = time.Duration(g.LineMS) * time.Millisecond
	l.waitsAt = now
}

// NextPermit returns the expected time until the next permit that this instance has asked
// for, and false if it has asked for none.
func (s *Share) NextPermit(now time.Time) (time.Duration, bool) {
	next, found := time.Duration(0), false
	for _, l := range s.limits {
		if len(l.waits) == 0 || now.Sub(l.waitsAt) > waitTTL {
			continue
		}
		if wait := l.waits[0] - now.Sub(l.waitsAt); !found || wait < next {
			next, found = max(wait, 0), true
		}
	}
	return next, found
}

// Retain forgets the limits of targets that have been gone for so long that they do not
// come back.
func (s *Share) Retain(isListed func(fleet.Identity) bool, now time.Time) {
	for target, l := range s.limits {
		if l.absence.isOver(isListed(target), now) {
			s.end(target, SourceHolder)
		}
	}
	for target := range s.unreadable {
		if s.limits[target] == nil && !isListed(target) {
			delete(s.unreadable, target)
		}
	}
}

// absentFor is how long the limit of a target that is no longer listed is kept.
const absentFor = 30 * time.Second

// absence measures how long a target has been missing from the list.
type absence struct{ since time.Time }

func (a *absence) isOver(isListed bool, now time.Time) bool {
	if isListed {
		a.since = time.Time{}
		return false
	}
	if a.since.IsZero() {
		a.since = now
	}
	return now.Sub(a.since) > absentFor
}
