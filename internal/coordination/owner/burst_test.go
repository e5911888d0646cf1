package owner

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// TestDemandsBehindALoad: all entries repeat their demands in step. Those in transit when
// the load finishes must not cause another load, but those of callers that go on waiting
// must.
func TestDemandsBehindALoad(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		sendDemands := func(entries int) {
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
		sendDemands(4)
		for range 1000 {
			if ready() {
				break
			}
			r.run(10 * time.Millisecond)
		}
		// The owner learns of the load from the next report.
		r.run(400 * time.Millisecond)
		sendDemands(8)
		r.run(5 * time.Second)
		got := []int{loads()}
		for range 4 {
			r.run(time.Second)
			sendDemands(8)
		}
		r.run(5 * time.Second)
		got = append(got, loads())
		if diff := cmp.Diff([]int{1, 2}, got); diff != "" {
			t.Errorf("loads (-want +got):\n%s", diff)
		}
	})
}

// TestBurstOverIdleModels sends 500 first requests for 50 idle models through eight
// entries to the shards of three zones, under the production policies. Each entry repeats
// its demand once a second until it learns that the model is ready. Every model must be
// loaded exactly once, and the last one as soon as the weight store allows.
func TestBurstOverIdleModels(t *testing.T) {
	t.Parallel()
	const models, entries, shards, zones = 50, 8, 2, 3
	for seed := range uint64(3) {
		r := newCluster(clusterConfig{
			zones: zones, entries: 3, targets: 7, shards: shards, memoryBytes: 80 * gib,
			models: models, maxReplicas: 6, latency: time.Millisecond, seed: seed,
		})
		policies, err := policy.New(policy.Weights{ColdStart: 4, IdleHours: 1})
		if err != nil {
			t.Fatal(err)
		}
		// The first models become idle before the last ones are loaded, and the policy
		// would preload them again.
		policies.Preload = testPolicies().Preload
		for _, e := range r.entries {
			for _, s := range e.shards {
				s.policies = policies
			}
		}
		r.run(5 * time.Second)
		began := r.clock.Now()
		readyAt := make(map[string]time.Time)
		for step := range 500 {
			for m := range models {
				model := modelName(m)
				// A new replica takes up to 300 ms to become known to the entries.
				if at, ok := readyAt[model]; step%10 == 0 && (!ok || r.clock.Now().Sub(at) < 300*time.Millisecond) {
					r.sendBurstDemands(model, m, entries)
				}
			}
			r.run(100 * time.Millisecond)
			r.recordReady(readyAt)
		}
		r.checkInvariants(t)
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
			last = max(last, readyAt[modelName(m)].Sub(began))
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

// sendBurstDemands sends the demands of ten callers at several entries to the shard that
// is asked first for a model.
func (r *cluster) sendBurstDemands(model string, number, entries int) {
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

// recordReady records the models that have become ready.
func (r *cluster) recordReady(readyAt map[string]time.Time) {
	for _, m := range r.targets {
		for _, state := range m.engine.State().Replicas {
			if _, ok := readyAt[state.Model]; !ok && state.Phase == ports.PhaseReady {
				readyAt[state.Model] = r.clock.Now()
			}
		}
	}
}
