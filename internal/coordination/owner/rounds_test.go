package owner

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// rounds is a stand-in for entries whose callers go round a model's adapters.
type rounds struct {
	r        *rig
	adapters []string
	waiting  map[string][]time.Time
	waits    []time.Duration
	refused  int
}

const (
	roundEvery    = 100 * time.Millisecond
	roundTakes    = 300 * time.Millisecond
	roundDeadline = 10 * time.Second
	demandAgain   = 500 * time.Millisecond
)

// arrive adds a caller and asks for its adapter.
func (c *rounds) arrive(i int) {
	name := c.adapters[i%len(c.adapters)]
	c.waiting[name] = append(c.waiting[name], c.r.clock.Now())
	c.serve(name)
	c.ask(name)
}

// ask tells the owner of who still waits.
func (c *rounds) ask(name string) {
	if waiting := c.waiting[name]; len(waiting) > 0 {
		left := roundDeadline - c.r.clock.Now().Sub(waiting[0])
		c.r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: name, Waiting: len(waiting), Within: left, From: "caller"})
	}
}

// serve lets callers through to a replica that has the adapter, and refuses
// those whose deadline has passed.
func (c *rounds) serve(name string) {
	now := c.r.clock.Now()
	var left []time.Time
	for _, since := range c.waiting[name] {
		switch end, ok := c.begin(name); {
		case ok:
			c.waits = append(c.waits, now.Sub(since))
			c.r.clock.After(roundTakes, end)
		case now.Sub(since) >= roundDeadline:
			c.refused++
		default:
			left = append(left, since)
		}
	}
	c.waiting[name] = left
}

func (c *rounds) begin(name string) (func(), bool) {
	for _, m := range c.r.targets {
		for _, rep := range m.engine.State().Replicas {
			if rep.Running >= 16 {
				continue
			}
			if end, ok := m.engine.BeginWith(rep.Replica, name); ok {
				return end, true
			}
		}
	}
	return nil, false
}

func (c *rounds) serveAll() {
	for _, name := range slices.Sorted(maps.Keys(c.waiting)) {
		c.serve(name)
	}
}

// TestAdapterRounds sends ten requests a second round the adapters of one model
// with four replicas, each with room for eight adapters.
func TestAdapterRounds(t *testing.T) {
	t.Parallel()
	for count, preset := range map[int]string{
		32: policy.PresetPulilan, 75: policy.PresetLakeshore, 100: policy.PresetPulilan,
	} {
		t.Run(fmt.Sprintf("%d/%s", count, preset), func(t *testing.T) { runRounds(t, count, preset) })
	}
}

func runRounds(t *testing.T, count int, preset string) {
	c := &rounds{waiting: make(map[string][]time.Time)}
	for i := range count {
		c.adapters = append(c.adapters, fmt.Sprintf("lora-%03d", i))
	}
	r := newRig(rigSize{
		zones: 1, entries: 1, targets: 4, shards: 1, unfenced: 2, memoryBytes: 12 * gib, adapterTime: 15 * time.Millisecond,
		models: 1, maxReplicas: 4, latency: time.Millisecond, seed: 4, adapters: c.adapters,
	})
	c.r = r
	weights, _ := policy.Preset(preset)
	policies, _ := policy.New(weights)
	r.entries[0].shards[0].policies = policies
	r.config = r.newConfig(2, 4)
	r.config.Rules["model-0"] = config.Rule{MaxReplicas: 4, MinReplicas: 4}
	r.entries[0].post(ConfigChanged{r.config})
	r.run(20 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 4})
	before := r.calls()
	r.every(20*time.Millisecond, c.serveAll)
	r.every(demandAgain, func() {
		for _, name := range slices.Sorted(maps.Keys(c.waiting)) {
			c.ask(name)
		}
	})
	const requests = 2000
	sent := 0
	r.every(roundEvery, func() {
		if sent < requests {
			c.arrive(sent)
			sent++
		}
	})
	r.run(requests*roundEvery + roundDeadline + time.Second)
	r.mustHold(t)
	loads := 0
	for _, o := range r.sent {
		if o.order.Kind == ports.OrderLoadAdapter {
			loads++
		}
	}
	slices.Sort(c.waits)
	n := len(c.waits)
	t.Logf("served %d, refused %d, loads %d, wait p50 %v p95 %v p99 %v most %v, KV writes %d in %v", n, c.refused, loads,
		c.waits[n/2], c.waits[n*95/100], c.waits[n*99/100], c.waits[n-1], less(r.calls(), before)["write"], requests*roundEvery)
	if c.refused > 0 || n != requests {
		t.Errorf("%d of %d requests were served, %d refused", n, requests, c.refused)
	}
}

// BenchmarkAdapterRounds gives the processor time of a minute of callers who go
// round 16 adapters with room for 8, of as many as the configuration has in all.
func BenchmarkAdapterRounds(b *testing.B) {
	for _, all := range []int{16, 560, 5600} {
		b.Run(fmt.Sprint(all), func(b *testing.B) {
			c := &rounds{waiting: make(map[string][]time.Time)}
			var names []string
			for i := range all {
				names = append(names, fmt.Sprintf("lora-%04d", i))
			}
			c.adapters = names[:16]
			c.r = newRig(rigSize{
				zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 12 * gib, adapterTime: 15 * time.Millisecond,
				models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 4, adapters: names,
			})
			c.r.run(5 * time.Second)
			c.r.waitFor("model-0", 10*time.Second)
			c.r.every(20*time.Millisecond, c.serveAll)
			sent := 0
			c.r.every(roundEvery, func() {
				c.arrive(sent)
				sent++
			})
			for b.Loop() {
				c.r.clock.Advance(time.Minute)
			}
		})
	}
}
