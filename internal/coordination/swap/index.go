package swap

import (
	"cmp"
	"slices"
)

// index is what a plan needs of all targets together; it is worked out once for
// each plan, since a large fleet has many targets and models.
type index struct {
	// order holds the targets by id, so that plans repeat.
	order []*worker
	// copies counts the targets that serve a model, coming tells which models are
	// being loaded, and kept which have a copy anywhere or are getting one.
	copies map[string]int
	coming map[string]bool
	kept   map[string]bool
	// storeJobs counts the loads from the weight store.
	storeJobs int
}

func (p *Planner) index() {
	x := &index{
		order:  make([]*worker, 0, len(p.workers)),
		copies: make(map[string]int, len(p.engine.Models)),
		coming: make(map[string]bool),
		kept:   make(map[string]bool, len(p.engine.Models)),
	}
	for _, w := range p.workers {
		x.order = append(x.order, w)
		x.add(w)
	}
	slices.SortFunc(x.order, func(a, b *worker) int { return cmp.Compare(a.ID, b.ID) })
	p.fleet = x
}

func (x *index) add(w *worker) {
	for _, l := range w.Models {
		x.kept[l.Model] = true
		if !w.Draining && (w.job == nil || w.job.leaving != l.Model) {
			x.copies[l.Model]++
		}
	}
	for _, m := range w.InMemory {
		x.kept[m] = true
	}
	for _, m := range w.OnDisk {
		x.kept[m] = true
	}
	if w.job == nil {
		return
	}
	x.kept[w.job.model] = true
	x.coming[w.job.model] = true
	if w.job.tier == TierStore {
		x.storeJobs++
	}
}
