package swap

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/seat"
)

// grown returns a planner of 90 targets and 530 models with the demand of 87
// instances, a tenth of which wait.
func grown() *rig {
	var targets [][]string
	for i := range 90 {
		targets = append(targets, []string{
			fmt.Sprintf("m%d", 3*i), fmt.Sprintf("m%d", 3*i+1), fmt.Sprintf("m%d", 3*i+2),
		})
	}
	r := newRig(testEngine(530), targets...)
	r.run(time.Second)
	for i := range 87 {
		var demand []seat.Demand
		for j := range 8 {
			d := seat.Demand{Service: "llm", Model: fmt.Sprintf("m%d", (i*17+j*31)%530), Flying: 1}
			if j == 0 {
				d = wait(d.Model)
			}
			demand = append(demand, d)
		}
		r.Demand(r.now, fmt.Sprintf("entry%d", i), demand)
	}
	return r
}

// BenchmarkPlan measures one plan of a grown deployment.
func BenchmarkPlan(b *testing.B) {
	r := grown()
	for b.Loop() {
		r.Plan(r.now)
	}
}
