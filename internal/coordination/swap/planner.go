package swap

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/seat"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Bounds of the planner's knowledge.
const (
	// demandTime is how long an instance's demand counts.
	demandTime = 2 * time.Second
	// reportLag is how old a target's report may be.
	reportLag = 120 * time.Millisecond
	// unloadLag is when after an unload a report is asked for.
	unloadLag = earlyAfter + earlyMost*earlyAgain
	// listLag is how old a target's description in the list may be.
	listLag = 4 * time.Second
	// busyAgain is the time between questions to a target that is busy for longer
	// than expected.
	busyAgain = 200 * time.Millisecond
	// quietTime keeps orders from a target that did not answer.
	quietTime = 500 * time.Millisecond
	// firstStoreLoads is how many loads from the weight store run side by side
	// until their times have told how many run at full speed.
	firstStoreLoads = 4
)

// Planner decides for the targets of one service.
type Planner struct {
	service string
	engine  *fleet.Engine
	random  *rand.Rand
	workers map[string]*worker
	demands map[string]*demand
	rates   map[string]*rate
	// begun are the beginnings of loads from the weight store in the last window.
	begun      []time.Time
	window     time.Duration
	storeLoads float64
	// touched are the targets whose models may have changed.
	touched []string
	fleet   *index
	// expected is when models will serve, as of the latest plan.
	expected map[string]time.Time
}

type demand struct {
	at     time.Time
	models []seat.Demand
}

// NewPlanner returns a planner without targets. Loads from the weight store are
// bounded in each window of time.
func NewPlanner(service string, engine *fleet.Engine, window time.Duration, random *rand.Rand) *Planner {
	return &Planner{
		service: service, engine: engine, random: random, window: window,
		workers: make(map[string]*worker), demands: make(map[string]*demand), rates: make(map[string]*rate),
		storeLoads: firstStoreLoads, fleet: &index{}, expected: make(map[string]time.Time),
	}
}

// SetEngine takes a new configuration of the service.
func (p *Planner) SetEngine(e *fleet.Engine) { p.engine = e }

// SetTarget takes a target's description from the list.
func (p *Planner) SetTarget(now time.Time, r fleet.Target) {
	w := p.workers[r.ID]
	if w == nil || w.Born != r.Born {
		w = &worker{Target: r, loadedAt: make(map[string]time.Time)}
		w.ask(now)
		p.workers[r.ID] = w
		p.changed(w)
		return
	}
	known := w.Holding
	w.Target = r
	w.Models = known.Models
	if w.job != nil && w.job.loading && r.Find(w.job.model) != nil {
		w.ask(now)
	}
	if w.job == nil && w.certain && now.Sub(w.changedAt) > listLag && !sameModels(known.Models, r.Models) {
		// An order that was believed lost has been carried out.
		w.unsure(now)
	}
	p.changed(w)
}

func sameModels(x, y []fleet.Loaded) bool {
	if len(x) != len(y) {
		return false
	}
	for _, l := range x {
		if !slices.ContainsFunc(y, func(m fleet.Loaded) bool { return m.Model == l.Model }) {
			return false
		}
	}
	return true
}

// Remove takes a target out.
func (p *Planner) Remove(id string) {
	delete(p.workers, id)
}

// Demand takes an instance's demand, which replaces its former one.
func (p *Planner) Demand(now time.Time, from string, models []seat.Demand) {
	own := models[:0:0]
	for _, d := range models {
		if d.Service != p.service {
			continue
		}
		own = append(own, d)
		if d.Arrived > 0 {
			p.rate(d.Model).add(now, d.Arrived)
		}
		if d.Arrived+d.Flying+d.Waiting > 0 {
			p.rate(d.Model).used = now
		}
	}
	p.demands[from] = &demand{at: now, models: own}
}

// Reported takes a target's report, or that there was none.
func (p *Planner) Reported(now time.Time, id string, r fleet.Report, err error) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.probing = false
	switch {
	case err != nil:
		w.quietUntil = now.Add(quietTime)
		w.unsure(w.quietUntil)
		return
	case r.Born != w.Born, r.ID != "" && r.ID != w.ID:
		// Another incarnation answers; the list will tell of it.
		w.unsure(now.Add(quietTime))
		return
	case r.Orders < w.orders:
		w.ask(now.Add(busyAgain / 2))
		return
	case r.Busy:
		w.orders = r.Orders
		w.ask(w.askAgain(now))
		return
	}
	p.settle(now, w, r)
}

// settle takes the state of a target that carries out no order.
func (p *Planner) settle(now time.Time, w *worker, r fleet.Report) {
	w.Holding = r.Holding
	w.orders = r.Orders
	w.certain = true
	if w.job != nil {
		p.progress(now, w)
	}
	p.changed(w)
}

// progress moves a job on whose latest order has been carried out.
func (p *Planner) progress(now time.Time, w *worker) {
	j := w.job
	if w.Find(j.model) != nil {
		if j.tier == TierStore {
			p.learnStoreTime(now, j)
		}
		w.loadedAt[j.model] = now
		w.job = nil
		return
	}
	if j.loading {
		// The load has ended without the model.
		w.job = nil
		return
	}
	j.leaving = ""
}

// learnStoreTime estimates from a load's time how many loads run at full speed: n
// loads of which k run at full speed take n/k times as long.
func (p *Planner) learnStoreTime(now time.Time, j *job) {
	nominal := p.engine.Models[j.model].FromStore.Seconds()
	took := now.Sub(j.began).Seconds() - reportLag.Seconds()
	running := float64(p.fleet.storeJobs)
	slowdown := max(took/nominal, 1)
	if slowdown > 1.2 {
		p.storeLoads = max(min(p.storeLoads, running/slowdown+0.5), 1)
	}
}

// Serving returns the models of a target that requests may be sent to.
func (p *Planner) Serving(id string) []fleet.Loaded {
	w := p.workers[id]
	if w == nil {
		return nil
	}
	return w.serving()
}

// Changed returns the targets whose serving models may have changed since the
// last call.
func (p *Planner) Changed() []string {
	out := p.touched
	p.touched = nil
	return out
}

func (p *Planner) changed(w *worker) {
	p.touched = append(p.touched, w.ID)
}

func (p *Planner) loadTime(model string, t Tier) time.Duration {
	m := p.engine.Models[model]
	switch t {
	case TierMemory:
		return cmp.Or(m.FromMemory, m.FromStore)
	case TierDisk:
		return cmp.Or(m.FromDisk, m.FromStore)
	case TierStore:
	}
	return m.FromStore
}
