package owner

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// preloadRig is one shard with the policies of a running entry.
func preloadRig(t *testing.T) *rig {
	t.Helper()
	weights, err := policy.Preset(policy.PresetPulilan)
	if err != nil {
		t.Fatal(err)
	}
	set, err := policy.New(weights, policy.WithAcceleratorBytes(4*gib))
	if err != nil {
		t.Fatal(err)
	}
	r := newRig(rigSize{
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

// use lets a caller wait for model-1 and come back after each period.
func (r *rig) use(times int, period time.Duration) {
	for range times {
		r.demand(0, 0, ports.Demand{Model: "model-1", Waiting: 1, Within: time.Minute, From: "caller"})
		r.run(10 * time.Second)
		r.demand(0, 0, ports.Demand{Model: "model-1", Within: time.Second, From: "caller"})
		r.run(period - 10*time.Second)
	}
}

// TestPreloadsOnceBetweenUses uses a model in a steady rhythm and then no more.
// It is loaded shortly ahead of the use that was due, by the time that a load takes
// from where its checkpoint is cached, and not again after it stayed away.
func TestPreloadsOnceBetweenUses(t *testing.T) {
	t.Parallel()
	const period = 40 * time.Minute
	// worth is how long an accelerator may be held for the price of the cold start
	// that is saved: 1.5 s from the target's memory, at 65 a held hour.
	const worth = 1500 * time.Millisecond * 3600 / 65
	r := preloadRig(t)
	r.use(4, period)
	due := r.clock.Now().Add(period)
	r.use(1, time.Minute)
	loads := 0
	r.onOrder = func(_ *entry, o ports.Order) {
		if o.Kind != ports.OrderLoad {
			return
		}
		loads++
		if early := due.Sub(r.clock.Now()); early <= 0 || early > worth+preloadInterval {
			t.Errorf("loaded %v before the use was due, wanted at most %v", early, worth)
		}
	}
	r.run(2 * time.Hour)
	t.Logf("%d loads", loads)
	if loads != 1 {
		t.Errorf("%d loads ahead of a use that did not come, wanted 1", loads)
	}
	r.mustHold(t)
}
