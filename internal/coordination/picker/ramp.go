package picker

import (
	"math"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
)

const (
	// allowanceShare is the share of the room below a target's limit that instances use up
	// with one snapshot. What they have sent since their last reports is not in it.
	allowanceShare = 0.5
	// usualFactor is the multiple of the usual time to a response from which on one is
	// late if the request has no goal.
	usualFactor = 4
	// busyShare is the share of its slots from which on a target is busy. Its answers may
	// be late then.
	busyShare = 0.75
	// strainedFactor is the multiple of a starting target's limit that applies while all
	// others are busy. Requests that would be late elsewhere lose little there.
	strainedFactor = 8
)

// setChances sets the probability with which a request may go to each target that has a
// limit until the next snapshot, so that all instances together use the room below the
// limit although the part of each is less than one request.
func (p *Picker) setChances(now time.Time) {
	elapsed := now.Sub(p.snapshotAt).Seconds()
	queued, inFlight := p.countQueued(), p.countInFlight()
	p.startLimits = 0
	for _, r := range p.targets {
		if r.limit == 0 {
			continue
		}
		p.startLimits++
		here := float64(p.arrivedHere[r.Service])
		// Queued requests draw again, at the other instances probably as many as here.
		all := p.view.ServiceRate(r.Service) * elapsed * (1 + float64(queued[r.Service])/max(here, 1))
		all = max(all, here, 1)
		if r.limit >= load.MinStartLimit {
			// Requests that end before the next snapshot make room for others: as a share
			// of all requests, no fewer may go there than have room at once.
			all = min(all, max(inFlight[r.Service], 1))
		}
		r.chance = allowanceShare * max(float64(r.limit)-r.sharedLoad(), 0) / all
		r.strainedChance = max(float64(r.strainedLimit())-r.sharedLoad(), 0) / all
	}
	clear(p.arrivedHere)
	p.snapshotAt = now
}

// countInFlight returns the requests of all instances by service.
func (p *Picker) countInFlight() map[string]float64 {
	out := make(map[string]float64)
	for _, r := range p.targets {
		out[r.Service] += r.sharedLoad()
	}
	return out
}

// countQueued returns the queued requests by service.
func (p *Picker) countQueued() map[string]int {
	out := make(map[string]int)
	for _, w := range p.queue {
		out[w.req.Service]++
	}
	return out
}

// drawNumber draws the random number of a request unless it has been drawn since the last
// snapshot.
func (p *Picker) drawNumber(q *Request) {
	if q.drawnFor.IsZero() || q.drawnFor != p.snapshotAt {
		q.draw, q.drawnFor = p.random.Float64(), p.snapshotAt
	}
}

// isAllowed reports whether a request may go to a target that has a limit.
func (r *target) isAllowed(q *Request, strained bool) bool {
	limit, chance := r.limit, r.chance
	if strained {
		limit, chance = r.strainedLimit(), r.strainedChance
	}
	return r.sharedLoad() < float64(limit) && math.Mod(q.draw+r.phase, 1) < chance
}

// strainedLimit returns the limit that applies while the other targets are busy. That of a
// target that has rejected or failed requests stays as it is.
func (r *target) strainedLimit() int {
	if r.limit < load.MinStartLimit {
		return r.limit
	}
	return min(strainedFactor*r.limit, r.Slots)
}

// isStrained reports whether some of the targets have a limit, and none of the others has
// room without being busy.
func (p *Picker) isStrained(now time.Time, q *Request, copies []*target) bool {
	if p.startLimits == 0 {
		return false
	}
	hasLimited := false
	for _, r := range copies {
		switch {
		case r.limit > 0:
			hasLimited = true
		case r.sharedLoad() < busyShare*float64(r.Slots) && r.hindrance(now, q, choiceTier{}) == noObstacle:
			return false
		}
	}
	return hasLimited
}

// recordAnswer records that a response has begun, or has come as a whole.
func (p *Picker) recordAnswer(now time.Time, s *Reservation) {
	took := now.Sub(s.reservedAt)
	isLate := s.goal > 0 && took > s.goal
	if usual := p.usualTimes[modelKey{s.state.Service, s.model}]; s.goal == 0 && usual != nil {
		isLate = took.Seconds() > usualFactor*usual.seconds
	}
	if isLate {
		s.state.outcomes.Late++
	} else {
		s.state.outcomes.InTime++
	}
	p.recordResponseTime(now, s)
}
