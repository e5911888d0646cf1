package owner

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// calls sums the KV calls of all entries by kind.
func (r *rig) calls() map[string]int {
	sum := make(map[string]int)
	for _, e := range r.entries {
		for kind, n := range e.kv.Calls() {
			sum[kind] += n
		}
	}
	return sum
}

func less(a, b map[string]int) map[string]int {
	diff := make(map[string]int)
	for kind, n := range a {
		diff[kind] = n - b[kind]
	}
	return diff
}

func shardOf(targets int) *rig {
	return newRig(rigSize{
		zones: 1, entries: 3, targets: targets, shards: 1, unfenced: targets / 2, memoryBytes: 10 * gib,
		models: 40, maxReplicas: 2, latency: time.Millisecond, seed: 9,
	})
}

// TestKVCalls bounds the KV calls of an idle minute, a first cold load and a
// repeated one, and checks that they do not grow with the targets of the shard.
func TestKVCalls(t *testing.T) {
	t.Parallel()
	for _, targets := range []int{4, 16, 64} {
		t.Run(fmt.Sprint(targets), func(t *testing.T) {
			r := shardOf(targets)
			r.run(60 * time.Second)
			idle := r.measure(func() { r.run(time.Minute) })
			first := r.measure(func() { r.loadSome(10) })
			r.run(90 * time.Second)
			again := r.measure(func() { r.loadSome(10) })
			t.Logf("%d targets: idle minute %v, 10 first loads %v, 10 repeated loads %v", targets, idle, first, again)
			// An idle minute: a renewal each third of the lease, and each entry
			// that does not own the shard looks at it once, with its lease.
			r.atMost(t, "idle minute", idle, 4, 18)
			// A first load reads and writes a ledger, writes the plan with the
			// decision and once more for what came of it, beside the renewals.
			r.atMost(t, "10 first loads", first, 25, 10*5+18)
			r.atMost(t, "10 repeated loads", again, 25, 10*3+18)
			if n := idle["watch"] + first["watch"] + again["watch"]; n != 0 {
				t.Errorf("%d watches", n)
			}
			r.mustHold(t)
		})
	}
}

func (r *rig) measure(f func()) map[string]int {
	before := r.calls()
	copied := less(before, nil)
	f()
	return less(r.calls(), copied)
}

// loadSome loads n models one after the other.
func (r *rig) loadSome(n int) {
	for m := range n {
		r.demand(0, 0, ports.Demand{Model: modelName(m), Waiting: 1, Within: 3 * time.Second, From: "caller"})
		r.run(4 * time.Second)
	}
}

func (r *rig) atMost(t *testing.T, what string, calls map[string]int, reads, writes int) {
	t.Helper()
	if calls["read"] > reads || calls["write"] > writes {
		t.Errorf("%s: %v, allowed are %d reads and %d writes", what, calls, reads, writes)
	}
}

// TestTakeoverTime bounds the time from a kill to the first load decided by the
// successor: the lease, gossip's suspicion and one look a second.
func TestTakeoverTime(t *testing.T) {
	t.Parallel()
	for _, targets := range []int{4, 16, 64} {
		var worst time.Duration
		for seed := range 5 {
			r := shardOf(targets)
			r.silentAfter = 10 * time.Second
			r.run(time.Duration(60+seed) * time.Second)
			old := r.ownerOf(0, 0)
			killed := r.clock.Now()
			old.kill()
			for r.ownerOf(0, 0) == nil && r.clock.Now().Sub(killed) < time.Minute {
				r.run(50 * time.Millisecond)
			}
			worst = max(worst, r.clock.Now().Sub(killed))
			r.mustHold(t)
		}
		t.Logf("%d targets: takeover within %v", targets, worst)
		if limit := defaultLeaseTTL + 3*time.Second; worst > limit {
			t.Errorf("%d targets: takeover took %v, allowed are %v", targets, worst, limit)
		}
	}
}

// TestManyTakeoversAtOnce: an entry that owned many shards dies; its successors'
// calls stay within the KV service's rates.
func TestManyTakeoversAtOnce(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 1, entries: 2, targets: 32, shards: 32, memoryBytes: 10 * gib,
		models: 4, maxReplicas: 2, latency: time.Millisecond, seed: 9,
	})
	r.run(60 * time.Second)
	r.entries[0].kill()
	peak := 0
	for range 30 {
		calls := r.measure(func() { r.run(time.Second) })
		peak = max(peak, calls["read"]+calls["write"])
	}
	for n := range r.size.shards {
		if r.ownerOf(0, n) == nil {
			t.Errorf("nobody owns shard %d", n)
		}
	}
	t.Logf("at most %d KV calls in a second", peak)
	// Several hundred writes a second are allowed to the whole system.
	if peak > 200 {
		t.Errorf("%d KV calls in a second", peak)
	}
	r.mustHold(t)
}

// BenchmarkIdleMinute gives the processor time of an owner's minute at several sizes.
func BenchmarkIdleMinute(b *testing.B) {
	for _, targets := range []int{8, 32, 128} {
		b.Run(fmt.Sprint(targets), func(b *testing.B) {
			r := shardOf(targets)
			r.run(60 * time.Second)
			r.setKV(world.KVFaults{Latency: 4 * time.Millisecond})
			for b.Loop() {
				r.clock.Advance(time.Minute)
			}
		})
	}
}

// TestZoneRestartsAtOnce bounds the time until a zone whose entries all restart
// serves again, and its KV calls meanwhile.
func TestZoneRestartsAtOnce(t *testing.T) {
	t.Parallel()
	for _, entries := range []int{4, 8, 16} {
		r := newRig(rigSize{
			zones: 1, entries: entries, targets: 32, shards: 8, memoryBytes: 10 * gib,
			models: 16, maxReplicas: 1, latency: time.Millisecond, seed: 3,
		})
		r.run(60 * time.Second)
		for m := range r.size.models {
			r.demand(0, m%r.size.shards, ports.Demand{Model: modelName(m), Waiting: 1, Within: 8 * time.Second, From: "caller"})
		}
		r.run(10 * time.Second)
		before := len(r.starts)
		for _, e := range r.entries {
			e.kill()
		}
		for _, e := range r.entries {
			e.start()
		}
		begin, peak := r.clock.Now(), 0
		for r.ownedShards() < r.size.shards && r.clock.Now().Sub(begin) < time.Minute {
			calls := r.measure(func() { r.run(500 * time.Millisecond) })
			peak = max(peak, calls["read"]+calls["write"])
		}
		took := r.clock.Now().Sub(begin)
		t.Logf("%d entries: all shards owned within %v, at most %d KV calls in half a second", entries, took, peak)
		// A restarted entry revokes its own former lease; a shard whose preferred
		// entry changed waits for the lease of the former owner.
		if limit := defaultLeaseTTL + 5*time.Second; took > limit {
			t.Errorf("%d entries: %v, allowed are %v", entries, took, limit)
		}
		if limit := entries*r.size.shards*2 + 100; peak > limit {
			t.Errorf("%d entries: %d KV calls in half a second, allowed are %d", entries, peak, limit)
		}
		r.run(5 * time.Second)
		if len(r.starts) != before {
			t.Errorf("%d loads were repeated", len(r.starts)-before)
		}
		r.mustHold(t)
	}
}

func (r *rig) ownedShards() int {
	n := 0
	for shard := range r.size.shards {
		if r.ownerOf(0, shard) != nil {
			n++
		}
	}
	return n
}
