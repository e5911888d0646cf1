package swap

import (
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Tier is the place of the nearest copy of a model's weights.
type Tier uint8

// The tiers, fastest first.
const (
	TierMemory Tier = iota
	TierDisk
	TierStore
)

// String returns the tier in the words of the logs.
func (t Tier) String() string {
	return [...]string{"memory", "disk", "store"}[t]
}

// worker is one target as the planner sees it.
type worker struct {
	fleet.Target
	// orders counts the orders that the target has accepted, as far as is known.
	orders int64
	// certain tells that the holding is known as of that count and that no order is
	// being carried out.
	certain bool
	// changedAt is when the holding was last changed by an order.
	changedAt time.Time
	// ordering tells that an order is on its way, probing that a question is.
	ordering bool
	probing  bool
	// probeAt is when to ask for a report, zero for not at all.
	probeAt time.Time
	job     *job
	// quietUntil keeps orders from a target that did not answer.
	quietUntil time.Time
	loadedAt   map[string]time.Time
	outlook    outlook
}

// job is an exchange under way: the models that go, then the one that comes.
type job struct {
	model string
	tier  Tier
	// reason tells why the model is loaded.
	reason string
	// leaving is the model being unloaded, empty while none is.
	leaving string
	// loading tells that the load was accepted.
	loading bool
	// unloadedAt is when the unload was accepted, early how often the load was tried
	// before the unload was reported.
	unloadedAt time.Time
	early      int
	began      time.Time
	// due is when the model is expected to serve.
	due time.Time
}

func (w *worker) tier(model string) Tier {
	switch {
	case slices.Contains(w.InMemory, model):
		return TierMemory
	case slices.Contains(w.OnDisk, model):
		return TierDisk
	}
	return TierStore
}

// used returns the memory taken by models and adapters.
func (w *worker) used(e *fleet.Engine) float64 {
	sum := 0.0
	for i := range w.Models {
		sum += sizeOf(e, &w.Models[i])
	}
	return sum
}

// sizeOf returns the memory taken by a loaded model and its adapters.
func sizeOf(e *fleet.Engine, l *fleet.Loaded) float64 {
	m := e.Models[l.Model]
	return m.SizeMB + float64(len(l.Adapters))*m.AdapterMB
}

func (w *worker) adapters() int {
	n := 0
	for _, l := range w.Models {
		n += len(l.Adapters)
	}
	return n
}

// fits tells whether a model can be loaded beside what is there.
func (w *worker) fits(e *fleet.Engine, model string) bool {
	return w.used(e)+e.Models[model].SizeMB <= e.MemoryMB
}

// idle tells whether the target can take an order now.
func (w *worker) idle(now time.Time) bool {
	return w.certain && !w.ordering && !w.Draining && !now.Before(w.quietUntil)
}

// serving returns the models that requests may be sent to.
func (w *worker) serving() []fleet.Loaded {
	out := make([]fleet.Loaded, 0, len(w.Models))
	for _, l := range w.Models {
		if w.job != nil && l.Model == w.job.leaving {
			continue
		}
		out = append(out, fleet.Loaded{Model: l.Model, Adapters: slices.Clone(l.Adapters)})
	}
	return out
}

// ask makes a question due, unless an earlier one is.
func (w *worker) ask(at time.Time) {
	if w.probeAt.IsZero() || at.Before(w.probeAt) {
		w.probeAt = at
	}
}

// askAgain is when to ask a busy target again: often once its load should be over.
func (w *worker) askAgain(now time.Time) time.Time {
	if w.job == nil || !w.job.loading || w.job.tier == TierStore {
		return now.Add(busyAgain)
	}
	return timer.Later(now.Add(loadedAgain), w.job.due.Add(reportLag))
}

// unsure makes the planner ask before it orders again.
func (w *worker) unsure(at time.Time) {
	w.certain = false
	w.ask(at)
}

func (w *worker) removeAdapter(model, adapter string) {
	if l := w.Find(model); l != nil {
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(a string) bool { return a == adapter })
	}
}

func (w *worker) addAdapter(model, adapter string) {
	if l := w.Find(model); l != nil && !slices.Contains(l.Adapters, adapter) {
		l.Adapters = append(slices.Clone(l.Adapters), adapter)
	}
}
