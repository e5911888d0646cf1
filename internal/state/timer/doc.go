// Package timer provides the clock and the timers of the module behind one interface, so
// that a component gets its time from a Service instead of package time, and tests and
// simulations can run it on virtual time.
//
// System runs on the machine's monotonic clock, Boot on a clock that also runs while the
// machine is suspended, and Virtual on a time that the test advances.
package timer
