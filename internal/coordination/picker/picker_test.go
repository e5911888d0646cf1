package picker

import (
	"context"
	"errors"
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

var regions = map[string]string{"a1": "a", "a2": "a", "b1": "b"}

// fixture is a Picker on virtual time. It counts the calls of its WithDemand function.
type fixture struct {
	*Picker
	timer   *timer.Virtual
	demands atomic.Int64
}

func newFixture() *fixture {
	r := &fixture{timer: timer.NewVirtual(time.Unix(1_000_000, 0))}
	r.Picker = New(r.timer, "a1", regions, WithDemand(func() { r.demands.Add(1) }))
	return r
}

// engineTarget returns a target with four slots that serves the given models.
func engineTarget(id, zone string, models ...string) fleet.Target {
	r := fleet.Target{
		Identity: fleet.Identity{ID: id, Born: 1}, Service: "llm", Zone: zone, Slots: 4,
		Addr: netip.MustParseAddrPort("10.0.0.1:80"),
	}
	for _, m := range models {
		r.Models = append(r.Models, fleet.Loaded{Model: m})
	}
	return r
}

func (r *fixture) request(model string) Request {
	now := r.timer.Now()
	return Request{Service: "llm", Model: model, Arrived: now, Deadline: now.Add(10 * time.Second)}
}

// pending is a call of Acquire that may still be queued.
type pending struct {
	done        chan struct{}
	reservation *Reservation
	err         error
}

func (r *fixture) acquire(ctx context.Context, q Request) *pending {
	p := &pending{done: make(chan struct{})}
	go func() {
		p.reservation, p.err = r.Acquire(ctx, q)
		close(p.done)
	}()
	return p
}

// waitForQueue waits until the queue holds n requests.
func (r *fixture) waitForQueue(t *testing.T, n int) {
	t.Helper()
	for range 2000 {
		r.mu.Lock()
		queued := len(r.queue)
		r.mu.Unlock()
		if queued == n {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("the queue does not hold %d requests", n)
}

func (p *pending) refusal(t *testing.T) *Refusal {
	t.Helper()
	<-p.done
	var refusal *Refusal
	if !errors.As(p.err, &refusal) {
		t.Fatalf("Acquire returned %v, %v; want a refusal", p.reservation, p.err)
	}
	return refusal
}

func TestPrefersNearAndIdle(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("near", "a1", "m"))
	r.SetTarget(engineTarget("far", "b1", "m"))
	var got []string
	for range 5 {
		s, err := r.Acquire(t.Context(), r.request("m"))
		if err != nil {
			t.Fatal(err)
		}
		// The responses have begun, so only zone and load decide.
		s.ResponseBegan()
		got = append(got, s.Target.ID)
	}
	if diff := cmp.Diff([]string{"near", "near", "near", "near", "far"}, got); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// TestQueuesUntilModelIsServed queues requests for a model that no target serves. Once a
// target serves it, the more urgent request goes first.
func TestQueuesUntilModelIsServed(t *testing.T) {
	r := newFixture()
	one := engineTarget("one", "a1")
	one.Slots = 1
	r.SetTarget(one)
	late := r.request("m")
	late.Priority = 2
	second := r.acquire(t.Context(), late)
	r.waitForQueue(t, 1)
	first := r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 2)
	want := []Demand{{Service: "llm", Model: "m", Queued: 2, Arrived: 2}}
	if diff := cmp.Diff(want, r.Demand()); diff != "" {
		t.Errorf("demand (-want +got):\n%s", diff)
	}
	if n := r.demands.Load(); n != 2 {
		t.Errorf("%d calls of the demand function, want 2", n)
	}
	r.ApplyUpdates([]Update{NewUpdate(&one, []fleet.Loaded{{Model: "m"}})}, nil)
	<-first.done
	if first.reservation == nil {
		t.Fatal(first.err)
	}
	first.reservation.Release(Outcome{})
	<-second.done
	if second.reservation == nil {
		t.Error(second.err)
	}
}

// TestRefusesWhatComesTooLate checks that a request whose model will be loaded only after
// its deadline is refused at once, with the time until the load as RetryAfter.
func TestRefusesWhatComesTooLate(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("one", "a1"))
	p := r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
	r.ApplyUpdates(nil, map[string]time.Time{"m": r.timer.Now().Add(12 * time.Second)})
	want := &Refusal{Reason: ReasonTooLate, RetryAfter: 12 * time.Second}
	if diff := cmp.Diff(want, p.refusal(t)); diff != "" {
		t.Errorf("refusal (-want +got):\n%s", diff)
	}
}

func TestRefusesWithoutNewsOfTheModel(t *testing.T) {
	r := newFixture()
	p := r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
	r.timer.Advance(3500 * time.Millisecond)
	if got := p.refusal(t).Reason; got != ReasonNoTarget {
		t.Errorf("refusal reason %q", got)
	}
}

func TestDrainingTargetGetsNothing(t *testing.T) {
	r := newFixture()
	one := engineTarget("one", "a1", "m")
	r.SetTarget(one)
	one.Draining = true
	r.SetTarget(one)
	r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
}

// TestVanishedInAnOutage checks that a target whose entry disappeared while the
// platform's store was unreliable stays in use until its removal delay is over.
func TestVanishedInAnOutage(t *testing.T) {
	for _, c := range []struct {
		name         string
		removalDelay time.Duration
		after        time.Duration
		want         bool
	}{
		{"reliable store", 0, 0, false},
		{"unreliable store", 2 * time.Second, time.Second, true},
		{"unreliable store, delay over", 2 * time.Second, 3 * time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture()
			r.SetTarget(engineTarget("one", "a1", "m"))
			r.Remove("one", c.removalDelay)
			r.timer.Advance(c.after)
			r.mu.Lock()
			q := r.request("m")
			got := r.tryAcquire(r.timer.Now(), &q) != nil
			r.mu.Unlock()
			if got != c.want {
				t.Errorf("target used: %v", got)
			}
		})
	}
}

// TestReusedAddressIsAnotherTarget checks that updates about an earlier incarnation at
// the same address do not count for the new one.
func TestReusedAddressIsAnotherTarget(t *testing.T) {
	r := newFixture()
	one := engineTarget("one", "a1", "m")
	r.SetTarget(one)
	r.ApplyUpdates([]Update{NewUpdate(&one, []fleet.Loaded{{Model: "m"}})}, nil)
	again := engineTarget("one", "a1")
	again.Born = 2
	r.SetTarget(again)
	r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
}

// TestEjectsFailingTarget checks that a nearby target that fails most of its requests
// gets few of them, and that it gets requests again after it has recovered.
func TestEjectsFailingTarget(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("grey", "a1", "m"))
	r.SetTarget(engineTarget("sound", "a2", "m"))
	used := make(map[string]int)
	send := func(failing bool) string {
		s, err := r.Acquire(t.Context(), r.request("m"))
		if err != nil {
			t.Fatal(err)
		}
		s.Release(Outcome{Failed: failing && s.Target.ID == "grey"})
		r.timer.Advance(50 * time.Millisecond)
		return s.Target.ID
	}
	for range 100 {
		used[send(true)]++
	}
	if used["grey"] > 20 {
		t.Errorf("the failing target got %d of 100 requests", used["grey"])
	}
	r.timer.Advance(10 * time.Second)
	last := ""
	for range 60 {
		last = send(false)
	}
	if last != "grey" {
		t.Errorf("the recovered target gets no requests")
	}
}

func TestCanceledRequestLeavesQueue(t *testing.T) {
	r := newFixture()
	ctx, cancel := context.WithCancel(t.Context())
	p := r.acquire(ctx, r.request("m"))
	r.waitForQueue(t, 1)
	cancel()
	<-p.done
	r.waitForQueue(t, 0)
}

func TestCloseRefusesWhoWaits(t *testing.T) {
	r := newFixture()
	p := r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
	r.Close()
	if got := p.refusal(t).Reason; got != ReasonStopping {
		t.Errorf("refusal reason %q", got)
	}
}

// TestPrefillAddsToCost sends requests one after the other to two targets, of which only
// one begins its responses at once. A prompt that is still being processed costs more
// than a request that generates tokens, since it delays the tokens of all other requests.
func TestPrefillAddsToCost(t *testing.T) {
	r := newFixture()
	r.SetTarget(engineTarget("a", "a1", "m"))
	r.SetTarget(engineTarget("b", "a1", "m"))
	var got []string
	for range 4 {
		s, err := r.Acquire(t.Context(), r.request("m"))
		if err != nil {
			t.Fatal(err)
		}
		if s.Target.ID == "a" {
			s.ResponseBegan()
		}
		got = append(got, s.Target.ID)
	}
	if diff := cmp.Diff([]string{"a", "b", "a", "a"}, got); diff != "" {
		t.Errorf("targets (-want +got):\n%s", diff)
	}
}

// TestInstancesSpreadOverCopies checks that many instances, each of which knows nothing
// of the others' requests and sends one, do not give any copy of a model more than twice
// its share.
func TestInstancesSpreadOverCopies(t *testing.T) {
	const instances, copies = 60, 6
	got := make(map[string]int)
	for i := range instances {
		b := New(timer.NewVirtual(time.Unix(1_000_000, 0)), "a1", regions, WithName(fmt.Sprintf("front-a1-%d", i)))
		for c := range copies {
			b.SetTarget(engineTarget(fmt.Sprintf("e%d", c), "a1", "m"))
		}
		now := b.timer.Now()
		s, err := b.Acquire(t.Context(), Request{Service: "llm", Model: "m", Arrived: now, Deadline: now.Add(time.Second)})
		if err != nil {
			t.Fatal(err)
		}
		got[s.Target.ID]++
	}
	for id, n := range got {
		if n > 2*instances/copies {
			t.Errorf("%s got %d of %d requests: %v", id, n, instances, got)
		}
	}
}

// TestOldDescriptionDoesNotUndoDraining checks that a target known to be draining gets no
// request after an older description of it has been read.
func TestOldDescriptionDoesNotUndoDraining(t *testing.T) {
	r := newFixture()
	old := engineTarget("one", "a1", "m")
	r.SetTarget(old)
	leaving := old
	leaving.Draining = true
	r.ApplyUpdates([]Update{NewUpdate(&leaving, leaving.Models)}, nil)
	r.SetTarget(old)
	p := r.acquire(t.Context(), r.request("m"))
	r.waitForQueue(t, 1)
	r.Close()
	if refusal := p.refusal(t); refusal.Reason != ReasonStopping {
		t.Errorf("refusal reason %s", refusal.Reason)
	}
}
