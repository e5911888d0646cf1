package owner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

func TestAnswersFromTargetsCut(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		owner := r.ownerOf(0, 0)
		for _, m := range r.targets {
			r.net.Cut(m.row.Addr, owner.member.Addr, true)
		}
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
		r.run(10 * time.Second)
		r.healNet()
		r.waitFor("model-0", 60*time.Second)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestRestartedTargetLosesItsFence: an engine that starts anew has no fence, and
// an owner that was cut off and knows nothing of its successor finds it first.
// It may not load there, since its successor has given its permits away.
func TestRestartedTargetLosesItsFence(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 2, entries: 2, targets: 1, shards: 1, memoryBytes: 10 * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 5,
	})
	r.run(5 * time.Second)
	r.waitFor("model-0", 10*time.Second)
	r.run(60 * time.Second)
	old, target := r.ownerOf(0, 0), r.targets[0]
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.muted = true
	r.net.Cut(old.member.Addr, target.row.Addr, true)
	r.run(30 * time.Second)
	for range 20 {
		r.demand(1, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller"})
		r.run(time.Second)
	}
	r.expectLoaded(t, map[string]int{"model-0": 1})
	for _, e := range r.entries {
		r.net.Cut(e.member.Addr, target.row.Addr, e != old)
	}
	r.boot(target)
	for range 10 {
		r.nextAsk++
		old.loops[0].Post(DemandAsked{ID: r.nextAsk, Demand: ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"}})
		r.run(time.Second)
	}
	r.mustHold(t)
}

// TestLoadOrderLost: an order that never arrived does not hold its permit for good.
func TestLoadOrderLost(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.setLimit(1)
		owner := r.ownerOf(0, 0)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
		for _, m := range r.targets {
			r.net.Cut(owner.member.Addr, m.row.Addr, true)
		}
		r.run(time.Second)
		r.healNet()
		took := r.waitFor("model-0", 60*time.Second)
		limit := defaultOrderTransit + 10*time.Second
		if r.targets[0].fenced {
			limit = 10 * time.Second
		}
		if took > limit {
			t.Errorf("the load took %v:\n%s", took, r.describe())
		}
	})
}

// TestOrderHeldUpPastTheLease: a load is written while an earlier order to its
// target hangs. By the time that it could be sent another entry owns the shard.
func TestOrderHeldUpPastTheLease(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		old := r.ownerOf(0, 0)
		r.net.Delay = func(from, to netip.AddrPort) time.Duration {
			if to == old.member.Addr && from.Port() == 80 && from.Addr().As4()[2] == 1 {
				return 150 * time.Second
			}
			return 0
		}
		r.run(4 * time.Second)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
		r.run(time.Second)
		old.kv.SetFaults(world.KVFaults{Down: true})
		old.silentSince = r.clock.Now()
		old.muted = true
		r.run(30 * time.Second)
		old.muted = false
		r.waitFor("model-0", 10*time.Second)
		r.run(150 * time.Second)
		r.mustHold(t)
	})
}

// TestLateLoadOrderAfterUnload: the successor of an owner that died sends its
// load again and unloads the replica, and only then the first order arrives.
func TestLateLoadOrderAfterUnload(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		delay time.Duration
		end   func(*entry)
	}{
		"killed":    {25 * time.Second, (*entry).kill},
		"frozen":    {70 * time.Second, (*entry).freeze},
		"restarted": {25 * time.Second, func(e *entry) { e.kill(); e.start() }},
	} {
		t.Run(name, func(t *testing.T) {
			bothRegimes(t, func(t *testing.T, r *rig) {
				r.delayOrders(c.delay)
				r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
				r.run(50 * time.Millisecond)
				if !r.hasSent("model-0") {
					t.Fatalf("the load was not sent:\n%s", r.describe())
				}
				c.end(r.ownerOf(0, 0))
				r.net.Delay = nil
				r.run(14 * time.Second)
				r.setLimit(0)
				r.run(100 * time.Second)
				r.expectLoaded(t, map[string]int{"model-0": 0})
			})
		})
	}
}

// TestLateLoadOrder: the order of an owner that died arrives long after the
// takeover. It is charged all the time and fenced off or adopted.
func TestLateLoadOrder(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		old := r.ownerOf(0, 0)
		r.delayOrders(20 * time.Second)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
		r.run(50 * time.Millisecond)
		old.kill()
		r.net.Delay = nil
		r.run(15 * time.Second)
		for range 10 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 3 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.run(15 * time.Second)
		r.mustHold(t)
	})
}

// TestUnreachableFencedTarget: a cut-off owner loads within its permits on a
// target that its successor cannot reach; the successor must count that.
func TestUnreachableFencedTarget(t *testing.T) {
	t.Parallel()
	r := smallRig(7, 0)
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 3 * time.Second, From: "caller"})
	r.run(60 * time.Second)
	old := r.ownerOf(0, 0)
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.muted = true
	for i, m := range r.targets {
		for _, e := range r.entries {
			r.net.Cut(e.member.Addr, m.row.Addr, (e == old) != (i == 0))
		}
	}
	r.run(30 * time.Second)
	for range 10 {
		for _, e := range r.entries {
			r.nextAsk++
			e.loops[0].Post(DemandAsked{ID: r.nextAsk, Demand: ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"}})
		}
		r.run(time.Second)
	}
	r.expectLoaded(t, map[string]int{"model-0": 2})
	r.mustHold(t)
}

// TestOrdersCarryTheLeaseEnd: the sender checks the lease immediately before the
// write of an order to a target that ignores fencing, however long the order
// waited after the decision.
func TestOrdersCarryTheLeaseEnd(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(30 * time.Second)
		for _, s := range r.sent {
			limited := s.order.Kind == ports.OrderLoad || s.order.Kind == ports.OrderUnload
			if want := limited && !r.targets[0].fenced; want == s.order.NotAfter.IsZero() {
				t.Errorf("%s order with NotAfter %v", s.order.Kind, s.order.NotAfter)
			}
			if !s.order.NotAfter.IsZero() && s.order.NotAfter.Sub(s.at) > defaultLeaseTTL-defaultLeaseTTL/10 {
				t.Errorf("%s order at %v with NotAfter %v", s.order.Kind, s.at, s.order.NotAfter)
			}
		}
	})
}

// TestForgottenSender: a sender of which gossip and the instance list know
// nothing any more does not hold its replica's charge for ever.
func TestForgottenSender(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.forgetsDead = true
		r.delayOrders(25 * time.Second)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
		r.run(50 * time.Millisecond)
		r.ownerOf(0, 0).kill()
		r.net.Delay = nil
		r.run(14 * time.Second)
		r.setLimit(0)
		r.run(3 * time.Minute)
		r.expectLoaded(t, map[string]int{"model-0": 0})
		if diff := cmp.Diff(0, r.ledger()["model-0"].Granted()); diff != "" {
			t.Errorf("permits (-want +got):\n%s\n%s", diff, r.describe())
		}
	})
}
