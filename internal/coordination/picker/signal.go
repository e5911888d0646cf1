package picker

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/recent"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// maxBackoff caps the backoff that a target can ask for; a longer one is probably a
// mistake.
const maxBackoff = 10 * time.Minute

// maxLeavingTargets is the number of draining incarnations that are remembered.
const maxLeavingTargets = 4096

// NewLeavingSet returns an empty set that remembers incarnations that are draining.
func NewLeavingSet() *recent.Set[fleet.Identity] {
	return recent.NewSet[fleet.Identity](maxLeavingTargets)
}

// Signal holds what the headers of a response say about the target's own state.
type Signal struct {
	// Leaving reports whether the target will shut down and takes no more requests.
	Leaving bool
	// Backoff is how long this instance should send the target no requests, 0
	// if the response does not say.
	Backoff time.Duration
	// Limit is what the response says about the target's rate limit; nil if the response
	// is not the target's own.
	Limit *quota.Notice
	// Ran reports whether the target has run the request, SentAt is when it was sent.
	Ran    bool
	SentAt time.Time
}

// ApplySignal applies a target's signal from now on. It reports whether the signal is
// new: that the target is leaving, if this was not known, or a backoff, if none was in
// force.
func (s *Reservation) ApplySignal(w Signal) bool {
	p := s.picker
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	r := s.state
	isNew := false
	if w.Leaving {
		isNew = !r.Draining
		r.Draining, r.announcedLeaving = true, true
		p.leaving.Add(r.Identity)
	}
	if w.Backoff > 0 {
		isNew = isNew || !now.Before(r.backoffUntil)
		r.backoffUntil = timer.Later(r.backoffUntil, now.Add(min(w.Backoff, maxBackoff)))
		r.mayPause = true
	}
	if w.Limit != nil {
		p.share.Hear(r.Identity, *w.Limit, w.SentAt, w.Ran, now)
	}
	return isNew
}

// AnnouncedLeaving returns the targets that have announced in a response that they are
// leaving, and for which the lease holder has not yet reported Draining.
func (p *Picker) AnnouncedLeaving() []fleet.Identity {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []fleet.Identity
	for _, r := range p.targets {
		if r.announcedLeaving && (r.update == nil || r.update.Identity != r.Identity || !r.update.Draining) {
			out = append(out, r.Identity)
		}
	}
	return out
}

// IsLeaving reports whether an incarnation of a target is known to be draining.
func (p *Picker) IsLeaving(target fleet.Identity) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.leaving.Has(target)
}

// isLoadedBefore reports whether the model of a request is expected to be loaded on
// another target before the request's deadline.
func (p *Picker) isLoadedBefore(now time.Time, q *Request) bool {
	readyAt := p.expected[q.Model]
	return q.Model != "" && readyAt.After(now) && readyAt.Before(q.Deadline)
}

// allBackingOff reports whether all targets of a request have asked for a backoff, and
// when the first backoff ends. It returns false if the request's model is expected to be
// loaded on another target before the request's deadline, since queueing helps then.
func (p *Picker) allBackingOff(now time.Time, q *Request) (time.Time, bool) {
	if p.isLoadedBefore(now, q) {
		return time.Time{}, false
	}
	fresh := p.hasFreshUpdates(now)
	var earliest time.Time
	for _, r := range p.targets {
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
