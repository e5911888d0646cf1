package owner

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
)

// outageRig has four shards of four targets each and 96 models, none of which a
// target has cached.
func outageRig(fenced bool) *rig {
	size := rigSize{
		zones: 1, entries: 3, targets: 16, shards: 4, memoryBytes: 18 * gib, forgets: true,
		models: 96, maxReplicas: 1, latency: time.Millisecond, seed: 6,
	}
	if !fenced {
		size.unfenced = size.targets
	}
	r := newRig(size)
	r.config = r.newConfig(2, 1)
	for name := range r.config.Rules {
		r.config.Rules[name] = config.Rule{MaxReplicas: 1, KeepAlive: config.Duration(5 * time.Second)}
	}
	for _, e := range r.entries {
		e.post(ConfigChanged{r.config})
	}
	return r
}

// coldCallers asks for four models a second, each at its shard, and comes round
// when their replicas have gone again.
func (r *rig) coldCallers(period time.Duration) {
	for i := range int(period / time.Second) {
		for k := range 4 {
			model := modelName((4*i + k) % r.size.models)
			r.demand(0, place.ShardOf(model, r.size.shards), ports.Demand{Model: model, Waiting: 1, Within: 20 * time.Second, From: "caller"})
		}
		// The promises are checked once a second, not at every event.
		r.clock.Advance(time.Second)
		r.check()
	}
}

// loadsByShard sums the loads begun on the targets of each shard.
func (r *rig) loadsByShard() []int {
	loads := make([]int, r.size.shards)
	for _, m := range r.targets {
		for _, n := range m.engine.Record().Loads {
			loads[place.ShardOf(m.row.ID, r.size.shards)] += n
		}
	}
	return loads
}

// BenchmarkColdLoadsInOutage counts the cold loads of a 10 min outage of the KV
// service, and of as long without one, at four callers a second.
func BenchmarkColdLoadsInOutage(b *testing.B) {
	const period = 10 * time.Minute
	for _, c := range []struct{ fenced, used, down bool }{
		{fenced: true, used: true, down: false},
		{fenced: true, used: true, down: true},
		{fenced: true, used: false, down: true},
		{fenced: false, used: true, down: true},
	} {
		b.Run(fmt.Sprintf("fenced=%v/used=%v/down=%v", c.fenced, c.used, c.down), func(b *testing.B) {
			for b.Loop() {
				r := outageRig(c.fenced)
				r.run(time.Minute)
				if c.used {
					r.coldCallers(3 * time.Minute)
				}
				r.run(time.Minute)
				r.setKV(world.KVFaults{Down: c.down, Latency: 4 * time.Millisecond})
				b.Logf("slots by shard: %v", r.slotsByShard())
				before := r.loadsByShard()
				r.coldCallers(period)
				r.mustHold(b)
				sum := 0
				after := r.loadsByShard()
				for n := range after {
					after[n] -= before[n]
					sum += after[n]
				}
				b.Logf("loads by shard: %v", after)
				b.ReportMetric(float64(sum)/period.Seconds(), "loads/s")
			}
		})
	}
}

// slotsByShard are the weight store's slots that the shards hold.
func (r *rig) slotsByShard() []int {
	slots := make([]int, r.size.shards)
	for _, p := range r.plans() {
		slots[p.Shard] = p.Permits[permit.Store]
	}
	return slots
}
