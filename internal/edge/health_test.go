package edge

import (
	"strings"
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
	h := newStoreHealth(clock, discardLogger(), 0)
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

// TestAnswersWithoutAGapDelayNoRemoval plays answers and failures of calls to the store. It guards
// against a removal delay after one failed call to a store that was there all the while, and
// against none after a time in which entries of live targets can have expired.
func TestAnswersWithoutAGapDelayNoRemoval(t *testing.T) {
	const heartbeat = 1200 * time.Millisecond
	step := 100 * time.Millisecond
	steady := strings.Repeat("+", 40)
	for _, c := range []struct {
		name string
		// calls has one call each step: + if it is answered, - if it fails, blank for none.
		calls     string
		heartbeat time.Duration
		want      time.Duration
	}{
		{"one call fails", steady + "-+", heartbeat, 0},
		{"one call fails, and was the last one", steady + "-", heartbeat, 0},
		{"calls fail beside others that are answered", steady + "-+--+---+", heartbeat, 0},
		{"no answer for more than half a second", steady + "------+", heartbeat, leaseRecoveryTime},
		{"no answer for more than half a second, and no call fails", steady + "      +-+", heartbeat, leaseRecoveryTime},
		{"a store that flaps, and one call fails", steady + strings.Repeat("      ++++++", 3) + "-+", heartbeat, leaseRecoveryTime},
		{"answers for less than three heartbeats", strings.Repeat("+", 35) + "-", heartbeat, leaseRecoveryTime},
		{"no answer before", "-+", heartbeat, leaseRecoveryTime},
		{"no answer since", steady + "-      ", heartbeat, leaseRecoveryTime},
		{"no call for a while, and one fails", steady + "               -+", heartbeat, leaseRecoveryTime},
		{"heartbeat not known", steady + "-+", 0, leaseRecoveryTime},
	} {
		t.Run(c.name, func(t *testing.T) {
			clock := timer.NewVirtual(time.Unix(1_000_000, 0))
			h := newStoreHealth(clock, discardLogger(), c.heartbeat)
			for _, call := range c.calls {
				clock.Advance(step)
				status, isCall := map[rune]ports.KVStatus{'+': ports.KVOK, '-': ports.KVUnavailable}[call]
				if isCall {
					h.hear(status)
					h.record(status, nil)
				}
			}
			if got := h.removalDelay(); got != c.want {
				t.Errorf("removal delay %s, want %s", got, c.want)
			}
		})
	}
}
