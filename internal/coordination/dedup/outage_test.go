package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
)

// TestRefusedAtOnceInAnOutage makes a claim every 100 ms while the KV service does not
// answer. Once the outage is detected, all callers but the few whose claims probe the
// service must be answered at once and not after the KV timeout; when the service is
// back, claims are granted again.
func TestRefusedAtOnceInAnOutage(t *testing.T) {
	for _, withoutKV := range []bool{false, true} {
		w := newDedupWorld(1, 1, dedup.Settings{})
		w.withoutKV = withoutKV
		w.ask(0, "before", "sum", 4*time.Second)
		w.clock.Advance(time.Second)
		w.kv.hangs = true
		var calls []*call
		for i := range 100 {
			calls = append(calls, w.ask(0, fmt.Sprint("k", i), "sum", 4*time.Second))
			w.clock.Advance(100 * time.Millisecond)
		}
		w.clock.Advance(4 * time.Second)
		want := dedup.DecisionUnavailable
		if withoutKV {
			want = dedup.DecisionRunUnclaimed
		}
		late := 0
		for i, a := range calls {
			if diff := cmp.Diff(want, a.decision.Kind); diff != "" {
				t.Errorf("k%d (-want +got):\n%s", i, diff)
			}
			// A call that hangs fails after 2 s, and an outage is detected from failures
			// that are at least 1 s apart, so no entry can detect it within 4 s of its
			// start.
			if i >= 40 && a.answeredAt.Sub(a.at) > 0 {
				late++
			}
		}
		if most := 60/5 + 1; late > most {
			t.Errorf("%d of 60 callers waited, want at most %d", late, most)
		}
		w.kv.hangs = false
		w.clock.Advance(3 * time.Second)
		after := w.ask(0, "after", "sum", 4*time.Second)
		w.clock.Advance(time.Second)
		if diff := cmp.Diff(dedup.DecisionRun, after.decision.Kind); diff != "" {
			t.Errorf("after the outage (-want +got):\n%s", diff)
		}
	}
}

// TestOneLostAnswerIsNoOutage loses one answer and delays the next call; two claims made
// at once while that call is in flight must both be tried.
func TestOneLostAnswerIsNoOutage(t *testing.T) {
	w := newDedupWorld(1, 1, dedup.Settings{})
	w.kv.loseRate = 1
	w.ask(0, "lost", "sum", 4*time.Second)
	w.clock.Advance(5 * time.Millisecond)
	w.kv.loseRate, w.kv.requestDelay = 0, 1500*time.Millisecond
	w.clock.Advance(1200 * time.Millisecond)
	for _, key := range []string{"one", "two"} {
		w.ask(0, key, "sum", 10*time.Second)
	}
	w.kv.requestDelay = 0
	w.clock.Advance(4 * time.Second)
	for _, a := range w.calls[1:] {
		if diff := cmp.Diff(dedup.DecisionRun, a.decision.Kind); diff != "" {
			t.Errorf("%s (-want +got):\n%s", a.key, diff)
		}
	}
}
