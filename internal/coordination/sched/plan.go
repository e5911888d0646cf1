package sched

import (
	"cmp"
	"slices"
	"time"
)

const (
	// maxInFlightPerCopy is the number of requests in flight for each copy of a model
	// above which another copy is loaded; an eviction must not raise it above that.
	maxInFlightPerCopy = 8.0
	// minResidency is how long a model is kept after it has been loaded.
	minResidency = 1500 * time.Millisecond
	// lastCopyScore is the eviction score of a model's only loaded copy.
	lastCopyScore = 1.0
	// rateScore is the eviction score of one request per second for each copy.
	rateScore = 4.0
	// recentScore is the eviction score of a model that was just used; it falls linearly
	// to 0 within recentPeriod.
	recentScore  = 0.5
	recentPeriod = 10 * time.Second
	// evictionSeconds is the cost in seconds of an eviction score of 1.
	evictionSeconds = 0.5
	// preloadShare is the share of the parallel loads from the weight store that may load
	// models before any request asks for them.
	preloadShare = 0.5
	// unservedOnDiskSeconds is the cost of a load from the weight store at a target, for
	// each model on its disk that no target serves: such a model cannot be loaded from
	// this disk while the target is busy.
	unservedOnDiskSeconds = 0.1
)

// The reasons of loads that choose.go treats differently.
const (
	// reasonBusy means that the copies of the model have too many requests in flight.
	reasonBusy = "busy"
	// reasonLimited means that all copies are at targets with limits.
	reasonLimited = "limited"
)

// loadRequest is a model that the planner wants to load.
type loadRequest struct {
	model       string
	waiting     int
	longestWait time.Duration
	// excess is the number of requests in flight beyond what the copies are meant to have.
	excess int
	reason string
	// ready is when the model is expected to be loaded, from the tier in tier. ready is
	// zero while no target can load the model.
	ready time.Time
	tier  Tier
}

// usage is the demand for a model, summed over all instances.
type usage struct {
	loadRequest
	inFlight   int
	inFlightAt map[string]int
	adapters   []string
	// limited counts the requests that the rate limits of all targets with the model
	// refuse or hold up, limitedAdapters are the adapters that they need.
	limited         int
	limitedAdapters []string
}

// Plan returns the orders and report requests that are due.
func (p *Planner) Plan(now time.Time) []Action {
	uses := p.uses(now)
	p.loads = targetLoads(uses)
	p.buildIndex()
	if p.plannedFrom.IsZero() {
		p.plannedFrom = now
		p.countFormerLoads(now)
	}
	p.observeStoreLoads(now)
	actions := p.reportRequests(now)
	actions = append(actions, p.continueJobs(now, uses)...)
	actions = append(actions, p.adapterOrders(now, uses)...)
	requests := p.loadRequests(now, uses)
	for _, n := range requests {
		if a, ok := p.startJob(now, uses, n); ok {
			actions = append(actions, a)
			p.buildIndex()
		}
	}
	p.updateExpected(now, requests)
	return actions
}

// PlanReports returns the report requests that are due, for a holder that may not send orders
// yet.
func (p *Planner) PlanReports(now time.Time) []Action {
	p.buildIndex()
	return p.reportRequests(now)
}

// uses sums the demand of all instances and forgets demand older than demandTTL.
func (p *Planner) uses(now time.Time) map[string]*usage {
	uses := make(map[string]*usage)
	for from, d := range p.demands {
		if now.Sub(d.at) > demandTTL {
			delete(p.demands, from)
			continue
		}
		for _, m := range d.models {
			u := uses[m.Model]
			if u == nil {
				u = &usage{loadRequest: loadRequest{model: m.Model}, inFlightAt: make(map[string]int)}
				uses[m.Model] = u
			}
			u.inFlight += m.InFlight
			for id, n := range m.InFlightByTarget {
				u.inFlightAt[id] += n
			}
			u.limited += m.Limited
			u.limitedAdapters = appendMissing(u.limitedAdapters, m.LimitedAdapters)
			if m.Queued == 0 {
				continue
			}
			u.waiting += m.Queued
			u.longestWait = max(u.longestWait, time.Duration(m.LongestWaitMS)*time.Millisecond)
			u.adapters = appendMissing(u.adapters, m.Adapters)
		}
	}
	return uses
}

// appendMissing appends the items that a list does not contain.
func appendMissing(list, items []string) []string {
	for _, item := range items {
		if !slices.Contains(list, item) {
			list = append(list, item)
		}
	}
	return list
}

// reportRequests returns the report requests that are due, those of targets with a job first,
// as far as not too many are in flight.
func (p *Planner) reportRequests(now time.Time) []Action {
	room := maxReportsInFlight
	for _, w := range p.index.sorted {
		if w.reportInFlight {
			room--
		}
	}
	var out []Action
	for _, hasJob := range []bool{true, false} {
		for _, w := range p.index.sorted {
			if len(out) >= room {
				return out
			}
			if (w.job != nil) != hasJob || !w.isReportDue(now) {
				continue
			}
			w.reportAt = time.Time{}
			w.reportInFlight = true
			out = append(out, Action{To: w.Target})
		}
	}
	return out
}

// continueJobs returns the next orders of the jobs whose unload has finished.
func (p *Planner) continueJobs(now time.Time, uses map[string]*usage) []Action {
	var out []Action
	for _, w := range p.index.sorted {
		if w.job == nil || w.job.isLoading || w.job.unloading != "" || !w.canTakeOrder(now) {
			continue
		}
		out = append(out, p.nextOrder(now, w, uses)...)
	}
	return out
}

// nextOrder returns the next order of a target's job: the load if its model fits,
// otherwise the unload of the best eviction candidate.
func (p *Planner) nextOrder(now time.Time, w *targetState, uses map[string]*usage) []Action {
	j := w.job
	if w.fits(p.engine, j.model) {
		if !p.isSafeWithLost(now, w, p.engine.Models[j.model].SizeMB) || !p.admitStoreLoad(now, j) {
			return nil
		}
		return []Action{p.newOrder(w, Action{Operation: Load, Model: j.model, Tier: j.tier, Reason: j.reason})}
	}
	o := p.evictionOptions(now, w, uses)
	if _, _, ok := p.selectVictims(o, j.model); !ok {
		w.job = nil
		return nil
	}
	victim := o.candidates[0].model
	if !p.isSafeWithLost(now, w, -w.sizeOf(p.engine, victim)) {
		return nil
	}
	j.unloading = victim
	p.markChanged(w)
	return []Action{p.newOrder(w, Action{Operation: Unload, Model: j.unloading, Reason: "room for " + j.model})}
}

// newOrder completes an order to a target and marks it as in flight.
func (p *Planner) newOrder(w *targetState, a Action) Action {
	w.orderInFlight = true
	a.To = w.Target
	a.Expected = w.acceptedOrders
	return a
}

// admitStoreLoad reports whether a job's load may start, and counts it towards the rate
// limit of the weight store if it loads from there.
func (p *Planner) admitStoreLoad(now time.Time, j *job) bool {
	if j.tier != TierStore {
		return true
	}
	if !p.canStartStoreLoad(now) {
		return false
	}
	p.storeLoadStarts = append(p.storeLoadStarts, now)
	return true
}

// canStartStoreLoad reports whether another load keeps to the rate limit of the weight
// store in every window.
func (p *Planner) canStartStoreLoad(now time.Time) bool {
	p.storeLoadStarts = slices.DeleteFunc(p.storeLoadStarts, func(t time.Time) bool { return now.Sub(t) > p.window })
	return len(p.storeLoadStarts) < p.maxStoreLoads()
}

// maxStoreLoads returns how many loads from the weight store may start in a window.
func (p *Planner) maxStoreLoads() int {
	return max(int(p.engine.LoadsPerSec*p.window.Seconds()), 1)
}

// loadRequests returns the models to load, most urgent first.
func (p *Planner) loadRequests(now time.Time, uses map[string]*usage) []*loadRequest {
	var out []*loadRequest
	for model, u := range uses {
		if _, known := p.engine.Models[model]; !known {
			continue
		}
		copies, loading := p.index.copies[model], p.index.loading[model]
		missing := p.missingCopies(u)
		switch {
		case u.waiting > 0 && copies == 0 && loading == 0:
			u.reason = "waited for"
			out = append(out, &u.loadRequest)
		case missing > 0:
			u.reason = reasonBusy
			u.excess = max(u.inFlight-int(copyLoad)*(copies+loading), 0)
			out = append(out, slices.Repeat([]*loadRequest{&u.loadRequest}, missing)...)
		case copies > 0 && loading == 0 && u.limited > 0 && p.index.unlimited[model] == 0:
			u.reason = reasonLimited
			out = append(out, &u.loadRequest)
		}
	}
	slices.SortFunc(out, compareLoadRequests)
	if n := p.preload(now, uses); n != nil {
		out = append(out, n)
	}
	return out
}

// compareLoadRequests orders by the number of queued requests, then by the longest wait,
// both descending, then by the requests in flight beyond what the copies are meant to have,
// then by model name.
func compareLoadRequests(x, y *loadRequest) int {
	return cmp.Or(
		cmp.Compare(y.waiting, x.waiting),
		cmp.Compare(y.longestWait, x.longestWait),
		cmp.Compare(y.excess, x.excess),
		cmp.Compare(x.model, y.model),
	)
}

// preload returns a model that no target has a copy of, to be loaded before any request
// asks for it, or nil. It prefers the model with the most adapters.
func (p *Planner) preload(now time.Time, uses map[string]*usage) *loadRequest {
	if !p.canLoadFromStore(now, max(p.storeLimit.loads*preloadShare, 1)-1) {
		return nil
	}
	var models []string
	for model := range p.engine.Models {
		if u := uses[model]; u != nil && u.waiting > 0 {
			continue
		}
		if !p.index.hasCopy[model] {
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
	return &loadRequest{model: best, reason: "ahead of use"}
}
