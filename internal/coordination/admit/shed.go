package admit

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// Bounds of the shedding controller.
const (
	// shedTarget is the queue delay that is accepted for ever.
	shedTarget = 100 * time.Millisecond
	// shedInterval is the time over which the least delay is taken.
	shedInterval = 100 * time.Millisecond
	// shedGain is the change of the pressure in an interval whose least delay is
	// twice the target or zero.
	shedGain = 0.04
	// shedSteepest bounds the change for longer delays, in gains.
	shedSteepest = 8
	// shedMost is the largest share of a class that is shed, so that a few of
	// each class always pass.
	shedMost = 0.95
)

// Shedder decides which arrivals of one queue are refused under overload. Its
// user provides the locking.
//
// As in CoDel, the signal is the least queue delay of an interval: a burst that
// the back end works off within the interval has a small least delay and sheds
// nothing, a standing queue has not. The delay is that which newcomers have to
// expect, which leads the waits of those who were served by the length of the
// queue. The answer is a pressure between 0 and 2: its first unit is taken out
// of deferrable work, and only what is above 1 out of the other classes.
//
// For example at a pressure of 1.2, 95 % of deferrable arrivals and 20 % of the
// others are refused.
type Shedder struct {
	pressure float64
	started  time.Time
	least    time.Duration
	seen     bool
	// credit spreads refusals evenly, by class, without randomness.
	deferrable, urgent float64
}

// Observe tells how long a request that is not deferrable has to wait, 0 for one
// that has a place at once.
func (s *Shedder) Observe(now time.Time, wait time.Duration) {
	s.roll(now)
	if !s.seen || wait < s.least {
		s.least = wait
	}
	s.seen = true
}

// Sheds tells whether an arrival is to be refused; idle means that nothing
// waits, so that nothing is.
func (s *Shedder) Sheds(now time.Time, class config.Class, idle bool) bool {
	s.roll(now)
	if idle {
		return false
	}
	if class == config.ClassDeferrable {
		return spend(&s.deferrable, min(s.pressure, shedMost))
	}
	return spend(&s.urgent, min(max(s.pressure-1, 0), shedMost))
}

// Pressure returns the controller's state between 0 and 2.
func (s *Shedder) Pressure() float64 {
	return s.pressure
}

// roll closes the interval if it is over.
func (s *Shedder) roll(now time.Time) {
	if s.started.IsZero() {
		s.started = now
	}
	if now.Sub(s.started) < shedInterval {
		return
	}
	if s.seen {
		s.adjust()
	}
	s.started = now
	s.seen = false
}

// adjust moves the pressure in proportion to how far the delay is from the
// target. Steps of one size would either be too slow for a sudden overload or
// swing between refusing too much and too little around the right pressure.
func (s *Shedder) adjust() {
	excess := float64(s.least-shedTarget) / float64(shedTarget)
	s.pressure += shedGain * min(excess, shedSteepest)
	s.pressure = min(max(s.pressure, 0), 2)
}

// spend adds share to the credit and reports whether a whole refusal is due.
func spend(credit *float64, share float64) bool {
	*credit += share
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}
