package cfglog_test

import (
	"errors"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/stand/world"
)

func TestOutage(t *testing.T) {
	for _, lasting := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		t.Run(lasting.String(), func(t *testing.T) {
			f := startFleet(t, 6, 3, 3)
			v := acceptPatch(t, f, f.Entries[0])
			requireInForce(t, f, f.Entries, v)
			f.SetKV(f.Entries, down)
			a := f.Patch(f.Entries[0], patchOf("out", v))
			var unavailable *cfglog.UnavailableError
			if !errors.As(a.Err, &unavailable) || unavailable.Outcome != cfglog.OutcomeNotAccepted {
				t.Errorf("patch during the outage: %+v", a)
			}
			f.Timer.Advance(lasting / 2)
			for _, e := range f.Zone(1) {
				e.Start()
			}
			f.Timer.Advance(lasting / 2)
			for _, e := range f.Zone(1) {
				if e.Version() != v {
					t.Errorf("%s restarted during the outage has version %d, want %d", e.Self.ID, e.Version(), v)
				}
			}
			f.SetKV(f.Entries, noFaults)
			f.Timer.Advance(5 * time.Second)
			requireInForce(t, f, f.Entries, acceptPatch(t, f, f.Entries[8]))
		})
	}
}

func TestFlappingAndSlowKV(t *testing.T) {
	f := startFleet(t, 7, 3, 3)
	for i := range 20 {
		f.SetKV(f.Entries, down)
		f.Timer.Advance(3 * time.Second)
		f.SetKV(f.Entries, noFaults)
		f.Timer.Advance(2 * time.Second)
		if i%5 == 0 {
			requireInForce(t, f, f.Entries, acceptPatch(t, f, f.Entries[i%9]))
		}
	}
	f.SetKV(f.Entries, world.KVFaults{Latency: 2 * time.Second})
	v := acceptPatch(t, f, f.Entries[3])
	t.Logf("at 2 s latency in force after %s", requireInForce(t, f, f.Entries, v))
}

// TestCutZone cuts a zone off from the KV service and from the other zones; it must keep
// its configuration and catch up afterwards.
func TestCutZone(t *testing.T) {
	f := startFleet(t, 8, 3, 3)
	v := acceptPatch(t, f, f.Entries[0])
	requireInForce(t, f, f.Entries, v)
	cut, rest := f.Zone(2), append(f.Zone(0), f.Zone(1)...)
	f.Cut(cut, rest, true)
	f.SetKV(cut, down)
	for range 3 {
		f.Timer.Advance(time.Minute)
		requireInForce(t, f, rest, acceptPatch(t, f, rest[4]))
	}
	for _, e := range cut {
		if e.Version() != v {
			t.Errorf("%s has version %d while cut off", e.Self.ID, e.Version())
		}
	}
	f.Cut(cut, rest, false)
	t.Logf("peers alone: in force after %s", requireInForce(t, f, cut, v+3))
}

// TestCutFromKVOnly cuts a zone off from the KV service but not from its peers.
func TestCutFromKVOnly(t *testing.T) {
	f := startFleet(t, 9, 5, 8)
	f.SetKV(f.Zone(4), down)
	f.Timer.Advance(time.Minute)
	for i := range 5 {
		v := acceptPatch(t, f, f.Entries[i])
		t.Logf("in force after %s", requireInForce(t, f, f.Entries, v))
		f.Timer.Advance(7 * time.Second)
	}
}

func TestOneWayCut(t *testing.T) {
	f := startFleet(t, 10, 2, 3)
	for _, a := range f.Zone(0) {
		for _, b := range f.Zone(1) {
			f.Net.Cut(a.Self.Addr, b.Self.Addr, true)
		}
	}
	f.Net.Cut(f.Entries[0].Self.Addr, f.Entries[1].Self.Addr, true)
	f.Timer.Advance(time.Minute)
	requireInForce(t, f, f.Entries, acceptPatch(t, f, f.Entries[0]))
	requireInForce(t, f, f.Entries, acceptPatch(t, f, f.Entries[5]))
}

// TestRestartOfEverything starts all entries at once and limits the reads that this
// causes at the KV service.
func TestRestartOfEverything(t *testing.T) {
	f := startFleet(t, 11, 4, 20)
	v := acceptPatch(t, f, f.Entries[0])
	requireInForce(t, f, f.Entries, v)
	before := f.Calls()
	for _, e := range f.Entries {
		e.Start()
	}
	took := requireInForce(t, f, f.Entries, v)
	reads := f.Calls()["read"] - before["read"]
	t.Logf("80 entries in 4 zones: back after %s with %d reads", took, reads)
	if perEntry := float64(reads) / 80; perEntry > 1 {
		t.Errorf("%.2f reads per entry, want at most 1: the KV service handles 2,000 reads per second for 1,000 entries", perEntry)
	}
}

// TestZoneRestartDoesNotUseTheLink restarts a zone that can reach the KV service. The
// configuration must not come from other zones, which may be behind the narrow link.
func TestZoneRestartDoesNotUseTheLink(t *testing.T) {
	f := startFleet(t, 17, 4, 12)
	v := acceptPatch(t, f, f.Entries[0])
	requireInForce(t, f, f.Entries, v)
	others := append(f.Zone(0), append(f.Zone(1), f.Zone(2)...)...)
	before := sentByAll(others)
	for _, e := range f.Zone(3) {
		e.Start()
	}
	t.Logf("back after %s", requireInForce(t, f, f.Entries, v))
	if n := sentByAll(others) - before; n > 0 {
		t.Errorf("other zones sent %d bytes of configuration", n)
	}
}
