package once_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/once"
)

// TestNeverTwice drives entries that die, KV answers that are lost or late, and
// repeats at any entry, against a count of executions.
func TestNeverTwice(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newOnceWorld(rapid.Uint64().Draw(t, "seed"), 3, once.Settings{Buckets: 2, InFlight: 2})
		w.sendDelay, w.runTime, w.refuse = 30*time.Millisecond, 200*time.Millisecond, 0.2
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
				w.kv.lose = rapid.SampledFrom([]float64{0, 0.3, 0.6}).Draw(t, "lose")
				w.kv.late = rapid.SampledFrom([]float64{0, 0.3}).Draw(t, "late")
				w.kv.down = rapid.SampledFrom([]float64{0, 0.1, 1}).Draw(t, "down")
			},
		})
		w.heal(t)
	})
}

// check holds the promises at every moment.
func (w *onceWorld) check(t *rapid.T) {
	for key, runs := range w.back.runs {
		if runs > 1 {
			t.Fatalf("%s ran %d times", key, runs)
		}
	}
	for _, a := range w.calls {
		w.checkCall(t, a)
	}
}

func (w *onceWorld) checkCall(t *rapid.T, a *asked) {
	if a.verdict == nil {
		return
	}
	switch a.verdict.Kind {
	case once.VerdictRun:
		if left := a.within - a.answeredAt.Sub(a.at); left < 50*time.Millisecond {
			t.Fatalf("%s may run with %v left", a.key, left)
		}
	case once.VerdictOutcome:
		if diff := cmp.Diff(w.back.answer[a.key], a.verdict.Outcome); diff != "" {
			t.Fatalf("%s got the outcome of another call (-want +got):\n%s", a.key, diff)
		}
	default:
		if a.ran {
			t.Fatalf("%s was answered %s and ran", a.key, a.verdict.Kind)
		}
	}
}

// heal ends all faults: every call at a living entry has its answer in time,
// and each key ends in one that stays.
func (w *onceWorld) heal(t *rapid.T) {
	w.kv.lose, w.kv.late, w.kv.down = 0, 0, 0
	w.clock.Advance(10 * time.Second)
	w.check(t)
	for _, e := range w.entries {
		if len(e.waiting) > 0 {
			t.Fatalf("%d calls at %s have no answer", len(e.waiting), e.name)
		}
	}
	w.refuse = 0
	for _, key := range []string{"k0", "k1", "k2", "k3"} {
		first := w.ask(0, key, "sum", time.Second)
		w.clock.Advance(time.Second)
		second := w.ask(1, key, "sum", time.Second)
		w.clock.Advance(time.Second)
		w.check(t)
		if first.verdict.Kind == once.VerdictRun && second.verdict.Kind != once.VerdictOutcome {
			t.Fatalf("%s ran and a repeat got %s", key, second.verdict.Kind)
		}
		if first.verdict.Kind == once.VerdictInProgress || first.verdict.Kind == once.VerdictUnavailable {
			t.Fatalf("%s is still %s", key, first.verdict.Kind)
		}
	}
}

// TestCrashPoints kills the entry in each gap of a call that is claimed at 4 ms,
// sent at 40 and answered at 140, and asks what repeats get.
func TestCrashPoints(t *testing.T) {
	table := []struct {
		point string
		// kvDownAt keeps the outcome from being written.
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
			w := newOnceWorld(1, 2, once.Settings{})
			w.sendDelay, w.runTime, w.exact = 36*time.Millisecond, 100*time.Millisecond, true
			w.ask(0, "k", "sum", 10*time.Second)
			if c.kvDownAt > 0 {
				w.clock.After(c.kvDownAt*time.Millisecond, func() { w.kv.down = 1 })
			}
			w.clock.Advance(c.dieAt * time.Millisecond)
			w.entries[0].dead = true
			w.entries[0].loop.Stop()
			w.kv.down = 0
			before := w.ask(1, "k", "sum", time.Second)
			w.clock.Advance(1100 * time.Millisecond)
			w.restart(0)
			same := w.ask(0, "k", "sum", time.Second)
			other := w.ask(1, "k", "sum", time.Second)
			w.clock.Advance(time.Second)
			got := fmt.Sprintf("before: %s, after: %s %s, runs: %d",
				before.verdict.Kind, same.verdict.Kind, other.verdict.Kind, w.back.runs["k"])
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("repeats (-want +got):\n%s", diff)
			}
		})
	}
}

// TestRepeats asks for each verdict that needs no crash.
func TestRepeats(t *testing.T) {
	w := newOnceWorld(1, 2, once.Settings{})
	w.sendDelay, w.runTime, w.exact = 10*time.Millisecond, 1500*time.Millisecond, true
	ask := func(entry int, key, sum string, then time.Duration) string {
		a := w.ask(entry, key, sum, time.Second)
		w.clock.Advance(then)
		return fmt.Sprintf("%s at e%d: %s", key, entry, a.verdict.Kind)
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
	w.kv.down = 1
	got = append(got, ask(0, "fresh", "sum", 10*time.Millisecond), ask(0, "k", "sum", 10*time.Millisecond))
	want := []string{
		"k at e0: run", "k at e0: inProgress", "k at e1: inProgress", "k at e1: mismatch",
		"k at e1: outcome", "k at e0: outcome", "k at e0: mismatch",
		"fresh at e0: unavailable", "k at e0: outcome",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}

// TestWithoutKV lets a service run unclaimed while the KV service is down: once
// at each entry, and once over all from when the outcome is written.
func TestWithoutKV(t *testing.T) {
	w := newOnceWorld(1, 2, once.Settings{})
	w.runTime, w.exact, w.withoutKV = 50*time.Millisecond, true, true
	kind := func(entry int, then time.Duration) once.VerdictKind {
		a := w.ask(entry, "k", "sum", time.Second)
		w.clock.Advance(then)
		return a.verdict.Kind
	}
	w.kv.down = 1
	got := []once.VerdictKind{kind(0, 20*time.Millisecond), kind(0, 100*time.Millisecond), kind(0, time.Second)}
	w.kv.down = 0
	w.clock.Advance(2 * time.Second)
	got = append(got, kind(1, time.Second))
	want := []once.VerdictKind{once.VerdictRunUnclaimed, once.VerdictInProgress, once.VerdictOutcome, once.VerdictOutcome}
	if diff := cmp.Diff(want, got); diff != "" || w.back.runs["k"] != 1 {
		t.Errorf("%d runs, verdicts (-want +got):\n%s", w.back.runs["k"], diff)
	}
}

// TestTrim keeps an outcome for the retention and no longer than needed.
func TestTrim(t *testing.T) {
	w := newOnceWorld(1, 2, once.Settings{Buckets: 1, Retention: time.Minute})
	w.exact = true
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
	// Entry 0 sees the record of entry 1 only with its own next write, so it
	// keeps it for a retention from then.
	if diff := cmp.Diff([]int{2, 2, 1}, got); diff != "" {
		t.Errorf("records kept (-want +got):\n%s", diff)
	}
}

// TestFullBucket refuses claims rather than forgetting what ran.
func TestFullBucket(t *testing.T) {
	w := newOnceWorld(1, 1, once.Settings{Buckets: 1, BucketBytes: 4000})
	w.exact = true
	var verdicts []*asked
	for i := range 40 {
		verdicts = append(verdicts, w.ask(0, fmt.Sprintf("key-%d", i), "sum", time.Second))
		w.clock.Advance(20 * time.Millisecond)
	}
	ran, full := 0, 0
	for _, a := range verdicts {
		switch a.verdict.Kind {
		case once.VerdictRun:
			ran++
		case once.VerdictFull:
			full++
		}
	}
	if ran == 0 || full == 0 || ran+full != len(verdicts) {
		t.Errorf("%d ran and %d were refused of %d", ran, full, len(verdicts))
	}
	first := w.ask(0, "key-0", "sum", time.Second)
	w.clock.Advance(time.Second)
	if first.verdict.Kind != once.VerdictOutcome || w.back.runs["key-0"] != 1 {
		t.Errorf("a repeat of the first key got %s after %d runs", first.verdict.Kind, w.back.runs["key-0"])
	}
}
