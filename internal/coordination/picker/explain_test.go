package picker

import (
	"context"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// drain makes a target drain that serves m.
func (r *fixture) drain(id string) {
	target := engineTarget(id, "a1", "m")
	target.Draining = true
	r.SetTarget(target)
}

// TestExplainNamesTheTarget guards against an explanation that names another target than
// the one that is then chosen, or that changes the choice.
func TestExplainNamesTheTarget(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*fixture)
		want    string
		// near and far are why these targets are passed over.
		near, far string
	}{
		{"own zone", func(*fixture) {}, "near", "", "cost"},
		{"draining", func(r *fixture) { r.drain("near") }, "far", "draining", ""},
		{"backoff", func(r *fixture) {
			r.targets["near"].backoffUntil, r.targets["near"].mayPause = r.timer.Now().Add(time.Second), true
		}, "far", "backoff", ""},
		{"ejected", func(r *fixture) { r.targets["near"].eject(r.timer.Now()) }, "far", "ejected", ""},
		{"full", func(r *fixture) { r.targets["near"].inFlight = 4 }, "far", "full", ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture()
			r.SetTarget(engineTarget("near", "a1", "m"))
			r.SetTarget(engineTarget("far", "b1", "m"))
			r.SetTarget(engineTarget("other", "a1", "n"))
			c.prepare(r)
			e := r.Explain(r.request("m"))
			passed := make(map[string]string)
			for _, candidate := range e.Candidates {
				passed[candidate.Target] = candidate.PassedOver
			}
			want := map[string]string{"near": c.near, "far": c.far, "other": "noModel"}
			if diff := cmp.Diff(want, passed); diff != "" {
				t.Errorf("passed over (-want +got):\n%s", diff)
			}
			s, err := r.Acquire(t.Context(), r.request("m"))
			if err != nil || s.Target.ID != c.want || e.Target != c.want || e.Refused != nil {
				t.Errorf("explained %+v, acquired %+v, %v; want %s", e, s, err, c.want)
			}
		})
	}
}

// TestExplainProbabilities compares the probabilities by a load snapshot with many choices
// of the same state. It guards against probabilities that are not those of the choice.
func TestExplainProbabilities(t *testing.T) {
	w := newWorld(6, 4, time.Second)
	w.run(4*time.Second, 60, everywhere)
	w.restart(w.targets[1])
	w.run(time.Second, 60, everywhere)
	p := w.pickers[0]
	now := w.timer.Now()
	q := Request{Service: "llm", Model: "m", Arrived: now, Deadline: now.Add(time.Second)}
	e := p.Explain(q)
	if !e.IsShared {
		t.Fatal("no load snapshot")
	}
	const choices = 20_000
	counts := make(map[string]float64)
	for range choices {
		again := q
		best, _ := p.choose(now, &again)
		counts[best.ID]++
	}
	for _, c := range e.Candidates {
		got := counts[c.Target] / choices
		report(t, math.Abs(c.Probability-got) > 0.04,
			"%s: explained %.3f, chosen %.3f, limit %d", c.Target, c.Probability, got, c.StartLimit)
	}
}

// TestExplainChangesNothing guards against an explanation that draws a random number or
// counts a request.
func TestExplainChangesNothing(t *testing.T) {
	run := func(explains bool) []string {
		w := newWorld(3, 4, time.Second)
		var chosen []string
		w.choose = func(p *Picker, q Request) *Reservation {
			if explains {
				p.Explain(q)
			}
			s := p.acquireNow(q)
			if s != nil {
				chosen = append(chosen, s.Target.ID)
			}
			return s
		}
		w.run(4*time.Second, 60, everywhere)
		return chosen
	}
	if diff := cmp.Diff(run(false), run(true)); diff != "" {
		t.Errorf("choices without and with explanations (-without +with):\n%s", diff)
	}
}

// TestExplainRefusal guards against an explanation that names another refusal than the one
// that the request gets.
func TestExplainRefusal(t *testing.T) {
	for _, c := range []struct {
		name    string
		prepare func(*fixture)
		want    Reason
	}{
		{"full", func(r *fixture) { r.targets["e"].inFlight = 4 }, ReasonNoTarget},
		{"unloaded", func(r *fixture) { r.SetTarget(engineTarget("e", "a1", "n")) }, ReasonNoTarget},
		{"load too late", func(r *fixture) {
			r.SetTarget(engineTarget("e", "a1", "n"))
			r.expected = map[string]time.Time{"m": r.timer.Now().Add(time.Minute)}
		}, ReasonTooLate},
		{"load in time that does not come", func(r *fixture) {
			r.SetTarget(engineTarget("e", "a1", "n"))
			r.expected = map[string]time.Time{"m": r.timer.Now().Add(time.Second)}
		}, ReasonDeadline},
		{"draining", func(r *fixture) { r.drain("e") }, ReasonNoTarget},
		{"backoff", func(r *fixture) {
			r.targets["e"].backoffUntil, r.targets["e"].mayPause = r.timer.Now().Add(2*time.Second), true
		}, ReasonBackoff},
		{"stopping", func(r *fixture) { r.SetTarget(engineTarget("e", "a1", "n")); r.Close() }, ReasonStopping},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture()
			r.SetTarget(engineTarget("e", "a1", "m"))
			c.prepare(r)
			q := r.request("m")
			e := r.Explain(q)
			if e.Refused == nil || e.Target != "" {
				t.Fatalf("explained %+v", e)
			}
			began := r.timer.Now()
			a := r.acquire(context.Background(), q)
			if e.Refused.AfterMS > 0 {
				r.waitForQueue(t, 1)
				r.timer.Advance(time.Duration(e.Refused.AfterMS)*time.Millisecond + 2*queueCheckInterval)
			}
			refusal := a.refusal(t)
			got := RefusalNotice{refusal.Reason, refusal.RetryAfter.Milliseconds(), e.Refused.AfterMS}
			if diff := cmp.Diff(*e.Refused, got); diff != "" || got.Reason != c.want {
				t.Errorf("after %v: want %s (-explained +got):\n%s", r.timer.Now().Sub(began), c.want, diff)
			}
		})
	}
}
