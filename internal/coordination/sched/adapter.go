package sched

import (
	"slices"
	"time"
)

// adapterOrders loads each adapter that requests are queued for at one target that serves
// its model, and those of busy targets at less busy ones.
func (p *Planner) adapterOrders(now time.Time, uses map[string]*usage) []Action {
	var out []Action
	for _, u := range sortedUses(uses) {
		out = append(out, p.adapterCopies(now, u)...)
		for _, adapter := range u.adapters {
			if p.isAdapterServed(u.model, adapter, true) {
				continue
			}
			if w := p.targetForAdapter(now, u); w != nil {
				out = append(out, p.loadAdapter(now, w, u.model, adapter, uses)...)
			}
		}
		for _, adapter := range u.limitedAdapters {
			if p.isAdapterServed(u.model, adapter, false) {
				continue
			}
			if w := p.targetForAdapter(now, u); w != nil && !w.isLimited {
				out = append(out, p.loadAdapter(now, w, u.model, adapter, uses)...)
			}
		}
	}
	return out
}

// adapterCopies loads an adapter of a crowded target at the least busy target that serves its
// model, since requests for it could go nowhere else. It evicts no adapter.
func (p *Planner) adapterCopies(now time.Time, u *usage) []Action {
	if p.index.copies[u.model] < 2 {
		return nil
	}
	to := p.leastBusyCopy(now, u.model)
	if to == nil || !p.hasRoomForAdapter(to, u.model) || !p.isSafeWithLost(now, to, p.engine.Models[u.model].AdapterMB) {
		return nil
	}
	for _, from := range p.index.sorted {
		l := from.Find(u.model)
		if l == nil || from == to || float64(p.loads[from.ID]) < p.crowded() || p.loads[to.ID] > p.loads[from.ID]/2 {
			continue
		}
		for _, adapter := range l.Adapters {
			if !to.Has(u.model, adapter) {
				return []Action{p.newOrder(to, Action{Operation: Load, Model: u.model, Adapter: adapter, Reason: reasonBusy})}
			}
		}
	}
	return nil
}

// leastBusyCopy returns the target with the fewest requests in flight among those that
// serve a model and can take an order, or nil.
func (p *Planner) leastBusyCopy(now time.Time, model string) *targetState {
	var best *targetState
	for _, w := range p.index.sorted {
		if w.Find(model) == nil || w.job != nil || w.isLimited || !w.canTakeOrder(now) {
			continue
		}
		if best == nil || p.loads[w.ID] < p.loads[best.ID] {
			best = w
		}
	}
	return best
}

// hasRoomForAdapter reports whether another adapter of a model fits into a target's memory
// and adapter slots.
func (p *Planner) hasRoomForAdapter(w *targetState, model string) bool {
	return w.usedMB(p.engine)+p.engine.Models[model].AdapterMB <= p.engine.MemoryMB && w.adapterCount() < p.engine.Adapters
}

// sortedUses returns the uses in the order of compareLoadRequests.
func sortedUses(uses map[string]*usage) []*usage {
	out := make([]*usage, 0, len(uses))
	for _, u := range uses {
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y *usage) int { return compareLoadRequests(&x.loadRequest, &y.loadRequest) })
	return out
}

// isAdapterServed reports whether a target that is not draining serves the adapter, and
// is not unloading its model. Targets with rate limits count if countLimited is set.
func (p *Planner) isAdapterServed(model, adapter string, countLimited bool) bool {
	for _, w := range p.workers {
		if w.isLimited && !countLimited {
			continue
		}
		unloading := w.job != nil && w.job.unloading == model
		if w.Has(model, adapter) && !w.Draining && !unloading {
			return true
		}
	}
	return false
}

// targetForAdapter returns the target with the fewest adapters among those that serve the
// model and can take an order, or nil. It prefers targets without rate limits.
func (p *Planner) targetForAdapter(now time.Time, u *usage) *targetState {
	var best *targetState
	for _, w := range p.index.sorted {
		if !w.canTakeOrder(now) || w.Find(u.model) == nil || w.job != nil {
			continue
		}
		if best == nil || best.isLimited && !w.isLimited ||
			best.isLimited == w.isLimited && w.adapterCount() < best.adapterCount() {
			best = w
		}
	}
	return best
}

// loadAdapter loads an adapter. If there is no capacity for it, it first unloads the
// adapter that oldestAdapter returns.
func (p *Planner) loadAdapter(now time.Time, w *targetState, model, adapter string, uses map[string]*usage) []Action {
	if !p.isSafeWithLost(now, w, p.engine.Models[model].AdapterMB) {
		return nil
	}
	if p.hasRoomForAdapter(w, model) {
		return []Action{p.newOrder(w, Action{Operation: Load, Model: model, Adapter: adapter, Reason: "waited for"})}
	}
	oldModel, oldAdapter := p.oldestAdapter(w, uses)
	if oldAdapter == "" {
		return nil
	}
	return []Action{p.newOrder(w, Action{Operation: Unload, Model: oldModel, Adapter: oldAdapter, Reason: "room for " + adapter})}
}

// oldestAdapter returns the first loaded adapter of the model with the fewest requests in
// flight at the target. Adapters are listed in the order in which they were loaded.
func (p *Planner) oldestAdapter(w *targetState, uses map[string]*usage) (model, adapter string) {
	fewest := 0
	for _, l := range w.Models {
		if len(l.Adapters) == 0 {
			continue
		}
		inFlight := 0
		if u := uses[l.Model]; u != nil {
			inFlight = u.inFlightAt[w.ID]
		}
		if model == "" || inFlight < fewest {
			model, adapter, fewest = l.Model, l.Adapters[0], inFlight
		}
	}
	return model, adapter
}
