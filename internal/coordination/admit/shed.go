package admit

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

const (
	// targetDelay is the minimum queue delay up to which nothing is shed.
	targetDelay = 100 * time.Millisecond
	// shedInterval is the time over which the minimum delay is taken.
	shedInterval = 100 * time.Millisecond
	// pressureGain is the increase of the pressure in an interval whose minimum delay is twice
	// the target, and the decrease in one whose minimum delay is zero.
	pressureGain = 0.04
	// maxExcess bounds the increase for longer delays, as a multiple of pressureGain.
	maxExcess = 8
	// maxShedShare is the maximum share of a class that is shed, so that a few requests of
	// each class are always admitted.
	maxShedShare = 0.95
)

// Shedder decides which new requests of one queue are refused under overload. It is not safe
// for concurrent use.
//
// As in CoDel, the signal is the minimum queue delay of an interval: it is small for a burst
// that the back end serves within the interval, so that nothing is shed, and large for a
// standing queue. The delay is the expected wait of new requests, which shows a queue earlier
// than the waits of requests that were served, by the time to go through the queue. The output
// is a pressure between 0 and 2: the part up to 1 is the share of deferrable requests to
// refuse, and the part above 1 that of the other classes.
//
// For example, at a pressure of 1.2, 95 % of deferrable requests and 20 % of the others are
// refused.
type Shedder struct {
	pressure      float64
	intervalStart time.Time
	minDelay      time.Duration
	hasDelay      bool
	// The credits sum up the shares to refuse since the last refusal, for deferrable and for
	// other requests, which spreads refusals evenly without randomness.
	deferrableCredit, urgentCredit float64
}

// Observe records the expected wait of a request that is not deferrable, 0 for one that was
// granted a slot immediately.
func (s *Shedder) Observe(now time.Time, wait time.Duration) {
	s.closeInterval(now)
	if !s.hasDelay || wait < s.minDelay {
		s.minDelay = wait
	}
	s.hasDelay = true
}

// ShouldShed reports whether a new request has to be refused. If idle, no request waits and none is
// refused.
func (s *Shedder) ShouldShed(now time.Time, class config.Class, idle bool) bool {
	s.closeInterval(now)
	if idle {
		return false
	}
	if class == config.ClassDeferrable {
		return addCredit(&s.deferrableCredit, min(s.pressure, maxShedShare))
	}
	return addCredit(&s.urgentCredit, min(max(s.pressure-1, 0), maxShedShare))
}

// Pressure returns the current pressure, between 0 and 2.
func (s *Shedder) Pressure() float64 {
	return s.pressure
}

// closeInterval adjusts the pressure and starts a new interval if the current one is over.
func (s *Shedder) closeInterval(now time.Time) {
	if s.intervalStart.IsZero() {
		s.intervalStart = now
	}
	if now.Sub(s.intervalStart) < shedInterval {
		return
	}
	if s.hasDelay {
		s.adjustPressure()
	}
	s.intervalStart = now
	s.hasDelay = false
}

// adjustPressure changes the pressure in proportion to the difference between the delay and
// the target. Steps of a fixed size would either react too slowly to a sudden overload or
// oscillate between refusing too much and too little.
func (s *Shedder) adjustPressure() {
	excess := float64(s.minDelay-targetDelay) / float64(targetDelay)
	s.pressure += pressureGain * min(excess, maxExcess)
	s.pressure = min(max(s.pressure, 0), 2)
}

// addCredit adds share to the credit and reports whether the sum has reached a whole refusal,
// which it then subtracts.
func addCredit(credit *float64, share float64) bool {
	*credit += share
	if *credit < 1 {
		return false
	}
	*credit--
	return true
}
