package swap

import (
	"cmp"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// option is a way to load a model at a target.
type option struct {
	w     *worker
	tier  Tier
	ready time.Time
	cost  float64
}

// begin starts the job that serves a need soonest, if it can start now. A need
// whose best target is still busy waits for that target.
func (p *Planner) begin(now time.Time, uses map[string]*use, n *need) (Action, bool) {
	best := p.best(now, uses, n)
	if best == nil {
		return Action{}, false
	}
	n.ready, n.tier = best.ready, best.tier
	w := best.w
	if !w.idle(now) || w.job != nil {
		return Action{}, false
	}
	w.job = &job{model: n.model, tier: best.tier, reason: n.reason, began: now, due: best.ready}
	orders := p.nextOrder(now, w, uses)
	if len(orders) == 0 {
		w.job = nil
		return Action{}, false
	}
	return orders[0], true
}

func (p *Planner) best(now time.Time, uses map[string]*use, n *need) *option {
	storeOpen := float64(p.fleet.storeJobs) < p.storeLoads && p.mayBeginStoreLoad(now)
	var best *option
	for _, w := range p.fleet.order {
		if w.Draining || now.Before(w.quietUntil) || w.Find(n.model) != nil {
			continue
		}
		o, ok := p.option(now, w, n, uses)
		if !ok || o.tier == TierStore && !storeOpen {
			continue
		}
		if best == nil || o.cost < best.cost {
			best = &o
		}
	}
	return best
}

// option works out what it takes to load a model at a target.
func (p *Planner) option(now time.Time, w *worker, n *need, uses map[string]*use) (option, bool) {
	free := now
	if w.job != nil {
		free = w.job.due
	} else if !w.certain {
		free = now.Add(busyAgain)
	}
	o := option{w: w, tier: w.tier(n.model)}
	look := p.outlook(now, w, uses)
	going, score, ok := p.victims(look, n.model)
	if !ok {
		return option{}, false
	}
	if going > 0 {
		free = free.Add(reportLag)
	}
	took := p.loadTime(n.model, o.tier)
	o.ready = timer.Later(free, now).Add(took)
	o.cost = o.ready.Sub(now).Seconds() + evictionSeconds*score
	if o.tier == TierStore {
		o.cost += crowdSeconds * float64(look.onlyHere)
	}
	return o, true
}

// outlook is what an eviction at a target would lose; it is worked out once for
// each index, however many models look for a place.
type outlook struct {
	of *index
	// candidates are the models that may go, the least missed first.
	candidates []candidate
	used       float64
	// onlyHere counts the models on the target's disk that nobody serves.
	onlyHere int
}

type candidate struct {
	model string
	score float64
	size  float64
}

func (p *Planner) outlook(now time.Time, w *worker, uses map[string]*use) *outlook {
	if w.outlook.of == p.fleet {
		return &w.outlook
	}
	w.outlook = outlook{of: p.fleet, used: w.used(p.engine), candidates: w.outlook.candidates[:0]}
	for i := range w.Models {
		l := &w.Models[i]
		if score, ok := p.evictionScore(now, w, l.Model, uses); ok {
			w.outlook.candidates = append(w.outlook.candidates, candidate{l.Model, score, sizeOf(p.engine, l)})
		}
	}
	slices.SortFunc(w.outlook.candidates, func(x, y candidate) int {
		return cmp.Or(cmp.Compare(x.score, y.score), cmp.Compare(x.model, y.model))
	})
	for _, model := range w.OnDisk {
		if p.fleet.copies[model] == 0 {
			w.outlook.onlyHere++
		}
	}
	return &w.outlook
}

// victims returns how many of the candidates have to go for another model, and the
// sum of what their eviction loses; false if there is no room for it.
func (p *Planner) victims(o *outlook, model string) (n int, score float64, ok bool) {
	room := p.engine.MemoryMB - o.used - p.engine.Models[model].SizeMB
	for n < len(o.candidates) && room < 0 {
		room += o.candidates[n].size
		score += o.candidates[n].score
		n++
	}
	return n, score, room >= 0
}

// evictionScore tells what is lost with a model's copy; false forbids it.
func (p *Planner) evictionScore(now time.Time, w *worker, model string, uses map[string]*use) (float64, bool) {
	if now.Sub(w.loadedAt[model]) < keepTime {
		return 0, false
	}
	copies := p.fleet.copies[model]
	r := p.rate(model)
	score := 0.0
	if u := uses[model]; u != nil {
		if u.waiting > 0 && copies <= 1 || u.at[w.ID] > 0 {
			return 0, false
		}
		if copies > 1 && float64(u.flying)/float64(copies-1) > hotFlying {
			return 0, false
		}
	}
	if copies <= 1 {
		score += lastCopyScore
	}
	score += rateScore * r.perSecond(now) / float64(max(copies, 1))
	if age := now.Sub(r.used); age < recentTime {
		score += recentScore * (1 - age.Seconds()/recentTime.Seconds())
	}
	return score, true
}
