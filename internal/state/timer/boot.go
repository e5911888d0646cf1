package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is the Service whose time goes on while the machine is suspended, which
// the monotonic clock does not see. Leases are measured by it.
type Boot struct {
	System
	base   time.Time
	origin time.Duration
}

// NewBoot returns the service of the running machine.
func NewBoot() *Boot {
	return &Boot{base: time.Now().Round(0), origin: sinceBoot()}
}

// Now returns a time without a monotonic reading; only differences of such times
// mean anything.
func (b *Boot) Now() time.Time {
	return b.base.Add(sinceBoot() - b.origin)
}

func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}
