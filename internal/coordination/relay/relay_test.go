package relay_test

import (
	"testing"

	"chivecroft.example/chivecroft/internal/stand/world"
)

var noFaults = world.KVFaults{}

func TestPatchReachesEveryEntry(t *testing.T) {
	f := started(t, 1, 3, 3)
	for range 5 {
		v := accepted(t, f, f.Entries[4])
		t.Logf("in force after %s", inForce(t, f, f.Entries, v))
	}
}
