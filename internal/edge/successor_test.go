package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
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

// TestTermBegunAgainIsAnother has a holder lose its term and win it again while it still waits for the orders of a former holder, so that
// its orders begin at the same time. It guards against members that take the updates of the second term for older ones of the
// first, and miss versions and leavings although they count as up to date.
func TestTermBegunAgainIsAnother(t *testing.T) {
	holder, member := newInstance(t, false), newInstance(t, true)
	holder.coordinator.setConfigRead()
	begins := holder.clock.Now().Add(5 * time.Second)
	begin := func() {
		holder.coordinator.setStatus(elect.Status{IsHolder: true, OrderFrom: begins, HeldUntil: begins, OrderUntil: begins})
		holder.coordinator.setHasFullList(true)
	}
	exchange := func() {
		m := member.newMessage().exchangeRequest
		r, ok := holder.handleExchange(m)
		if !ok {
			t.Fatal("no reply")
		}
		member.applyDirect(&message{}, m, r, member.timer.Now(), member.clock.Now())
	}
	begin()
	for i := range ports.Revision(5) {
		holder.tracker.applyChange(targetItem(t, "two", 6+2*i), originStore, 0)
		holder.tracker.applyChange(dated(0, ports.Item{Key: platform.TargetPrefix + "two", Revision: 7 + 2*i, Deleted: true}), originStore, 0)
	}
	exchange()
	if !member.uses() {
		t.Fatal("the target is not in use after the first exchange")
	}
	holder.coordinator.setStatus(elect.Status{})
	begin()
	holder.tracker.applyChange(deletion(20), originStore, 0)
	exchange()
	if member.uses() {
		t.Error("the leaving is missed")
	}
}
