package sched

import (
	"cmp"
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// loadOption is a way to load a model at a target, with the time when it would be loaded
// and its cost in seconds.
type loadOption struct {
	w     *targetState
	tier  Tier
	ready time.Time
	cost  float64
}

// startJob starts the job that loads a requested model soonest, if it can start now. If
// the best target for it is still busy, the request waits for that target.
func (p *Planner) startJob(now time.Time, uses map[string]*usage, n *loadRequest) (Action, bool) {
	best := p.bestOption(now, uses, n)
	if best == nil {
		return Action{}, false
	}
	n.ready, n.tier = best.ready, best.tier
	w := best.w
	if !w.canTakeOrder(now) || w.job != nil {
		return Action{}, false
	}
	w.job = &job{model: n.model, tier: best.tier, reason: n.reason, startedAt: now, expectedAt: best.ready}
	orders := p.nextOrder(now, w, uses)
	if len(orders) == 0 {
		w.job = nil
		return Action{}, false
	}
	return orders[0], true
}

// bestOption returns the load option of the lowest cost, or nil. Targets with rate limits
// are considered only if there is no other, and not at all for a copy that is to take what
// limits leave.
func (p *Planner) bestOption(now time.Time, uses map[string]*usage, n *loadRequest) *loadOption {
	best := p.bestOptionAmong(now, uses, n, false)
	if best == nil && n.reason != reasonLimited {
		best = p.bestOptionAmong(now, uses, n, true)
	}
	return best
}

// bestOptionAmong considers the targets with a rate limit, or those without.
func (p *Planner) bestOptionAmong(now time.Time, uses map[string]*usage, n *loadRequest, isLimited bool) *loadOption {
	canLoadFromStore := p.canLoadFromStore(now, p.storeLimit.loads-1)
	maxLoad := math.Inf(1)
	if n.reason == reasonBusy {
		maxLoad = p.maxReliefLoad(uses[n.model])
	}
	var best *loadOption
	for _, w := range p.index.sorted {
		if w.isLimited != isLimited || w.Draining || now.Before(w.backoffUntil) || w.hasOrLoads(n.model) {
			continue
		}
		if float64(p.loads[w.ID]) >= maxLoad {
			continue
		}
		o, ok := p.evaluate(now, w, n, uses)
		if !ok || o.tier == TierStore && !canLoadFromStore {
			continue
		}
		if best == nil || o.cost < best.cost {
			best = &o
		}
	}
	return best
}

// evaluate estimates when a target could have the model loaded, and at what cost. It
// returns false if the model cannot be loaded there.
func (p *Planner) evaluate(now time.Time, w *targetState, n *loadRequest, uses map[string]*usage) (loadOption, bool) {
	freeAt := now
	switch {
	case w.job != nil:
		freeAt = w.job.expectedAt
	case w.isForeignLoad:
		freeAt = timer.Later(w.busySince.Add(foreignLoadTime), now.Add(busyPollInterval))
	case !w.isCertain:
		freeAt = now.Add(busyPollInterval)
	}
	o := loadOption{w: w, tier: w.tier(n.model)}
	evictable := p.evictionOptions(now, w, uses)
	evictions, score, ok := p.selectVictims(evictable, n.model)
	if !ok {
		return loadOption{}, false
	}
	if evictions > 0 {
		freeAt = freeAt.Add(maxReportAge)
	}
	loadTime := p.loadTime(n.model, o.tier)
	o.ready = timer.Later(freeAt, now).Add(loadTime)
	o.cost = o.ready.Sub(now).Seconds() + evictionSeconds*score + loadSeconds*float64(p.loads[w.ID])
	if o.tier == TierStore {
		o.cost += unservedOnDiskSeconds * float64(evictable.unservedOnDisk)
	}
	return o, true
}

// evictionOptions lists what could be evicted at a target. It is computed once for each
// index, however many models are to be loaded.
type evictionOptions struct {
	index *index
	// candidates are the models that may be evicted, in ascending order of their score.
	candidates []candidate
	// used is the memory in use, in MB.
	used float64
	// unservedOnDisk counts the models on the target's disk that no target serves.
	unservedOnDisk int
}

// candidate is a model that may be evicted, with its eviction score and its size in MB.
type candidate struct {
	model string
	score float64
	size  float64
}

func (p *Planner) evictionOptions(now time.Time, w *targetState, uses map[string]*usage) *evictionOptions {
	if w.evictionOptions.index == p.index {
		return &w.evictionOptions
	}
	w.evictionOptions = evictionOptions{index: p.index, used: w.usedMB(p.engine), candidates: w.evictionOptions.candidates[:0]}
	for i := range w.Models {
		l := &w.Models[i]
		if score, ok := p.evictionScore(now, w, l.Model, uses); ok {
			w.evictionOptions.candidates = append(w.evictionOptions.candidates, candidate{l.Model, score, sizeMB(p.engine, l)})
		}
	}
	slices.SortFunc(w.evictionOptions.candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.model, y.model))
	})
	for _, model := range w.OnDisk {
		if p.index.copies[model] == 0 {
			w.evictionOptions.unservedOnDisk++
		}
	}
	return &w.evictionOptions
}

// selectVictims returns how many of the candidates must be evicted to load another model,
// and the sum of their scores. It returns false if the model does not fit even then.
func (p *Planner) selectVictims(o *evictionOptions, model string) (n int, score float64, ok bool) {
	freeMB := p.engine.MemoryMB - o.used - p.engine.Models[model].SizeMB
	for n < len(o.candidates) && freeMB < 0 {
		freeMB += o.candidates[n].size
		score += o.candidates[n].score
		n++
	}
	return n, score, freeMB >= 0
}

// evictionScore rates the loss of evicting a model from a target. It returns false if the
// model must not be evicted.
func (p *Planner) evictionScore(now time.Time, w *targetState, model string, uses map[string]*usage) (float64, bool) {
	if now.Sub(w.loadedAt[model]) < minResidency {
		return 0, false
	}
	copies := p.index.copies[model]
	r := p.rate(model)
	score := 0.0
	if u := uses[model]; u != nil {
		if u.waiting > 0 && copies <= 1 {
			return 0, false
		}
		drain, ok := drainCost(u.inFlightAt[w.ID], copies)
		if !ok {
			return 0, false
		}
		score += drain
		if copies > 1 && float64(u.inFlight)/float64(copies-1) > maxInFlightPerCopy {
			return 0, false
		}
	}
	if copies <= 1 {
		score += lastCopyScore
	}
	score += rateScore * r.perSecond(now) / float64(max(copies, 1))
	if age := now.Sub(r.lastUsed); age < recentPeriod {
		score += recentScore * (1 - age.Seconds()/recentPeriod.Seconds())
	}
	return score, true
}
