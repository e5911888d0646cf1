package edge

import (
	"testing"

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
