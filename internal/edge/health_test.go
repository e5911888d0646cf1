package edge

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/platform"
)

// TestRemovalDelayEndsAfterOutage checks that missing targets are kept during an outage
// of the store and for a short time after it, however long the outage was.
func TestRemovalDelayEndsAfterOutage(t *testing.T) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	h := newStoreHealth(clock, discardLogger())
	h.record(ports.KVOK, nil)
	got := []time.Duration{h.removalDelay()}
	h.record(ports.KVUnavailable, nil)
	clock.Advance(time.Minute)
	got = append(got, h.removalDelay())
	h.record(ports.KVOK, nil)
	clock.Advance(1500 * time.Millisecond)
	h.record(ports.KVOK, nil)
	got = append(got, h.removalDelay())
	clock.Advance(time.Second)
	got = append(got, h.removalDelay())
	if diff := cmp.Diff([]time.Duration{0, leaseRecoveryTime, leaseRecoveryTime - 1500*time.Millisecond, 0}, got); diff != "" {
		t.Errorf("removal delays (-want +got):\n%s", diff)
	}
}

// TestCutOffInstanceTakesTheHoldersList sends the holder's full list to an instance that
// is cut off from the store. A target that left long ago must get no more requests, since
// the holder reports no removal delay for it.
func TestCutOffInstanceTakesTheHoldersList(t *testing.T) {
	for _, c := range []struct {
		name         string
		removalDelay time.Duration
		want         []string
	}{
		{"no removal delay", 0, []string{"gone"}},
		{"the store has just returned", leaseRecoveryTime, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			e := New(&platform.Boot{Instance: "i2", Zone: "a1"}, discardLogger())
			for _, id := range []string{"stays", "gone"} {
				e.picker.SetTarget(fleet.Target{Identity: fleet.Identity{ID: id, Born: 1}, Service: "desk", Slots: 1})
			}
			e.health.record(ports.KVUnavailable, nil)
			updates := []picker.Update{{Identity: fleet.Identity{ID: "stays", Born: 1}, Service: "desk", Slots: 1}}
			e.applyUpdates(exchangeReply{Full: true, Updates: updates, RemovalDelayMS: c.removalDelay.Milliseconds()}, originHolder, e.clock.Now())
			listed := map[string]bool{"stays": true, "gone": true}
			for _, id := range e.picker.MissingFrom(nil) {
				delete(listed, id)
			}
			var got []string
			for id := range listed {
				got = append(got, id)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("removed (-want +got):\n%s", diff)
			}
		})
	}
}
