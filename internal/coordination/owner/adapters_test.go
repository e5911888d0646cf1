package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// adapterRig has one target with a replica of model-0 and room for some adapters.
func adapterRig(unfenced, room int) *rig {
	r := newRig(rigSize{
		zones: 1, entries: 2, targets: 1, shards: 1, unfenced: unfenced, memoryBytes: uint64(4+room) * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4, adapters: []string{"lora-1", "lora-2"},
	})
	r.run(5 * time.Second)
	r.waitFor("model-0", 10*time.Second)
	r.run(5 * time.Second)
	return r
}

func (r *rig) askAdapter(name string) {
	r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: name, Waiting: 1, Within: 5 * time.Second, From: "caller"})
}

// expectAdapters compares what is loaded on all targets.
func (r *rig) expectAdapters(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, m := range r.targets {
		for _, rep := range m.engine.State().Replicas {
			got = append(got, rep.Adapters...)
		}
	}
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("adapters (-want +got):\n%s%s", diff, r.describe())
	}
}

// beginWith starts a request that uses an adapter of the first target.
func (r *rig) beginWith(t *testing.T, adapter string) func() {
	t.Helper()
	m := r.targets[0]
	end, ok := m.engine.BeginWith(m.engine.State().Replicas[0].Replica, adapter)
	if !ok {
		t.Fatalf("no request with %q", adapter)
	}
	return end
}

// bothFences runs a case with a target that checks fencing and one that ignores it.
func bothFences(t *testing.T, room int, f func(t *testing.T, r *rig)) {
	for unfenced, name := range []string{"fenced", "unfenced"} {
		t.Run(name, func(t *testing.T) {
			r := adapterRig(unfenced, room)
			f(t, r)
			r.mustHold(t)
		})
	}
}

// TestAdapterMakesRoom: with room for two adapters a third one makes the one go
// that was used longest ago, and the model stays.
func TestAdapterMakesRoom(t *testing.T) {
	t.Parallel()
	bothFences(t, 2, func(t *testing.T, r *rig) {
		for _, name := range []string{"lora", "lora-1"} {
			r.askAdapter(name)
			r.run(2 * time.Second)
		}
		r.beginWith(t, "lora")()
		r.run(3 * time.Second)
		r.askAdapter("lora-2")
		r.run(time.Second)
		r.expectAdapters(t, "lora", "lora-2")
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestAdapterIsLoadedOnce: a demand that comes when an adapter is ready already,
// from an entry that does not know yet, brings none to the other replica.
func TestAdapterIsLoadedOnce(t *testing.T) {
	t.Parallel()
	for unfenced := range 2 {
		r := newRig(rigSize{
			zones: 1, entries: 1, targets: 2, shards: 1, unfenced: 2 * unfenced, memoryBytes: 7 * gib,
			models: 1, maxReplicas: 2, latency: time.Millisecond, seed: 4,
		})
		r.run(5 * time.Second)
		for range 8 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 8, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 2})
		for range 10 {
			r.askAdapter("lora")
			r.run(50 * time.Millisecond)
		}
		r.run(time.Second)
		r.expectAdapters(t, "lora")
		r.mustHold(t)
	}
}

// TestModelMakesAdaptersGo: an idle adapter of a busy replica makes room for a model.
func TestModelMakesAdaptersGo(t *testing.T) {
	t.Parallel()
	bothFences(t, 4, func(t *testing.T, r *rig) {
		r.askAdapter("lora")
		r.run(2 * time.Second)
		r.beginWith(t, "")
		r.run(3 * time.Second)
		r.waitFor("model-1", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
		r.expectAdapters(t)
	})
}

// TestIdleAdapterGoes: an adapter goes after its keep-alive though its model is
// in use all the time.
func TestIdleAdapterGoes(t *testing.T) {
	t.Parallel()
	bothFences(t, 2, func(t *testing.T, r *rig) {
		r.askAdapter("lora")
		r.run(time.Second)
		r.beginWith(t, "")
		r.run(10 * time.Second)
		r.expectAdapters(t, "lora")
		r.run(15 * time.Second)
		r.expectAdapters(t)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestAdapterInUseStays: no adapter goes that requests use, whoever waits; the
// place of the first that becomes free is taken at once.
func TestAdapterInUseStays(t *testing.T) {
	t.Parallel()
	bothFences(t, 2, func(t *testing.T, r *rig) {
		for _, name := range []string{"lora", "lora-1"} {
			r.askAdapter(name)
			r.run(time.Second)
		}
		end := r.beginWith(t, "lora")
		r.beginWith(t, "lora-1")
		r.run(3 * time.Second)
		for range 30 {
			r.askAdapter("lora-2")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora", "lora-1")
		r.beginWith(t, "lora")()
		r.beginWith(t, "lora-1")
		end()
		r.run(3 * time.Second)
		r.expectAdapters(t, "lora-1", "lora-2")
	})
}

// TestSilentUseKeepsAdapters: where the engine does not tell which adapters are
// used, none goes from a busy replica.
func TestSilentUseKeepsAdapters(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 5 * gib, hidesUse: true,
		models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 4, adapters: []string{"lora-1"},
	})
	r.run(5 * time.Second)
	r.waitFor("model-0", 10*time.Second)
	r.run(5 * time.Second)
	r.askAdapter("lora")
	r.run(time.Second)
	end := r.beginWith(t, "")
	r.run(3 * time.Second)
	for range 30 {
		r.askAdapter("lora-1")
		r.run(time.Second)
	}
	r.expectAdapters(t, "lora")
	end()
	r.run(4 * time.Second)
	r.expectAdapters(t, "lora-1")
	r.mustHold(t)
}

// TestRemovedAdapterGoes: an adapter that the configuration no longer has, or
// has another checkpoint of, goes at once.
func TestRemovedAdapterGoes(t *testing.T) {
	t.Parallel()
	bothFences(t, 2, func(t *testing.T, r *rig) {
		for _, name := range []string{"lora", "lora-1"} {
			r.askAdapter(name)
			r.run(time.Second)
		}
		r.config = r.newConfig(2, 1)
		delete(r.config.Adapters, "lora")
		c := r.config.Adapters["lora-1"]
		c.Checkpoint = "ckpt-new"
		r.config.Adapters["lora-1"] = c
		for _, e := range r.entries {
			e.post(ConfigChanged{r.config})
		}
		r.run(time.Second)
		r.expectAdapters(t)
	})
}

// TestLateAdapterOrder holds an adapter's load order up, kills its sender, and
// has callers wait for what would take its room, at first also for the adapter
// itself: the order arrives late.
func TestLateAdapterOrder(t *testing.T) {
	t.Parallel()
	for _, again := range []bool{false, true} {
		bothFences(t, 2, func(t *testing.T, r *rig) {
			r.beginWith(t, "")
			r.delayOrders(28 * time.Second)
			r.askAdapter("lora")
			r.run(20 * time.Millisecond)
			r.ownerOf(0, 0).kill()
			r.net.Delay = nil
			for i := range 100 {
				if again && i < 18 {
					r.askAdapter("lora")
				} else {
					r.askAdapter("lora-1")
					r.askAdapter("lora-2")
				}
				r.run(time.Second)
			}
			r.expectAdapters(t, "lora-1", "lora-2")
		})
	}
}

// TestSlowAdapterLoad: an adapter whose callers have given up takes its room
// until its load has ended.
func TestSlowAdapterLoad(t *testing.T) {
	t.Parallel()
	bothFences(t, 1, func(t *testing.T, r *rig) {
		r.beginWith(t, "")
		r.targets[0].slow = 20 * time.Second
		r.askAdapter("lora")
		r.run(100 * time.Millisecond)
		r.targets[0].slow = 0
		for range 40 {
			r.askAdapter("lora-1")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora-1")
	})
}

// TestStrangeAdapterLoads: adapters that load and that the plan does not charge
// leave no room that is known of.
func TestStrangeAdapterLoads(t *testing.T) {
	state := &ports.TargetState{MemoryBytes: 10}
	r := &replica{adapters: map[string]*adapter{"lora": {}}}
	r.MemoryBytes = 4
	tg := &target{state: state, replicas: map[string]*replica{"r": r}}
	for loads, want := range []uint64{6, 6, 0} {
		state.AdapterLoads = loads
		if diff := cmp.Diff(want, tg.freeBytes()); diff != "" {
			t.Errorf("%d loads: room (-want +got):\n%s", loads, diff)
		}
	}
}

// TestAdapterOrderLost loses the answer to an adapter's load order: its room is
// taken again only once the order cannot arrive any more.
func TestAdapterOrderLost(t *testing.T) {
	t.Parallel()
	bothFences(t, 1, func(t *testing.T, r *rig) {
		owner := r.ownerOf(0, 0)
		r.delayOrders(20 * time.Second)
		r.askAdapter("lora")
		r.run(20 * time.Millisecond)
		r.net.Delay = nil
		r.net.Cut(r.targets[0].row.Addr, owner.member.Addr, true)
		r.run(4 * time.Second)
		r.net.Cut(r.targets[0].row.Addr, owner.member.Addr, false)
		for range 60 {
			r.askAdapter("lora-1")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora-1")
	})
}

// TestLateAdapterUnload holds up the order that removes an adapter: its room is
// not used before the target has confirmed.
func TestLateAdapterUnload(t *testing.T) {
	t.Parallel()
	bothFences(t, 1, func(t *testing.T, r *rig) {
		r.askAdapter("lora")
		r.run(time.Second)
		r.beginWith(t, "")
		r.run(3 * time.Second)
		r.delayOrders(3 * time.Second)
		for range 10 {
			r.askAdapter("lora-1")
			r.run(time.Second)
		}
		r.net.Delay = nil
		r.askAdapter("lora-1")
		r.run(5 * time.Second)
		r.expectAdapters(t, "lora-1")
	})
}

// TestAdapterUnloadWaits: a request that began since the target's last report
// ends first, and only then is the room used.
func TestAdapterUnloadWaits(t *testing.T) {
	t.Parallel()
	bothFences(t, 1, func(t *testing.T, r *rig) {
		r.askAdapter("lora")
		r.run(time.Second)
		r.beginWith(t, "")
		r.run(3 * time.Second)
		end := r.beginWith(t, "lora")
		for range 5 {
			r.askAdapter("lora-1")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora")
		end()
		r.run(time.Second)
		r.expectAdapters(t, "lora-1")
	})
}

// TestAdapterLoadsInFlight: eight replicas want adapters at once, and the limit
// of loads in flight holds at every moment.
func TestAdapterLoadsInFlight(t *testing.T) {
	t.Parallel()
	for unfenced := range 2 {
		r := newRig(rigSize{
			zones: 1, entries: 1, targets: 8, shards: 1, unfenced: 8 * unfenced, memoryBytes: 5 * gib,
			models: 1, maxReplicas: 8, latency: time.Millisecond, seed: 4, adapters: []string{"lora-1", "lora-2"},
		})
		const limit = 2
		r.entries[0].shards[0].settings.AdapterLoads = limit
		r.run(5 * time.Second)
		for range 20 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 32, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 8})
		most := 0
		for range 3000 {
			for _, name := range []string{"lora", "lora-1", "lora-2"} {
				r.askAdapter(name)
			}
			r.run(10 * time.Millisecond)
			loading := 0
			for _, m := range r.targets {
				loading += m.engine.State().AdapterLoads
				for _, rep := range m.engine.State().Replicas {
					// Those who use an adapter keep its replica full, so more are wanted.
					for range 4 - rep.Running {
						if len(rep.Adapters) > 0 {
							m.engine.BeginWith(rep.Replica, rep.Adapters[0])
						}
					}
				}
			}
			most = max(most, loading)
		}
		if most != limit {
			t.Errorf("%d adapter loads at once, the limit is %d", most, limit)
		}
		r.mustHold(t)
	}
}
