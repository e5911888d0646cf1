package owner

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
)

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

// TestLoweredMaximumBehindAnEntry raises a maximum and lowers it again while the
// owner of one zone hears of neither change: it goes from a maximum of 1 to a
// maximum of 1, and yet may have to give its permit back.
func TestLoweredMaximumBehindAnEntry(t *testing.T) {
	t.Parallel()
	for deaf := range 2 {
		r := newRig(rigSize{
			zones: 2, entries: 1, targets: 1, shards: 1, memoryBytes: 10 * gib,
			models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 1,
		})
		r.run(5 * time.Second)
		want := func(zone int) {
			for range 8 {
				r.demand(zone, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
				r.run(time.Second)
			}
		}
		want(deaf)
		r.config = r.newConfig(r.config.Version+1, 2)
		r.ownerOf(1-deaf, 0).post(ConfigChanged{r.config})
		want(1 - deaf)
		if diff := cmp.Diff(2, r.ledger()["model-0"].Granted()); diff != "" {
			t.Fatalf("zone %d deaf: permits granted at a maximum of 2 (-want +got):\n%s", deaf, diff)
		}
		r.setLimit(1)
		r.run(30 * time.Second)
		if diff := cmp.Diff(1, r.ledger()["model-0"].Granted()); diff != "" {
			t.Errorf("zone %d deaf: permits granted after the maximum was lowered (-want +got):\n%s", deaf, diff)
		}
		r.mustHold(t)
	}
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

// TestMinimumAndPreload: a model's minimum stays loaded without demand, in one
// zone; a model that the policy wants early is loaded where there is room.
func TestMinimumAndPreload(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 2, entries: 2, targets: 2, shards: 1, memoryBytes: 5 * gib,
		models: 4, maxReplicas: 1, latency: time.Millisecond, seed: 4,
	})
	c := r.newConfig(2, 1)
	c.Rules["model-1"] = config.Rule{MaxReplicas: 1, MinReplicas: 1, KeepAlive: config.Duration(5 * time.Second)}
	r.config = c
	for _, e := range r.entries {
		for _, s := range e.shards {
			s.policies.Preload = policy.Func[[]policy.ModelView, []string](func(_ time.Time, views []policy.ModelView) []string {
				var names []string
				for _, v := range views {
					if v.Model == "model-2" {
						names = append(names, v.Model)
					}
				}
				return names
			})
		}
		e.post(ConfigChanged{c})
	}
	r.run(10 * time.Second)
	for z := range r.size.zones {
		r.demand(z, 0, ports.Demand{Model: "model-2", Waiting: 0, Within: time.Second, From: "caller"})
	}
	r.run(60 * time.Second)
	r.expectLoaded(t, map[string]int{"model-1": 1, "model-2": 1})
	r.mustHold(t)
}

// TestNoPlaceIsAnsweredAtOnce: who asks a shard whose targets are all in use can
// try the next one without waiting for it.
func TestNoPlaceIsAnsweredAtOnce(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 1, entries: 2, targets: 1, shards: 1, memoryBytes: 5 * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4,
	})
	r.run(5 * time.Second)
	r.waitFor("model-0", 10*time.Second)
	r.run(5 * time.Second)
	for _, rep := range r.targets[0].engine.State().Replicas {
		r.targets[0].engine.Begin(rep.Replica)
	}
	r.run(3 * time.Second)
	id := r.demand(0, 0, ports.Demand{Model: "model-1", Waiting: 1, Within: 5 * time.Second, From: "caller"})
	want := ports.DemandReply{Status: ports.DemandQueued, Reason: "no target has room", ReadyIn: 5 * time.Second}
	if diff := cmp.Diff(want, r.answers[id]); diff != "" {
		t.Errorf("answer (-want +got):\n%s", diff)
	}
}

// TestYieldIsAnsweredByWhoStops: an asker is not left without an answer when the
// holder loses the shard in the middle.
func TestYieldIsAnsweredByWhoStops(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(60 * time.Second)
		owner := r.ownerOf(0, 0)
		owner.kv.SetFaults(world.KVFaults{Down: true})
		answered := 0
		for id := range uint64(2) {
			r.yields[1000+id] = func(ports.PeerReply) { answered++ }
		}
		owner.loops[0].Post(YieldAsked{ID: 1000, Yield: ports.YieldPermit{Resource: "model-0", Shard: "zone-a/0", Wanted: 1}})
		owner.loops[0].Post(YieldAsked{ID: 1001, Yield: ports.YieldPermit{Resource: permit.Store, Shard: "zone-a/0", Wanted: 5, Patient: true}})
		owner.post(StopAsked{})
		r.run(15 * time.Second)
		if diff := cmp.Diff(2, answered); diff != "" {
			t.Errorf("answers (-want +got):\n%s", diff)
		}
	})
}

// TestWritesTakeEffectLate: half of the writes lose their answer and take effect
// up to 4 s later, or never because the value has changed meanwhile.
func TestWritesTakeEffectLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		r := smallRig(seed, int(seed%4))
		r.run(5 * time.Second)
		r.ownerOf(0, 0).kv.late = 0.5
		for i := range 12 {
			r.demand(0, 0, ports.Demand{Model: modelName(i % 4), Waiting: 9, Within: 20 * time.Second, From: "caller"})
			r.run(5 * time.Second)
		}
		for _, e := range r.entries {
			e.kv.late = 0
		}
		r.waitFor("model-0", 30*time.Second)
		if r.loaded("model-0") == 0 {
			t.Errorf("model-0 was not loaded:\n%s", r.describe())
		}
		r.mustHold(t)
	}
}

// TestConfigChangesWhileBusy: a new configuration while a replica works and
// nobody waits.
func TestConfigChangesWhileBusy(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(5 * time.Second)
		for _, rep := range r.holderOf("model-0").engine.State().Replicas {
			r.holderOf("model-0").engine.Begin(rep.Replica)
		}
		r.run(25 * time.Second)
		r.setLimit(3)
		r.run(10 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestFrozenOwnerLowersNoGrant: an owner that was replaced while it was frozen
// finds grants in the ledger that it knows nothing of; they are its successor's.
func TestFrozenOwnerLowersNoGrant(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		old := r.ownerOf(0, 0)
		old.freeze()
		r.run(20 * time.Second)
		r.waitFor("model-0", 20*time.Second)
		r.run(4 * time.Second)
		old.kv.SetFaults(world.KVFaults{Latency: 40 * time.Millisecond})
		old.post(YieldAsked{ID: 1000, Yield: ports.YieldPermit{Resource: "model-0", Shard: "zone-a/0", Wanted: 1}})
		old.post(YieldAsked{ID: 1001, Yield: ports.YieldPermit{Resource: permit.Store, Shard: "zone-a/0", Wanted: 1}})
		old.resume()
		r.run(5 * time.Second)
	})
}

// TestLoweredMaximumDuringAGrant lowers a maximum while the write that grants a
// shard its first permit is under way: when the new configuration is reviewed the
// shard holds nothing, and yet it is the one that has to give back.
func TestLoweredMaximumDuringAGrant(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		r := newRig(rigSize{
			zones: 2, entries: 1, targets: 1, shards: 1, memoryBytes: 10 * gib,
			models: 1, maxReplicas: 3, latency: time.Millisecond, seed: 1,
		})
		r.run(5 * time.Second)
		want := func(zone int) {
			r.demand(zone, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
		}
		want(1)
		r.run(10 * time.Second)
		r.ownerOf(0, 0).kv.SetFaults(world.KVFaults{Latency: late})
		want(0)
		for begin := r.clock.Now(); r.ledger()["model-0"].Granted() < 2 && r.clock.Now().Sub(begin) < 10*time.Second; {
			next, _ := r.clock.Next()
			r.clock.Advance(next.Sub(r.clock.Now()))
			r.check()
		}
		r.setLimit(1)
		r.run(30 * time.Second)
		if diff := cmp.Diff(1, r.ledger()["model-0"].Granted()); diff != "" {
			t.Errorf("answer after %v: permits granted after the maximum was lowered (-want +got):\n%s%s", late, diff, r.describe())
		}
		r.mustHold(t)
	}
}
