package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// acquire reserves a target of the plain service for a request that arrives now.
func acquire(t *testing.T, p *picker.Picker, now time.Time, exclude ...fleet.Identity) *picker.Reservation {
	t.Helper()
	s, err := p.Acquire(t.Context(), picker.Request{Service: "desk", Arrived: now, Deadline: now.Add(time.Second), Exclude: exclude})
	if err != nil {
		t.Fatal(err)
	}
	return s
}

// TestLoadOfOthers exchanges messages of two instances with a holder. It guards against a
// load that is counted for another target or twice, also for plain services.
func TestLoadOfOthers(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHolder(true)
	for _, id := range []string{"one", "two"} {
		k.setTarget(fleet.Target{Identity: fleet.Identity{ID: id, Born: 1}, Service: "desk", Zone: "a1", Slots: 8})
	}
	// The targets are those of the holder's first list, so they have no limit.
	k.setHasFullList(true)
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	busy, idle := picker.New(clock, "a1", nil), picker.New(clock, "a1", nil)
	exchange := func(p *picker.Picker, from string) {
		t.Helper()
		r := p.LoadReport()
		data, err := json.Marshal(exchangeRequest{From: from, Load: &r})
		if err != nil {
			t.Fatal(err)
		}
		var m exchangeRequest
		if err := json.Unmarshal(data, &m); err != nil {
			t.Fatal(err)
		}
		reply, ok := k.handleExchange(m)
		if !ok {
			t.Fatal("no reply of the holder")
		}
		p.ApplyUpdates(reply.Updates, nil)
		if reply.Load == nil {
			// The holder waits for more reports before it sends a snapshot.
			reply.Load = k.load.Snapshot(k.clock.Now().Add(1500*time.Millisecond), from)
		}
		p.ApplyLoad(reply.Term, reply.Load, clock.Now())
	}
	exchange(busy, "i2")
	exchange(idle, "i3")
	one, two := fleet.Identity{ID: "one", Born: 1}, fleet.Identity{ID: "two", Born: 1}
	for range 6 {
		acquire(t, busy, clock.Now(), two)
	}
	clock.Advance(time.Second)
	exchange(busy, "i2")
	exchange(idle, "i3")
	var got []float64
	for _, p := range []*picker.Picker{busy, idle} {
		for _, other := range []fleet.Identity{two, one} {
			s := acquire(t, p, clock.Now(), other)
			got = append(got, s.Load)
			s.Release(picker.Outcome{})
		}
	}
	// At "one" and "two": the busy instance's own requests, and what the idle one hears.
	if diff := cmp.Diff([]float64{6, 0, 6, 0}, got); diff != "" {
		t.Errorf("loads (-want +got):\n%s", diff)
	}
}

// TestIndexesOfTargets guards against two targets with the same number, and against one
// whose number changes within a term.
func TestIndexesOfTargets(t *testing.T) {
	u := newUpdateLog()
	set := func(id string, slots int) {
		u.set(picker.Update{Identity: fleet.Identity{ID: id}, Slots: slots}, time.Time{})
	}
	set("a", 1)
	set("b", 1)
	set("a", 2)
	u.remove("b", rev(0))
	set("c", 1)
	got := make(map[string]int)
	for _, n := range u.after(0, time.Time{}) {
		got[n.ID] = n.Index
	}
	if diff := cmp.Diff(map[string]int{"a": 1, "c": 3}, got); diff != "" {
		t.Errorf("indexes (-want +got):\n%s", diff)
	}
}

// TestNoSnapshotUnasked guards against snapshots that instances get more often than their
// links allow.
func TestNoSnapshotUnasked(t *testing.T) {
	k := newTestCoordinator(t)
	now := k.clock.Now()
	for _, at := range []time.Duration{0, 2 * time.Second} {
		for _, due := range []bool{false, true} {
			r := load.Report{Term: k.term(), Due: due}
			s := k.exchangeLoad(now.Add(at), &exchangeRequest{From: "i2", Load: &r})
			if want := due && at > 0; (s != nil) != want {
				t.Errorf("after %s, due %v: snapshot %+v", at, due, s)
			}
		}
	}
}

// TestRampOfNewTargets guards against a target that is flooded after its start, and against
// a new holder that limits all targets because it sees them for the first time.
func TestRampOfNewTargets(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHolder(true)
	set := func(id string, born int64) {
		k.setTarget(fleet.Target{Identity: fleet.Identity{ID: id, Born: born}, Service: "desk", Slots: 64})
	}
	limits := func() map[int]int {
		now := k.clock.Now()
		r := load.Report{Term: k.term(), Seq: uint64(now.UnixNano())}
		k.sums().Record(now, "i2", &r)
		v := load.NewView(now)
		if _, ok := v.Apply(k.sums().Snapshot(now.Add(2*time.Second), "i3"), now); !ok {
			t.Fatal("no snapshot")
		}
		out := make(map[int]int)
		for i := range 4 {
			if limit := v.Limit(i); limit > 0 {
				out[i] = limit
			}
		}
		return out
	}
	set("one", 1)
	k.setHasFullList(true)
	set("one", 1)
	if got := limits(); len(got) > 0 {
		t.Errorf("limits %v after the first list", got)
	}
	set("two", 1)
	set("one", 2)
	if diff := cmp.Diff(map[int]int{1: 4, 2: 4}, limits()); diff != "" {
		t.Errorf("limits of a new target and a new incarnation (-want +got):\n%s", diff)
	}
	k.removeTarget("two")
	if diff := cmp.Diff(map[int]int{1: 4}, limits()); diff != "" {
		t.Errorf("limits after a removal (-want +got):\n%s", diff)
	}
	k.withoutSlowStart, k.load = true, nil
	set("one", 3)
	if got := limits(); len(got) > 0 {
		t.Errorf("limits %v without slow start", got)
	}
}

// TestNoSnapshotOfFew guards against sums that lack most instances: targets that are busy
// with their requests would look empty.
func TestNoSnapshotOfFew(t *testing.T) {
	k := newTestCoordinator(t)
	now := k.clock.Now()
	ask := func(at time.Duration) *load.Snapshot {
		r := load.Report{Term: k.term(), Seq: uint64(at), Due: true}
		return k.exchangeLoad(now.Add(at), &exchangeRequest{From: "i2", Load: &r})
	}
	ask(time.Millisecond)
	k.members = map[string]member{"i2": {}, "i3": {}, "i4": {}}
	if s := ask(2 * time.Second); s != nil {
		t.Errorf("snapshot %+v of one of three instances", s)
	}
	delete(k.members, "i4")
	if s := ask(2*time.Second + 1); s == nil {
		t.Error("no snapshot of one of two instances")
	}
}
