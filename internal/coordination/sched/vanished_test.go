package sched

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// TestOrdersFollowTheResponseOfAReturnedTarget has a target stand still for so long that its entry
// leaves the store, and come back after the handover. It guards against an order to a target
// that reads one of the former holder at the same time, as TestOrdersFollowTheFirstResponse does.
func TestOrdersFollowTheResponseOfAReturnedTarget(t *testing.T) {
	const handover = 3 * time.Second
	for _, c := range []struct {
		name string
		// vanishedAt and returnedAt count from when the former holder's orders have settled.
		vanishedAt, returnedAt time.Duration
	}{
		{"gone before the term", 0, 9 * time.Second},
		{"gone while orders wait", time.Second, 9 * time.Second},
		{"gone and back while orders wait", time.Second, 2 * time.Second},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(testEngine(4), []string{"m0"})
			began, target := r.now, r.targets["r0"]
			r.Planner = NewPlanner("llm", r.engine, 5*time.Second, r.random)
			r.SetHandover(handover, began.Add(2*handover), began.Add(2*handover))
			if c.vanishedAt > 0 {
				r.SetTarget(r.now, target.describe())
			}
			var firstAt time.Time
			for ; firstAt.IsZero() && r.now.Before(began.Add(c.returnedAt+3*handover)); r.now = r.now.Add(planStep) {
				switch r.now.Sub(began) {
				case c.vanishedAt:
					r.Remove(target.ID)
				case c.returnedAt:
					r.SetTarget(r.now, target.describe())
				}
				r.completeDue()
				target.recordReport(r.now)
				r.SetDemand(r.now, "entry", []picker.Demand{{Service: "llm", Model: "m2", Queued: 1}})
				actions := r.PlanReports(r.now)
				if !r.now.Before(began.Add(handover)) {
					actions = append(actions, r.Plan(r.now)...)
				}
				for _, a := range actions {
					switch {
					case a.IsReportRequest() && r.now.Before(began.Add(c.returnedAt)):
						// It stands still.
					case a.IsReportRequest():
						r.execute(a)
					default:
						firstAt = r.now
					}
				}
			}
			if wait := firstAt.Sub(began.Add(c.returnedAt)); wait < handover || wait > handover+time.Second {
				t.Errorf("first order %v after the target's return, want %v to %v", wait, handover, handover+time.Second)
			}
		})
	}
}
