package member_test

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
)

// maxControlBytes is what an entry may send a second for control, and targetZoneSize
// the entries of a zone at the target size: 1,000 nodes in 11 zones.
const (
	// maxControlBytes is the limit of control traffic that an entry may send, in bytes
	// per second.
	maxControlBytes = 11_000
	// targetZoneSize is the number of entries of a zone at the target size: 1,000 nodes
	// in 11 zones.
	targetZoneSize = 91
)

// load is what the entries send per second: messages and bytes on average, and the bytes
// of the entry that sends most.
type load struct {
	messages, bytes, maxBytes float64
}

// measure lets a fleet run and returns the load of its entries.
func measure(t *testing.T, zones, perZone int) load {
	t.Helper()
	const during = 20 * time.Second
	f := startFleet(7, zones, perZone)
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
		l.maxBytes = max(l.maxBytes, bytes)
		checkView(t, f, e)
		changes += e.ViewChanges
	}
	// There are no faults, so views that change are flapping.
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

// TestTrafficGrowsWithTheZoneAlone measures what an entry sends at several sizes. Neither
// more zones nor a larger zone may make it exceed its share of the control traffic.
func TestTrafficGrowsWithTheZoneAlone(t *testing.T) {
	sizes := []struct{ zones, perZone int }{{2, 4}, {4, 8}, {11, 12}, {2, targetZoneSize}}
	loads := make([]load, len(sizes))
	for i, s := range sizes {
		loads[i] = measure(t, s.zones, s.perZone)
		t.Logf("%4d entries, %2d zones of %2d: %.2f messages/s, %.0f bytes/s, worst entry %.0f bytes/s",
			s.zones*s.perZone, s.zones, s.perZone, loads[i].messages, loads[i].bytes, loads[i].maxBytes)
		if loads[i].maxBytes > maxControlBytes {
			t.Errorf("an entry sends %.0f bytes/s, want at most %d", loads[i].maxBytes, maxControlBytes)
		}
		if loads[i].messages > 5 {
			t.Errorf("%.2f messages/s: the number grows with the fleet", loads[i].messages)
		}
	}
}
