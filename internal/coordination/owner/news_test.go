package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// TestDemandsBehindALoad: the entries repeat their demands in step, and those that
// were on their way when the load was done make no other. Callers who go on
// waiting do.
func TestDemandsBehindALoad(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		demands := func(entries int) {
			for i := range entries {
				from := fmt.Sprint("entry-", i)
				r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: from})
			}
		}
		loads := func() int {
			n := 0
			for _, m := range r.targets {
				n += m.engine.Record().Loads["model-0"]
			}
			return n
		}
		ready := func() bool {
			for _, m := range r.targets {
				for _, state := range m.engine.State().Replicas {
					if state.Phase == ports.PhaseReady {
						return true
					}
				}
			}
			return false
		}
		demands(4)
		for range 1000 {
			if ready() {
				break
			}
			r.run(10 * time.Millisecond)
		}
		// The owner hears of it with the next report.
		r.run(400 * time.Millisecond)
		demands(8)
		r.run(5 * time.Second)
		got := []int{loads()}
		for range 4 {
			r.run(time.Second)
			demands(8)
		}
		r.run(5 * time.Second)
		got = append(got, loads())
		if diff := cmp.Diff([]int{1, 2}, got); diff != "" {
			t.Errorf("loads (-want +got):\n%s", diff)
		}
	})
}

// TestBurstOverIdleModels is 500 first requests for 50 idle models at eight
// entries, as the shards of three zones see it under the real policies: each entry
// tells each second of its callers until it hears that the model is ready. Every
// model is loaded once, and the last as soon as the store allows.
func TestBurstOverIdleModels(t *testing.T) {
	t.Parallel()
	const models, entries, shards, zones = 50, 8, 2, 3
	for seed := range uint64(3) {
		r := newRig(rigSize{
			zones: zones, entries: 3, targets: 7, shards: shards, memoryBytes: 80 * gib,
			models: models, maxReplicas: 6, latency: time.Millisecond, seed: seed,
		})
		policies, err := policy.New(policy.Weights{ColdStart: 4, IdleHours: 1})
		if err != nil {
			t.Fatal(err)
		}
		// The first models fall idle before the last are loaded, and would be loaded
		// again early.
		policies.Preload = testPolicies().Preload
		for _, e := range r.entries {
			for _, s := range e.shards {
				s.policies = policies
			}
		}
		r.run(5 * time.Second)
		began := r.clock.Now()
		heard := make(map[string]time.Time)
		for step := range 500 {
			for m := range models {
				model := modelName(m)
				// News of a replica takes up to 300 ms to the entries.
				if at, ok := heard[model]; step%10 == 0 && (!ok || r.clock.Now().Sub(at) < 300*time.Millisecond) {
					r.tellOf(model, m, entries)
				}
			}
			r.run(100 * time.Millisecond)
			r.noteReady(heard)
		}
		r.mustHold(t)
		loads := make(map[string]int)
		for _, m := range r.targets {
			for model, n := range m.engine.Record().Loads {
				loads[model] += n
			}
		}
		want := make(map[string]int)
		last := time.Duration(0)
		for m := range models {
			want[modelName(m)] = 1
			last = max(last, heard[modelName(m)].Sub(began))
		}
		if diff := cmp.Diff(want, loads); diff != "" {
			t.Errorf("seed %d: loads (-want +got):\n%s", seed, diff)
		}
		t.Logf("seed %d: the last model is ready after %v", seed, last)
		if last > 50*time.Second {
			t.Errorf("seed %d: the last model is ready after %v", seed, last)
		}
	}
}

// tellOf sends the demands of ten callers at several entries to the shard that is
// asked first for a model.
func (r *rig) tellOf(model string, number, entries int) {
	zone, shard := number%r.size.zones, number/r.size.zones%r.size.shards
	for e := range entries {
		waiting := 1
		if e < 2 {
			waiting = 2
		}
		r.demand(zone, shard, ports.Demand{
			Model: model, Waiting: waiting, Within: 60 * time.Second, From: fmt.Sprint("entry-", e),
		})
	}
}

// noteReady notes the models that have become ready.
func (r *rig) noteReady(heard map[string]time.Time) {
	for _, m := range r.targets {
		for _, state := range m.engine.State().Replicas {
			if _, ok := heard[state.Model]; !ok && state.Phase == ports.PhaseReady {
				heard[state.Model] = r.clock.Now()
			}
		}
	}
}
