package picker

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// limited returns a fixture with a target that has named a limit of one request a second.
func limited(t *testing.T) (*fixture, fleet.Target) {
	r := newFixture()
	near := engineTarget("near", "a1", "m")
	r.SetTarget(near)
	r.send(t, Signal{Limit: &quota.Notice{Text: "1", PerSecond: 1, Readable: true}, Ran: true, SentAt: r.timer.Now()})
	return r, near
}

// reply applies a reply of the lease holder that grants permits for a target.
func (r *fixture) reply(target fleet.Target, permits int, waitsMS ...int64) {
	g := quota.Grant{Identity: target.Identity, Permits: permits, WaitsMS: waitsMS, LineMS: int64(1000 * (len(waitsMS) + 1))}
	r.ApplyPermits(quota.Reply{Term: 1, Members: 8, SentAt: r.timer.Now(), Grants: []quota.Grant{g}})
}

// TestQueuedRequestsGetThePermits queues three requests for a target with a limit. Each
// permit must let one of them go, the most urgent first.
func TestQueuedRequestsGetThePermits(t *testing.T) {
	r, near := limited(t)
	r.reply(near, 0, 1000, 2000, 3000)
	late := r.request("m")
	late.Priority = 1
	var waiting []*pending
	for i, q := range []Request{late, r.request("m"), r.request("m")} {
		waiting = append(waiting, r.acquire(t.Context(), q))
		r.waitForQueue(t, i+1)
	}
	_, wants := r.LimitDemand()
	want := []quota.Want{{Identity: near.Identity, Queued: 3, PatienceMS: 10000}}
	if diff := cmp.Diff(want, wants); diff != "" {
		t.Errorf("wants (-want +got):\n%s", diff)
	}
	r.reply(near, 2, 1000)
	r.waitForQueue(t, 1)
	for _, p := range waiting[1:] {
		<-p.done
		if p.err != nil || p.reservation.Target.ID != "near" || p.reservation.Limit.PerSecond != 1 {
			t.Errorf("an urgent request got %+v, %v", p.reservation, p.err)
		}
	}
}

// TestOthersTakeWhatALimitLeaves checks that requests go to another target at once while
// there is no permit, and that the holder is asked for one all the same.
func TestOthersTakeWhatALimitLeaves(t *testing.T) {
	r, near := limited(t)
	r.SetTarget(engineTarget("far", "b1", "m"))
	s, err := r.Acquire(t.Context(), r.request("m"))
	if err != nil || s.Target.ID != "far" || s.Limit.Target != "near" {
		t.Fatalf("got %+v, %v; want the far target, for the limit of the near one", s, err)
	}
	_, wants := r.LimitDemand()
	if diff := cmp.Diff([]quota.Want{{Identity: near.Identity, Spare: 1}}, wants); diff != "" {
		t.Errorf("wants (-want +got):\n%s", diff)
	}
	r.reply(near, 1)
	s, err = r.Acquire(t.Context(), r.request("m"))
	if err != nil || s.Target.ID != "near" {
		t.Errorf("with a permit: got %+v, %v; want the near target", s, err)
	}
}

// TestRefusedAtOnceBehindALongLine checks that a request whose turn comes after its
// deadline is refused at once, with the time until its turn, and not as if its model were
// not loaded. One whose turn comes in time waits, even for most of its time.
func TestRefusedAtOnceBehindALongLine(t *testing.T) {
	r, near := limited(t)
	r.reply(near, 0)
	q := r.request("m")
	q.Deadline = r.timer.Now().Add(999 * time.Millisecond)
	got := r.acquire(t.Context(), q).refusal(t)
	want := &Refusal{
		Reason: ReasonLimit, RetryAfter: time.Second,
		Limit: Limit{Target: "near", PerSecond: 1, Wait: time.Second},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
	if n := r.demands.Load(); n != 0 {
		t.Errorf("%d messages to the holder for a request that was refused", n)
	}
	q.Deadline = r.timer.Now().Add(1100 * time.Millisecond)
	patient := r.acquire(t.Context(), q)
	r.waitForQueue(t, 1)
	r.reply(near, 0, 1000)
	r.timer.Advance(900 * time.Millisecond)
	r.waitForQueue(t, 1)
	r.reply(near, 1)
	<-patient.done
	if patient.err != nil {
		t.Errorf("a request whose turn came in time got %v", patient.err)
	}
}

// TestLateCheckOfAWaitingRequest guards against a refusal with no time after which to come
// back: the deadline of a request passes while its permit is due, and another request
// arrives before the queue is checked.
func TestLateCheckOfAWaitingRequest(t *testing.T) {
	r, near := limited(t)
	r.reply(near, 0, 500)
	r.mu.Lock()
	r.checkScheduled = true
	r.mu.Unlock()
	q := r.request("m")
	q.Deadline = r.timer.Now().Add(600 * time.Millisecond)
	p := r.acquire(t.Context(), q)
	r.waitForQueue(t, 1)
	r.timer.Advance(601 * time.Millisecond)
	r.acquire(t.Context(), r.request("m"))
	if diff := cmp.Diff(&Refusal{Reason: ReasonDeadline, RetryAfter: defaultRetryAfter}, p.refusal(t)); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

// TestSilentHolderDoesNotHoldRequests checks that requests for a target with a limit wait
// no longer for word of the holder than for that of a load.
func TestSilentHolderDoesNotHoldRequests(t *testing.T) {
	r, _ := limited(t)
	r.ApplyPermits(quota.Reply{Term: 1, Members: 8, SentAt: r.timer.Now()})
	q := r.request("m")
	q.Deadline = r.timer.Now().Add(time.Second)
	p := r.acquire(t.Context(), q)
	r.waitForQueue(t, 1)
	r.timer.Advance(400 * time.Millisecond)
	if got := p.refusal(t); got.Reason != ReasonLimit {
		t.Errorf("refused as %s", got.Reason)
	}
}

// TestLimitOutlivesTheList checks that the limit of a target that vanishes from the list
// and comes back is still in force, and that a restart of the target ends it.
func TestLimitOutlivesTheList(t *testing.T) {
	r, near := limited(t)
	r.reply(near, 0)
	blocked := func() bool {
		q := r.request("m")
		q.Deadline = r.timer.Now().Add(time.Millisecond)
		_, err := r.Acquire(t.Context(), q)
		return err != nil
	}
	r.Remove("near", 0)
	r.SetTarget(near)
	got := []bool{blocked()}
	near.Born++
	r.SetTarget(near)
	got = append(got, blocked())
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("blocked (-want +got):\n%s", diff)
	}
}

// TestHoldersUpdateNamesLimits checks that an instance keeps to a limit of which it has
// heard from the holder alone.
func TestHoldersUpdateNamesLimits(t *testing.T) {
	r := newFixture()
	near, far := engineTarget("near", "a1", "m"), engineTarget("far", "b1", "m")
	u := NewUpdate(&near, near.Models)
	u.Limit = 1
	r.ApplyPermits(quota.Reply{Term: 1, Members: 8, SentAt: r.timer.Now()})
	r.ApplyUpdates([]Update{u, NewUpdate(&far, far.Models)}, nil)
	s, err := r.Acquire(t.Context(), r.request("m"))
	if err != nil || s.Target.ID != "far" {
		t.Errorf("got %+v, %v; want the far target", s, err)
	}
}

// TestDemandTellsOfLimitedRequests checks that requests which a limit refuses or holds up
// for long count in the demand, so that the model gets another copy.
func TestDemandTellsOfLimitedRequests(t *testing.T) {
	r, near := limited(t)
	r.reply(near, 0)
	refused, soon, held := r.request("m"), r.request("m"), r.request("m")
	refused.Deadline = r.timer.Now().Add(time.Millisecond)
	if got := r.acquire(t.Context(), refused).refusal(t); got.Reason != ReasonLimit {
		t.Fatalf("refused as %s", got.Reason)
	}
	r.acquire(t.Context(), soon)
	r.waitForQueue(t, 1)
	r.acquire(t.Context(), held)
	r.waitForQueue(t, 2)
	var got []int
	for range 2 {
		for _, d := range r.Demand() {
			got = append(got, d.Limited)
		}
	}
	if diff := cmp.Diff([]int{2, 1}, got); diff != "" {
		t.Errorf("limited requests in two demands (-want +got):\n%s", diff)
	}
}
