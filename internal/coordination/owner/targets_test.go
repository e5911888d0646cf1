package owner

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

func TestTargetLeavesMidLoad(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(500 * time.Millisecond)
		leaving := r.targetWith("model-0")
		leaving.engine.SetLeaving(true)
		r.run(3 * time.Second)
		loads := leaving.engine.Record().Loads
		r.demandUntilLoaded("model-1", 10*time.Second)
		r.demandUntilLoaded("model-2", 10*time.Second)
		r.run(10 * time.Second)
		if diff := cmp.Diff(loads, leaving.engine.Record().Loads); diff != "" {
			t.Errorf("loads on the leaving target (-before +after):\n%s", diff)
		}
		r.expectLoaded(t, map[string]int{"model-1": 1, "model-2": 1})
	})
}

func TestTargetReclaimedMidLoad(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(500 * time.Millisecond)
		r.remove(r.targetWith("model-0"))
		r.run(90 * time.Second)
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

func TestTargetRestartsEmpty(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(4 * time.Second)
		r.boot(r.targetWith("model-0"))
		r.run(3 * time.Second)
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

func TestLoadFailure(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		for _, m := range r.targets {
			m.failLoads = true
		}
		r.demandAndWait("model-0", 1)
		r.run(5 * time.Second)
		reply := r.demandAndWait("model-0", 1)
		if reply.Status != ports.DemandRefused || reply.RetryAfter <= 0 {
			t.Errorf("after a failed load the answer is %+v", reply)
		}
		loads := 0
		for range 60 {
			r.demandAndWait("model-0", 1)
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

// TestNewRevision: after the revision of a loaded model changes, the old replica is
// unloaded within seconds, and callers get the new revision.
func TestNewRevision(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(5 * time.Second)
		r.config = r.newConfig(r.config.Version+1, r.size.maxReplicas)
		m := r.config.Models["model-0"]
		m.Revision = "r2"
		r.config.Models["model-0"] = m
		for _, e := range r.entries {
			e.post(ConfigChanged{r.config})
		}
		for range 8 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		var revisions []string
		for _, m := range r.targets {
			for _, rep := range m.engine.State().Replicas {
				if rep.Model == "model-0" {
					revisions = append(revisions, rep.Revision)
				}
			}
		}
		slices.Sort(revisions)
		if diff := cmp.Diff([]string{"r2"}, slices.Compact(revisions)); diff != "" {
			t.Errorf("revisions loaded (-want +got):\n%s%s", diff, r.dumpState())
		}
		r.checkInvariants(t)
	})
}

// TestPlacementLeavesRoomForAdapters: a model with an adapter is loaded where both fit,
// although another target would be filled completely by the model.
func TestPlacementLeavesRoomForAdapters(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 1, entries: 2, targets: 2, shards: 1, memoryBytes: 8 * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4,
	})
	r.run(5 * time.Second)
	r.demandUntilLoaded("model-1", 10*time.Second)
	r.run(5 * time.Second)
	r.demandUntilLoaded("model-0", 10*time.Second)
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: "lora", Waiting: 1, Within: 5 * time.Second, From: "caller"})
	r.run(2 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
	var adapters []string
	for _, m := range r.targets {
		for _, rep := range m.engine.State().Replicas {
			adapters = append(adapters, rep.Adapters...)
		}
	}
	if diff := cmp.Diff([]string{"lora"}, adapters); diff != "" {
		t.Errorf("adapters (-want +got):\n%s\n%s", diff, r.dumpState())
	}
	r.checkInvariants(t)
}

// TestAdapterEvictsIdleModel: an adapter that callers wait for is loaded on a ready
// replica after evicting an idle replica of another model.
func TestAdapterEvictsIdleModel(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []int{0, 1} {
		r := newCluster(clusterConfig{
			zones: 1, entries: 2, targets: 1, shards: 1, unfenced: unfenced, memoryBytes: 8 * gib,
			models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4,
		})
		r.run(5 * time.Second)
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(4 * time.Second)
		r.demandUntilLoaded("model-1", 10*time.Second)
		r.run(5 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
		for range 4 {
			r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: "lora", Waiting: 1, Within: 5 * time.Second, From: "caller"})
			r.run(time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 0})
		for _, rep := range r.targets[0].engine.State().Replicas {
			if diff := cmp.Diff([]string{"lora"}, rep.Adapters); diff != "" {
				t.Errorf("adapters of %s (-want +got):\n%s\n%s", rep.Replica, diff, r.dumpState())
			}
		}
		r.checkInvariants(t)
	}
}

// TestRareReportsDoNotDelayLoads: targets that are rarely asked for reports accept loads
// all the same.
func TestRareReportsDoNotDelayLoads(t *testing.T) {
	t.Parallel()
	r := newSmallCluster(7, 0)
	for _, e := range r.entries {
		for _, s := range e.shards {
			s.settings.ReportEvery = 30 * time.Second
		}
	}
	r.run(25 * time.Second)
	took := r.demandUntilLoaded("model-0", 20*time.Second)
	if took > 2*time.Second {
		t.Errorf("a load took %v:\n%s", took, r.dumpState())
	}
	r.checkInvariants(t)
}

// TestLeavingTargetFreesItsReplicas: a model whose only permit is used on a leaving
// target is loaded elsewhere as soon as its requests there have finished.
func TestLeavingTargetFreesItsReplicas(t *testing.T) {
	t.Parallel()
	for _, phase := range []string{"ready", "loading"} {
		forEachFencing(t, func(t *testing.T, r *cluster) {
			r.setMaximum(1)
			r.demandUntilLoaded("model-0", 10*time.Second)
			if phase == "ready" {
				r.run(5 * time.Second)
			}
			leaving := r.targetWith("model-0")
			for _, rep := range leaving.engine.State().Replicas {
				if end, ok := leaving.engine.Begin(rep.Replica); ok {
					r.clock.After(4*time.Second, end)
				}
			}
			leaving.engine.SetLeaving(true)
			for range 10 {
				r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 5 * time.Second, From: "caller"})
				r.run(time.Second)
			}
			r.expectLoaded(t, map[string]int{"model-0": 1})
			if r.targetWith("model-0") == leaving {
				t.Errorf("%s: the model is still on the leaving target\n%s", phase, r.dumpState())
			}
		})
	}
}
