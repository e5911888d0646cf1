package dedup_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
)

// TestNeverTwice checks that no call is executed twice when entries crash, KV answers are
// lost or late, and calls are repeated at any entry.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newDedupWorld(rapid.Uint64().Draw(t, "seed"), 3, dedup.Settings{Buckets: 2, MaxInFlight: 2})
		w.sendDelay, w.runTime, w.refuseRate = 30*time.Millisecond, 200*time.Millisecond, 0.2
		keys := []string{"k0", "k1", "k2", "k3"}
		t.Repeat(map[string]func(*rapid.T){
			"": func(t *rapid.T) { w.check(t) },
			"ask": func(t *rapid.T) {
				w.ask(rapid.IntRange(0, 2).Draw(t, "entry"), rapid.SampledFrom(keys).Draw(t, "key"), "sum",
					time.Duration(rapid.IntRange(40, 3000).Draw(t, "within"))*time.Millisecond)
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
		w.checkHealedKeys(t)
	})
}

// check verifies the invariants that must hold at every step.
func (w *dedupWorld) check(t *rapid.T) {
	for key, runs := range w.targets.runs {
		if runs > 1 {
			t.Fatalf("%s ran %d times", key, runs)
		}
	}
	for _, a := range w.calls {
		w.checkCall(t, a)
	}
}

func (w *dedupWorld) checkCall(t *rapid.T, a *call) {
	if a.decision == nil {
		return
	}
	switch a.decision.Kind {
	case dedup.DecisionRun:
		if left := a.timeLeft - a.answeredAt.Sub(a.at); left < 50*time.Millisecond {
			t.Fatalf("%s may run with %v left", a.key, left)
		}
	case dedup.DecisionOutcome:
		if diff := cmp.Diff(w.targets.outcomes[a.key], a.decision.Outcome); diff != "" {
			t.Fatalf("%s got the outcome of another call (-want +got):\n%s", a.key, diff)
		}
	default:
		if a.executed {
			t.Fatalf("%s was answered %s and ran", a.key, a.decision.Kind)
		}
	}
}

// checkHealedKeys ends all faults and checks that every call at a running entry is
// answered in time and that each key reaches a final outcome.
func (w *dedupWorld) checkHealedKeys(t *rapid.T) {
	w.kv.loseRate, w.kv.lateRate, w.kv.downRate = 0, 0, 0
	w.clock.Advance(10 * time.Second)
	w.check(t)
	for _, e := range w.entries {
		if len(e.waiting) > 0 {
			t.Fatalf("%d calls at %s have no answer", len(e.waiting), e.name)
		}
	}
	w.refuseRate = 0
	for _, key := range []string{"k0", "k1", "k2", "k3"} {
		first := w.ask(0, key, "sum", time.Second)
		w.clock.Advance(time.Second)
		second := w.ask(1, key, "sum", time.Second)
		w.clock.Advance(time.Second)
		w.check(t)
		if first.decision.Kind == dedup.DecisionRun && second.decision.Kind != dedup.DecisionOutcome {
			t.Fatalf("%s ran and a repeat got %s", key, second.decision.Kind)
		}
		if first.decision.Kind == dedup.DecisionInProgress || first.decision.Kind == dedup.DecisionUnavailable {
			t.Fatalf("%s is still %s", key, first.decision.Kind)
		}
	}
}

// TestCrashPoints stops the entry at each stage of a call that is claimed at 4 ms, sent
// at 40 ms and answered at 140 ms, and checks the decisions on repeats.
func TestCrashPoints(t *testing.T) {
	table := []struct {
		point string
		// kvDownAt makes the KV service unavailable, so that the outcome is not written.
		kvDownAt, dieAt time.Duration
		want            string
	}{
		{"between claim and send", 0, 20, "before: inProgress, after: outcomeUnknown outcomeUnknown, runs: 0"},
		{"between send and answer", 0, 60, "before: inProgress, after: outcomeUnknown outcomeUnknown, runs: 1"},
		{"between answer and its record", 130, 160, "before: inProgress, after: outcomeUnknown outcomeUnknown, runs: 1"},
		{"after the record", 0, 200, "before: outcome, after: outcome outcome, runs: 1"},
	}
	for _, c := range table {
		t.Run(c.point, func(t *testing.T) {
			w := newDedupWorld(1, 2, dedup.Settings{})
			w.sendDelay, w.runTime, w.exactDelays = 36*time.Millisecond, 100*time.Millisecond, true
			w.ask(0, "k", "sum", 10*time.Second)
			if c.kvDownAt > 0 {
				w.clock.After(c.kvDownAt*time.Millisecond, func() { w.kv.downRate = 1 })
			}
			w.clock.Advance(c.dieAt * time.Millisecond)
			w.entries[0].dead = true
			w.entries[0].loop.Stop()
			w.kv.downRate = 0
			before := w.ask(1, "k", "sum", time.Second)
			w.clock.Advance(1100 * time.Millisecond)
			w.restart(0)
			same := w.ask(0, "k", "sum", time.Second)
			other := w.ask(1, "k", "sum", time.Second)
			w.clock.Advance(time.Second)
			got := fmt.Sprintf("before: %s, after: %s %s, runs: %d",
				before.decision.Kind, same.decision.Kind, other.decision.Kind, w.targets.runs["k"])
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("repeats (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRepeats checks each decision that can be reached without a crash.
func TestRepeats(t *testing.T) {
	w := newDedupWorld(1, 2, dedup.Settings{})
	w.sendDelay, w.runTime, w.exactDelays = 10*time.Millisecond, 1500*time.Millisecond, true
	ask := func(entry int, key, sum string, then time.Duration) string {
		a := w.ask(entry, key, sum, time.Second)
		w.clock.Advance(then)
		return fmt.Sprintf("%s at e%d: %s", key, entry, a.decision.Kind)
	}
	got := []string{
		ask(0, "k", "sum", 20*time.Millisecond),
		ask(0, "k", "sum", 10*time.Millisecond),
		ask(1, "k", "sum", time.Second),
		ask(1, "k", "other", time.Second),
		ask(1, "k", "sum", 10*time.Millisecond),
		ask(0, "k", "sum", 10*time.Millisecond),
		ask(0, "k", "other", 10*time.Millisecond),
	}
	w.kv.downRate = 1
	got = append(got, ask(0, "fresh", "sum", 10*time.Millisecond), ask(0, "k", "sum", 10*time.Millisecond))
	want := []string{
		"k at e0: run", "k at e0: inProgress", "k at e1: inProgress", "k at e1: mismatch",
		"k at e1: outcome", "k at e0: outcome", "k at e0: mismatch",
		"fresh at e0: unavailable", "k at e0: outcome",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("decisions (-want +got):\n%s", diff)
	}
}

// TestRunsUnclaimedWithoutKV checks a service that may run calls without a claim while
// the KV service is down: a key runs at most once at each entry, and at most once at all
// entries from the time when its outcome is written.
func TestRunsUnclaimedWithoutKV(t *testing.T) {
	w := newDedupWorld(1, 2, dedup.Settings{})
	w.runTime, w.exactDelays, w.withoutKV = 50*time.Millisecond, true, true
	kind := func(entry int, then time.Duration) dedup.DecisionKind {
		a := w.ask(entry, "k", "sum", time.Second)
		w.clock.Advance(then)
		return a.decision.Kind
	}
	w.kv.downRate = 1
	got := []dedup.DecisionKind{kind(0, 20*time.Millisecond), kind(0, 100*time.Millisecond), kind(0, time.Second)}
	w.kv.downRate = 0
	w.clock.Advance(2 * time.Second)
	got = append(got, kind(1, time.Second))
	want := []dedup.DecisionKind{dedup.DecisionRunUnclaimed, dedup.DecisionInProgress, dedup.DecisionOutcome, dedup.DecisionOutcome}
	if diff := cmp.Diff(want, got); diff != "" || w.targets.runs["k"] != 1 {
		t.Errorf("%d runs, decisions (-want +got):\n%s", w.targets.runs["k"], diff)
	}
}

// TestExpiredRecordsAreDropped checks that an outcome is kept for the retention and
// removed by a later write.
func TestExpiredRecordsAreDropped(t *testing.T) {
	w := newDedupWorld(1, 2, dedup.Settings{Buckets: 1, Retention: time.Minute})
	w.exactDelays = true
	w.ask(0, "old", "sum", time.Second)
	w.clock.Advance(55 * time.Second)
	w.ask(1, "new", "sum", time.Second)
	w.clock.Advance(time.Second)
	count := func() int { return strings.Count(string(w.store.Dump()[0].Value), `"nonce":`) }
	got := []int{count()}
	for _, key := range []string{"newer", "newest"} {
		w.clock.Advance(2 * time.Minute)
		w.ask(0, key, "sum", time.Second)
		w.clock.Advance(time.Second)
		got = append(got, count())
	}
	// Entry 0 first sees the record of entry 1 at its own next write, so it keeps it for
	// a retention period from then.
	if diff := cmp.Diff([]int{2, 2, 1}, got); diff != "" {
		t.Errorf("records kept (-want +got):\n%s", diff)
	}
}

// TestFullBucketRefusesClaims checks that a full bucket refuses new claims and does not
// drop the records of calls that ran.
func TestFullBucketRefusesClaims(t *testing.T) {
	w := newDedupWorld(1, 1, dedup.Settings{Buckets: 1, MaxBucketBytes: 4000})
	w.exactDelays = true
	var calls []*call
	for i := range 40 {
		calls = append(calls, w.ask(0, fmt.Sprintf("key-%d", i), "sum", time.Second))
		w.clock.Advance(20 * time.Millisecond)
	}
	ran, full := 0, 0
	for _, a := range calls {
		switch a.decision.Kind {
		case dedup.DecisionRun:
			ran++
		case dedup.DecisionFull:
			full++
		}
	}
	if ran == 0 || full == 0 || ran+full != len(calls) {
		t.Errorf("%d ran and %d were refused of %d", ran, full, len(calls))
	}
	first := w.ask(0, "key-0", "sum", time.Second)
	w.clock.Advance(time.Second)
	if first.decision.Kind != dedup.DecisionOutcome || w.targets.runs["key-0"] != 1 {
		t.Errorf("a repeat of the first key got %s after %d runs", first.decision.Kind, w.targets.runs["key-0"])
	}
}
