package edge

import (
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/platform"
)

// sendDueOrders sends the orders and report requests that are due according to the
// planners.
func (k *coordinator) sendDueOrders() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if !k.status.CanOrder(now) {
		return
	}
	for _, p := range k.planners {
		for _, a := range p.Plan(now) {
			if a.IsReportRequest() {
				go k.requestReport(p, a)
			} else {
				go k.sendOrder(p, a, k.status.Token)
			}
		}
	}
}

func (k *coordinator) requestReport(p *sched.Planner, a sched.Action) {
	r, err := k.engines.Report(k.ctx, a.To.Addr)
	if err != nil {
		k.log.Info().Str("target", a.To.ID).Err(err).Msg("report request failed")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	p.ReportDone(k.clock.Now(), a.To.ID, r, err)
	k.continueJob(p, a.To.ID)
}

// continueJob continues a target's job, now or when its load should have finished.
func (k *coordinator) continueJob(p *sched.Planner, id string) {
	now := k.clock.Now()
	if !k.status.CanOrder(now) || !k.isCurrentPlanner(p) {
		return
	}
	if a, ok := p.NextLoad(now, id); ok {
		go k.sendOrder(p, a, k.status.Token)
		return
	}
	if at, ok := p.NextLoadTime(id); ok && now.Before(at) {
		k.clock.After(at.Sub(now), func() {
			k.mu.Lock()
			defer k.mu.Unlock()
			k.continueJob(p, id)
		})
	}
}

// isCurrentPlanner reports whether a planner belongs to the present term.
func (k *coordinator) isCurrentPlanner(p *sched.Planner) bool {
	for _, have := range k.planners {
		if have == p {
			return true
		}
	}
	return false
}

func (k *coordinator) sendOrder(p *sched.Planner, a sched.Action, token uint64) {
	began := k.clock.Now()
	var check orderCheck
	result, err := k.engines.Order(k.ctx, a.To.Addr, a.To.ID, platform.Order{
		Operation: toOperation(a.Operation), Model: a.Model, Adapter: a.Adapter,
		Expected: a.Expected, Holder: k.self, Token: token,
	}, func() error {
		check = k.checkOrder(token)
		return check.err()
	})
	k.orderEnded(a, token, began, check, result, err)
	k.mu.Lock()
	defer k.mu.Unlock()
	if check.result == checkPassed {
		k.termOrders.inFlight--
	}
	p.OrderDone(k.clock.Now(), a, toResult(result))
	k.continueJob(p, a.To.ID)
}

func toOperation(o sched.Operation) platform.Operation {
	if o == sched.Unload {
		return platform.OperationUnload
	}
	return platform.OperationLoad
}

func toResult(r platform.OrderResult) sched.Result {
	switch r {
	case platform.OrderTaken:
		return sched.Accepted
	case platform.OrderHeld:
		return sched.AlreadyDone
	case platform.OrderConflict, platform.OrderRefused, platform.OrderUnsent:
		return sched.Rejected
	case platform.OrderUnknown:
	}
	return sched.Lost
}
