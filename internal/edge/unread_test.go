package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestStopTellsOfUnreadOrders stops a holder while a target may have orders unread. It guards
// against a successor that orders without a response of the target, which then reads both.
func TestStopTellsOfUnreadOrders(t *testing.T) {
	const handover = 3 * time.Second
	standing := fleet.Target{Identity: fleet.Identity{ID: "e1", Born: 1}, Service: "llm"}
	config := &fleet.Config{Version: 2, Services: map[string]fleet.Service{"llm": {Engine: &fleet.Engine{}}}}
	for _, c := range []struct {
		name  string
		begin func(k *coordinator)
	}{
		{"an order of this holder, and the entry has left the store", func(k *coordinator) {
			k.setHolder(true)
			k.mu.Lock()
			k.unread[standing.Identity] = k.clock.Now()
			k.mu.Unlock()
			k.removeTarget(standing.ID)
		}},
		{"orders of the holder before, without a response in this term", func(k *coordinator) {
			now := k.clock.Now()
			k.setStatus(elect.Status{
				IsHolder: true, Token: 5, SettledAt: now.Add(-handover), Handover: handover,
				OrderFrom: now, OrderUntil: now.Add(time.Second),
			})
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := newTestCoordinator(t)
			k.setConfig(config, rev(2))
			k.setTarget(standing)
			c.begin(k)
			if diff := cmp.Diff(true, k.stopOrders()); diff != "" {
				t.Errorf("unread orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestTargetsReadIsToldOnce has a new holder hear from its only target. It guards against a record
// that keeps naming unread orders, and against one that no longer names them too early.
func TestTargetsReadIsToldOnce(t *testing.T) {
	const handover = 3 * time.Second
	target := fleet.Target{Identity: fleet.Identity{ID: "e1", Born: 1}, Service: "llm"}
	k := newTestCoordinator(t)
	k.setConfig(&fleet.Config{Version: 2, Services: map[string]fleet.Service{"llm": {Engine: &fleet.Engine{}}}}, rev(2))
	k.setTarget(target)
	now := k.clock.Now()
	k.setStatus(elect.Status{IsHolder: true, TermNumber: 7, SettledAt: now, Handover: handover, OrderFrom: now.Add(handover)})
	k.setHasFullList(true)
	var got []uint64
	take := func() {
		term, _ := k.takeTargetsRead()
		got = append(got, term)
	}
	take()
	for _, at := range []time.Duration{-handover + time.Second, -handover} {
		k.mu.Lock()
		k.planners["llm"] = sched.NewPlanner("llm", &fleet.Engine{}, time.Second, nil)
		k.setHandover(k.planners["llm"])
		k.planners["llm"].SetTarget(now.Add(at), target)
		k.planners["llm"].ReportDone(now.Add(at), target.ID, fleet.Report{Identity: target.Identity}, nil)
		k.mu.Unlock()
		take()
	}
	take()
	if diff := cmp.Diff([]uint64{0, 0, 7, 0}, got); diff != "" {
		t.Errorf("terms told before a response, within the handover, after it and again (-want +got):\n%s", diff)
	}
}
