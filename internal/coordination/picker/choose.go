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
	best := p.bestTarget(now, q, false)
	if best == nil {
		best = p.bestTarget(now, q, true)
	}
	if best == nil {
		return nil
	}
	load := best.load(now)
	limit := p.limitOf(best.Identity, now)
	p.share.Take(best.Identity)
	if limit.PerSecond == 0 {
		limit = p.passOver(now, q)
	}
	best.inFlight++
	best.prefilling++
	if q.Model != "" {
		if best.inFlightByModel == nil {
			best.inFlightByModel = make(map[string]int)
		}
		best.inFlightByModel[q.Model]++
	}
	return &Reservation{
		Target: best.Target, Waited: now.Sub(q.Arrived), Load: load, Limit: limit,
		picker: p, state: best, model: q.Model,
	}
}

// bestTarget returns the target of the lowest cost among those that are ejected or among
// those that are not, or nil.
func (p *Picker) bestTarget(now time.Time, q *Request, ejected bool) *target {
	var best *target
	lowest := 0.0
	fresh := p.hasFreshUpdates(now)
	for _, r := range p.targets {
		if r.Service != q.Service || !r.canAccept(now, q, fresh) || now.Before(r.ejectedUntil) != ejected {
			continue
		}
		if p.share.Blocks(r.Identity, now) {
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
	switch {
	case r.Zone == p.zone:
	case p.regions[r.Zone] == p.regions[p.zone]:
		cost += zoneCost
	default:
		cost += regionCost
	}
	return cost
}
