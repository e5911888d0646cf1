package owner

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// forEachFencing runs a case with targets that check fencing and with targets that ignore
// it.
func forEachFencing(t *testing.T, f func(t *testing.T, r *cluster)) {
	for name, unfenced := range map[string]int{"fenced": 0, "unfenced": 3} {
		t.Run(name, func(t *testing.T) {
			r := newSmallCluster(7, unfenced)
			r.run(5 * time.Second)
			f(t, r)
			r.checkInvariants(t)
		})
	}
}

func (r *cluster) expectLoaded(t *testing.T, want map[string]int) {
	t.Helper()
	got := make(map[string]int)
	for model := range want {
		got[model] = r.loaded(model)
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("loaded (-want +got):\n%s%s%s", diff, strings.Join(r.events, "\n"), r.dumpState())
	}
}

func (r *cluster) setKVFaults(f world.KVFaults) {
	for _, e := range r.entries {
		e.kv.SetFaults(f)
	}
}

func (r *cluster) demandUntilLoaded(model string, within time.Duration) time.Duration {
	begin := r.clock.Now()
	for r.clock.Now().Sub(begin) < within && r.loaded(model) == 0 {
		r.demand(0, 0, ports.Demand{Model: model, Waiting: 1, Within: 10 * time.Second, From: "caller"})
		r.run(100 * time.Millisecond)
	}
	return r.clock.Now().Sub(begin)
}

func healthyKV() world.KVFaults { return world.KVFaults{Latency: 4 * time.Millisecond} }

func TestOwnerKilledAtEveryStepOfALoad(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, _ *cluster) {
		for step := 1; step <= 40; step++ {
			r := newSmallCluster(uint64(step), strings.Count(t.Name(), "unfenced")*3)
			r.run(5 * time.Second)
			r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller"})
			for range step {
				next, _ := r.clock.Next()
				r.clock.Advance(next.Sub(r.clock.Now()))
				r.checkAfterEvent()
			}
			r.ownerOf(0, 0).kill()
			r.run(15 * time.Second)
			r.demandUntilLoaded("model-0", 30*time.Second)
			r.run(5 * time.Second)
			r.checkInvariants(t)
			r.expectLoaded(t, map[string]int{"model-0": 1})
		}
	})
}
