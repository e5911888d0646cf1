package edge

import (
	"testing"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/platform"
)

// TestDescriptors guards against limits that add up to more than the boot file allows, or
// that leave nothing to serve callers with.
func TestDescriptors(t *testing.T) {
	for _, c := range []struct {
		memory     int64
		fds        int
		conns, max int
	}{
		{0, 0, 0, 0},
		{184e6, 0, 1403, 1403},
		{0, 4100, 1462, 3900 - minControlConn},
		{184e6, 4100, 1403, 3900 - minControlConn},
		{536e6, 700, 186, 500 - minControlConn},
		{0, 150, minCallerConns, 3 * minCallerConns},
	} {
		boot := &platform.Boot{MemoryBytes: c.memory, MaxDescriptors: c.fds}
		conns, idle := maxCallerConns(boot), maxIdleTargetConns(boot)
		if conns != c.conns {
			t.Errorf("memory %d, descriptors %d: %d connections of callers, want %d", c.memory, c.fds, conns, c.conns)
		}
		if c.fds > 0 && 2*conns+idle > c.max {
			t.Errorf("memory %d, descriptors %d: %d connections of callers and %d idle ones are too many", c.memory, c.fds, conns, idle)
		}
	}
}

// TestControlConns guards against limits on the ports for others than callers that a fleet
// of 1,000 instances exceeds, or that leave nothing to the other ports.
func TestControlConns(t *testing.T) {
	for _, c := range []struct {
		fds               int
		peer, small, pool int
	}{
		{0, 1250, 32, 0},
		{4100, 1250, 32, 3292},
		{700, 160, 13, 422},
		{150, 21, 8, 56},
	} {
		boot := &platform.Boot{MemoryBytes: 184e6, MaxDescriptors: c.fds}
		got := [4]int{peerLimits(boot).conns, readyLimits(boot).conns, metricsLimits(boot).conns, sharedDescriptors(boot)}
		if diff := cmp.Diff([4]int{c.peer, c.small, c.small, c.pool}, got); diff != "" {
			t.Errorf("%d descriptors (-want +got):\n%s", c.fds, diff)
		}
		if left := (c.pool - reservedConns(boot, 1000)) / callerCost; c.fds > 0 && left < minCallerConns/2 {
			t.Errorf("%d descriptors: a fleet of 1,000 leaves callers %d connections", c.fds, left)
		}
	}
	for _, members := range []int{0, 6, 84, 300, 1000} {
		if n := permitMessages(members); n < 1 || n*members+3*22 > maxPeerConns {
			t.Errorf("%d instances may have %d messages each in flight", members, n)
		}
	}
}
