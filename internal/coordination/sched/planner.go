package sched

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	// demandTTL is how long an instance's demand is valid.
	demandTTL = 2 * time.Second
	// maxReportAge is the maximum age of a target's report.
	maxReportAge = 120 * time.Millisecond
	// unloadPollDelay is the time from the acceptance of an unload to the request for a
	// report.
	unloadPollDelay = earlyLoadDelay + maxEarlyLoads*earlyLoadInterval
	// maxReportsInFlight limits the reports that are requested at the same time. A new holder
	// needs one of each target; 2,800 requests at once timed out, were repeated, and kept the
	// holder from answering the other instances.
	maxReportsInFlight = 64
	// maxListAge is the maximum age of a target's description in the list.
	maxListAge = 4 * time.Second
	// busyPollInterval is the interval between report requests to a target that is busy
	// for longer than expected.
	busyPollInterval = 200 * time.Millisecond
	// errorBackoff is how long a target that did not reply gets no orders.
	errorBackoff = 500 * time.Millisecond
	// minForeignLoad is how long an order of a former holder is carried out before it
	// counts as a load from the weight store. Loads from disk take less.
	minForeignLoad = 2500 * time.Millisecond
	// foreignLoadTime is the assumed duration of such a load.
	foreignLoadTime = 12 * time.Second
)

// Planner schedules the loads of one service's targets. It is not safe for concurrent
// use.
type Planner struct {
	service string
	engine  *fleet.Engine
	random  *rand.Rand
	workers map[string]*targetState
	demands map[string]*demand
	rates   map[string]*rate
	// lost holds the loads whose replies were lost, by target id.
	lost map[string][]lostLoad
	// storeLoadStarts are the start times of loads from the weight store in the last
	// window.
	storeLoadStarts []time.Time
	// window is the period over which the rate of loads from the weight store is limited.
	window     time.Duration
	storeLimit storeLimit
	// handover is the minimum time between the orders of a former holder and of this one at a
	// target; it concerns the targets known before handoverEnd or born before bornBefore.
	handover    time.Duration
	handoverEnd time.Time
	bornBefore  time.Time
	// respondedAt is when incarnations of targets first responded, also those that have left.
	respondedAt map[fleet.Identity]time.Time
	// plannedFrom is the time of the first plan.
	plannedFrom time.Time
	// hasFormer means that a former holder may have started loads in the window before it.
	hasFormer bool
	// changedTargets are the targets whose loaded models may have changed.
	changedTargets []string
	index          *index
	// loads holds the requests in flight at each target as of the latest plan.
	loads map[string]int
	// expected is when models are expected to be loaded, as of the latest plan.
	expected map[string]time.Time
}

// demand is the demand that one instance sent at a time.
type demand struct {
	at     time.Time
	models []picker.Demand
}

// Option configures a Planner.
type Option func(*Planner)

// WithStoreLoads sets the number of parallel loads from the weight store at first, which a
// former holder has found; 0 means that it is not known.
func WithStoreLoads(n int) Option {
	return func(p *Planner) {
		if n > 0 {
			p.storeLimit.loads = float64(n)
		}
	}
}

// WithFormerHolder tells that there was a holder before, which may have started loads from the
// weight store up to the first plan.
func WithFormerHolder() Option {
	return func(p *Planner) { p.hasFormer = true }
}

// NewPlanner returns a Planner without targets. The rate of loads from the weight store
// is limited in each period of length window.
func NewPlanner(service string, engine *fleet.Engine, window time.Duration, random *rand.Rand, opts ...Option) *Planner {
	p := &Planner{
		service: service, engine: engine, random: random, window: window,
		workers: make(map[string]*targetState), demands: make(map[string]*demand), rates: make(map[string]*rate),
		lost: make(map[string][]lostLoad), respondedAt: make(map[fleet.Identity]time.Time),
		storeLimit: storeLimit{loads: initialStoreLoads}, index: &index{}, expected: make(map[string]time.Time),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// SetEngine sets a new configuration of the service.
func (p *Planner) SetEngine(e *fleet.Engine) { p.engine = e }

// SetHandover makes orders to each target that may hold orders of a former holder wait until d
// after its first response to a request for a report. It may have stood still, with those orders
// unread, until that response. Such a target is known before end, or was born before bornBefore by
// the time of day: the entry of one that stands still leaves the list, and is back later. Requests
// begin once the former holder's orders have settled.
func (p *Planner) SetHandover(d time.Duration, end, bornBefore time.Time) {
	p.handover, p.handoverEnd, p.bornBefore = d, end, bornBefore
}

// SetTarget adds a target or updates its description from the list.
func (p *Planner) SetTarget(now time.Time, r fleet.Target) {
	w := p.workers[r.ID]
	if w == nil || w.Born != r.Born {
		awaits := p.awaitsHandover(now, w, &r)
		w = &targetState{Target: r, loadedAt: make(map[string]time.Time), awaitsHandover: awaits}
		w.requestReport(now)
		p.workers[r.ID] = w
		p.markChanged(w)
		return
	}
	previous := w.Holding
	w.Target = r
	w.Models = previous.Models
	if w.job != nil && w.job.isLoading && r.Find(w.job.model) != nil {
		w.requestReport(now)
	}
	if w.job == nil && w.isCertain && now.Sub(w.lastOrderAt) > maxListAge && !sameModels(previous.Models, r.Models) {
		// An order that was considered lost has been carried out.
		w.invalidate(now)
	}
	p.markChanged(w)
}

// awaitsHandover reports whether an incarnation of a target may hold unread orders of a former
// holder. before is what is known of the one before it, nil if there is none.
func (p *Planner) awaitsHandover(now time.Time, before *targetState, r *fleet.Target) bool {
	if before != nil && p.HasResponded(before.Identity) {
		return false
	}
	wasThere := now.Before(p.handoverEnd) || time.UnixMilli(r.Born).Before(p.bornBefore)
	return p.handover > 0 && wasThere
}

// sameModels reports whether both lists contain the same models, regardless of adapters.
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

// SetLimited sets whether a target has named a rate limit.
func (p *Planner) SetLimited(id string, isLimited bool) {
	if w := p.workers[id]; w != nil {
		w.isLimited = isLimited
	}
}

// Remove removes a target.
func (p *Planner) Remove(id string) {
	delete(p.workers, id)
}

// SetDemand replaces the demand of an instance.
func (p *Planner) SetDemand(now time.Time, from string, models []picker.Demand) {
	ofService := models[:0:0]
	for _, d := range models {
		if d.Service != p.service {
			continue
		}
		ofService = append(ofService, d)
		if d.Arrived > 0 {
			p.rate(d.Model).add(now, d.Arrived)
		}
		if d.Arrived+d.InFlight+d.Queued > 0 {
			p.rate(d.Model).lastUsed = now
		}
	}
	p.demands[from] = &demand{at: now, models: ofService}
}

// ReportDone applies a target's report, or the error of requesting it.
func (p *Planner) ReportDone(now time.Time, id string, r fleet.Report, err error) {
	w := p.workers[id]
	if w == nil {
		return
	}
	w.reportInFlight = false
	switch {
	case err != nil:
		w.backoffUntil = now.Add(errorBackoff)
		w.invalidate(w.backoffUntil)
		return
	case r.Born != w.Born, r.ID != "" && r.ID != w.ID:
		// Another incarnation has replied; the list will contain it later.
		w.invalidate(now.Add(errorBackoff))
		return
	}
	p.noteResponse(now, w)
	switch {
	case now.Before(p.orderTime(now, w)):
		w.requestReport(p.orderTime(now, w))
		return
	case r.Orders < w.acceptedOrders:
		w.requestReport(now.Add(busyPollInterval / 2))
		return
	case r.Busy:
		w.acceptedOrders = r.Orders
		if w.job == nil {
			w.noteForeignOrder(now)
		}
		w.requestReport(w.nextReportTime(now))
		return
	}
	p.applyReport(now, w, r)
}

// noteResponse records that a target has responded to this planner.
func (p *Planner) noteResponse(now time.Time, w *targetState) {
	if !p.HasResponded(w.Identity) {
		p.respondedAt[w.Identity] = now
	}
}

// HasResponded reports whether an incarnation of a target has responded to this planner, so that
// it has no order of a former holder unread.
func (p *Planner) HasResponded(id fleet.Identity) bool { return !p.respondedAt[id].IsZero() }

// HasWaited reports whether an incarnation of a target has responded to this planner, and the
// handover has passed since.
func (p *Planner) HasWaited(now time.Time, id fleet.Identity) bool {
	return p.HasResponded(id) && !now.Before(p.respondedAt[id].Add(p.handover))
}

// orderTime returns when orders to a target that has responded may begin. No order of a former
// holder is unread there any more.
func (p *Planner) orderTime(now time.Time, w *targetState) time.Time {
	if !w.awaitsHandover {
		return now
	}
	return p.respondedAt[w.Identity].Add(p.handover)
}

// RespondedAt returns when a target first responded for whose orders a handover counts from
// then; it is zero if the target has not responded or needs no wait.
func (p *Planner) RespondedAt(id string) time.Time {
	w := p.workers[id]
	if w == nil || !w.awaitsHandover {
		return time.Time{}
	}
	return p.respondedAt[w.Identity]
}

// applyReport applies the report of a target that is carrying out no order.
func (p *Planner) applyReport(now time.Time, w *targetState, r fleet.Report) {
	w.Holding = r.Holding
	w.addPending(r.Pending)
	if len(r.Pending) > 0 {
		// A load of an adapter that is under way may still fail.
		w.requestReport(now.Add(busyPollInterval))
	}
	w.acceptedOrders = r.Orders
	w.isCertain = true
	w.clearForeignOrder()
	if w.job != nil {
		p.advanceJob(now, w)
	}
	p.markChanged(w)
}

// advanceJob advances a job whose latest order has been carried out.
func (p *Planner) advanceJob(now time.Time, w *targetState) {
	j := w.job
	if w.Find(j.model) != nil {
		if j.tier == TierStore {
			p.observeStoreLoad(now, j, true)
		}
		w.loadedAt[j.model] = now
		w.job = nil
		return
	}
	if j.isLoading {
		// The load has ended without loading the model.
		w.job = nil
		return
	}
	j.unloading = ""
}

// Serving returns the models that a target can serve requests for.
func (p *Planner) Serving(id string) []fleet.Loaded {
	w := p.workers[id]
	if w == nil {
		return nil
	}
	return w.serving()
}

// TakeChanged returns the targets whose served models may have changed since the previous
// call.
func (p *Planner) TakeChanged() []string {
	out := p.changedTargets
	p.changedTargets = nil
	return out
}

func (p *Planner) markChanged(w *targetState) {
	p.changedTargets = append(p.changedTargets, w.ID)
}

// loadTime returns the configured duration of loading a model from a tier.
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
