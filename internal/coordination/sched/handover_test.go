package sched

import (
	"errors"
	"slices"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestOrdersFollowTheFirstResponse has a target respond late to a new holder. It guards against
// an order to a target that stood still, which reads one of the former holder at the same time.
func TestOrdersFollowTheFirstResponse(t *testing.T) {
	const handover, silence = 3 * time.Second, 2 * time.Second
	r := newFixture(testEngine(4), []string{"m0"}, []string{"m1"})
	began := r.now
	r.Planner = NewPlanner("llm", r.engine, 5*time.Second, r.random)
	r.SetHandover(handover, began.Add(2*handover), began.Add(2*handover))
	for _, w := range r.targets {
		r.SetTarget(r.now, w.describe())
	}
	firstAt := make(map[string]time.Time)
	for ; r.now.Before(began.Add(silence + 2*handover)); r.now = r.now.Add(planStep) {
		r.completeDue()
		for _, w := range r.targets {
			w.recordReport(r.now)
		}
		r.SetDemand(r.now, "entry", []picker.Demand{{Service: "llm", Model: "m2", Queued: 1}, {Service: "llm", Model: "m3", Queued: 1}})
		actions := r.PlanReports(r.now)
		if !r.now.Before(began.Add(handover)) {
			actions = append(actions, r.Plan(r.now)...)
		}
		for _, a := range actions {
			if a.IsReportRequest() && a.To.ID == "r1" && r.now.Before(began.Add(silence)) {
				r.ReportDone(r.now, a.To.ID, fleet.Report{}, errors.New("no response"))
				continue
			}
			if _, hasOrder := firstAt[a.To.ID]; !a.IsReportRequest() && !hasOrder {
				firstAt[a.To.ID] = r.now
			}
			r.execute(a)
		}
	}
	for id, from := range map[string]time.Time{"r0": began, "r1": began.Add(silence)} {
		at, hasOrder := firstAt[id]
		if wait := at.Sub(from); !hasOrder || wait < handover || wait > handover+time.Second {
			t.Errorf("%s: first order %v after its first response, want %v to %v", id, wait, handover, handover+time.Second)
		}
	}
	if !slices.IsSortedFunc([]time.Time{firstAt["r0"], firstAt["r1"]}, time.Time.Compare) {
		t.Error("the target that responded at once had to wait for the other one")
	}
}
