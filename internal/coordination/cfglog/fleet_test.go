package cfglog_test

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/stand/fleet"
	"chivecroft.example/chivecroft/internal/state/config"
)

// maxSpreadTime is the guaranteed time in which an accepted patch is in force at all
// entries.
const maxSpreadTime = 19 * time.Second

// patchOf returns a patch that creates a service, or changes it if it exists.
func patchOf(id string, base config.Version) config.Patch {
	return config.Patch{ID: id, Base: base, Author: "operator", Set: config.Items{
		Services: map[string]config.Service{"service-" + id: {Kind: config.KindModel, Class: config.ClassInteractive}},
	}}
}

// startFleet returns a fleet that has run for 20 s.
func startFleet(t *testing.T, seed uint64, zones, perZone int, opts ...fleet.Option) *fleet.Fleet {
	t.Helper()
	f := fleet.New(seed, zones, perZone, opts...)
	f.SetKV(f.Entries, noFaults)
	f.StartAll()
	f.Timer.Advance(20 * time.Second)
	t.Cleanup(func() {
		for _, e := range f.Oracle.Errors {
			t.Error(e)
		}
	})
	return f
}

// acceptPatch sends a patch to an entry and fails the test if it is refused.
func acceptPatch(t *testing.T, f *fleet.Fleet, e *fleet.Entry) config.Version {
	t.Helper()
	base := e.Version()
	answer := f.Patch(e, patchOf(fmt.Sprintf("p%d", base+1), base))
	if answer.Err != nil {
		t.Fatalf("patch on version %d: %v", base, answer.Err)
	}
	return answer.Version
}

// requireInForce fails the test unless a version reaches the entries within
// maxSpreadTime, and returns the time it took.
func requireInForce(t *testing.T, f *fleet.Fleet, entries []*fleet.Entry, v config.Version) time.Duration {
	t.Helper()
	took, ok := f.Spread(entries, v, maxSpreadTime)
	if !ok {
		for _, e := range entries {
			t.Logf("%s is at %d, %+v", e.Self.ID, e.Version(), e.Status())
		}
		t.Fatalf("version %d is not in force everywhere after %s", v, took)
	}
	return took
}
