package owner

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// newPreloadCluster returns a cluster of one shard with the production policies.
func newPreloadCluster(t *testing.T) *cluster {
	t.Helper()
	weights, err := policy.Preset(policy.PresetPulilan)
	if err != nil {
		t.Fatal(err)
	}
	set, err := policy.New(weights, policy.WithAcceleratorBytes(4*gib))
	if err != nil {
		t.Fatal(err)
	}
	r := newCluster(clusterConfig{
		zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 5 * gib,
		models: 2, maxReplicas: 1, latency: time.Millisecond, seed: 4,
	})
	for _, s := range r.entries[0].shards {
		s.policies = set
	}
	c := r.newConfig(2, 1)
	model := c.Models["model-1"]
	model.LoadTime = config.Duration(30 * time.Second)
	c.Models["model-1"] = model
	r.config = c
	r.entries[0].post(ConfigChanged{c})
	r.run(10 * time.Second)
	return r
}

// useModel has a caller wait for model-1 again after each period.
func (r *cluster) useModel(times int, period time.Duration) {
	for range times {
		r.demand(0, 0, ports.Demand{Model: "model-1", Waiting: 1, Within: time.Minute, From: "caller"})
		r.run(10 * time.Second)
		r.demand(0, 0, ports.Demand{Model: "model-1", Within: time.Second, From: "caller"})
		r.run(period - 10*time.Second)
	}
}

// TestPreloadsOnceBetweenUses: a model is used at regular intervals and then no more. It
// is preloaded shortly before the next use was due, by about the time of a load from
// where its checkpoint is cached, and not again when that use does not come.
func TestPreloadsOnceBetweenUses(t *testing.T) {
	t.Parallel()
	const period = 40 * time.Minute
	// maxEarly is how long an accelerator may be held for the cost of the cold start that
	// is saved: 1.5 s from the target's memory, at a weight of 65 per hour held.
	const maxEarly = 1500 * time.Millisecond * 3600 / 65
	r := newPreloadCluster(t)
	r.useModel(4, period)
	due := r.clock.Now().Add(period)
	r.useModel(1, time.Minute)
	loads := 0
	r.onOrder = func(_ *entry, o ports.Order) {
		if o.Kind != ports.OrderLoad {
			return
		}
		loads++
		if early := due.Sub(r.clock.Now()); early <= 0 || early > maxEarly+preloadInterval {
			t.Errorf("loaded %v before the use was due, wanted at most %v", early, maxEarly)
		}
	}
	r.run(2 * time.Hour)
	t.Logf("%d loads", loads)
	if loads != 1 {
		t.Errorf("%d preloads for a use that did not come, wanted 1", loads)
	}
	r.checkInvariants(t)
}
