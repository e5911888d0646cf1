package sched

import (
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Tier is the storage tier that a model's weights are loaded from.
type Tier uint8

// The tiers, from fastest to slowest.
const (
	TierMemory Tier = iota
	TierDisk
	TierStore
)

// String returns the tier's name in logs.
func (t Tier) String() string {
	return [...]string{"memory", "disk", "store"}[t]
}

// targetState holds the planner's knowledge of one target.
type targetState struct {
	fleet.Target
	// acceptedOrders is the number of orders that the target is known to have accepted.
	acceptedOrders int64
	// isCertain means that the target's models are known as of acceptedOrders and that it
	// is carrying out no order.
	isCertain bool
	// awaitsHandover means that the target may have unread orders of a former holder until
	// it first responds.
	awaitsHandover bool
	// lastOrderAt is when the target last accepted an order.
	lastOrderAt time.Time
	// isLimited means that the target has named a rate limit.
	isLimited bool
	// orderInFlight means that an order has been sent and not yet answered;
	// reportInFlight means the same for a report request.
	orderInFlight  bool
	reportInFlight bool
	// busySince is when the target was first reported to carry out an order that this
	// planner has not given, zero if it carries out none. isForeignLoad means that it has
	// done so for too long for anything but a load from the weight store.
	busySince     time.Time
	isForeignLoad bool
	// reportAt is when to request a report next, zero if none is due.
	reportAt time.Time
	job      *job
	// strayAdapters is the number of adapters on their way to models that the latest report
	// did not list. They count towards the adapter slots.
	strayAdapters int
	// backoffUntil is the time until which the target gets no orders because it did not
	// reply.
	backoffUntil    time.Time
	loadedAt        map[string]time.Time
	evictionOptions evictionOptions
}

// noteForeignOrder records that the target carries out an order of a former holder.
func (w *targetState) noteForeignOrder(now time.Time) {
	if w.busySince.IsZero() {
		w.busySince = now
	}
	w.isForeignLoad = now.Sub(w.busySince) > minForeignLoad
}

// clearForeignOrder records that the target carries out no such order.
func (w *targetState) clearForeignOrder() {
	w.busySince, w.isForeignLoad = time.Time{}, false
}

// job replaces models at a target: it unloads models until the new one fits, then loads
// that one.
type job struct {
	model string
	tier  Tier
	// reason is logged with the load.
	reason string
	// unloading is the model being unloaded, empty if there is none.
	unloading string
	// isLoading means that the target has accepted the load.
	isLoading bool
	// unloadAcceptedAt is when the target accepted the latest unload; earlyLoads counts
	// the attempts at the load before a report has confirmed that unload.
	unloadAcceptedAt time.Time
	earlyLoads       int
	startedAt        time.Time
	// expectedAt is when the model is expected to be loaded.
	expectedAt time.Time
}

// hasOrLoads reports whether a model is loaded or being loaded at the target.
func (w *targetState) hasOrLoads(model string) bool {
	return w.Find(model) != nil || w.job != nil && w.job.model == model
}

func (w *targetState) tier(model string) Tier {
	switch {
	case slices.Contains(w.InMemory, model):
		return TierMemory
	case slices.Contains(w.OnDisk, model):
		return TierDisk
	}
	return TierStore
}

// usedMB returns the memory used by models and adapters, in MB.
func (w *targetState) usedMB(e *fleet.Engine) float64 {
	sum := 0.0
	for i := range w.Models {
		sum += sizeMB(e, &w.Models[i])
	}
	return sum
}

// sizeMB returns the memory used by a loaded model and its adapters, in MB.
func sizeMB(e *fleet.Engine, l *fleet.Loaded) float64 {
	m := e.Models[l.Model]
	return m.SizeMB + float64(len(l.Adapters))*m.AdapterMB
}

func (w *targetState) adapterCount() int {
	n := w.strayAdapters
	for _, l := range w.Models {
		n += len(l.Adapters)
	}
	return n
}

// fits reports whether a model fits into the target's free memory.
func (w *targetState) fits(e *fleet.Engine, model string) bool {
	return w.usedMB(e)+e.Models[model].SizeMB <= e.MemoryMB
}

// canTakeOrder reports whether the target can be sent an order now.
func (w *targetState) canTakeOrder(now time.Time) bool {
	return w.isCertain && !w.orderInFlight && !w.Draining && !now.Before(w.backoffUntil)
}

// serving returns the models that requests may be sent to.
func (w *targetState) serving() []fleet.Loaded {
	out := make([]fleet.Loaded, 0, len(w.Models))
	for _, l := range w.Models {
		if w.job != nil && l.Model == w.job.unloading {
			continue
		}
		out = append(out, fleet.Loaded{Model: l.Model, Adapters: slices.Clone(l.Adapters)})
	}
	return out
}

// isReportDue reports whether a report is to be requested now.
func (w *targetState) isReportDue(now time.Time) bool {
	return !w.reportAt.IsZero() && !now.Before(w.reportAt) && !w.reportInFlight && !w.orderInFlight
}

// requestReport schedules a report request unless an earlier one is scheduled.
func (w *targetState) requestReport(at time.Time) {
	if w.reportAt.IsZero() || at.Before(w.reportAt) {
		w.reportAt = at
	}
}

// nextReportTime returns when to request a report again from a busy target: at short
// intervals once its load should have finished.
func (w *targetState) nextReportTime(now time.Time) time.Time {
	if w.job == nil || !w.job.isLoading || w.job.tier == TierStore {
		return now.Add(busyPollInterval)
	}
	return timer.Later(now.Add(loadPollInterval), w.job.expectedAt.Add(maxReportAge))
}

// invalidate marks the target's state as unknown, so that the next order waits for a
// report.
func (w *targetState) invalidate(at time.Time) {
	w.isCertain = false
	w.requestReport(at)
}

func (w *targetState) removeAdapter(model, adapter string) {
	if l := w.Find(model); l != nil {
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(a string) bool { return a == adapter })
	}
}

// addPending adds the adapters that a report lists as on their way, as MODEL/NAME. They
// take up a slot and memory already, and are not to be loaded once more.
func (w *targetState) addPending(pending []string) {
	w.strayAdapters = 0
	for _, p := range pending {
		model, adapter, _ := strings.Cut(p, "/")
		if w.Find(model) == nil {
			w.strayAdapters++
			continue
		}
		w.addAdapter(model, adapter)
	}
}

func (w *targetState) addAdapter(model, adapter string) {
	if l := w.Find(model); l != nil && !slices.Contains(l.Adapters, adapter) {
		l.Adapters = append(slices.Clone(l.Adapters), adapter)
	}
}
