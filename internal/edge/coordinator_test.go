package edge

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

func newTestPicker() *picker.Picker { return picker.New(timer.NewSystem(), "a1", nil) }

// newTestHistory returns a history of which nothing is known.
func newTestHistory() *eras.History { return eras.NewHistory(func(eras.Return) {}) }

// targetItem returns the entry of a target that is ready.
func targetItem(t *testing.T, id string, revision ports.Revision) storeItem {
	value, err := json.Marshal(fake.NewTarget(t, id, "a1", 0).Entry("desk", "ready"))
	if err != nil {
		t.Fatal(err)
	}
	return dated(0, ports.Item{Key: platform.TargetPrefix + id, Value: value, Revision: revision})
}

func newTestCoordinator(t *testing.T) *coordinator {
	l := discardLogger()
	k := newCoordinator(t.Context(), &platform.Boot{Instance: "i1"}, timer.NewBoot(), l, &instanceMetrics{log: l}, newTestHistory())
	k.setConfig(&fleet.Config{Version: 1}, rev(1))
	return k
}

func (k *coordinator) setHolder(isHolder bool) {
	now := k.clock.Now()
	k.setStatus(elect.Status{IsHolder: isHolder, OrderFrom: now, HeldUntil: now.Add(time.Second), OrderUntil: now.Add(time.Second)})
}

// TestNewHolderDropsUnlistedTargets makes an instance the holder that has read its own
// list of targets long ago. Targets missing from a new list must not be sent to others.
func TestNewHolderDropsUnlistedTargets(t *testing.T) {
	k := newTestCoordinator(t)
	for _, id := range []string{"stays", "gone"} {
		k.setTarget(fleet.Target{Identity: fleet.Identity{ID: id, Born: 1}, Service: "desk"})
	}
	k.setHolder(true)
	if _, ok := k.handleExchange(exchangeRequest{From: "i2"}); ok {
		t.Error("updates before a list was read")
	}
	newTargetTracker(newTestPicker(), k, k.log).applyList(itemList{items: []storeItem{targetItem(t, "stays", 3)}, through: rev(3)}, 0)
	k.setHasFullList(true)
	r, ok := k.handleExchange(exchangeRequest{From: "i2"})
	var got []string
	for _, n := range r.Updates {
		got = append(got, n.ID)
	}
	if diff := cmp.Diff([]string{"stays"}, got); diff != "" || !ok || !r.Full {
		t.Errorf("updates (-want +got):\n%s%+v", diff, r)
	}
}

// TestUpdatesContainOnlyChanges checks that an instance gets only the updates it lacks,
// including removals, and that only the holder sends any.
func TestUpdatesContainOnlyChanges(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHasFullList(true)
	k.setHolder(true)
	one := fleet.Target{Identity: fleet.Identity{ID: "one", Born: 1}, Service: "desk"}
	k.setTarget(one)
	first, _ := k.handleExchange(exchangeRequest{From: "i2"})
	same, _ := k.handleExchange(exchangeRequest{From: "i2", Term: first.Term, Version: first.Version})
	one.Draining = true
	k.setTarget(one)
	next, _ := k.handleExchange(exchangeRequest{From: "i2", Term: same.Term, Version: same.Version})
	k.removeTarget("one")
	last, _ := k.handleExchange(exchangeRequest{From: "i2", Term: next.Term, Version: next.Version})
	if len(first.Updates) != 1 || len(same.Updates) != 0 || len(next.Updates) != 1 || !next.Updates[0].Draining {
		t.Errorf("updates: %+v, %+v, %+v", first.Updates, same.Updates, next.Updates)
	}
	if len(last.Updates) != 1 || !last.Updates[0].Gone {
		t.Errorf("updates after a removal: %+v", last.Updates)
	}
	k.setHolder(false)
	if _, ok := k.handleExchange(exchangeRequest{From: "i2"}); ok {
		t.Error("updates from an instance that is not the holder")
	}
}

// TestVanishedTargetIsRemovedAfterDelay removes a target that vanished during trouble
// with the store only after the removal delay, and keeps one that reappears.
func TestVanishedTargetIsRemovedAfterDelay(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHasFullList(true)
	k.setHolder(true)
	tracker := newTargetTracker(newTestPicker(), k, k.log)
	for i, id := range []string{"back", "lost"} {
		item := targetItem(t, id, ports.Revision(1+i))
		tracker.applyChange(item, originStore, 0)
		tracker.applyChange(dated(0, ports.Item{Key: item.Key, Revision: ports.Revision(3 + i), Deleted: true}), originStore, leaseRecoveryTime)
	}
	count := func() int {
		k.mu.Lock()
		defer k.mu.Unlock()
		return len(k.updates.after(0, k.clock.Now()))
	}
	if n := count(); n != 2 {
		t.Errorf("%d targets right after they vanished", n)
	}
	tracker.applyChange(targetItem(t, "back", 5), originStore, 0)
	time.Sleep(leaseRecoveryTime + 200*time.Millisecond)
	if n := count(); n != 1 {
		t.Errorf("%d targets after the removal delay", n)
	}
}

// TestAnnouncedLeavingReachesAllInstances checks that a target which told one instance
// that it is leaving is draining for all. An older description must not undo that;
// another incarnation of the target must.
func TestAnnouncedLeavingReachesAllInstances(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHasFullList(true)
	k.setHolder(true)
	one := fleet.Target{Identity: fleet.Identity{ID: "one", Born: 2}, Service: "desk"}
	other := fleet.Identity{ID: "one", Born: 1}
	k.setTarget(one)
	draining := func(m exchangeRequest) bool {
		m.From = "i2"
		r, _ := k.handleExchange(m)
		return len(r.Updates) == 1 && r.Updates[0].Draining
	}
	got := []bool{draining(exchangeRequest{Leaving: []fleet.Identity{other}}), draining(exchangeRequest{Leaving: []fleet.Identity{one.Identity}})}
	k.setTarget(one)
	got = append(got, draining(exchangeRequest{}))
	one.Born = 3
	k.setTarget(one)
	got = append(got, draining(exchangeRequest{}))
	if diff := cmp.Diff([]bool{false, true, true, false}, got); diff != "" {
		t.Errorf("draining (-want +got):\n%s", diff)
	}
}

// TestTermOutlastsAPutOffOrder puts off the first order of a term, as a raised handover does.
// It guards against instances that take the rest of the term for another one, and report
// once more what the holder knows.
func TestTermOutlastsAPutOffOrder(t *testing.T) {
	k := newTestCoordinator(t)
	k.setHolder(true)
	term := k.term()
	s := k.holderStatus()
	s.OrderFrom = s.OrderFrom.Add(time.Second)
	k.setStatus(s)
	if diff := cmp.Diff(term, k.term()); diff != "" {
		t.Errorf("term after the change (-want +got):\n%s", diff)
	}
}
