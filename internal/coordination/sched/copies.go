package sched

import "math"

const (
	// copyLoad is the number of requests in flight that each copy of a busy model is meant
	// to have. Prompts are read between the tokens of other requests, so that streams
	// pause for long well before all slots of a target are in use.
	copyLoad = 6.0
	// crowdedLoad is the number of requests in flight at a target, of all its models, from
	// which on its streams pause for long. It applies up to crowdedShare of the slots.
	crowdedLoad  = 12.0
	crowdedShare = 0.75
	// minCrowdedUse is the number of requests in flight from which on a model gets another
	// copy because its targets are crowded by other models too.
	minCrowdedUse = 2
	// maxCopyLoads limits the loads of one model that run at a time.
	maxCopyLoads = 3
	// reliefShare is how many times the load of a crowded target the copies of a model
	// must have for the target to get another copy.
	reliefShare = 2.0
	// loadSeconds is the cost of loading a model at a target, in seconds for each request
	// in flight there.
	loadSeconds = 0.05
	// drainSeconds is the cost of evicting a model for each of its requests in flight at
	// the target, since an unload waits for them.
	drainSeconds = 0.4
	// maxDrained is the number of requests in flight up to which a model that other
	// targets serve too may be evicted.
	maxDrained = 3
)

// crowded returns the number of requests in flight from which on a target is crowded.
func (p *Planner) crowded() float64 {
	if p.engine.Slots <= 0 {
		return crowdedLoad
	}
	return min(crowdedLoad, crowdedShare*float64(p.engine.Slots))
}

// targetLoads returns the requests in flight at each target, of all models.
func targetLoads(uses map[string]*usage) map[string]int {
	out := make(map[string]int)
	for _, u := range uses {
		for id, n := range u.inFlightAt {
			out[id] += n
		}
	}
	return out
}

// missingCopies returns how many copies of a model to load now, in addition to those that
// it has and those that are being loaded.
func (p *Planner) missingCopies(u *usage) int {
	copies, loading := p.index.copies[u.model], p.index.loading[u.model]
	if copies == 0 || u.inFlight == 0 {
		return 0
	}
	inUse := float64(u.inFlight + u.waiting)
	if inUse > maxInFlightPerCopy*float64(copies+loading) {
		wanted := int(math.Ceil(inUse / copyLoad))
		return min(wanted-copies, maxCopyLoads) - loading
	}
	if loading > 0 || u.inFlight < minCrowdedUse {
		return 0
	}
	if least, _ := p.copyLoads(u.model); least >= p.crowded() {
		return 1
	}
	return 0
}

// copyLoads returns the least and the mean number of requests in flight at the targets that
// serve a model, infinity and 0 if there are none.
func (p *Planner) copyLoads(model string) (least, mean float64) {
	least = math.Inf(1)
	sum, n := 0, 0
	for _, w := range p.index.sorted {
		if w.Draining || w.Find(model) == nil {
			continue
		}
		least = min(least, float64(p.loads[w.ID]))
		sum += p.loads[w.ID]
		n++
	}
	return least, float64(sum) / float64(max(n, 1))
}

// maxReliefLoad returns the number of requests in flight below which a target may get another
// copy of a busy model: with the requests that the copy would take over, the target is to have
// less load than the present ones, where queued requests count as load of the present copies.
// Targets that are crowded may get a copy only if the present ones are reliefShare times as
// loaded.
func (p *Planner) maxReliefLoad(u *usage) float64 {
	copies := float64(p.index.copies[u.model])
	taken := float64(u.inFlight+u.waiting) / (copies + float64(p.index.loading[u.model]) + 1)
	_, mean := p.copyLoads(u.model)
	mean += float64(u.waiting) / max(copies, 1)
	return min(max(p.crowded(), mean/reliefShare), mean-taken)
}

// drainCost returns the eviction score of a model's requests in flight at a target, and
// false if the model must not be evicted because of them.
func drainCost(inFlight, copies int) (float64, bool) {
	switch {
	case inFlight == 0:
		return 0, true
	case copies <= 1 || inFlight > maxDrained:
		return 0, false
	}
	return float64(inFlight) * drainSeconds / evictionSeconds, true
}
