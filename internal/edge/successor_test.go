package edge

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestSuccessorKnowsLostLoads has a holder lose the reply to a load and tell another instance, which
// becomes the holder. It guards against a target that is ordered to load more than it holds by two
// holders together.
func TestSuccessorKnowsLostLoads(t *testing.T) {
	config := &fleet.Config{Version: 1, Services: map[string]fleet.Service{"llm": {Engine: &fleet.Engine{}}}}
	former, successor := newTestCoordinator(t), newTestCoordinator(t)
	for _, k := range []*coordinator{former, successor} {
		k.setConfig(config, rev(1))
		k.setHasFullList(true)
	}
	former.setHolder(true)
	to := fleet.Target{Identity: fleet.Identity{ID: "t1", Born: 5}, Service: "llm"}
	former.planners["llm"].OrderDone(former.clock.Now(),
		sched.Action{To: to, Operation: sched.Load, Model: "m0", Expected: 3}, sched.Lost)
	reply, ok := former.handleExchange(exchangeRequest{From: "i2"})
	if !ok {
		t.Fatal("the holder doesn't reply")
	}
	successor.setLoads(reply.StoreLoads, reply.LostLoads)
	successor.setHolder(true)
	got := successor.planners["llm"].LostLoads(successor.clock.Now())
	for i := range got {
		got[i].RestMS = 0
	}
	if diff := cmp.Diff([]sched.LostLoad{{Target: "t1", Born: 5, Model: "m0", Expected: 3}}, got); diff != "" {
		t.Errorf("lost loads that the successor knows (-want +got):\n%s", diff)
	}
}
