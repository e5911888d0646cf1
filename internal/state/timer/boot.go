package timer

import (
	"time"

	"golang.org/x/sys/unix"
)

// Boot is a Service whose clock keeps running while the machine is suspended, unlike the
// monotonic clock. Leases are timed with it, since they also expire during a suspension.
// The timers are those of System.
type Boot struct {
	System
	// base is the wall time at which the service was created, origin the time since boot
	// at that moment.
	base   time.Time
	origin time.Duration
}

// NewBoot returns a Service on the machine's boot-time clock.
func NewBoot() *Boot {
	return &Boot{base: time.Now().Round(0), origin: sinceBoot()}
}

// Now returns a time without a monotonic reading. Only differences between such times are
// meaningful.
func (b *Boot) Now() time.Time {
	return b.base.Add(sinceBoot() - b.origin)
}

// sinceBoot returns the time since the machine was booted, suspensions included.
func sinceBoot() time.Duration {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every Linux kernel that Go supports has this clock.
		panic("clock_gettime(CLOCK_BOOTTIME): " + err.Error())
	}
	return time.Duration(ts.Nano())
}
