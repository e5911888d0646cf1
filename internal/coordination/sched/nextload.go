package sched

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// A load follows its unload without waiting for a report, since reports lag behind. A
// target refuses an order while it carries out another one, so its reply shows whether
// the unload has finished.
const (
	// earlyLoadDelay is the time from the acceptance of an unload to the first attempt at
	// its load.
	earlyLoadDelay = 50 * time.Millisecond
	// earlyLoadInterval is the interval between the attempts.
	earlyLoadInterval = 50 * time.Millisecond
	// maxEarlyLoads is the number of attempts before the planner waits for a report.
	maxEarlyLoads = 3
	// loadPollInterval is the interval between report requests to a target whose load
	// should have finished.
	loadPollInterval = 60 * time.Millisecond
)

// NextLoad returns the load that a target's job needs next, if it can be sent without a new
// plan: once a report has confirmed the unload, and before that at the times that
// NextLoadTime returns.
func (p *Planner) NextLoad(now time.Time, id string) (Action, bool) {
	w := p.workers[id]
	if w == nil || w.job == nil || w.job.isLoading || w.orderInFlight || w.Draining || now.Before(w.backoffUntil) {
		return Action{}, false
	}
	j := w.job
	if !p.isSafeWithLost(now, w, p.engine.Models[j.model].SizeMB-w.sizeOf(p.engine, j.unloading)) {
		return Action{}, false
	}
	switch {
	case j.unloading == "" && w.isCertain && w.fits(p.engine, j.model):
	case j.unloading != "" && j.earlyLoads < maxEarlyLoads && !now.Before(j.nextEarlyLoad()) && w.fitsWithout(p.engine, j.model, j.unloading):
		j.earlyLoads++
	default:
		return Action{}, false
	}
	if !p.admitStoreLoad(now, j) {
		return Action{}, false
	}
	return p.newOrder(w, Action{Operation: Load, Model: j.model, Tier: j.tier, Reason: j.reason}), true
}

// NextLoadTime returns when NextLoad should be called next. It returns false if there is
// nothing to do before the next report or plan.
func (p *Planner) NextLoadTime(id string) (time.Time, bool) {
	w := p.workers[id]
	if w == nil || w.job == nil || w.orderInFlight || w.job.isLoading || w.job.unloading == "" || w.job.earlyLoads >= maxEarlyLoads {
		return time.Time{}, false
	}
	return w.job.nextEarlyLoad(), true
}

// nextEarlyLoad returns when to attempt a load next whose unload no report has confirmed.
func (j *job) nextEarlyLoad() time.Time {
	return j.unloadAcceptedAt.Add(earlyLoadDelay + time.Duration(j.earlyLoads)*earlyLoadInterval)
}

// isEarlyLoad reports whether an order is a load whose unload no report has confirmed.
func (w *targetState) isEarlyLoad(a *Action) bool {
	return w.job != nil && !w.job.isLoading && w.job.unloading != "" && a.Operation == Load && a.Adapter == ""
}

// fitsWithout reports whether a model fits into the target's memory once another one has
// been unloaded.
func (w *targetState) fitsWithout(e *fleet.Engine, model, unloading string) bool {
	l := w.Find(unloading)
	if l == nil {
		return w.fits(e, model)
	}
	return w.usedMB(e)-sizeMB(e, l)+e.Models[model].SizeMB <= e.MemoryMB
}

// removeUnloaded removes the model that the target's job has unloaded.
func (w *targetState) removeUnloaded() {
	unloaded := w.job.unloading
	w.job.unloading = ""
	w.Models = slices.DeleteFunc(slices.Clone(w.Models), func(l fleet.Loaded) bool { return l.Model == unloaded })
}
