package relay_test

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/stand/fleet"
)

// patchPeriod is the time between patches at 4,100 a day.
const patchPeriod = 21 * time.Second

// TestInForceAtSeveralSizes measures how long accepted patches take to be in
// force everywhere, and what the KV service is asked for meanwhile, with the KV
// service up and with one zone cut off from it.
func TestInForceAtSeveralSizes(t *testing.T) {
	const patches = 4
	for _, size := range []struct{ zones, perZone int }{{2, 4}, {4, 8}, {8, 16}} {
		for _, cut := range []bool{false, true} {
			f := started(t, 30, size.zones, size.perZone)
			if cut {
				f.SetKV(f.Zone(0), down)
			}
			f.Timer.Advance(20 * time.Second)
			before, bytes := f.Calls(), sentByAll(f.Entries)
			var sum, longest time.Duration
			for i := range patches {
				v := accepted(t, f, f.Entries[len(f.Entries)-1-i%size.perZone])
				took := inForce(t, f, f.Entries, v)
				sum += took
				longest = max(longest, took)
				f.Timer.Advance(patchPeriod - took)
			}
			after, seconds := f.Calls(), patches*patchPeriod.Seconds()
			rate := func(kind string) float64 { return float64(after[kind]-before[kind]) / seconds }
			t.Logf("%3d entries, %d zones, zone cut from the KV service: %5t: in force after %s on average, at most %s; "+
				"%.2f reads/s, %.2f writes/s, %.2f watches/s; %d bytes of patches an entry and patch",
				len(f.Entries), size.zones, cut, (sum / patches).Round(time.Millisecond), longest,
				rate("read"), rate("write"), rate("watch"), (sentByAll(f.Entries)-bytes)/patches/len(f.Entries))
			// A zone has two watchers; each asks once for a patch and once a watch.
			if limit := float64(size.zones) * 2; rate("watch") > limit || (!cut && rate("read") > limit) {
				t.Errorf("the KV service is asked more than twice a second for a zone")
			}
		}
	}
}

// sentByAll returns the bytes of configuration that some entries have sent.
func sentByAll(entries []*fleet.Entry) int {
	n := 0
	for _, e := range entries {
		n += e.Sent.ConfigBytes
	}
	return n
}
