package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// newAdapterCluster returns a cluster with one target that has a replica of model-0 and
// memory for the given number of adapters.
func newAdapterCluster(unfenced, room int) *cluster {
	r := newCluster(clusterConfig{
		zones: 1, entries: 2, targets: 1, shards: 1, unfenced: unfenced, memoryBytes: uint64(4+room) * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4, adapters: []string{"lora-1", "lora-2"},
	})
	r.run(5 * time.Second)
	r.demandUntilLoaded("model-0", 10*time.Second)
	r.run(5 * time.Second)
	return r
}

func (r *cluster) demandAdapter(name string) {
	r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: name, Waiting: 1, Within: 5 * time.Second, From: "caller"})
}

// expectAdapters compares the adapters loaded on all targets.
func (r *cluster) expectAdapters(t *testing.T, want ...string) {
	t.Helper()
	var got []string
	for _, m := range r.targets {
		for _, rep := range m.engine.State().Replicas {
			got = append(got, rep.Adapters...)
		}
	}
	slices.Sort(got)
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("adapters (-want +got):\n%s%s", diff, r.dumpState())
	}
}

// beginRequest starts a request that uses an adapter of the first target.
func (r *cluster) beginRequest(t *testing.T, adapter string) func() {
	t.Helper()
	m := r.targets[0]
	end, ok := m.engine.BeginWith(m.engine.State().Replicas[0].Replica, adapter)
	if !ok {
		t.Fatalf("no request with %q", adapter)
	}
	return end
}

// forEachFencingWithAdapters runs a case with a target that checks fencing and with one
// that ignores it.
func forEachFencingWithAdapters(t *testing.T, room int, f func(t *testing.T, r *cluster)) {
	for unfenced, name := range []string{"fenced", "unfenced"} {
		t.Run(name, func(t *testing.T) {
			r := newAdapterCluster(unfenced, room)
			f(t, r)
			r.checkInvariants(t)
		})
	}
}

// TestAdapterEvictsLeastRecentlyUsed: with memory for two adapters, loading a third one
// evicts the least recently used one and keeps the model.
func TestAdapterEvictsLeastRecentlyUsed(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 2, func(t *testing.T, r *cluster) {
		for _, name := range []string{"lora", "lora-1"} {
			r.demandAdapter(name)
			r.run(2 * time.Second)
		}
		r.beginRequest(t, "lora")()
		r.run(3 * time.Second)
		r.demandAdapter("lora-2")
		r.run(time.Second)
		r.expectAdapters(t, "lora", "lora-2")
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestRepeatedDemandLoadsAdapterOnce: a demand from an entry that does not know yet that
// the adapter is ready must not load the adapter on the other replica as well.
func TestRepeatedDemandLoadsAdapterOnce(t *testing.T) {
	t.Parallel()
	for unfenced := range 2 {
		r := newCluster(clusterConfig{
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
			r.demandAdapter("lora")
			r.run(50 * time.Millisecond)
		}
		r.run(time.Second)
		r.expectAdapters(t, "lora")
		r.checkInvariants(t)
	}
}

// TestModelEvictsIdleAdapters: an idle adapter of a busy replica is evicted for a model.
func TestModelEvictsIdleAdapters(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 4, func(t *testing.T, r *cluster) {
		r.demandAdapter("lora")
		r.run(2 * time.Second)
		r.beginRequest(t, "")
		r.run(3 * time.Second)
		r.demandUntilLoaded("model-1", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
		r.expectAdapters(t)
	})
}

// TestIdleAdapterIsUnloaded: an adapter is unloaded after its keep-alive even if its
// model is in constant use.
func TestIdleAdapterIsUnloaded(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 2, func(t *testing.T, r *cluster) {
		r.demandAdapter("lora")
		r.run(time.Second)
		r.beginRequest(t, "")
		r.run(10 * time.Second)
		r.expectAdapters(t, "lora")
		r.run(15 * time.Second)
		r.expectAdapters(t)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestAdapterInUseStays: an adapter with running requests is never evicted, whoever
// waits. The first adapter that becomes idle is evicted at once.
func TestAdapterInUseStays(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 2, func(t *testing.T, r *cluster) {
		for _, name := range []string{"lora", "lora-1"} {
			r.demandAdapter(name)
			r.run(time.Second)
		}
		end := r.beginRequest(t, "lora")
		r.beginRequest(t, "lora-1")
		r.run(3 * time.Second)
		for range 30 {
			r.demandAdapter("lora-2")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora", "lora-1")
		r.beginRequest(t, "lora")()
		r.beginRequest(t, "lora-1")
		end()
		r.run(3 * time.Second)
		r.expectAdapters(t, "lora-1", "lora-2")
	})
}

// TestUnreportedUseKeepsAdapters: if the engine does not report the use of adapters, none
// is evicted from a busy replica.
func TestUnreportedUseKeepsAdapters(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 5 * gib, hideAdapterUse: true,
		models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 4, adapters: []string{"lora-1"},
	})
	r.run(5 * time.Second)
	r.demandUntilLoaded("model-0", 10*time.Second)
	r.run(5 * time.Second)
	r.demandAdapter("lora")
	r.run(time.Second)
	end := r.beginRequest(t, "")
	r.run(3 * time.Second)
	for range 30 {
		r.demandAdapter("lora-1")
		r.run(time.Second)
	}
	r.expectAdapters(t, "lora")
	end()
	r.run(4 * time.Second)
	r.expectAdapters(t, "lora-1")
	r.checkInvariants(t)
}

// TestRemovedAdapterIsUnloaded: an adapter that was removed from the configuration, or
// got another checkpoint, is unloaded at once.
func TestRemovedAdapterIsUnloaded(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 2, func(t *testing.T, r *cluster) {
		for _, name := range []string{"lora", "lora-1"} {
			r.demandAdapter(name)
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

// TestLateAdapterOrder: the load order of an adapter is delayed and its sender killed.
// Meanwhile callers wait for adapters that need the same memory, in one case first for
// the adapter itself. Then the order arrives late.
func TestLateAdapterOrder(t *testing.T) {
	t.Parallel()
	for _, keepDemanding := range []bool{false, true} {
		forEachFencingWithAdapters(t, 2, func(t *testing.T, r *cluster) {
			r.beginRequest(t, "")
			r.delayOrders(28 * time.Second)
			r.demandAdapter("lora")
			r.run(20 * time.Millisecond)
			r.ownerOf(0, 0).kill()
			r.net.Delay = nil
			for i := range 100 {
				if keepDemanding && i < 18 {
					r.demandAdapter("lora")
				} else {
					r.demandAdapter("lora-1")
					r.demandAdapter("lora-2")
				}
				r.run(time.Second)
			}
			r.expectAdapters(t, "lora-1", "lora-2")
		})
	}
}

// TestSlowAdapterLoad: an adapter whose callers have given up stays charged until its
// load has ended.
func TestSlowAdapterLoad(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 1, func(t *testing.T, r *cluster) {
		r.beginRequest(t, "")
		r.targets[0].extraLoadTime = 20 * time.Second
		r.demandAdapter("lora")
		r.run(100 * time.Millisecond)
		r.targets[0].extraLoadTime = 0
		for range 40 {
			r.demandAdapter("lora-1")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora-1")
	})
}

// TestUnplannedAdapterLoadsLeaveNoMemory: while adapters load that the plan does not
// charge, no memory counts as free.
func TestUnplannedAdapterLoadsLeaveNoMemory(t *testing.T) {
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

// TestAdapterOrderLost: the reply to an adapter's load order is lost: its memory is
// reused only once the order can no longer arrive.
func TestAdapterOrderLost(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 1, func(t *testing.T, r *cluster) {
		owner := r.ownerOf(0, 0)
		r.delayOrders(20 * time.Second)
		r.demandAdapter("lora")
		r.run(20 * time.Millisecond)
		r.net.Delay = nil
		r.net.Cut(r.targets[0].row.Addr, owner.member.Addr, true)
		r.run(4 * time.Second)
		r.net.Cut(r.targets[0].row.Addr, owner.member.Addr, false)
		for range 60 {
			r.demandAdapter("lora-1")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora-1")
	})
}

// TestLateAdapterUnload: the order that unloads an adapter is delayed: its memory is not
// used before the target has confirmed the unload.
func TestLateAdapterUnload(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 1, func(t *testing.T, r *cluster) {
		r.demandAdapter("lora")
		r.run(time.Second)
		r.beginRequest(t, "")
		r.run(3 * time.Second)
		r.delayOrders(3 * time.Second)
		for range 10 {
			r.demandAdapter("lora-1")
			r.run(time.Second)
		}
		r.net.Delay = nil
		r.demandAdapter("lora-1")
		r.run(5 * time.Second)
		r.expectAdapters(t, "lora-1")
	})
}

// TestAdapterUnloadWaits: a request that began after the target's last report finishes
// first. Only then is the memory of its adapter used.
func TestAdapterUnloadWaits(t *testing.T) {
	t.Parallel()
	forEachFencingWithAdapters(t, 1, func(t *testing.T, r *cluster) {
		r.demandAdapter("lora")
		r.run(time.Second)
		r.beginRequest(t, "")
		r.run(3 * time.Second)
		end := r.beginRequest(t, "lora")
		for range 5 {
			r.demandAdapter("lora-1")
			r.run(time.Second)
		}
		r.expectAdapters(t, "lora")
		end()
		r.run(time.Second)
		r.expectAdapters(t, "lora-1")
	})
}

// TestAdapterLoadsInFlight: eight replicas need adapters at the same time, and the limit
// of loads in flight is never exceeded.
func TestAdapterLoadsInFlight(t *testing.T) {
	t.Parallel()
	for unfenced := range 2 {
		r := newCluster(clusterConfig{
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
				r.demandAdapter(name)
			}
			r.run(10 * time.Millisecond)
			loading := 0
			for _, m := range r.targets {
				loading += m.engine.State().AdapterLoads
				for _, rep := range m.engine.State().Replicas {
					// Keep the replicas full with requests that use an adapter, so that
					// more are needed.
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
		r.checkInvariants(t)
	}
}
