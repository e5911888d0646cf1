package picker

import (
	"time"
)

const (
	// zoneCost is the cost of a target in another zone of the same region, in requests in
	// flight.
	zoneCost = 1.5
	// regionCost is the cost of a target in another region, in requests in flight.
	regionCost = 4.0
	// prefillCost is the extra cost of a request whose response has not begun, in
	// requests in flight: its prompt is probably still being processed.
	prefillCost = 3.0
	// failureCost is the cost, in requests in flight, of a failure rate that is 1 above
	// the average of the service.
	failureCost = 20.0
	// permitBonus is what the cost of a target with a rate limit is less for, in requests
	// in flight: a permit that is not used soon is lost to all instances.
	permitBonus = 0.5
)

// tryAcquire reserves capacity at the best target that can accept the request, or returns
// nil. Ejected targets are used only if there is no other.
func (p *Picker) tryAcquire(now time.Time, q *Request) *Reservation {
	best, load := p.choose(now, q)
	if best == nil {
		return nil
	}
	limit := p.limitOf(best.Identity, now)
	p.share.Take(best.Identity)
	if limit.PerSecond == 0 {
		limit = p.passOver(now, q)
	}
	best.inFlight++
	best.prefilling++
	p.sent[modelKey{q.Service, q.Model}]++
	p.countUse(q.Team, q.Service, q.Model, q.amount()/q.weight())
	if q.Model != "" {
		if best.inFlightByModel == nil {
			best.inFlightByModel = make(map[string]int)
		}
		best.inFlightByModel[q.Model]++
	}
	return &Reservation{
		Target: best.Target, Waited: now.Sub(q.Arrived), Load: load, Limit: limit,
		picker: p, state: best, model: q.Model, reservedAt: now, goal: q.Goal,
		team: q.Team, used: q.amount() / q.weight(),
	}
}

// choiceTier is a set of targets among which a request's target is chosen.
type choiceTier struct {
	// ejected selects the targets that are ejected, else those that are not.
	ejected bool
	// strained raises the limits of targets after their start or recovery.
	strained bool
	// beyondLimit includes targets above the limit after their start or recovery.
	beyondLimit bool
}

// choiceTiers are tried in order. A request that only a starting target can serve is better
// off there than without a target.
var choiceTiers = []choiceTier{{}, {beyondLimit: true}, {ejected: true, beyondLimit: true}}

// choose returns the target for a request and the estimated number of requests there, or
// nil. Without a load snapshot it relies on what this instance has observed itself.
func (p *Picker) choose(now time.Time, q *Request) (*target, float64) {
	if p.usesSnapshot(now) {
		for _, tier := range choiceTiers {
			if best := p.chooseShared(now, q, tier); best != nil {
				return best, best.expected
			}
		}
		return nil, 0
	}
	best := p.bestTarget(now, q, false)
	if best == nil {
		best = p.bestTarget(now, q, true)
	}
	if best == nil {
		return nil, 0
	}
	return best, best.load(now)
}

// bestTarget returns the target of the lowest cost among those that are ejected or among
// those that are not, or nil.
func (p *Picker) bestTarget(now time.Time, q *Request, ejected bool) *target {
	var best *target
	lowest := 0.0
	fresh := p.hasFreshUpdates(now)
	for _, r := range p.copiesFor(q, fresh) {
		if p.obstacleAlone(now, q, r, ejected) != noObstacle {
			continue
		}
		cost := p.cost(now, r)
		if best == nil || cost < lowest || cost == lowest && r.rank < best.rank {
			best, lowest = r, cost
		}
	}
	return best
}

// hasFreshUpdates reports whether the lease holder's updates are recent enough to take
// precedence over the platform's list.
func (p *Picker) hasFreshUpdates(now time.Time) bool {
	return now.Sub(p.updatedAt) < updateTTL
}

// cost rates a target for one more request, in requests in flight.
func (p *Picker) cost(now time.Time, r *target) float64 {
	cost := r.load(now) + prefillCost*float64(r.prefilling) + failureCost*max(r.currentFailureRate(now)-p.failureRates[r.Service], 0)
	if p.share.IsLimited(r.Identity) {
		cost -= permitBonus
	}
	return cost + r.distance
}

// distanceTo returns the cost of the distance to a zone, in requests in flight.
func (p *Picker) distanceTo(zone string) float64 {
	switch {
	case zone == p.zone:
		return 0
	case p.regions[zone] == p.regions[p.zone]:
		return zoneCost
	}
	return regionCost
}
