package swap

import (
	"cmp"
	"math"
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
	model    string
	waiting  int
	priority int
	waited   time.Duration
	left     time.Duration
	reason   string
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

// option is a way to load a model at a target.
type option struct {
	w     *worker
	tier  Tier
	ready time.Time
	cost  float64
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
				u = &use{need: need{model: m.Model, priority: math.MaxInt}, at: make(map[string]int)}
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
			u.priority = min(u.priority, m.Priority)
			u.waited = max(u.waited, time.Duration(m.WaitedMS)*time.Millisecond)
			u.left = max(u.left, time.Duration(m.LeftMS)*time.Millisecond)
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
		if j.tier == TierStore && !p.mayBeginStoreLoad(now) {
			return nil
		}
		if j.tier == TierStore {
			p.begun = append(p.begun, now)
		}
		return []Action{p.send(w, Action{Operation: Load, Model: j.model, Tier: j.tier})}
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
	w.job = &job{model: n.model, tier: best.tier, began: now, due: best.ready}
	orders := p.nextOrder(now, w, uses)
	if len(orders) == 0 {
		w.job = nil
		return Action{}, false
	}
	orders[0].Reason = n.reason
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
	o.ready = later(free, now).Add(took)
	o.cost = o.ready.Sub(now).Seconds() + evictionSeconds*score
	if o.tier == TierStore {
		o.cost += crowdSeconds * float64(look.onlyHere)
	}
	return o, true
}

func later(x, y time.Time) time.Time {
	if x.After(y) {
		return x
	}
	return y
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
	for _, l := range w.Models {
		if score, ok := p.evictionScore(now, w, l.Model, uses); ok {
			m := p.engine.Models[l.Model]
			size := m.SizeMB + float64(len(l.Adapters))*m.AdapterMB
			w.outlook.candidates = append(w.outlook.candidates, candidate{l.Model, score, size})
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

// Expected returns how long it takes until each model serves that requests wait
// for, as of the latest plan.
func (p *Planner) Expected(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(p.expected))
	for model, at := range p.expected {
		out[model] = max(at.Sub(now), 0)
	}
	return out
}

// expect works out when models will serve: those of jobs, and those that wait for
// a target or for a place among the loads from the weight store.
func (p *Planner) expect(now time.Time, needs []*need) {
	clear(p.expected)
	for _, w := range p.fleet.order {
		if w.job != nil {
			p.expectAt(w.job.model, later(w.job.due, now).Add(reportLag))
		}
	}
	queue := p.storeQueue(now)
	for _, n := range needs {
		if n.waiting == 0 || p.fleet.copies[n.model] > 0 || p.fleet.coming[n.model] {
			continue
		}
		if !n.ready.IsZero() && n.tier != TierStore {
			p.expectAt(n.model, n.ready.Add(reportLag))
			continue
		}
		p.expectAt(n.model, now.Add(queue.next(p.loadTime(n.model, TierStore))))
	}
}

func (p *Planner) expectAt(model string, at time.Time) {
	if have, ok := p.expected[model]; !ok || at.Before(have) {
		p.expected[model] = at
	}
}

// storeQueue holds when the places for loads from the weight store come free.
type storeQueue []time.Duration

func (p *Planner) storeQueue(now time.Time) storeQueue {
	var q storeQueue
	for _, w := range p.workers {
		if w.job != nil && w.job.tier == TierStore {
			q = append(q, max(w.job.due.Sub(now), 0))
		}
	}
	for len(q) < int(p.storeLoads) {
		q = append(q, 0)
	}
	return q
}

// next takes the earliest place for a load and returns when the load ends.
func (q storeQueue) next(took time.Duration) time.Duration {
	first := 0
	for i, free := range q {
		if free < q[first] {
			first = i
		}
	}
	q[first] += took
	return q[first] + reportLag
}
