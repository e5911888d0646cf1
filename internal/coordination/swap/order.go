package swap

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Operation is what an order wants done.
type Operation uint8

// The operations.
const (
	Load Operation = iota
	Unload
)

// String returns the operation in the words of the logs.
func (o Operation) String() string {
	return [...]string{"load", "unload"}[o]
}

// Action is an order or, without a model, a question for a report.
type Action struct {
	To        fleet.Target
	Operation Operation
	Model     string
	Adapter   string
	// Expected is the number of orders that the target must have accepted.
	Expected int64
	// Reason tells why, for the logs.
	Reason string
	Tier   Tier
}

// IsReport tells that the action only asks for a report.
func (a *Action) IsReport() bool { return a.Model == "" }

// Result is how an order ended.
type Result uint8

// The ends of orders.
const (
	// Taken means that the order is being carried out.
	Taken Result = iota
	// Held means that what was ordered holds already.
	Held
	// Refused means that the target does not carry out the order.
	Refused
	// Lost means that the order may be carried out, now or later.
	Lost
)

// Ordered takes the end of an order.
func (p *Planner) Ordered(now time.Time, a Action, result Result) {
	w := p.workers[a.To.ID]
	if w == nil || w.Born != a.To.Born {
		return
	}
	w.ordering = false
	switch result {
	case Taken:
		w.orders++
		w.changedAt = now
		p.taken(now, w, a)
	case Held:
		if a.Adapter != "" && a.Operation == Unload {
			// An adapter without requests goes at once, and the order counts.
			w.orders++
			w.removeAdapter(a.Model, a.Adapter)
			break
		}
		w.unsure(now)
	case Refused:
		p.refused(now, w, &a)
	case Lost:
		w.job = nil
		w.quietUntil = now.Add(quietTime)
		w.unsure(w.quietUntil)
	}
	p.changed(w)
}

func (p *Planner) refused(now time.Time, w *worker, a *Action) {
	if w.isEarly(a) {
		return
	}
	w.job = nil
	w.unsure(now)
}

func (p *Planner) taken(now time.Time, w *worker, a Action) {
	switch {
	case a.Adapter != "" && a.Operation == Load:
		w.addAdapter(a.Model, a.Adapter)
	case a.Adapter != "":
		w.removeAdapter(a.Model, a.Adapter)
	case a.Operation == Load:
		w.certain = false
		if w.job != nil {
			w.removeLeaving()
			w.job.loading = true
			w.job.began = now
			w.job.due = now.Add(p.loadTime(a.Model, w.job.tier))
			w.probeAt = w.job.due.Add(reportLag)
		}
	default:
		w.certain = false
		if w.job != nil {
			w.job.unloadedAt = now
		}
		w.ask(now.Add(unloadLag))
	}
}
