package edge

import (
	"context"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
)

// newInstance returns an instance that does not run, and knows the target "one" as of revision
// 5 unless it is new.
func newInstance(t *testing.T, isNew bool) *Edge {
	e := New(&platform.Boot{Instance: "i2", Zone: "a1"}, discardLogger())
	t.Cleanup(e.stopLoops)
	if !isNew {
		e.tracker.applyChange(targetItem(t, "one", 5), originStore, 0)
	}
	return e
}

// rev returns a revision of a store that tells no era.
func rev(number ports.Revision) eras.Revision { return eras.Revision{Number: uint64(number)} }

// uses reports whether the instance sends requests to the target "one".
func (e *Edge) uses() bool { return len(e.picker.MissingFrom(nil)) > 0 }

// deletion returns the item that says that the entry of "one" was deleted at a revision.
func deletion(revision ports.Revision) storeItem {
	return dated(0, ports.Item{Key: platform.TargetPrefix + "one", Revision: revision, Deleted: true})
}

// updateOf returns the holder's update of "one" as of a revision.
func updateOf(t *testing.T, revision ports.Revision) picker.Update {
	r, err := platform.DecodeTarget(platform.TargetPrefix+"one", targetItem(t, "one", revision).Value)
	if err != nil {
		t.Fatal(err)
	}
	r.Revision = rev(revision)
	return picker.NewUpdate(&r, nil)
}

// TestOutdatedNewsOfATarget has a target's entry deleted at revision 20, and descriptions of
// the target come afterwards. It guards against those from before the departure that put it back
// into use, for as long as the store is away, and against a departure that outlives a fresh
// registration.
func TestOutdatedNewsOfATarget(t *testing.T) {
	list := func(askedAt time.Time, through, revision ports.Revision) func(*testing.T, *Edge) {
		return func(t *testing.T, e *Edge) {
			e.tracker.applyList(itemList{items: []storeItem{targetItem(t, "one", revision)}, through: rev(through), askedAt: askedAt}, 0)
		}
	}
	update := func(isFull bool, revision ports.Revision) func(*testing.T, *Edge) {
		return func(t *testing.T, e *Edge) {
			e.applyUpdates(exchangeReply{
				Full: isFull, TargetsThrough: rev(revision), Updates: []picker.Update{updateOf(t, revision)},
			}, originHolder, e.clock.Now())
		}
	}
	longAgo := time.Unix(1, 0)
	for _, c := range []struct {
		name  string
		apply func(*testing.T, *Edge)
		want  bool
	}{
		{"a list that was asked for before", list(longAgo, 15, 5), false},
		{"a reader's list of an earlier revision", list(time.Time{}, 15, 5), false},
		{"the first updates of a holder that is behind", update(true, 15), false},
		{"a later update of a holder that is behind", update(false, 15), false},
		{"a change that is read late", func(t *testing.T, e *Edge) {
			e.tracker.applyChange(targetItem(t, "one", 18), originReader, 0)
		}, false},
		{"the entry written again", func(t *testing.T, e *Edge) {
			e.tracker.applyChange(targetItem(t, "one", 22), originStore, 0)
		}, true},
		{"a list with the entry written again", list(longAgo, 22, 22), true},
		{"a holder that has read the entry written again", update(false, 22), true},
		{"a list of an older copy of the store, asked for later", list(time.Now().Add(time.Hour), 15, 5), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			for _, from := range []struct {
				name  string
				leave func(*Edge)
			}{
				{"own", func(e *Edge) { e.tracker.applyChange(deletion(20), originStore, 0) }},
				{"holder", func(e *Edge) {
					gone := picker.Update{Gone: true, Revision: rev(20)}
					gone.ID = "one"
					e.applyUpdates(exchangeReply{TargetsThrough: rev(20), Updates: []picker.Update{gone}}, originHolder, e.clock.Now())
				}},
			} {
				e := newInstance(t, false)
				from.leave(e)
				if e.uses() {
					t.Fatalf("%s departure: the target that has left is in use", from.name)
				}
				c.apply(t, e)
				if diff := cmp.Diff(c.want, e.uses()); diff != "" {
					t.Errorf("%s departure: in use (-want +got):\n%s", from.name, diff)
				}
			}
		})
	}
}

// updatesOf returns what the holder e tells an instance that knows nothing yet.
func updatesOf(t *testing.T, e *Edge) exchangeReply {
	e.coordinator.setHasFullList(true)
	r, ok := e.coordinator.handleExchange(exchangeRequest{From: "i9"})
	if !ok {
		t.Fatal("no updates")
	}
	return r
}

// TestTimeOfRemovalIsTold has the holder miss a target's entry while the store is disturbed. It
// guards against instances that use the target until a later update, and against a time that
// begins anew with each message and each holder.
func TestTimeOfRemovalIsTold(t *testing.T) {
	const delay = 600 * time.Millisecond
	holder := newInstance(t, false)
	holder.coordinator.setConfig(nil, rev(0))
	holder.coordinator.setConfigRead()
	holder.coordinator.setHolder(true)
	holder.tracker.applyChange(deletion(20), originStore, delay)
	first := updatesOf(t, holder)
	instance, late, knows := newInstance(t, false), newInstance(t, true), newInstance(t, false)
	knows.tracker.applyChange(deletion(20), originStore, 0)
	for _, e := range []*Edge{instance, knows} {
		e.applyUpdates(first, originHolder, e.clock.Now())
	}
	time.Sleep(delay / 2)
	second := updatesOf(t, holder)
	second.Term++
	for _, e := range []*Edge{instance, late, knows} {
		e.applyUpdates(second, originHolder, e.clock.Now())
	}
	got := []bool{holder.uses(), instance.uses(), late.uses(), knows.uses()}
	time.Sleep(delay/2 + 100*time.Millisecond)
	for _, e := range []*Edge{holder, instance, late, knows} {
		got = append(got, e.uses())
		// A holder whose clock is behind has not removed it yet.
		e.applyUpdates(second, originRelay, e.clock.Now())
		got = append(got, e != holder && e.uses())
	}
	want := []bool{true, true, true, false, false, false, false, false, false, false, false, false}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("in use (-want +got):\n%s", diff)
	}
}

// TestSuccessorKnowsWhatIsDraining has the holder tell of a target that is draining, and ends
// before the target's entry does. It guards against a successor that takes its own former copy of
// the entry, and has instances that have just started use the target.
func TestSuccessorKnowsWhatIsDraining(t *testing.T) {
	e := newInstance(t, false)
	draining := updateOf(t, 7)
	draining.Draining = true
	e.applyUpdates(exchangeReply{TargetsThrough: rev(7), Updates: []picker.Update{draining}}, originHolder, e.clock.Now())
	e.coordinator.setConfigRead()
	e.coordinator.setHolder(true)
	e.tracker.applyList(itemList{through: rev(20), askedAt: e.clock.Now()}, leaseRecoveryTime)
	for _, u := range updatesOf(t, e).Updates {
		if !u.Draining {
			t.Errorf("the target is told as one that takes requests: %+v", u)
		}
	}
}

// TestReturnIsToldByASuccessor has a target leave and return while an instance follows a reader,
// which sends the latest change only. It guards against a target that stays out of use at the
// instances that know of its departure, since the successor tells of it as it was before.
func TestReturnIsToldByASuccessor(t *testing.T) {
	for _, c := range []struct {
		name  string
		apply func(*Edge)
	}{
		{"change", func(e *Edge) { e.tracker.applyChange(targetItem(t, "one", 22), originReader, 0) }},
		{"full list", func(e *Edge) {
			e.tracker.applyList(itemList{items: []storeItem{targetItem(t, "one", 22)}, through: rev(30), from: originReader}, 0)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			successor, other := newInstance(t, false), newInstance(t, false)
			other.tracker.applyChange(deletion(20), originStore, 0)
			c.apply(successor)
			successor.coordinator.setConfigRead()
			successor.coordinator.setHolder(true)
			other.applyUpdates(updatesOf(t, successor), originHolder, other.clock.Now())
			if !other.uses() {
				t.Error("the target that has returned is not in use")
			}
		})
	}
}

// TestUpdateOfATargetThatMayBeUsed has a new holder tell of a target whose departure the instance
// knows and which may still be used. It guards against what else the update says being dropped:
// the models, and the number of the target in the holder's term.
func TestUpdateOfATargetThatMayBeUsed(t *testing.T) {
	e := newInstance(t, false)
	e.tracker.applyChange(deletion(20), originStore, time.Minute)
	u := updateOf(t, 20)
	u.Models, u.RemovalMS = []fleet.Loaded{{Model: "m9"}}, 1000
	e.applyUpdates(exchangeReply{Full: true, TargetsThrough: rev(25), Updates: []picker.Update{u}}, originHolder, e.clock.Now())
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := e.picker.Acquire(ctx, picker.Request{Service: "desk", Model: "m9", Deadline: time.Now().Add(time.Second)})
	if err != nil {
		t.Fatal(err)
	}
	r.Release(picker.Outcome{})
}
