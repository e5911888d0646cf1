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

// TestPermitMoves: the only permit of a model moves to the zone that demands the model.
func TestPermitMoves(t *testing.T) {
	t.Parallel()
	for seed := range uint64(8) {
		r := newCluster(clusterConfig{
			zones: 2, entries: 2, targets: 1, shards: 1, memoryBytes: 10 * gib,
			models: 2, maxReplicas: 1, latency: time.Millisecond, seed: seed,
		})
		r.run(5 * time.Second)
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(60 * time.Second)
		// Writes of the holder take effect late and in any order.
		r.ownerOf(0, 0).kv.lateShare = 1
		for range 30 {
			r.demand(1, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.ownerOf(0, 0).kv.lateShare = 0
		for range 15 {
			r.demand(1, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.checkInvariants(t)
	}
}

func TestLoweredMaximum(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		for range 8 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 2})
		r.setMaximum(1)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
		if diff := cmp.Diff(1, r.maxGranted["model-0"]); diff != "" {
			t.Errorf("permits (-want +got):\n%s", diff)
		}
		r.setMaximum(0)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 0})
	})
}

// TestBurst: a burst at eight entries causes no more loads than the policy wants.
func TestBurst(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
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
		// The test policy wants two replicas for eight callers at a concurrency of four,
		// which is also the maximum.
		if diff := cmp.Diff(2, loads); diff != "" {
			t.Errorf("loads (-want +got):\n%s", diff)
		}
	})
}

// TestLoweredMaximumBehindAnEntry: a maximum is raised and lowered again while the owner
// in one zone receives neither configuration. It goes from a maximum of 1 to a maximum of
// 1, and yet it may have to give its permit back.
func TestLoweredMaximumBehindAnEntry(t *testing.T) {
	t.Parallel()
	for outdated := range 2 {
		r := newCluster(clusterConfig{
			zones: 2, entries: 1, targets: 1, shards: 1, memoryBytes: 10 * gib,
			models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 1,
		})
		r.run(5 * time.Second)
		demandModel := func(zone int) {
			for range 8 {
				r.demand(zone, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
				r.run(time.Second)
			}
		}
		demandModel(outdated)
		r.config = r.newConfig(r.config.Version+1, 2)
		r.ownerOf(1-outdated, 0).post(ConfigChanged{r.config})
		demandModel(1 - outdated)
		if diff := cmp.Diff(2, r.ledger()["model-0"].Granted()); diff != "" {
			t.Fatalf("zone %d without updates: permits granted at a maximum of 2 (-want +got):\n%s", outdated, diff)
		}
		r.setMaximum(1)
		r.run(30 * time.Second)
		if diff := cmp.Diff(1, r.ledger()["model-0"].Granted()); diff != "" {
			t.Errorf("zone %d without updates: permits granted after the maximum was lowered (-want +got):\n%s", outdated, diff)
		}
		r.checkInvariants(t)
	}
}

// TestStoreSlotsTakeTurns: eight shards want to load all the time with four slots; every
// shard gets its turn.
func TestStoreSlotsTakeTurns(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 2, entries: 2, targets: 16, shards: 4, memoryBytes: 9 * gib,
		models: 64, maxReplicas: 1, latency: time.Millisecond, seed: 2,
	})
	r.run(5 * time.Second)
	for round := range 60 {
		for z := range r.size.zones {
			for n := range r.size.shards {
				// Each shard has eight models of its own and demands six of them at a
				// time.
				first := (z*r.size.shards + n) * 8
				for k := range 6 {
					model := modelName(first + (round/4+k)%8)
					r.demand(z, n, ports.Demand{Model: model, Waiting: 1, Within: 3 * time.Second, From: "caller"})
				}
			}
		}
		r.run(time.Second)
	}
	r.checkInvariants(t)
	loads := make(map[string]int)
	for _, m := range r.targets {
		for _, n := range m.engine.Record().Loads {
			loads[permit.ShardName(m.row.Zone, place.ShardOf(m.row.ID, r.size.shards))] += n
		}
	}
	for i := range r.storeLoadStarts {
		if i >= defaultStoreSlots && r.storeLoadStarts[i].Sub(r.storeLoadStarts[i-defaultStoreSlots]) < time.Second {
			t.Errorf("five loads from the weight store began within a second before %v", r.storeLoadStarts[i])
		}
	}
	t.Logf("%d from the weight store, loads by shard: %v", len(r.storeLoadStarts), loads)
	for z := range r.size.zones {
		for n := range r.size.shards {
			name := permit.ShardName(zoneName(z), n)
			if loads[name] < 3 {
				t.Errorf("%d loads in shard %s: %v", loads[name], name, loads)
			}
		}
	}
}

// TestMinimumAndPreloadedModelsAreLoaded: a model's minimum stays loaded without demand
// in one zone, and a model that the policy wants to preload is loaded where there is
// room.
func TestMinimumAndPreloadedModelsAreLoaded(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
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
	r.checkInvariants(t)
}

// TestFullShardAnswersAtOnce: a shard whose targets are all in use answers at once, so
// that the sender can try the next shard.
func TestFullShardAnswersAtOnce(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 1, entries: 2, targets: 1, shards: 1, memoryBytes: 5 * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4,
	})
	r.run(5 * time.Second)
	r.demandUntilLoaded("model-0", 10*time.Second)
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

// TestStoppingHolderAnswersYields: a shard that asked for permits gets an answer even if
// the holder loses its ownership in the meantime.
func TestStoppingHolderAnswersYields(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
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

// TestWritesTakeEffectLate: half of the writes lose their reply and take effect up to 4 s
// later, or never if the value has changed by then.
func TestWritesTakeEffectLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		r := newSmallCluster(seed, int(seed%4))
		r.run(5 * time.Second)
		r.ownerOf(0, 0).kv.lateShare = 0.5
		for i := range 12 {
			r.demand(0, 0, ports.Demand{Model: modelName(i % 4), Waiting: 9, Within: 20 * time.Second, From: "caller"})
			r.run(5 * time.Second)
		}
		for _, e := range r.entries {
			e.kv.lateShare = 0
		}
		r.demandUntilLoaded("model-0", 30*time.Second)
		if r.loaded("model-0") == 0 {
			t.Errorf("model-0 was not loaded:\n%s", r.dumpState())
		}
		r.checkInvariants(t)
	}
}

// TestConfigChangeKeepsBusyReplica: a new configuration arrives while a replica is busy
// and no caller waits.
func TestConfigChangeKeepsBusyReplica(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(5 * time.Second)
		for _, rep := range r.targetWith("model-0").engine.State().Replicas {
			r.targetWith("model-0").engine.Begin(rep.Replica)
		}
		r.run(25 * time.Second)
		r.setMaximum(3)
		r.run(10 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestFrozenOwnerLowersNoGrant: an owner that was replaced while it was frozen finds
// grants in the ledger that it does not know. They are its successor's, and it must not
// lower them.
func TestFrozenOwnerLowersNoGrant(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		old := r.ownerOf(0, 0)
		old.freeze()
		r.run(20 * time.Second)
		r.demandUntilLoaded("model-0", 20*time.Second)
		r.run(4 * time.Second)
		old.kv.SetFaults(world.KVFaults{Latency: 40 * time.Millisecond})
		old.post(YieldAsked{ID: 1000, Yield: ports.YieldPermit{Resource: "model-0", Shard: "zone-a/0", Wanted: 1}})
		old.post(YieldAsked{ID: 1001, Yield: ports.YieldPermit{Resource: permit.Store, Shard: "zone-a/0", Wanted: 1}})
		old.resume()
		r.run(5 * time.Second)
	})
}

// TestLoweredMaximumDuringAGrant: a maximum is lowered while the write that grants a
// shard its first permit is in flight. The shard holds nothing when the new configuration
// is reviewed, and yet it has to give the permit back.
func TestLoweredMaximumDuringAGrant(t *testing.T) {
	t.Parallel()
	for _, late := range []time.Duration{100 * time.Millisecond, time.Second, 2 * time.Second} {
		r := newCluster(clusterConfig{
			zones: 2, entries: 1, targets: 1, shards: 1, memoryBytes: 10 * gib,
			models: 1, maxReplicas: 3, latency: time.Millisecond, seed: 1,
		})
		r.run(5 * time.Second)
		demandModel := func(zone int) {
			r.demand(zone, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
		}
		demandModel(1)
		r.run(10 * time.Second)
		r.ownerOf(0, 0).kv.SetFaults(world.KVFaults{Latency: late})
		demandModel(0)
		for begin := r.clock.Now(); r.ledger()["model-0"].Granted() < 2 && r.clock.Now().Sub(begin) < 10*time.Second; {
			next, _ := r.clock.Next()
			r.clock.Advance(next.Sub(r.clock.Now()))
			r.checkAfterEvent()
		}
		r.setMaximum(1)
		r.run(30 * time.Second)
		if diff := cmp.Diff(1, r.ledger()["model-0"].Granted()); diff != "" {
			t.Errorf("answer after %v: permits granted after the maximum was lowered (-want +got):\n%s%s", late, diff, r.dumpState())
		}
		r.checkInvariants(t)
	}
}
