package owner

import (
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

func TestRepliesFromTargetsLost(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		owner := r.ownerOf(0, 0)
		for _, m := range r.targets {
			r.net.Cut(m.row.Addr, owner.member.Addr, true)
		}
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
		r.run(10 * time.Second)
		r.healNet()
		r.demandUntilLoaded("model-0", 60*time.Second)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestRestartedTargetLosesItsFence: a restarted engine has no fence, and an owner that is
// partitioned from its peers and the KV service reaches it before its successor does. It
// must not load there, because its successor has given its permits away.
func TestRestartedTargetLosesItsFence(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 2, entries: 2, targets: 1, shards: 1, memoryBytes: 10 * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 5,
	})
	r.run(5 * time.Second)
	r.demandUntilLoaded("model-0", 10*time.Second)
	r.run(60 * time.Second)
	old, target := r.ownerOf(0, 0), r.targets[0]
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.gossipIsolated = true
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
		r.nextDemandID++
		old.loops[0].Post(DemandAsked{ID: r.nextDemandID, Demand: ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"}})
		r.run(time.Second)
	}
	r.checkInvariants(t)
}

// TestLoadOrderLost: a load order that never arrived does not hold its permit forever.
func TestLoadOrderLost(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.setMaximum(1)
		owner := r.ownerOf(0, 0)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
		for _, m := range r.targets {
			r.net.Cut(owner.member.Addr, m.row.Addr, true)
		}
		r.run(time.Second)
		r.healNet()
		took := r.demandUntilLoaded("model-0", 60*time.Second)
		limit := defaultMaxOrderTransit + 10*time.Second
		if r.targets[0].fenced {
			limit = 10 * time.Second
		}
		if took > limit {
			t.Errorf("the load took %v:\n%s", took, r.dumpState())
		}
	})
}

// TestOrderHeldUpPastTheLease: a load is planned while an earlier order to its target is
// in flight. When the load could be sent, another entry owns the shard.
func TestOrderHeldUpPastTheLease(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
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
		old.gossipIsolated = true
		r.run(30 * time.Second)
		old.gossipIsolated = false
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(150 * time.Second)
		r.checkInvariants(t)
	})
}

// TestLateLoadOrderAfterUnload: the owner ends with a load order in transit. Its
// successor sends the load again and unloads the replica, and only then does the first
// order arrive.
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
			forEachFencing(t, func(t *testing.T, r *cluster) {
				r.delayOrders(c.delay)
				r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
				r.run(50 * time.Millisecond)
				if !r.hasOrderedLoad("model-0") {
					t.Fatalf("the load was not sent:\n%s", r.dumpState())
				}
				c.end(r.ownerOf(0, 0))
				r.net.Delay = nil
				r.run(14 * time.Second)
				r.setMaximum(0)
				r.run(100 * time.Second)
				r.expectLoaded(t, map[string]int{"model-0": 0})
			})
		})
	}
}

// TestLateLoadOrder: the order of a killed owner arrives long after the takeover. It
// stays charged all the time and is fenced off or adopted.
func TestLateLoadOrder(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
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
		r.checkInvariants(t)
	})
}

// TestUnreachableFencedTarget: a partitioned owner loads within its permits on a target
// that its successor cannot reach. The successor must count these permits as used.
func TestUnreachableFencedTarget(t *testing.T) {
	t.Parallel()
	r := newSmallCluster(7, 0)
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 3 * time.Second, From: "caller"})
	r.run(60 * time.Second)
	old := r.ownerOf(0, 0)
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.gossipIsolated = true
	for i, m := range r.targets {
		for _, e := range r.entries {
			r.net.Cut(e.member.Addr, m.row.Addr, (e == old) != (i == 0))
		}
	}
	r.run(30 * time.Second)
	for range 10 {
		for _, e := range r.entries {
			r.nextDemandID++
			e.loops[0].Post(DemandAsked{ID: r.nextDemandID, Demand: ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"}})
		}
		r.run(time.Second)
	}
	r.expectLoaded(t, map[string]int{"model-0": 2})
	r.checkInvariants(t)
}

// TestOrdersCarryTheLeaseEnd: the sender checks the lease immediately before it writes an
// order to a target that ignores fencing, however long the order waited since the
// decision.
func TestOrdersCarryTheLeaseEnd(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
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

// TestUnknownSenderReleasesCharge: the charge of a replica does not stay forever if its
// sender has disappeared from gossip and from the instance list.
func TestUnknownSenderReleasesCharge(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.forgetsDead = true
		r.delayOrders(25 * time.Second)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
		r.run(50 * time.Millisecond)
		r.ownerOf(0, 0).kill()
		r.net.Delay = nil
		r.run(14 * time.Second)
		r.setMaximum(0)
		r.run(3 * time.Minute)
		r.expectLoaded(t, map[string]int{"model-0": 0})
		if diff := cmp.Diff(0, r.ledger()["model-0"].Granted()); diff != "" {
			t.Errorf("permits (-want +got):\n%s\n%s", diff, r.dumpState())
		}
	})
}
