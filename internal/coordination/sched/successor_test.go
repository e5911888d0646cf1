package sched

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// ordersGap is the time between the last order of a holder that has stopped as planned and its
// successor's first one.
const ordersGap = 3 * time.Second

// replacePlanner has another holder's Planner go on, which knows of the former one what instances
// are told. It begins ordersGap after the last plan.
func (r *fixture) replacePlanner() {
	loads, lost, at := r.StoreLoads(), r.LostLoads(r.now), r.now
	r.now = r.now.Add(ordersGap)
	r.Planner = NewPlanner("llm", r.engine, r.window, rand.New(rand.NewPCG(2, 2)),
		WithStoreLoads(loads), WithFormerHolder(), WithLostLoads(at, lost))
	r.completeDue()
	for _, p := range r.targets {
		p.recordReport(r.now)
		r.SetTarget(r.now, p.describe())
	}
}

// TestTwoHoldersKeepTheRateOfLoads has a holder begin as many loads from the weight store as a window
// allows and stop as planned. It guards against a successor that begins as many in the same window.
func TestTwoHoldersKeepTheRateOfLoads(t *testing.T) {
	const excess, extra = 1.1, 3
	targets := make([][]string, 40)
	e := testEngine(40)
	r := newFixture(e, targets...)
	r.storeLimit.loads = 40
	var demand []picker.Demand
	for i := range 40 {
		demand = append(demand, queuedDemand(fmt.Sprintf("m%d", i)))
	}
	r.run(time.Second, demand...)
	r.replacePlanner()
	r.run(5*time.Second, demand...)
	allowed := int(e.LoadsPerSec*r.window.Seconds()*excess) + extra
	for i, first := range r.storeLoadTimes {
		n := 0
		for _, at := range r.storeLoadTimes[i:] {
			if at.Sub(first) < r.window {
				n++
			}
		}
		if n > allowed {
			t.Fatalf("%d loads from the weight store in %v, allowed %d", n, r.window, allowed)
		}
	}
}

// TestLateLoadOfAFormerHolder is TestLateLoadAtTheNextIncarnation with a change of the holder after
// the load whose reply was lost. It guards against a target that is ordered to load more than it
// holds by two holders together.
func TestLateLoadOfAFormerHolder(t *testing.T) {
	checkLateLoad(t, 14*time.Second, (*fixture).replacePlanner)
}
