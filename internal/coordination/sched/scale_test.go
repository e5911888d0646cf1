package sched

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// largeFixture returns a planner with 90 targets, 530 models and the demand of 87
// instances. Each instance has one queued request and seven requests in flight.
func largeFixture() *fixture {
	var targets [][]string
	for i := range 90 {
		targets = append(targets, []string{
			fmt.Sprintf("m%d", 3*i), fmt.Sprintf("m%d", 3*i+1), fmt.Sprintf("m%d", 3*i+2),
		})
	}
	r := newFixture(testEngine(530), targets...)
	r.run(time.Second)
	for i := range 87 {
		var demand []picker.Demand
		for j := range 8 {
			d := picker.Demand{Service: "llm", Model: fmt.Sprintf("m%d", (i*17+j*31)%530), InFlight: 1}
			if j == 0 {
				d = queuedDemand(d.Model)
			}
			demand = append(demand, d)
		}
		r.SetDemand(r.now, fmt.Sprintf("entry%d", i), demand)
	}
	return r
}

// BenchmarkPlan measures one plan of a large deployment.
func BenchmarkPlan(b *testing.B) {
	r := largeFixture()
	for b.Loop() {
		r.Plan(r.now)
	}
}
