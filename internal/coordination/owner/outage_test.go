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

// newOutageCluster returns a cluster with four shards of about four targets each and 96
// models, none of which are cached.
func newOutageCluster(fenced bool) *cluster {
	size := clusterConfig{
		zones: 1, entries: 3, targets: 16, shards: 4, memoryBytes: 18 * gib, noCache: true,
		models: 96, maxReplicas: 1, latency: time.Millisecond, seed: 6,
	}
	if !fenced {
		size.unfenced = size.targets
	}
	r := newCluster(size)
	r.config = r.newConfig(2, 1)
	for name := range r.config.Rules {
		r.config.Rules[name] = config.Rule{MaxReplicas: 1, KeepAlive: config.Duration(5 * time.Second)}
	}
	for _, e := range r.entries {
		e.post(ConfigChanged{r.config})
	}
	return r
}

// runColdCallers demands four models per second, each from its shard, and repeats them
// once their replicas have been unloaded.
func (r *cluster) runColdCallers(period time.Duration) {
	for i := range int(period / time.Second) {
		for k := range 4 {
			model := modelName((4*i + k) % r.size.models)
			r.demand(0, place.ShardOf(model, r.size.shards), ports.Demand{Model: model, Waiting: 1, Within: 20 * time.Second, From: "caller"})
		}
		// The invariants are checked once a second, not after every event.
		r.clock.Advance(time.Second)
		r.checkAfterEvent()
	}
}

// loadsByShard returns the number of loads begun on the targets of each shard.
func (r *cluster) loadsByShard() []int {
	loads := make([]int, r.size.shards)
	for _, m := range r.targets {
		for _, n := range m.engine.Record().Loads {
			loads[place.ShardOf(m.row.ID, r.size.shards)] += n
		}
	}
	return loads
}

// BenchmarkColdLoadsInOutage counts the cold loads with four callers per second during a
// 10 min outage of the KV service, and in the same time without an outage.
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
				r := newOutageCluster(c.fenced)
				r.run(time.Minute)
				if c.used {
					r.runColdCallers(3 * time.Minute)
				}
				r.run(time.Minute)
				r.setKVFaults(world.KVFaults{Down: c.down, Latency: 4 * time.Millisecond})
				b.Logf("slots by shard: %v", r.slotsByShard())
				before := r.loadsByShard()
				r.runColdCallers(period)
				r.checkInvariants(b)
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

// slotsByShard returns the number of the weight store's slots held by each shard.
func (r *cluster) slotsByShard() []int {
	slots := make([]int, r.size.shards)
	for _, p := range r.plans() {
		slots[p.Shard] = p.Permits[permit.Store]
	}
	return slots
}
