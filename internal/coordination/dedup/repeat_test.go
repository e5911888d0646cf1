package dedup_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
)

// TestRepeatAfterAnswer repeats a call at the moment of its answer, at the entry that ran
// it or at another one, with a single caller or many callers; every repeat must get the
// answer.
func TestRepeatAfterAnswer(t *testing.T) {
	for _, callers := range []int{1, 50} {
		for _, at := range []int{0, 1} {
			t.Run(fmt.Sprintf("%d callers, repeat at e%d", callers, at), func(t *testing.T) {
				w := newDedupWorld(1, 2, dedup.Settings{})
				w.exactDelays = true
				w.runTime = 20 * time.Millisecond
				var repeats []*call
				w.onAnswer = func(e *entry, key string) {
					if e == w.entries[0] {
						repeats = append(repeats, w.ask(at, key, "sum", time.Second))
					}
				}
				for i := range callers {
					w.ask(0, fmt.Sprint("k", i), "sum", time.Second)
				}
				w.clock.Advance(2 * time.Second)
				got := make(map[dedup.DecisionKind]int)
				longest := time.Duration(0)
				for _, a := range repeats {
					got[a.decision.Kind]++
					longest = max(longest, a.answeredAt.Sub(a.at))
				}
				t.Logf("longest %v, %d reads, %d writes", longest, w.kv.calls["read"], w.kv.calls["write"])
				if diff := cmp.Diff(map[dedup.DecisionKind]int{dedup.DecisionOutcome: callers}, got); diff != "" {
					t.Errorf("repeats (-want +got):\n%s", diff)
				}
			})
		}
	}
}

// TestRepeatWhileRunning checks that a repeat at another entry is told in bounded time
// that the call is in progress, also when the KV service fails after the running call was
// seen. The repeat must not run even if the service allows calls without a claim.
func TestRepeatWhileRunning(t *testing.T) {
	for _, down := range []float64{0, 1} {
		t.Run(fmt.Sprint("down ", down), func(t *testing.T) {
			w := newDedupWorld(1, 2, dedup.Settings{})
			w.exactDelays, w.withoutKV = true, true
			w.runTime = 5 * time.Second
			w.ask(0, "k", "sum", 10*time.Second)
			w.clock.Advance(100 * time.Millisecond)
			repeat := w.ask(1, "k", "sum", 10*time.Second)
			w.clock.Advance(10 * time.Millisecond)
			w.kv.downRate = down
			w.clock.Advance(1100 * time.Millisecond)
			if repeat.decision == nil || repeat.decision.Kind != dedup.DecisionInProgress || repeat.decision.RetryAfter == 0 {
				t.Errorf("after 1.1 s a repeat has %+v", repeat.decision)
			}
			if runs := w.targets.runs["k"]; runs != 1 {
				t.Errorf("ran %d times", runs)
			}
		})
	}
}
