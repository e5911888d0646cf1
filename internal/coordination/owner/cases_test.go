package owner

import (
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// bothRegimes runs a case with targets that check fencing and with targets that
// ignore it.
func bothRegimes(t *testing.T, f func(t *testing.T, r *rig)) {
	for name, unfenced := range map[string]int{"fenced": 0, "unfenced": 3} {
		t.Run(name, func(t *testing.T) {
			r := smallRig(7, unfenced)
			r.run(5 * time.Second)
			f(t, r)
			r.mustHold(t)
		})
	}
}

func (r *rig) expectLoaded(t *testing.T, want map[string]int) {
	t.Helper()
	got := make(map[string]int)
	for model := range want {
		got[model] = r.loaded(model)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("loaded (-want +got):\n%s%s%s", diff, strings.Join(r.events, "\n"), r.describe())
	}
}

func (r *rig) setKV(f world.KVFaults) {
	for _, e := range r.entries {
		e.kv.SetFaults(f)
	}
}

func (r *rig) waitFor(model string, within time.Duration) time.Duration {
	begin := r.clock.Now()
	for r.clock.Now().Sub(begin) < within && r.loaded(model) == 0 {
		r.demand(0, 0, ports.Demand{Model: model, Waiting: 1, Within: 10 * time.Second, From: "caller"})
		r.run(100 * time.Millisecond)
	}
	return r.clock.Now().Sub(begin)
}

func healthy() world.KVFaults { return world.KVFaults{Latency: 4 * time.Millisecond} }

func TestOwnerKilledAtEveryStepOfALoad(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, _ *rig) {
		for step := 1; step <= 40; step++ {
			r := smallRig(uint64(step), strings.Count(t.Name(), "unfenced")*3)
			r.run(5 * time.Second)
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
			for range step {
				next, _ := r.clock.Next()
				r.clock.Advance(next.Sub(r.clock.Now()))
				r.check()
			}
			r.ownerOf(0, 0).kill()
			r.run(15 * time.Second)
			r.waitFor("model-0", 30*time.Second)
			r.run(5 * time.Second)
			r.mustHold(t)
			r.expectLoaded(t, map[string]int{"model-0": 1})
		}
	})
}

func TestOwnerFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		old := r.ownerOf(0, 0)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(6 * time.Millisecond)
		old.freeze()
		r.run(25 * time.Second)
		r.waitFor("model-1", 10*time.Second)
		old.resume()
		r.run(10 * time.Second)
		if r.ownerOf(0, 0) == old {
			t.Errorf("the frozen owner still believes that it owns the shard")
		}
		r.expectLoaded(t, map[string]int{"model-1": 1})
	})
}

func TestEveryWriteLosesItsAnswer(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.setKV(world.KVFaults{Latency: 4 * time.Millisecond, LoseAnswers: 0.6})
		r.waitFor("model-0", 60*time.Second)
		r.waitFor("model-1", 60*time.Second)
		r.setKV(healthy())
		r.run(8 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
	})
}

// TestOutage: with targets that check fencing an owner goes on loading within
// the permits that it holds; with the others it stops when its lease may lapse.
func TestOutage(t *testing.T) {
	t.Parallel()
	for _, period := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		bothRegimes(t, func(t *testing.T, r *rig) {
			r.waitFor("model-0", 10*time.Second)
			r.run(60 * time.Second)
			r.expectLoaded(t, map[string]int{"model-0": 0})
			r.setKV(world.KVFaults{Down: true})
			r.run(period)
			took := r.waitFor("model-0", 10*time.Second)
			fenced := r.targets[0].fenced
			if loads := took < 10*time.Second; loads != fenced {
				t.Errorf("loads during the outage: %v, targets check fencing: %v\n%s", loads, fenced, r.describe())
			}
			// No permit is held of a model that was never loaded.
			r.waitFor("model-3", 10*time.Second)
			r.expectLoaded(t, map[string]int{"model-3": 0})
			r.setKV(healthy())
			r.waitFor("model-3", 10*time.Second)
			r.expectLoaded(t, map[string]int{"model-3": 1})
		})
	}
}

func TestSlowKV(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.setKV(world.KVFaults{Latency: 2 * time.Second})
		owner := r.ownerOf(0, 0)
		took := r.waitFor("model-0", 30*time.Second)
		if took > 15*time.Second {
			t.Errorf("a load took %v", took)
		}
		r.run(60 * time.Second)
		if r.ownerOf(0, 0) != owner {
			t.Errorf("a slow KV service cost the ownership:\n%s", strings.Join(r.events, "\n"))
		}
	})
}

// TestCutOffOwner: an owner that only the KV service and its peers have lost
// goes on ordering; after the takeover its orders must not add to the successor's.
func TestCutOffOwner(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(60 * time.Second)
		old := r.ownerOf(0, 0)
		old.kv.SetFaults(world.KVFaults{Down: true})
		old.silentSince = r.clock.Now()
		old.muted = true
		for range 30 {
			for _, e := range r.entries {
				r.nextAsk++
				e.loops[0].Post(DemandAsked{ID: r.nextAsk, Demand: ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"}})
			}
			r.run(time.Second)
		}
		if r.ownerOf(0, 0) == nil || !r.entries[0].owned[0] || !r.entries[1].owned[0] {
			t.Errorf("there were never two owners who both believe")
		}
		old.kv.SetFaults(healthy())
		old.muted = false
		r.run(30 * time.Second)
		if old.owned[0] {
			t.Errorf("the cut-off owner still believes that it owns the shard")
		}
	})
}

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

// TestTwoOwners: a cut-off owner and its successor load at about the same
// moment. The fence that the successor raised first stops the other.
func TestTwoOwners(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, first *rig) {
		unfenced := 3
		if first.targets[0].fenced {
			unfenced = 0
		}
		for lead := 800 * time.Millisecond; lead <= 1400*time.Millisecond; lead += 20 * time.Millisecond {
			r := smallRig(7, unfenced)
			old := r.twoOwners(t)
			r.tell(old, "model-0", 9)
			r.run(lead)
			r.tell(r.other(old), "model-0", 9)
			r.run(10 * time.Second)
			r.expectLoaded(t, map[string]int{"model-0": 2})
			id := r.tell(old, "model-0", 9)
			r.run(2 * time.Second)
			if status := r.answers[id].Status; r.targets[0].fenced && status != ports.DemandElsewhere {
				t.Errorf("the cut-off owner, which has seen a later fence, answers %q", status)
			}
			r.mustHold(t)
		}
	})
}

// twoOwners makes an owner of two idle permits of model-0 lose its peers and the
// KV service, and waits until another has taken over. It returns the old one.
func (r *rig) twoOwners(t *testing.T) *entry {
	t.Helper()
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 3 * time.Second, From: "caller"})
	r.run(60 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 0})
	old := r.ownerOf(0, 0)
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.muted = true
	for r.entries[0].owned[0] != r.entries[1].owned[0] {
		r.run(10 * time.Millisecond)
	}
	r.run(50 * time.Millisecond)
	return old
}

// tell demands a model of one entry, whether or not it still owns the shard.
func (r *rig) tell(e *entry, model string, waiting int) uint64 {
	r.nextAsk++
	e.loops[0].Post(DemandAsked{ID: r.nextAsk, Demand: ports.Demand{Model: model, Waiting: waiting, Within: 5 * time.Second, From: "caller"}})
	return r.nextAsk
}

func (r *rig) other(than *entry) *entry {
	for _, e := range r.entries {
		if e != than {
			return e
		}
	}
	return nil
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

// TestPermitMoves: the only permit of a model goes where it is asked for.
func TestPermitMoves(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		r := newRig(rigSize{
			zones: 2, entries: 2, targets: 1, shards: 1, memoryBytes: 10 * gib,
			models: 2, maxReplicas: 1, latency: time.Millisecond, seed: seed,
		})
		r.run(5 * time.Second)
		r.waitFor("model-0", 10*time.Second)
		r.run(60 * time.Second)
		// Writes of the holder take effect late and in any order.
		r.ownerOf(0, 0).kv.late = 1
		for range 30 {
			r.demand(1, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.ownerOf(0, 0).kv.late = 0
		for range 15 {
			r.demand(1, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.mustHold(t)
	}
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

func TestTargetLeavesMidLoad(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(500 * time.Millisecond)
		leaving := r.holderOf("model-0")
		leaving.engine.SetLeaving(true)
		r.run(3 * time.Second)
		loads := leaving.engine.Record().Loads
		r.waitFor("model-1", 10*time.Second)
		r.waitFor("model-2", 10*time.Second)
		r.run(10 * time.Second)
		if diff := cmp.Diff(loads, leaving.engine.Record().Loads); diff != "" {
			t.Errorf("loads on the leaving target (-before +after):\n%s", diff)
		}
		r.expectLoaded(t, map[string]int{"model-1": 1, "model-2": 1})
	})
}

func TestTargetReclaimedMidLoad(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(500 * time.Millisecond)
		r.remove(r.holderOf("model-0"))
		r.run(90 * time.Second)
		r.waitFor("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

func TestTargetRestartsEmpty(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(4 * time.Second)
		r.boot(r.holderOf("model-0"))
		r.run(3 * time.Second)
		r.waitFor("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

func TestLoadFailure(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		for _, m := range r.targets {
			m.failing = true
		}
		r.ask("model-0", 1)
		r.run(5 * time.Second)
		reply := r.ask("model-0", 1)
		if reply.Status != ports.DemandRefused || reply.RetryAfter <= 0 {
			t.Errorf("after a failed load the answer is %+v", reply)
		}
		loads := 0
		for range 60 {
			r.ask("model-0", 1)
			r.run(time.Second)
		}
		for _, m := range r.targets {
			loads += m.engine.Record().Loads["model-0"]
		}
		if loads < 3 || loads > 8 {
			t.Errorf("%d loads in a minute of failures", loads)
		}
	})
}

// TestEverythingRestartsAtOnce: the zone's entries come back as new incarnations
// and take their shards without waiting for the leases of the old ones.
func TestEverythingRestartsAtOnce(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(4 * time.Second)
		for _, e := range r.entries {
			e.kill()
		}
		for _, e := range r.entries {
			e.start()
		}
		r.run(5 * time.Second)
		if r.ownerOf(0, 0) == nil {
			t.Fatalf("nobody owns the shard after 5 s:\n%s", strings.Join(r.events, "\n"))
		}
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.waitFor("model-1", 10*time.Second)
	})
}

func TestLoweredMaximum(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		for range 8 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 2})
		r.setLimit(1)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
		if diff := cmp.Diff(1, r.bound["model-0"]); diff != "" {
			t.Errorf("permits (-want +got):\n%s", diff)
		}
		r.setLimit(0)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 0})
	})
}

// TestBurst: a burst at eight entries makes one load.
func TestBurst(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		for range 50 {
			for i := range 8 {
				r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "entry-" + string(rune('0'+i))})
			}
			r.run(20 * time.Millisecond)
		}
		r.run(5 * time.Second)
		loads := 0
		for _, m := range r.targets {
			loads += m.engine.Record().Loads["model-0"]
		}
		// Eight callers at a concurrency of four are worth two replicas to the
		// test's policy, which is also the maximum.
		if diff := cmp.Diff(2, loads); diff != "" {
			t.Errorf("loads (-want +got):\n%s", diff)
		}
	})
}

func TestStopHandsOver(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(4 * time.Second)
		old := r.ownerOf(0, 0)
		old.member.Phase = ports.MemberLeaving
		old.post(StopAsked{})
		r.run(4 * time.Second)
		if diff := cmp.Diff(1, old.stopped); diff != "" {
			t.Errorf("stopped (-want +got):\n%s", diff)
		}
		if next := r.ownerOf(0, 0); next == nil || next == old {
			t.Errorf("nobody took over:\n%s", strings.Join(r.events, "\n"))
		}
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestUnreadableValue: a damaged or newer value is left alone.
func TestUnreadableValue(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{
		"damaged": `{"format":1,"zone":`,
		"newer":   `{"format":2,"zone":"zone-a","shard":0,"epoch":9}`,
		"foreign": `{"format":1,"zone":"zone-b","shard":0,"epoch":9,"nonce":"x","owner":{}}`,
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(rigSize{zones: 1, entries: 2, targets: 3, shards: 1, memoryBytes: 10 * gib, models: 1, maxReplicas: 1, seed: 3})
			r.store.Call(ports.KVPut{Key: "zone/zone-a/shard/0", Value: []byte(value)}, func(ports.KVReply) {})
			r.run(3 * time.Minute)
			r.store.Call(ports.KVGet{Key: "zone/zone-a/shard/0"}, func(reply ports.KVReply) {
				item, _ := reply.Item()
				if diff := cmp.Diff(value, string(item.Value)); diff != "" {
					t.Errorf("value (-want +got):\n%s", diff)
				}
			})
			if !strings.Contains(strings.Join(r.events, "\n"), string(KindDamaged)) {
				t.Errorf("nothing was reported: %v", r.events)
			}
		})
	}
}

// TestPreferredOwnerWithoutKV: the entry that rendezvous hashing prefers is
// heard of but cannot reach the KV service; the shard is not offered to it for ever.
func TestPreferredOwnerWithoutKV(t *testing.T) {
	t.Parallel()
	r := smallRig(7, 0)
	r.run(5 * time.Second)
	r.ownerOf(0, 0).kv.SetFaults(world.KVFaults{Down: true})
	r.run(10 * time.Second)
	before := len(r.events)
	r.run(20 * time.Minute)
	takeovers := strings.Count(strings.Join(r.events[before:], "\n"), string(KindTakeover))
	if takeovers > 7 {
		t.Errorf("%d takeovers in 20 min:\n%s", takeovers, strings.Join(r.events, "\n"))
	}
	r.mustHold(t)
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

// TestLeaseCountsFromTheSend: with calls of 8 s and then none at all, the owner
// must not count on its lease for longer than the KV service keeps it.
func TestLeaseCountsFromTheSend(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(_ *testing.T, r *rig) {
		r.setKV(world.KVFaults{Latency: 8 * time.Second})
		r.run(60 * time.Second)
		r.setKV(world.KVFaults{Down: true})
		r.run(30 * time.Second)
	})
}

// TestClaimTakesEffectLate: claims whose answers are lost arrive seconds later,
// when another entry may have claimed the shard.
func TestClaimTakesEffectLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		r := smallRig(seed, int(seed)%4)
		for _, e := range r.entries {
			e.kv.late = 0.7
		}
		r.run(90 * time.Second)
		for _, e := range r.entries {
			e.kv.late = 0
		}
		r.run(30 * time.Second)
		r.waitFor("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.mustHold(t)
	}
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

// TestDeletedValue: after an operator deleted the value of a shard whose targets
// are empty, the epoch begins anew below the targets' fences and is raised.
func TestDeletedValue(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		for range 3 {
			r.ownerOf(0, 0).kill()
			r.run(20 * time.Second)
			for _, e := range r.entries {
				if e.dead {
					e.start()
				}
			}
			r.run(5 * time.Second)
		}
		// The owner cannot know before its next write.
		r.deleted = true
		r.store.Call(ports.KVGet{Key: "zone/zone-a/shard/0"}, func(reply ports.KVReply) {
			item, _ := reply.Item()
			r.store.Call(ports.KVDelete{Key: item.Key, Expect: item.Revision}, func(ports.KVReply) {})
		})
		r.waitFor("model-0", 90*time.Second)
		r.run(90 * time.Second)
		r.waitFor("model-1", 90*time.Second)
		r.expectLoaded(t, map[string]int{"model-1": 1})
	})
}

// TestStoreSlotsTakeTurns: eight shards want to load all the time and there are
// four slots; none is left out.
func TestStoreSlotsTakeTurns(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 2, entries: 2, targets: 16, shards: 4, memoryBytes: 9 * gib,
		models: 64, maxReplicas: 1, latency: time.Millisecond, seed: 2,
	})
	r.run(5 * time.Second)
	for round := range 60 {
		for z := range r.size.zones {
			for n := range r.size.shards {
				// Each shard has models of its own, six of which it wants at a time.
				first := (z*r.size.shards + n) * 8
				for k := range 6 {
					model := modelName(first + (round/4+k)%8)
					r.demand(z, n, ports.Demand{Model: model, Waiting: 1, Within: 3 * time.Second, From: "caller"})
				}
			}
		}
		r.run(time.Second)
	}
	r.mustHold(t)
	loads := make(map[string]int)
	for _, m := range r.targets {
		for _, n := range m.engine.Record().Loads {
			loads[permit.ShardName(m.row.Zone, place.ShardOf(m.row.ID, r.size.shards))] += n
		}
	}
	for i := range r.starts {
		if i >= defaultStoreSlots && r.starts[i].Sub(r.starts[i-defaultStoreSlots]) < time.Second {
			t.Errorf("five loads from the weight store began within a second before %v", r.starts[i])
		}
	}
	t.Logf("%d from the weight store, loads by shard: %v", len(r.starts), loads)
	for z := range r.size.zones {
		for n := range r.size.shards {
			name := permit.ShardName(zoneName(z), n)
			if loads[name] < 3 {
				t.Errorf("%d loads in shard %s: %v", loads[name], name, loads)
			}
		}
	}
}

// TestAdapters: an adapter that callers wait for is loaded on a ready replica,
// and an idle replica of another model makes room for it.
func TestAdapters(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []int{0, 1} {
		r := newRig(rigSize{
			zones: 1, entries: 2, targets: 1, shards: 1, unfenced: unfenced, memoryBytes: 8 * gib,
			models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4,
		})
		r.run(5 * time.Second)
		r.waitFor("model-0", 10*time.Second)
		r.run(4 * time.Second)
		r.waitFor("model-1", 10*time.Second)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
		for range 4 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: "lora", Waiting: 1, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 0})
		for _, rep := range r.targets[0].engine.State().Replicas {
			if diff := cmp.Diff([]string{"lora"}, rep.Adapters); diff != "" {
				t.Errorf("adapters of %s (-want +got):\n%s\n%s", rep.Replica, diff, r.describe())
			}
		}
		r.mustHold(t)
	}
}
