package owner

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// kvCalls returns the number of KV calls of all entries by kind.
func (r *cluster) kvCalls() map[string]int {
	sum := make(map[string]int)
	for _, e := range r.entries {
		for kind, n := range e.kv.Calls() {
			sum[kind] += n
		}
	}
	return sum
}

func subtractCalls(a, b map[string]int) map[string]int {
	diff := make(map[string]int)
	for kind, n := range a {
		diff[kind] = n - b[kind]
	}
	return diff
}

func newOneShardCluster(targets int) *cluster {
	return newCluster(clusterConfig{
		zones: 1, entries: 3, targets: targets, shards: 1, unfenced: targets / 2, memoryBytes: 10 * gib,
		models: 40, maxReplicas: 2, latency: time.Millisecond, seed: 9,
	})
}

// TestKVCalls limits the number of KV calls in an idle minute, for first loads and for
// repeated ones, and checks that it does not grow with the number of targets of the
// shard.
func TestKVCalls(t *testing.T) {
	t.Parallel()
	for _, targets := range []int{4, 16, 64} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			r := newOneShardCluster(targets)
			r.run(60 * time.Second)
			idle := r.measureCalls(func() { r.run(time.Minute) })
			first := r.measureCalls(func() { r.loadModels(10) })
			r.run(90 * time.Second)
			again := r.measureCalls(func() { r.loadModels(10) })
			t.Logf("%d targets: idle minute %v, 10 first loads %v, 10 repeated loads %v", targets, idle, first, again)
			// An idle minute: the lease is renewed three times per TTL, and each entry
			// that does not own the shard checks its value and its lease once.
			r.checkCalls(t, "idle minute", idle, 4, 18)
			// A first load reads and writes a ledger and writes the plan twice, with the
			// decision and with its result, in addition to the renewals.
			r.checkCalls(t, "10 first loads", first, 25, 10*5+18)
			r.checkCalls(t, "10 repeated loads", again, 25, 10*3+18)
			if n := idle["watch"] + first["watch"] + again["watch"]; n != 0 {
				t.Errorf("%d watches", n)
			}
			r.checkInvariants(t)
		})
	}
}

func (r *cluster) measureCalls(f func()) map[string]int {
	before := r.kvCalls()
	copied := subtractCalls(before, nil)
	f()
	return subtractCalls(r.kvCalls(), copied)
}

// loadModels loads n models one after the other.
func (r *cluster) loadModels(n int) {
	for m := range n {
		r.demand(0, 0, ports.Demand{Model: modelName(m), Waiting: 1, Within: 3 * time.Second, From: "caller"})
		r.run(4 * time.Second)
	}
}

func (r *cluster) checkCalls(t *testing.T, what string, calls map[string]int, reads, writes int) {
	t.Helper()
	if calls["read"] > reads || calls["write"] > writes {
		t.Errorf("%s: %v, allowed are %d reads and %d writes", what, calls, reads, writes)
	}
}

// TestTakeoverTime limits the time from a kill to the takeover by the successor: the
// lease TTL, the suspicion in gossip and one check per second.
func TestTakeoverTime(t *testing.T) {
	t.Parallel()
	for _, targets := range []int{4, 16, 64} {
		var worst time.Duration
		for seed := range 5 {
			r := newOneShardCluster(targets)
			r.silentAfter = 10 * time.Second
			r.run(time.Duration(60+seed) * time.Second)
			old := r.ownerOf(0, 0)
			killed := r.clock.Now()
			old.kill()
			for r.ownerOf(0, 0) == nil && r.clock.Now().Sub(killed) < time.Minute {
				r.run(50 * time.Millisecond)
			}
			worst = max(worst, r.clock.Now().Sub(killed))
			r.checkInvariants(t)
		}
		t.Logf("%d targets: takeover within %v", targets, worst)
		if limit := defaultLeaseTTL + 3*time.Second; worst > limit {
			t.Errorf("%d targets: takeover took %v, allowed are %v", targets, worst, limit)
		}
	}
}

// TestTakeoverWithoutConfiguration guards against an entry crashing when it takes over a
// shard with a load under way before it has a configuration.
func TestTakeoverWithoutConfiguration(t *testing.T) {
	t.Parallel()
	r := newOneShardCluster(4)
	r.run(time.Minute)
	r.demand(0, 0, ports.Demand{Model: modelName(1), Waiting: 1, Within: 20 * time.Second, From: "caller"})
	r.run(300 * time.Millisecond)
	r.withholdsConfig = true
	for _, e := range r.entries {
		e.kill()
		e.start()
	}
	r.run(20 * time.Second)
	if r.ownerOf(0, 0) == nil {
		t.Fatal("nobody owns the shard")
	}
	for _, e := range r.entries {
		e.post(ConfigChanged{r.config})
	}
	r.run(20 * time.Second)
	r.checkInvariants(t)
}

// TestManyTakeoversAtOnce: an entry that owned many shards is killed. The KV calls of its
// successors stay within the rates of the KV service.
func TestManyTakeoversAtOnce(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 1, entries: 2, targets: 32, shards: 32, memoryBytes: 10 * gib,
		models: 4, maxReplicas: 2, latency: time.Millisecond, seed: 9,
	})
	r.run(60 * time.Second)
	r.entries[0].kill()
	peak := 0
	for range 30 {
		calls := r.measureCalls(func() { r.run(time.Second) })
		peak = max(peak, calls["read"]+calls["write"])
	}
	for n := range r.size.shards {
		if r.ownerOf(0, n) == nil {
			t.Errorf("nobody owns shard %d", n)
		}
	}
	t.Logf("at most %d KV calls in a second", peak)
	// The whole system may make several hundred writes per second.
	if peak > 200 {
		t.Errorf("%d KV calls in a second", peak)
	}
	r.checkInvariants(t)
}

// BenchmarkIdleMinute measures the CPU time of an idle owner's minute with several
// numbers of targets.
func BenchmarkIdleMinute(b *testing.B) {
	for _, targets := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := newOneShardCluster(targets)
			r.run(60 * time.Second)
			r.setKVFaults(world.KVFaults{Latency: 4 * time.Millisecond})
			for b.Loop() {
				r.clock.Advance(time.Minute)
			}
		})
	}
}

// TestZoneRestartsAtOnce limits the time until all shards are owned after all entries of
// the zone have restarted, and the KV calls made meanwhile.
func TestZoneRestartsAtOnce(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{4, 8, 16} {
		r := newCluster(clusterConfig{
			zones: 1, entries: entries, targets: 32, shards: 8, memoryBytes: 10 * gib,
			models: 16, maxReplicas: 1, latency: time.Millisecond, seed: 3,
		})
		r.run(60 * time.Second)
		for m := range r.size.models {
			r.demand(0, m%r.size.shards, ports.Demand{Model: modelName(m), Waiting: 1, Within: 8 * time.Second, From: "caller"})
		}
		r.run(10 * time.Second)
		before := len(r.storeLoadStarts)
		for _, e := range r.entries {
			e.kill()
		}
		for _, e := range r.entries {
			e.start()
		}
		begin, peak := r.clock.Now(), 0
		for r.ownedShards() < r.size.shards && r.clock.Now().Sub(begin) < time.Minute {
			calls := r.measureCalls(func() { r.run(500 * time.Millisecond) })
			peak = max(peak, calls["read"]+calls["write"])
		}
		took := r.clock.Now().Sub(begin)
		t.Logf("%d entries: all shards owned within %v, at most %d KV calls in half a second", entries, took, peak)
		// A restarted entry revokes its own former lease. A shard whose preferred entry
		// changed waits for the lease of its former owner to expire.
		if limit := defaultLeaseTTL + 5*time.Second; took > limit {
			t.Errorf("%d entries: %v, allowed are %v", entries, took, limit)
		}
		if limit := entries*r.size.shards*2 + 100; peak > limit {
			t.Errorf("%d entries: %d KV calls in half a second, allowed are %d", entries, peak, limit)
		}
		r.run(5 * time.Second)
		if len(r.storeLoadStarts) != before {
			t.Errorf("%d loads were repeated", len(r.storeLoadStarts)-before)
		}
		r.checkInvariants(t)
	}
}

func (r *cluster) ownedShards() int {
	n := 0
	for shard := range r.size.shards {
		if r.ownerOf(0, shard) != nil {
			n++
		}
	}
	return n
}
