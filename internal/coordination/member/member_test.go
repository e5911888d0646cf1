package member_test

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/stand/world"
)

// phases returns how an entry sees the members of its own zone.
func phases(e *fleet.Entry) map[string]ports.MemberPhase {
	seen := make(map[string]ports.MemberPhase)
	for _, m := range e.Members() {
		if m.Zone == e.Self.Zone {
			seen[m.ID] = m.Phase
		}
	}
	return seen
}

func started(seed uint64, zones, perZone int, opts ...fleet.Option) *fleet.Fleet {
	f := fleet.New(seed, zones, perZone, opts...)
	f.SetKV(f.Entries, world.KVFaults{})
	f.StartAll()
	return f
}

func TestTwoEntriesMeetFromTheList(t *testing.T) {
	f := started(1, 1, 2)
	f.Timer.Advance(5 * time.Second)
	want := map[string]ports.MemberPhase{
		"zone-00-entry-000": ports.MemberAlive,
		"zone-00-entry-001": ports.MemberAlive,
	}
	for _, e := range f.Entries {
		if diff := cmp.Diff(want, phases(e)); diff != "" {
			t.Errorf("%s (-want +got):\n%s", e.Self.ID, diff)
		}
	}
}
