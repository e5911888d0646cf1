package picker

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/recent"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// maxBackoff caps the backoff that a target can ask for; a longer one is probably a
// mistake.
const maxBackoff = 10 * time.Minute

// maxLeavingTargets is the number of draining incarnations that are remembered.
const maxLeavingTargets = 4096

// NewLeavers returns an empty set that remembers incarnations that are draining.
func NewLeavers() *recent.Set[fleet.Identity] {
	return recent.NewSet[fleet.Identity](maxLeavingTargets)
}

// Word holds what the headers of a response say about the target's own state.
type Word struct {
	// Leaving reports whether the target will shut down and takes no more requests.
	Leaving bool
	// Rest is the backoff: how long this instance should send the target no requests, 0
	// if the response does not say.
	Rest time.Duration
}

// Heard applies a target's signal from now on. It reports whether the signal is new: that
// the target is leaving, if this was not known, or a backoff, if none was in force.
func (s *Seat) Heard(w Word) bool {
	b := s.board
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	r := s.state
	isNew := false
	if w.Leaving {
		isNew = !r.Draining
		r.Draining, r.announcedLeaving = true, true
		b.leaving.Add(r.Identity)
	}
	if w.Rest > 0 {
		isNew = isNew || !now.Before(r.backoffUntil)
		r.backoffUntil = timer.Later(r.backoffUntil, now.Add(min(w.Rest, maxBackoff)))
	}
	return isNew
}

// Leavers returns the targets that have announced in a response that they are leaving,
// and for which the lease holder has not yet reported Draining.
func (b *Board) Leavers() []fleet.Identity {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []fleet.Identity
	for _, r := range b.targets {
		if r.announcedLeaving && (r.update == nil || r.update.Identity != r.Identity || !r.update.Draining) {
			out = append(out, r.Identity)
		}
	}
	return out
}

// allBackingOff reports whether all targets of a request have asked for a backoff, and
// when the first backoff ends. It returns false if the request's model is expected to be
// loaded on another target before the request's deadline, since queueing helps then.
func (b *Board) allBackingOff(now time.Time, q *Request) (time.Time, bool) {
	if readyAt := b.expected[q.Model]; q.Model != "" && readyAt.After(now) && readyAt.Before(q.Deadline) {
		return time.Time{}, false
	}
	fresh := b.hasFreshUpdates(now)
	var earliest time.Time
	for _, r := range b.targets {
		if r.Service != q.Service || !r.isCandidate(now, q, fresh) {
			continue
		}
		if !now.Before(r.backoffUntil) {
			return time.Time{}, false
		}
		if earliest.IsZero() || r.backoffUntil.Before(earliest) {
			earliest = r.backoffUntil
		}
	}
	return earliest, !earliest.IsZero()
}
