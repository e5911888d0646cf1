package swap

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// A load follows its unload without waiting for a report, which lags: a target refuses
// an order while it carries out another, so its answer tells whether it has finished.
const (
	// earlyAfter is when after an unload was accepted the load is tried for the first
	// time, earlyAgain the time between tries, of which there are earlyMost.
	earlyAfter = 50 * time.Millisecond
	earlyAgain = 50 * time.Millisecond
	earlyMost  = 3
	// loadedAgain is the time between questions to a target whose load should be over.
	loadedAgain = 60 * time.Millisecond
)

// Follow returns the load that a target's job needs next, if that is known without a
// new plan: once its unload was reported, and at times that FollowAt tells before.
func (p *Planner) Follow(now time.Time, id string) (Action, bool) {
	w := p.workers[id]
	if w == nil || w.job == nil || w.job.loading || w.ordering || w.Draining || now.Before(w.quietUntil) {
		return Action{}, false
	}
	j := w.job
	switch {
	case j.leaving == "" && w.certain && w.fits(p.engine, j.model):
	case j.leaving != "" && j.early < earlyMost && !now.Before(j.earlyAt()) && w.fitsWithout(p.engine, j.model, j.leaving):
		j.early++
	default:
		return Action{}, false
	}
	if !p.admitStoreLoad(now, j) {
		return Action{}, false
	}
	return p.send(w, Action{Operation: Load, Model: j.model, Tier: j.tier, Reason: j.reason}), true
}

// FollowAt returns when Follow may have something to return, false if a report or a
// plan comes first.
func (p *Planner) FollowAt(id string) (time.Time, bool) {
	w := p.workers[id]
	if w == nil || w.job == nil || w.ordering || w.job.loading || w.job.leaving == "" || w.job.early >= earlyMost {
		return time.Time{}, false
	}
	return w.job.earlyAt(), true
}

// earlyAt is when a load is tried next whose unload was not reported yet.
func (j *job) earlyAt() time.Time {
	return j.unloadedAt.Add(earlyAfter + time.Duration(j.early)*earlyAgain)
}

// isEarly tells whether an order is a load whose unload was not reported yet.
func (w *worker) isEarly(a *Action) bool {
	return w.job != nil && !w.job.loading && w.job.leaving != "" && a.Operation == Load && a.Adapter == ""
}

// fitsWithout tells whether a model can be loaded once another is gone.
func (w *worker) fitsWithout(e *fleet.Engine, model, leaving string) bool {
	l := w.Find(leaving)
	if l == nil {
		return w.fits(e, model)
	}
	return w.used(e)-sizeOf(e, l)+e.Models[model].SizeMB <= e.MemoryMB
}

// removeLeaving takes the model out that a job has unloaded.
func (w *worker) removeLeaving() {
	gone := w.job.leaving
	w.job.leaving = ""
	w.Models = slices.DeleteFunc(slices.Clone(w.Models), func(l fleet.Loaded) bool { return l.Model == gone })
}
