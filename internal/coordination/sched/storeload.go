package sched

import (
	"math"
	"slices"
	"time"
)

const (
	// initialStoreLoads is the number of parallel loads from the weight store until their
	// durations have shown how many run at full speed.
	initialStoreLoads = 2
	// unslowedFactor is the multiple of its nominal duration up to which a load from the
	// weight store was not slowed down by others.
	unslowedFactor = 1.2
	// reprobeInterval is how long after a slow load one more parallel load is tried: the
	// weight store may have been slow for another reason.
	reprobeInterval = time.Minute
	// storeSettleTime is how long after the first plan no load from the weight store is
	// started. Until then the targets may not have reported the loads of a former holder.
	storeSettleTime = 500 * time.Millisecond
)

// storeLimit limits the parallel loads from the weight store. Loads beyond those that run at
// full speed slow all of them down, so that the first one ends later and the last one no
// earlier. The limit doubles when loads at the limit run at full speed, and falls to the
// number that does once loads are slow.
type storeLimit struct {
	loads    float64
	slowedAt time.Time
}

// observe records how long a load has taken so far, as a multiple of its nominal duration,
// while a number of loads ran.
func (s *storeLimit) observe(now time.Time, slowdown, running float64, hasEnded bool) {
	switch {
	case slowdown > unslowedFactor:
		s.loads = max(min(s.loads, math.Round(running/slowdown)), 1)
		s.slowedAt = now
	case !hasEnded || running < s.loads:
	case s.slowedAt.IsZero():
		s.loads *= 2
	case now.Sub(s.slowedAt) > reprobeInterval:
		s.loads++
	}
}

// countFormerLoads counts as many loads from the weight store as a former holder may have started
// in a window: those that run in parallel, each time that the shortest of them fits into it. Its
// limit may just have been twice the one that it has told.
func (p *Planner) countFormerLoads(now time.Time) {
	if !p.hasFormer {
		return
	}
	shortest := p.window
	for _, m := range p.engine.Models {
		if m.FromStore > 0 {
			shortest = min(shortest, m.FromStore)
		}
	}
	rounds := 1
	if shortest > 0 {
		rounds += int(p.window / shortest)
	}
	n := min(2*p.StoreLoads()*rounds, p.maxStoreLoads())
	p.storeLoadStarts = slices.Repeat([]time.Time{now}, n)
}

// StoreLoads returns the number of loads from the weight store that run in parallel at most.
func (p *Planner) StoreLoads() int { return int(p.storeLimit.loads) }

// observeStoreLoads lowers the limit because of loads that take long and have not ended.
func (p *Planner) observeStoreLoads(now time.Time) {
	for _, w := range p.index.sorted {
		if j := w.job; j != nil && j.isLoading && j.tier == TierStore {
			p.observeStoreLoad(now, j, false)
		}
	}
}

// observeStoreLoad observes the duration of one load.
func (p *Planner) observeStoreLoad(now time.Time, j *job, hasEnded bool) {
	nominal := p.engine.Models[j.model].FromStore
	if nominal <= 0 {
		return
	}
	took := now.Sub(j.startedAt) - maxReportAge
	p.storeLimit.observe(now, took.Seconds()/nominal.Seconds(), float64(p.index.storeJobs), hasEnded)
}

// canLoadFromStore reports whether a load from the weight store may start now, beside at
// most a number of others.
func (p *Planner) canLoadFromStore(now time.Time, others float64) bool {
	return now.Sub(p.plannedFrom) >= storeSettleTime && float64(p.index.storeJobs) <= others && p.canStartStoreLoad(now)
}
