package swap

import (
	"cmp"
	"slices"
	"time"
)

// What decides about a model's place.
const (
	// hotFlying is the requests in flight at one copy beyond which another is made.
	hotFlying = 8.0
	// keepTime is how long a model that was just loaded stays.
	keepTime = 1500 * time.Millisecond
	// lastCopyScore, rateScore and recentScore weigh what an eviction loses: the
	// only loaded copy, requests a second, and recent use.
	lastCopyScore = 1.0
	rateScore     = 4.0
	recentScore   = 0.5
	recentTime    = 10 * time.Second
	// evictionSeconds turns a score into seconds of a load's time.
	evictionSeconds = 0.5
	// crowdSeconds is the cost of keeping a target busy for each model of which it
	// has the only copy besides the loaded ones.
	crowdSeconds = 0.1
)

// need is a model that is to be loaded.
type need struct {
	model   string
	waiting int
	waited  time.Duration
	reason  string
	// ready is when the model is expected to serve and tier the place of its copy;
	// ready is zero while no target can take it.
	ready time.Time
	tier  Tier
}

// use is what all instances together do with a model.
type use struct {
	need
	flying   int
	at       map[string]int
	adapters []string
}

// Plan returns the orders and questions that are due.
func (p *Planner) Plan(now time.Time) []Action {
	uses := p.uses(now)
	p.index()
	actions := p.questions(now)
	actions = append(actions, p.continueJobs(now, uses)...)
	actions = append(actions, p.adapterOrders(now, uses)...)
	needs := p.needs(now, uses)
	for _, n := range needs {
		if a, ok := p.begin(now, uses, n); ok {
			actions = append(actions, a)
			p.index()
		}
	}
	p.expect(now, needs)
	return actions
}

// uses adds up the demand of all instances.
func (p *Planner) uses(now time.Time) map[string]*use {
	uses := make(map[string]*use)
	for from, d := range p.demands {
		if now.Sub(d.at) > demandTime {
			delete(p.demands, from)
			continue
		}
		for _, m := range d.models {
			u := uses[m.Model]
			if u == nil {
				u = &use{need: need{model: m.Model}, at: make(map[string]int)}
				uses[m.Model] = u
			}
			u.flying += m.Flying
			for id, n := range m.At {
				u.at[id] += n
			}
			if m.Waiting == 0 {
				continue
			}
			u.waiting += m.Waiting
			u.waited = max(u.waited, time.Duration(m.WaitedMS)*time.Millisecond)
			for _, a := range m.Adapters {
				if !slices.Contains(u.adapters, a) {
					u.adapters = append(u.adapters, a)
				}
			}
		}
	}
	return uses
}

func (p *Planner) questions(now time.Time) []Action {
	var out []Action
	for _, w := range p.fleet.order {
		if w.probeAt.IsZero() || now.Before(w.probeAt) || w.probing || w.ordering {
			continue
		}
		w.probeAt = time.Time{}
		w.probing = true
		out = append(out, Action{To: w.Target})
	}
	return out
}

// continueJobs orders what follows an unload.
func (p *Planner) continueJobs(now time.Time, uses map[string]*use) []Action {
	var out []Action
	for _, w := range p.fleet.order {
		if w.job == nil || w.job.loading || w.job.leaving != "" || !w.idle(now) {
			continue
		}
		out = append(out, p.nextOrder(now, w, uses)...)
	}
	return out
}

// nextOrder unloads what is in the way of a job's model, or loads it.
func (p *Planner) nextOrder(now time.Time, w *worker, uses map[string]*use) []Action {
	j := w.job
	if w.fits(p.engine, j.model) {
		if !p.admitStoreLoad(now, j) {
			return nil
		}
		return []Action{p.send(w, Action{Operation: Load, Model: j.model, Tier: j.tier, Reason: j.reason})}
	}
	o := p.outlook(now, w, uses)
	if _, _, ok := p.victims(o, j.model); !ok {
		w.job = nil
		return nil
	}
	j.leaving = o.candidates[0].model
	p.changed(w)
	return []Action{p.send(w, Action{Operation: Unload, Model: j.leaving, Reason: "room for " + j.model})}
}

func (p *Planner) send(w *worker, a Action) Action {
	w.ordering = true
	a.To = w.Target
	a.Expected = w.orders
	return a
}

// admitStoreLoad counts a job's load if it is from the weight store; false forbids it.
func (p *Planner) admitStoreLoad(now time.Time, j *job) bool {
	if j.tier != TierStore {
		return true
	}
	if !p.mayBeginStoreLoad(now) {
		return false
	}
	p.begun = append(p.begun, now)
	return true
}

// mayBeginStoreLoad keeps to the rate of the weight store in every window.
func (p *Planner) mayBeginStoreLoad(now time.Time) bool {
	p.begun = slices.DeleteFunc(p.begun, func(t time.Time) bool { return now.Sub(t) > p.window })
	return float64(len(p.begun)+1) <= max(p.engine.LoadsPerSec*p.window.Seconds(), 1)
}

// needs returns the models to load, most urgent first.
func (p *Planner) needs(now time.Time, uses map[string]*use) []*need {
	var out []*need
	for model, u := range uses {
		if _, known := p.engine.Models[model]; !known || p.fleet.coming[model] {
			continue
		}
		copies := p.fleet.copies[model]
		switch {
		case u.waiting > 0 && copies == 0:
			u.reason = "waited for"
			out = append(out, &u.need)
		case copies > 0 && float64(u.flying+u.waiting)/float64(copies) > hotFlying && u.flying > 0:
			u.reason = "busy"
			out = append(out, &u.need)
		}
	}
	slices.SortFunc(out, compareNeeds)
	if n := p.ahead(now, uses); n != nil {
		out = append(out, n)
	}
	return out
}

// compareNeeds puts the model for which more requests wait first, then the longer wait.
func compareNeeds(x, y *need) int {
	return cmp.Or(
		cmp.Compare(y.waiting, x.waiting),
		cmp.Compare(y.waited, x.waited),
		cmp.Compare(x.model, y.model),
	)
}

// ahead returns a model of which no target has a copy, to be loaded before
// anybody asks for it.
func (p *Planner) ahead(now time.Time, uses map[string]*use) *need {
	if float64(p.fleet.storeJobs) >= p.storeLoads || !p.mayBeginStoreLoad(now) {
		return nil
	}
	var models []string
	for model := range p.engine.Models {
		if u := uses[model]; u != nil && u.waiting > 0 {
			continue
		}
		if !p.fleet.kept[model] {
			models = append(models, model)
		}
	}
	if len(models) == 0 {
		return nil
	}
	slices.Sort(models)
	best := models[p.random.IntN(len(models))]
	for _, m := range models {
		if p.engine.Models[m].Adapters > p.engine.Models[best].Adapters {
			best = m
		}
	}
	return &need{model: best, reason: "ahead of use"}
}
