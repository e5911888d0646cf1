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

// roundRobinCallers simulates entries whose callers use the adapters of a model in turn.
type roundRobinCallers struct {
	r         *cluster
	adapters  []string
	waiting   map[string][]time.Time
	waitTimes []time.Duration
	refused   int
}

const (
	callerInterval  = 100 * time.Millisecond
	requestDuration = 300 * time.Millisecond
	callerDeadline  = 10 * time.Second
	demandInterval  = 500 * time.Millisecond
)

// arrive adds a caller and demands its adapter.
func (c *roundRobinCallers) arrive(i int) {
	name := c.adapters[i%len(c.adapters)]
	c.waiting[name] = append(c.waiting[name], c.r.clock.Now())
	c.serve(name)
	c.sendDemand(name)
}

// sendDemand tells the owner how many callers still wait.
func (c *roundRobinCallers) sendDemand(name string) {
	if waiting := c.waiting[name]; len(waiting) > 0 {
		left := callerDeadline - c.r.clock.Now().Sub(waiting[0])
		c.r.demand(0, 0, ports.Demand{Model: "model-0", Adapter: name, Waiting: len(waiting), Within: left, From: "caller"})
	}
}

// serve starts the requests of callers on a replica that has the adapter, and refuses the
// callers whose deadline has passed.
func (c *roundRobinCallers) serve(name string) {
	now := c.r.clock.Now()
	var left []time.Time
	for _, since := range c.waiting[name] {
		switch end, ok := c.begin(name); {
		case ok:
			c.waitTimes = append(c.waitTimes, now.Sub(since))
			c.r.clock.After(requestDuration, end)
		case now.Sub(since) >= callerDeadline:
			c.refused++
		default:
			left = append(left, since)
		}
	}
	c.waiting[name] = left
}

func (c *roundRobinCallers) begin(name string) (func(), bool) {
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

func (c *roundRobinCallers) serveAll() {
	for _, name := range slices.Sorted(maps.Keys(c.waiting)) {
		c.serve(name)
	}
}

// TestAdapterRounds sends ten requests per second to the adapters of one model in turn,
// with four replicas that have memory for eight adapters each.
func TestAdapterRounds(t *testing.T) {
	t.Parallel()
	for count, preset := range map[int]string{
		32: policy.PresetPulilan, 75: policy.PresetLakeshore, 100: policy.PresetPulilan,
	} {
		t.Run(fmt.Sprintf("%d/%s", count, preset), func(t *testing.T) { runAdapterRounds(t, count, preset) })
	}
}

func runAdapterRounds(t *testing.T, count int, preset string) {
	c := &roundRobinCallers{waiting: make(map[string][]time.Time)}
	for i := range count {
		c.adapters = append(c.adapters, fmt.Sprintf("lora-%03d", i))
	}
	r := newCluster(clusterConfig{
		zones: 1, entries: 1, targets: 4, shards: 1, unfenced: 2, memoryBytes: 12 * gib, adapterLoadTime: 15 * time.Millisecond,
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
	before := r.kvCalls()
	r.every(20*time.Millisecond, c.serveAll)
	r.every(demandInterval, func() {
		for _, name := range slices.Sorted(maps.Keys(c.waiting)) {
			c.sendDemand(name)
		}
	})
	const requests = 2000
	sent := 0
	r.every(callerInterval, func() {
		if sent < requests {
			c.arrive(sent)
			sent++
		}
	})
	r.run(requests*callerInterval + callerDeadline + time.Second)
	r.checkInvariants(t)
	loads := 0
	for _, o := range r.sent {
		if o.order.Kind == ports.OrderLoadAdapter {
			loads++
		}
	}
	slices.Sort(c.waitTimes)
	n := len(c.waitTimes)
	t.Logf("served %d, refused %d, loads %d, wait p50 %v p95 %v p99 %v most %v, KV writes %d in %v", n, c.refused, loads,
		c.waitTimes[n/2], c.waitTimes[n*95/100], c.waitTimes[n*99/100], c.waitTimes[n-1], subtractCalls(r.kvCalls(), before)["write"], requests*callerInterval)
	if c.refused > 0 || n != requests {
		t.Errorf("%d of %d requests were served, %d refused", n, requests, c.refused)
	}
}

// BenchmarkAdapterRounds measures the CPU time of a minute in which callers use 16
// adapters in turn, with memory for 8 and with the given number of configured adapters.
func BenchmarkAdapterRounds(b *testing.B) {
	for _, all := range []int{16, 560, 5600} {
		b.Run(fmt.Sprint(all), func(b *testing.B) {
			c := &roundRobinCallers{waiting: make(map[string][]time.Time)}
			var names []string
			for i := range all {
				names = append(names, fmt.Sprintf("lora-%04d", i))
			}
			c.adapters = names[:16]
			c.r = newCluster(clusterConfig{
				zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 12 * gib, adapterLoadTime: 15 * time.Millisecond,
				models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 4, adapters: names,
			})
			c.r.run(5 * time.Second)
			c.r.demandUntilLoaded("model-0", 10*time.Second)
			c.r.every(20*time.Millisecond, c.serveAll)
			sent := 0
			c.r.every(callerInterval, func() {
				c.arrive(sent)
				sent++
			})
			for b.Loop() {
				c.r.clock.Advance(time.Minute)
			}
		})
	}
}
