package dedup_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
)

// TestNeverTwiceWhileSplitting checks that no call runs twice while buckets are split
// after two or three records. Some entries do not know of a split yet, restart during
// one, or lose answers.
func TestNeverTwiceWhileSplitting(t *testing.T) {
	const keys = 10
	rapid.Check(t, func(t *rapid.T) {
		w := newDedupWorld(rapid.Uint64().Draw(t, "seed"), 3, dedup.Settings{Buckets: 1, MaxInFlight: 2, SplitBytes: 700})
		w.sendDelay, w.runTime, w.refuseRate = 30*time.Millisecond, 200*time.Millisecond, 0.2
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.check(t) },
			"ask": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, keys-1).Draw(t, "key"))
				timeLeft := time.Duration(rapid.IntRange(40, 3000).Draw(t, "within")) * time.Millisecond
				w.ask(rapid.IntRange(0, 2).Draw(t, "entry"), key, "sum", timeLeft)
			},
			"askEverywhere": func(t *rapid.T) {
				key := fmt.Sprint("k", rapid.IntRange(0, keys-1).Draw(t, "key"))
				for e := range w.entries {
					w.ask(e, key, "sum", 2*time.Second)
					w.clock.Advance(time.Duration(rapid.IntRange(0, 5).Draw(t, "ms")) * time.Millisecond)
				}
			},
			"advance": func(t *rapid.T) {
				w.clock.Advance(time.Duration(rapid.IntRange(1, 400).Draw(t, "ms")) * time.Millisecond)
			},
			"restart": func(t *rapid.T) { w.restart(rapid.IntRange(0, 2).Draw(t, "entry")) },
			"faults": func(t *rapid.T) {
				w.kv.loseRate = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(t, "lose")
				w.kv.lateRate = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late")
				w.kv.downRate = rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "down")
			},
		})
		w.checkHealed(t, keys)
	})
}

// checkHealed ends all faults and checks that each key can be claimed or has an outcome,
// on which all entries agree.
func (w *dedupWorld) checkHealed(t *rapid.T, keys int) {
	w.kv.loseRate, w.kv.lateRate, w.kv.downRate, w.refuseRate = 0, 0, 0, 0
	w.clock.Advance(10 * time.Second)
	for k := range keys {
		key := fmt.Sprint("k", k)
		first := w.ask(k%len(w.entries), key, "sum", time.Second)
		w.clock.Advance(time.Second)
		w.check(t)
		want := first.decision.Kind
		switch want {
		case dedup.DecisionRun:
			want = dedup.DecisionOutcome
		case dedup.DecisionOutcome, dedup.DecisionUnknown:
		default:
			t.Fatalf("%s is still %s", key, want)
		}
		for e := range w.entries {
			again := w.ask(e, key, "sum", time.Second)
			w.clock.Advance(time.Second)
			if again.decision.Kind != want {
				t.Fatalf("%s was %s at first and is %s at e%d", key, first.decision.Kind, again.decision.Kind, e)
			}
		}
	}
	w.check(t)
}

// TestBucketsGrow claims far more keys than the initial buckets hold, alternately at two
// entries, and then repeats all of them at an entry that has just restarted.
func TestBucketsGrow(t *testing.T) {
	w := newDedupWorld(1, 2, dedup.Settings{Buckets: 2, MaxBucketBytes: 8000, SplitBytes: 4000})
	w.exactDelays = true
	const keys = 300
	var first []*call
	for i := range keys {
		first = append(first, w.ask(i%2, fmt.Sprint("key-", i), "sum", time.Second))
		w.clock.Advance(40 * time.Millisecond)
	}
	w.clock.Advance(5 * time.Second)
	w.restart(0)
	for i, a := range first {
		if a.decision.Kind != dedup.DecisionRun {
			t.Fatalf("key-%d: %s", i, a.decision.Kind)
		}
		again := w.ask(0, a.key, "sum", time.Second)
		w.clock.Advance(200 * time.Millisecond)
		if again.decision == nil || again.decision.Kind != dedup.DecisionOutcome {
			t.Fatalf("key-%d again: %+v", i, again.decision)
		}
	}
	emptied, records := 0, 0
	for _, item := range w.store.Dump() {
		if len(item.Value) > 8000 {
			t.Errorf("%s holds %d bytes", item.Key, len(item.Value))
		}
		if strings.Contains(string(item.Value), `"split":true,"claims":{}`) {
			emptied++
		}
		records += strings.Count(string(item.Value), `"nonce":`)
	}
	// Growing from two buckets to n takes n-2 splits, each of which leaves a mark.
	if values := len(w.store.Dump()); values != 2*(emptied+1) || records != keys {
		t.Errorf("%d values, %d of them emptied, with %d records for %d keys", values, emptied, records, keys)
	}
	t.Logf("%d values, %d of them marks", len(w.store.Dump()), emptied)
}

// TestEmptyBucketIsNotSplit sends a first batch that exceeds the split size of a bucket
// and stops the entry shortly after. If the bucket were marked as split while empty, the
// mark would say that its children exist, and every claim in it would be refused forever.
func TestEmptyBucketIsNotSplit(t *testing.T) {
	for _, killedAfter := range []time.Duration{0, 50 * time.Millisecond, 150 * time.Millisecond, 300 * time.Millisecond} {
		w := newDedupWorld(1, 2, dedup.Settings{Buckets: 1, SplitBytes: 700})
		w.exactDelays = true
		// A failed call makes the bucket back off, so that the following claims come in
		// one batch.
		w.kv.downRate = 1
		w.ask(0, "before", "sum", time.Second)
		w.clock.Advance(5 * time.Millisecond)
		w.kv.downRate = 0
		for i := range 8 {
			w.ask(0, fmt.Sprint("k", i), "sum", time.Second)
		}
		for len(w.store.Dump()) == 0 {
			w.clock.Advance(time.Millisecond)
		}
		w.clock.Advance(killedAfter)
		w.restart(0)
		w.clock.Advance(time.Second)
		after := w.ask(1, "after", "sum", time.Second)
		w.clock.Advance(time.Second)
		if after.decision.Kind != dedup.DecisionRun {
			t.Errorf("killed %v after the first write: %s", killedAfter, after.decision.Kind)
		}
	}
}
