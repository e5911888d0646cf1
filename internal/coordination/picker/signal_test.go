package picker

import (
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// send sends a request and applies a signal of the target that it was sent to.
func (r *fixture) send(t *testing.T, w Signal) string {
	t.Helper()
	s, err := r.Acquire(t.Context(), r.request("m"))
	if err != nil {
		t.Fatal(err)
	}
	s.ApplySignal(w)
	s.Release(Outcome{})
	return s.Target.ID
}

// TestLeavesByItsOwnWord checks that a target that has announced that it is leaving gets
// no more requests, even if an old list contains it again, until it restarts as a new
// incarnation.
func TestLeavesByItsOwnWord(t *testing.T) {
	r := newFixture()
	near, far := engineTarget("near", "a1", "m"), engineTarget("far", "b1", "m")
	r.SetTarget(near)
	r.SetTarget(far)
	got := []string{r.send(t, Signal{Leaving: true}), r.send(t, Signal{})}
	r.SetTarget(near)
	got = append(got, r.send(t, Signal{}))
	r.Remove("near", 0)
	r.SetTarget(near)
	r.ApplyUpdates([]Update{NewUpdate(&near, near.Models)}, nil)
	got = append(got, r.send(t, Signal{}))
	near.Born++
	r.SetTarget(near)
	got = append(got, r.send(t, Signal{}))
	if diff := cmp.Diff([]string{"near", "far", "far", "far", "near"}, got); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// TestAnnouncedLeavingUntilHolderKnows checks that AnnouncedLeaving returns a target that
// has announced that it is leaving until the lease holder's update reports it as
// draining.
func TestAnnouncedLeavingUntilHolderKnows(t *testing.T) {
	r := newFixture()
	near := engineTarget("near", "a1", "m")
	r.SetTarget(near)
	r.SetTarget(engineTarget("far", "b1", "m"))
	r.send(t, Signal{Leaving: true})
	if diff := cmp.Diff([]fleet.Identity{near.Identity}, r.AnnouncedLeaving()); diff != "" {
		t.Errorf("announced as leaving (-want +got):\n%s", diff)
	}
	near.Draining = true
	r.ApplyUpdates([]Update{NewUpdate(&near, near.Models)}, nil)
	if got := r.AnnouncedLeaving(); len(got) != 0 {
		t.Errorf("announced as leaving after the holder reported them as draining: %v", got)
	}
}

// TestRestsOnItsOwnWord checks that a target gets no requests during the backoff that it
// has asked for, while other targets do, and gets them again afterwards. A later, shorter
// backoff does not shorten a longer one.
func TestRestsOnItsOwnWord(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("near", "a1", "m"))
	r.SetTarget(engineTarget("far", "b1", "m"))
	first, err := r.Acquire(t.Context(), r.request("m"))
	if err != nil {
		t.Fatal(err)
	}
	first.ResponseBegan()
	got := []string{r.send(t, Signal{Backoff: 3 * time.Second})}
	first.ApplySignal(Signal{Backoff: time.Second})
	first.Release(Outcome{Rejected: true})
	for range 3 {
		got = append(got, r.send(t, Signal{}))
		r.timer.Advance(990 * time.Millisecond)
	}
	r.timer.Advance(100 * time.Millisecond)
	got = append(got, r.send(t, Signal{}))
	if diff := cmp.Diff([]string{"near", "far", "far", "far", "near"}, got); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// TestAllTargetsRest checks that a request is refused at once if all its targets have
// asked for a backoff, with the time until the first backoff ends as RetryAfter.
func TestAllTargetsRest(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("near", "a1", "m"))
	r.SetTarget(engineTarget("far", "b1", "m"))
	r.send(t, Signal{Backoff: 3 * time.Second})
	r.send(t, Signal{Backoff: 2 * time.Second})
	r.timer.Advance(500 * time.Millisecond)
	want := &Refusal{Reason: ReasonBackoff, RetryAfter: 1500 * time.Millisecond}
	if diff := cmp.Diff(want, r.acquire(t.Context(), r.request("m")).refusal(t)); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	// A request is queued if its model will be loaded on another target in time.
	r.ApplyUpdates(nil, map[string]time.Time{"m": r.timer.Now().Add(time.Second)})
	r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
}

// TestRestIsBounded checks that a target that has asked for an absurdly long backoff is
// used again after maxBackoff.
func TestRestIsBounded(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("near", "a1", "m"))
	r.send(t, Signal{Backoff: math.MaxInt64})
	r.timer.Advance(maxBackoff)
	if got := r.send(t, Signal{}); got != "near" {
		t.Errorf("request sent to %s", got)
	}
}

// TestSignalsAreForgottenOnRestart checks that a new process, which knows nothing of
// earlier signals, sends a target a single request until it signals again.
func TestSignalsAreForgottenOnRestart(t *testing.T) {
	for name, signal := range map[string]Signal{"rest": {Backoff: 5 * time.Second}, "leaving": {Leaving: true}} {
		t.Run(name, func(t *testing.T) {
			near := 0
			for range 2 {
				r := newFixture()
				r.SetTarget(engineTarget("near", "a1", "m"))
				r.SetTarget(engineTarget("far", "b1", "m"))
				for range 10 {
					s, err := r.Acquire(t.Context(), r.request("m"))
					if err != nil {
						t.Fatal(err)
					}
					if s.Target.ID == "near" {
						near++
						s.ApplySignal(signal)
					}
					s.Release(Outcome{})
				}
			}
			if near != 2 {
				t.Errorf("%d requests in two processes, want 2", near)
			}
		})
	}
}

// TestSignalsAfterFreeze checks the signals of targets after the process was frozen: a
// backoff that has ended meanwhile no longer counts, while a leaving target stays
// excluded.
func TestSignalsAfterFreeze(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("near", "a1", "m"))
	r.SetTarget(engineTarget("far", "b1", "m"))
	got := []string{r.send(t, Signal{Backoff: 5 * time.Second})}
	r.timer.Advance(6 * time.Second)
	got = append(got, r.send(t, Signal{Leaving: true}))
	r.timer.Advance(time.Hour)
	got = append(got, r.send(t, Signal{}))
	if diff := cmp.Diff([]string{"near", "near", "far"}, got); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}
