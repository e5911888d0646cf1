package edge

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
)

// sendDueOrders sends the orders and report requests that are due according to the
// planners. While this instance waits for the orders of a former holder to settle, it only
// requests reports.
func (k *coordinator) sendDueOrders() {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	for _, p := range k.planners {
		switch {
		case k.mayOrder(now):
			for _, a := range p.Plan(now) {
				k.carryOut(p, a)
			}
		case k.status.IsSettled(now):
			for _, a := range p.PlanReports(now) {
				k.carryOut(p, a)
			}
		}
	}
}

// carryOut begins to request a report or to send an order.
func (k *coordinator) carryOut(p *sched.Planner, a sched.Action) {
	if a.IsReportRequest() {
		go k.requestReport(p, a)
		return
	}
	k.ordersInFlight.Add(1)
	go k.sendOrder(p, a, k.status.Token)
}

// mayOrder reports whether orders may be sent now.
func (k *coordinator) mayOrder(now time.Time) bool {
	return !k.hasStoppedOrders && k.status.CanOrder(now)
}

// stopOrders makes this instance send no more orders, and waits until none of them is on its
// way any more. It reports whether a target may not have read all of them.
func (k *coordinator) stopOrders() (hasUnread bool) {
	k.mu.Lock()
	k.hasStoppedOrders = true
	stop := k.newOrderStop()
	k.mu.Unlock()
	k.ordersInFlight.Wait()
	k.mu.Lock()
	defer k.mu.Unlock()
	stop.unread = k.countUnread()
	k.logStop(stop)
	return stop.unread > 0
}

// awaitFormerProcess lets the orders of a former process on this machine, which may have been
// killed, count as on their way until the last of them has arrived.
func (k *coordinator) awaitFormerProcess() {
	k.ordersInFlight.Add(1)
	k.clock.After(platform.OrderTimeout, k.ordersInFlight.Done)
}

// unreadTTL is how long after its entry has left the store a target counts that may not have read
// all orders. It may be alive, and come back.
const unreadTTL = time.Minute

// countUnread returns the number of targets that may not have read all orders, of this holder or
// of one before it.
func (k *coordinator) countUnread() int {
	n := 0
	for _, r := range k.targets {
		if k.mayHoldUnread(r) {
			n++
		}
	}
	for id, at := range k.unread {
		_, isListed := k.targets[id.ID]
		if !isListed && k.clock.Now().Sub(at) < unreadTTL {
			n++
		}
	}
	return n
}

// mayHoldUnread reports whether a listed target may not have read all orders: it has not responded
// since one was given up, or not in this term.
func (k *coordinator) mayHoldUnread(r fleet.Target) bool {
	_, isUnread := k.unread[r.Identity]
	p := k.planners[r.Service]
	return isUnread || p != nil && !p.HasResponded(r.Identity)
}

// takeTargetsRead reports, once in a term, that the handover has passed since each target has
// responded to this holder.
func (k *coordinator) takeTargetsRead() (termNumber uint64, isRead bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.status.Handover == 0 || k.hasToldRead || !k.hasFullList || k.config == nil || k.awaitsTarget() {
		return 0, false
	}
	k.hasToldRead = true
	return k.status.TermNumber, true
}

// awaitsTarget reports whether a target may have read orders of a former holder within the
// handover, or not yet.
func (k *coordinator) awaitsTarget() bool {
	now := k.clock.Now()
	for _, r := range k.targets {
		if p := k.planners[r.Service]; p != nil && !p.HasWaited(now, r.Identity) {
			return true
		}
	}
	return false
}

// noteRemoved keeps a target that may hold unread orders for unreadTTL after its removal.
func (k *coordinator) noteRemoved(r fleet.Target) {
	now := k.clock.Now()
	for id, at := range k.unread {
		if _, isListed := k.targets[id.ID]; !isListed && now.Sub(at) >= unreadTTL {
			delete(k.unread, id)
		}
	}
	if k.mayHoldUnread(r) {
		k.unread[r.Identity] = now
	}
}

func (k *coordinator) requestReport(p *sched.Planner, a sched.Action) {
	began := k.clock.Now()
	r, err := k.engines.Report(k.ctx, a.To.Addr)
	if err != nil {
		k.log.Info().Str("target", a.To.ID).Err(err).Msg("report request failed")
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if err == nil && began.After(k.unread[a.To.Identity]) {
		delete(k.unread, a.To.Identity)
	}
	wasAwaited := p.RespondedAt(a.To.ID).IsZero()
	p.ReportDone(k.clock.Now(), a.To.ID, r, err)
	if at := p.RespondedAt(a.To.ID); wasAwaited && !at.IsZero() {
		k.logLateTarget(a.To.ID, at)
	}
	k.continueJob(p, a.To.ID)
}

// continueJob continues a target's job, now or when its load should have finished.
func (k *coordinator) continueJob(p *sched.Planner, id string) {
	now := k.clock.Now()
	if !k.mayOrder(now) || !k.isCurrentPlanner(p) {
		return
	}
	if a, ok := p.NextLoad(now, id); ok {
		k.carryOut(p, a)
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
	defer k.settleOrder(result, check)
	k.mu.Lock()
	defer k.mu.Unlock()
	if check.result == checkPassed {
		k.termOrders.inFlight--
	}
	if result == platform.OrderUnknown {
		k.unread[a.To.Identity] = k.clock.Now()
	}
	p.OrderDone(k.clock.Now(), a, toResult(result))
	k.continueJob(p, a.To.ID)
}

// settleOrder ends the time in which an order counts as on its way: with its response, and
// without one when it has been on its way for as long as it can be.
func (k *coordinator) settleOrder(result platform.OrderResult, c orderCheck) {
	rest := c.at.Add(platform.OrderTimeout).Sub(k.clock.Now())
	if result == platform.OrderUnknown && rest > 0 {
		k.clock.After(rest, k.ordersInFlight.Done)
		return
	}
	k.ordersInFlight.Done()
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
