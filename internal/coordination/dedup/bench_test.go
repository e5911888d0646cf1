package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
)

// closedLoop runs a number of callers at each entry for the duration d, each of which
// repeatedly claims a new key and finishes the call. It returns the granted claims and
// the KV writes and reads made.
func closedLoop(entries, callers, buckets int, d time.Duration) (claims, writes, reads int) {
	w := newDedupWorld(1, entries, dedup.Settings{Buckets: buckets})
	w.exactDelays = true
	w.runTime = 5 * time.Millisecond
	granted := 0
	var again func(entry int)
	again = func(entry int) {
		a := w.ask(entry, fmt.Sprintf("key-%d", w.lastID), "sum", time.Minute)
		var poll func()
		poll = func() {
			if a.decision == nil {
				w.clock.After(time.Millisecond, poll)
				return
			}
			if a.decision.Kind == dedup.DecisionRun {
				granted++
			}
			w.clock.After(w.runTime, func() { again(entry) })
		}
		w.clock.After(time.Millisecond, poll)
	}
	for e := range entries {
		for range callers {
			again(e)
		}
	}
	w.clock.Advance(d)
	return granted, w.kv.calls["write"], w.kv.calls["read"]
}

// BenchmarkClaims reports the throughput in virtual time over a KV service that answers
// in 4 ms.
func BenchmarkClaims(b *testing.B) {
	for _, entries := range []int{1, 8} {
		for _, callers := range []int{1, 10, 100} {
			for _, buckets := range []int{16, 64} {
				b.Run(fmt.Sprintf("entries=%d/callers=%d/buckets=%d", entries, callers, buckets), func(b *testing.B) {
					const d = 2 * time.Second
					claims, writes, reads := 0, 0, 0
					for range b.N {
						c, w, r := closedLoop(entries, callers, buckets, d)
						claims, writes, reads = claims+c, writes+w, reads+r
					}
					b.ReportMetric(float64(claims)/float64(b.N)/d.Seconds(), "claims/s")
					b.ReportMetric(float64(writes)/float64(claims), "writes/claim")
					b.ReportMetric(float64(writes)/float64(b.N)/d.Seconds(), "writes/s")
					b.ReportMetric(float64(reads)/float64(claims), "reads/claim")
				})
			}
		}
	}
}

// TestGroupCommit checks that claims and outcomes that are pending together are committed
// by one write.
func TestGroupCommit(t *testing.T) {
	one, oneWrites, _ := closedLoop(1, 1, 16, 2*time.Second)
	many, manyWrites, _ := closedLoop(1, 100, 16, 2*time.Second)
	alone := float64(oneWrites) / float64(one)
	together := float64(manyWrites) / float64(many)
	if together > alone/4 {
		t.Errorf("%.2f writes per claim with 100 callers, %.2f with one", together, alone)
	}
}

// TestWritesAreShared checks that busy entries, few or many, together keep to the limit
// of writes per second. Each may exceed it by its burst at the start and by its calls in
// flight at the end.
func TestWritesAreShared(t *testing.T) {
	const d = 4 * time.Second
	for _, entries := range []int{1, 8, 64} {
		claims, writes, _ := closedLoop(entries, 4, 16, d)
		second := float64(writes) / d.Seconds()
		t.Logf("%d entries: %.0f writes and %.0f claims per second", entries, second, float64(claims)/d.Seconds())
		if limit := 240 + (10+4)*float64(entries)/d.Seconds(); second > limit {
			t.Errorf("%d entries write %.0f times per second, want at most %.0f", entries, second, limit)
		}
	}
}
