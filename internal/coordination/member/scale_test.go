package member_test

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
)

// controlBytes is what an entry may send a second for control, and zoneOfTarget
// the entries of a zone at the target size: 1,000 nodes in 11 zones.
const (
	controlBytes = 11_000
	zoneOfTarget = 91
)

// load is what an entry sends a second.
type load struct {
	messages, bytes, worst float64
}

// measure lets a fleet run and returns what its entries send on average.
func measure(t *testing.T, zones, perZone int) load {
	t.Helper()
	const during = 20 * time.Second
	f := started(7, zones, perZone)
	f.Timer.Advance(20 * time.Second)
	before := make([]fleet.Traffic, len(f.Entries))
	changes := 0
	for i, e := range f.Entries {
		before[i] = e.Sent
		changes -= e.ViewChanges
	}
	f.Timer.Advance(during)
	var l load
	for i, e := range f.Entries {
		bytes := float64(e.Sent.Bytes-before[i].Bytes) / during.Seconds()
		l.messages += float64(e.Sent.Messages-before[i].Messages) / during.Seconds() / float64(len(f.Entries))
		l.bytes += bytes / float64(len(f.Entries))
		l.worst = max(l.worst, bytes)
		checkView(t, f, e)
		changes += e.ViewChanges
	}
	// Nothing happens, so a view that changes is one that flaps.
	if changes > len(f.Entries) {
		t.Errorf("the views of %d entries changed %d times in %s", len(f.Entries), changes, during)
	}
	return l
}

// checkView fails the test unless an entry sees all of its zone alive and a
// bounded sample of each other zone.
func checkView(t *testing.T, f *fleet.Fleet, e *fleet.Entry) {
	t.Helper()
	const sample = 8
	perZone := make(map[string]int)
	for _, m := range e.Members() {
		if m.Phase == ports.MemberAlive {
			perZone[m.Zone]++
		}
	}
	for z := range len(f.Entries) / len(f.Zone(0)) {
		zone := fmt.Sprintf("zone-%02d", z)
		want := min(sample, len(f.Zone(z)))
		if zone == e.Self.Zone {
			want = len(f.Zone(z))
		}
		if perZone[zone] != want {
			t.Errorf("%s sees %d members of %s alive, want %d", e.Self.ID, perZone[zone], zone, want)
		}
	}
}

// TestTrafficGrowsWithTheZoneAlone measures what an entry sends at several
// sizes. Neither more zones nor a larger zone may make an entry send more than
// its share of the control traffic.
func TestTrafficGrowsWithTheZoneAlone(t *testing.T) {
	sizes := []struct{ zones, perZone int }{{2, 4}, {4, 8}, {11, 12}, {2, zoneOfTarget}}
	loads := make([]load, len(sizes))
	for i, s := range sizes {
		loads[i] = measure(t, s.zones, s.perZone)
		t.Logf("%4d entries, %2d zones of %2d: %.2f messages/s, %.0f bytes/s, worst entry %.0f bytes/s",
			s.zones*s.perZone, s.zones, s.perZone, loads[i].messages, loads[i].bytes, loads[i].worst)
		if loads[i].worst > controlBytes {
			t.Errorf("an entry sends %.0f bytes/s, the bound is %d", loads[i].worst, controlBytes)
		}
		if loads[i].messages > 5 {
			t.Errorf("%.2f messages/s: the number grows with the fleet", loads[i].messages)
		}
	}
}
