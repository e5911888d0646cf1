package cfglog_test

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/stand/fleet"
)

// patchPeriod is the time between two patches at 4,100 patches a day.
const patchPeriod = 21 * time.Second

// TestInForceAtSeveralSizes measures how long accepted patches take to be in force
// everywhere and how many calls the KV service receives meanwhile, with the KV service up
// and with one zone cut off from it.
func TestInForceAtSeveralSizes(t *testing.T) {
	const patches = 4
	for _, size := range []struct{ zones, perZone int }{{2, 4}, {4, 8}, {8, 16}} {
		for _, cut := range []bool{false, true} {
			f := startFleet(t, 30, size.zones, size.perZone)
			if cut {
				f.SetKV(f.Zone(0), down)
			}
			f.Timer.Advance(20 * time.Second)
			before, bytes := f.Calls(), sentByAll(f.Entries)
			var sum, longest time.Duration
			for i := range patches {
				v := acceptPatch(t, f, f.Entries[len(f.Entries)-1-i%size.perZone])
				took := requireInForce(t, f, f.Entries, v)
				sum += took
				longest = max(longest, took)
				f.Timer.Advance(patchPeriod - took)
			}
			after, seconds := f.Calls(), patches*patchPeriod.Seconds()
			rate := func(kind string) float64 { return float64(after[kind]-before[kind]) / seconds }
			t.Logf("%3d entries, %d zones, zone cut from the KV service: %5t: in force after %s on average, at most %s; "+
				"%.2f reads/s, %.2f writes/s, %.2f watches/s; %d bytes of patches per entry and patch",
				len(f.Entries), size.zones, cut, (sum / patches).Round(time.Millisecond), longest,
				rate("read"), rate("write"), rate("watch"), (sentByAll(f.Entries)-bytes)/patches/len(f.Entries))
			// A zone has two watching entries; each reads once for each patch and each
			// watch.
			if limit := float64(size.zones) * 2; rate("watch") > limit || (!cut && rate("read") > limit) {
				t.Errorf("the KV service receives more than two calls per second for a zone")
			}
		}
	}
}

// sentByAll returns the bytes of configuration that the entries have sent.
func sentByAll(entries []*fleet.Entry) int {
	n := 0
	for _, e := range entries {
		n += e.Sent.ConfigBytes
	}
	return n
}
