package sched

import (
	"cmp"
	"slices"
)

// index holds what a plan needs to know of all targets together. It is computed once for
// each plan, and again after each job that starts, since a large fleet has many targets
// and models.
type index struct {
	// sorted holds the targets by id, so that plans are deterministic.
	sorted []*targetState
	// copies counts the targets that serve a model, loading those that load it. hasCopy
	// holds the models that are loaded, in host memory or on disk at any target, or are
	// being loaded.
	copies map[string]int
	// unlimited counts those of them that have no rate limit.
	unlimited map[string]int
	loading   map[string]int
	hasCopy   map[string]bool
	// storeJobs counts the jobs that load from the weight store, and the loads from there
	// that a former holder has ordered.
	storeJobs int
}

// buildIndex computes the index anew.
func (p *Planner) buildIndex() {
	x := &index{
		sorted:    make([]*targetState, 0, len(p.workers)),
		copies:    make(map[string]int, len(p.engine.Models)),
		unlimited: make(map[string]int),
		loading:   make(map[string]int),
		hasCopy:   make(map[string]bool, len(p.engine.Models)),
	}
	for _, w := range p.workers {
		x.sorted = append(x.sorted, w)
		x.add(w)
	}
	slices.SortFunc(x.sorted, func(a, b *targetState) int { return cmp.Compare(a.ID, b.ID) })
	p.index = x
}

func (x *index) add(w *targetState) {
	for _, l := range w.Models {
		x.hasCopy[l.Model] = true
		if !w.Draining && (w.job == nil || w.job.unloading != l.Model) {
			x.copies[l.Model]++
			if !w.isLimited {
				x.unlimited[l.Model]++
			}
		}
	}
	for _, m := range w.InMemory {
		x.hasCopy[m] = true
	}
	for _, m := range w.OnDisk {
		x.hasCopy[m] = true
	}
	if !w.busySince.IsZero() {
		// It may turn out to be a load from elsewhere, which ends soon.
		x.storeJobs++
	}
	if w.job == nil {
		return
	}
	x.hasCopy[w.job.model] = true
	x.loading[w.job.model]++
	if w.job.tier == TierStore {
		x.storeJobs++
	}
}
