package sched

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// Operation is the kind of an order.
type Operation uint8

const (
	// Load loads a model or an adapter.
	Load Operation = iota
	// Unload unloads a model or an adapter.
	Unload
)

// String returns the operation's name in logs.
func (o Operation) String() string {
	return [...]string{"load", "unload"}[o]
}

// Action is an order to a target or, without a model, a request for its report.
type Action struct {
	To        fleet.Target
	Operation Operation
	Model     string
	Adapter   string
	// Expected is the number of orders that the target must have accepted before this
	// one.
	Expected int64
	// Reason is logged with the order.
	Reason string
	Tier   Tier
}

// IsReportRequest reports whether the action only requests a report.
func (a *Action) IsReportRequest() bool { return a.Model == "" }

// Result is the result of sending an order.
type Result uint8

const (
	// Accepted means that the target has accepted the order and is carrying it out.
	Accepted Result = iota
	// AlreadyDone means that the target was already in the ordered state.
	AlreadyDone
	// Rejected means that the target will not carry out the order.
	Rejected
	// Lost means that no reply arrived: the target may carry out the order now, later or
	// never.
	Lost
)

// OrderDone applies the result of an order.
func (p *Planner) OrderDone(now time.Time, a Action, result Result) {
	if result == Lost {
		p.noteLost(now, a)
	}
	w := p.workers[a.To.ID]
	if w == nil || w.Born != a.To.Born {
		return
	}
	w.orderInFlight = false
	switch result {
	case Accepted:
		w.acceptedOrders++
		w.lastOrderAt = now
		p.applyAccepted(now, w, a)
	case AlreadyDone:
		if a.Adapter != "" && a.Operation == Unload {
			// An adapter without requests is unloaded at once, and the target counts the
			// order as accepted.
			w.acceptedOrders++
			w.removeAdapter(a.Model, a.Adapter)
			break
		}
		w.invalidate(now)
	case Rejected:
		p.applyRejected(now, w, &a)
	case Lost:
		w.job = nil
		w.backoffUntil = now.Add(errorBackoff)
		w.invalidate(w.backoffUntil)
	}
	p.markChanged(w)
}

func (p *Planner) applyRejected(now time.Time, w *targetState, a *Action) {
	if w.isEarlyLoad(a) {
		return
	}
	w.job = nil
	w.invalidate(now)
}

func (p *Planner) applyAccepted(now time.Time, w *targetState, a Action) {
	switch {
	case a.Adapter != "" && a.Operation == Load:
		w.addAdapter(a.Model, a.Adapter)
	case a.Adapter != "":
		w.removeAdapter(a.Model, a.Adapter)
	case a.Operation == Load:
		w.isCertain = false
		if w.job != nil {
			w.removeUnloaded()
			w.job.isLoading = true
			w.job.startedAt = now
			w.job.expectedAt = now.Add(p.loadTime(a.Model, w.job.tier))
			w.reportAt = w.job.expectedAt.Add(maxReportAge)
		}
	default:
		w.isCertain = false
		if w.job != nil {
			w.job.unloadAcceptedAt = now
		}
		w.requestReport(now.Add(unloadPollDelay))
	}
}
