package swap

import (
	"slices"
	"time"
)

// adapterOrders loads the adapters that requests wait for, at one target of the
// model each.
func (p *Planner) adapterOrders(now time.Time, uses map[string]*use) []Action {
	var out []Action
	for _, u := range sortedUses(uses) {
		for _, adapter := range u.adapters {
			if p.adapterAnywhere(u.model, adapter) {
				continue
			}
			if w := p.adapterPlace(now, u); w != nil {
				out = append(out, p.adapterOrder(w, u.model, adapter, uses)...)
			}
		}
	}
	return out
}

func sortedUses(uses map[string]*use) []*use {
	out := make([]*use, 0, len(uses))
	for _, u := range uses {
		out = append(out, u)
	}
	slices.SortFunc(out, func(x, y *use) int { return compareNeeds(&x.need, &y.need) })
	return out
}

func (p *Planner) adapterAnywhere(model, adapter string) bool {
	for _, w := range p.workers {
		leaving := w.job != nil && w.job.leaving == model
		if w.Has(model, adapter) && !w.Draining && !leaving {
			return true
		}
	}
	return false
}

// adapterPlace returns the target of a model with the fewest adapters that can
// take an order.
func (p *Planner) adapterPlace(now time.Time, u *use) *worker {
	var best *worker
	for _, w := range p.fleet.order {
		if !w.idle(now) || w.Find(u.model) == nil || w.job != nil {
			continue
		}
		if best == nil || w.adapters() < best.adapters() {
			best = w
		}
	}
	return best
}

// adapterOrder loads an adapter, or first unloads the one that was loaded longest
// ago where there is no room.
func (p *Planner) adapterOrder(w *worker, model, adapter string, uses map[string]*use) []Action {
	fits := w.used(p.engine)+p.engine.Models[model].AdapterMB <= p.engine.MemoryMB
	if fits && w.adapters() < p.engine.Adapters {
		return []Action{p.send(w, Action{Operation: Load, Model: model, Adapter: adapter, Reason: "waited for"})}
	}
	old, name := p.oldestAdapter(w, uses)
	if name == "" {
		return nil
	}
	return []Action{p.send(w, Action{Operation: Unload, Model: old, Adapter: name, Reason: "room for " + adapter})}
}

// oldestAdapter prefers the adapters of models that nobody uses. Adapters stand in
// the order in which they were loaded.
func (p *Planner) oldestAdapter(w *worker, uses map[string]*use) (model, adapter string) {
	fewest := 0
	for _, l := range w.Models {
		if len(l.Adapters) == 0 {
			continue
		}
		flying := 0
		if u := uses[l.Model]; u != nil {
			flying = u.at[w.ID]
		}
		if model == "" || flying < fewest {
			model, adapter, fewest = l.Model, l.Adapters[0], flying
		}
	}
	return model, adapter
}
