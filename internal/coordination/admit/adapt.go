package admit

import "time"

// Bounds of the adaptive limit.
const (
	adaptStart = 64
	adaptLeast = 8
	adaptMost  = 4096
	// adaptTolerance is how many times the usual latency is no sign of a queue.
	adaptTolerance = 2
	// adaptSlack is latency that is always accepted above the usual one.
	adaptSlack = 20 * time.Millisecond
	// adaptCut is the factor of a decrease, adaptPause the time between two.
	adaptCut   = 0.85
	adaptPause = 200 * time.Millisecond
	// adaptShort and adaptLong are the weights of a sample in the two averages.
	adaptShort = 0.1
	adaptLong  = 0.002
)

// Adaptive is the concurrency limit of a back end that does not tell its
// capacity. Its user provides the locking.
//
// It rises by about one for each limit's worth of calls while the limit is in
// use, and falls when the short average of the latency leaves the long one
// behind, or when the back end says that it is overloaded.
type Adaptive struct {
	limit       float64
	short, long float64
	cutAt       time.Time
}

// NewAdaptive returns the limit for a back end that nothing is known of.
func NewAdaptive() *Adaptive {
	return &Adaptive{limit: adaptStart}
}

// Limit returns the number of calls that may be in flight.
func (a *Adaptive) Limit() int {
	return int(a.limit)
}

// Observe tells how a call ended while flying calls were in flight.
func (a *Adaptive) Observe(now time.Time, latency time.Duration, overloaded bool, flying int) {
	sample := float64(latency)
	if a.long == 0 {
		a.short, a.long = sample, sample
	}
	a.short += adaptShort * (sample - a.short)
	// The long average follows a fall at once and a rise slowly: a standing
	// queue must not become the usual latency.
	if a.short < a.long {
		a.long = a.short
	}
	a.long += adaptLong * (sample - a.long)
	if overloaded || a.short > adaptTolerance*a.long+float64(adaptSlack) {
		a.cut(now)
		return
	}
	if 2*flying >= int(a.limit) {
		a.limit = min(a.limit+1/a.limit, adaptMost)
	}
}

func (a *Adaptive) cut(now time.Time) {
	if now.Sub(a.cutAt) < adaptPause {
		return
	}
	a.cutAt = now
	a.limit = max(a.limit*adaptCut, adaptLeast)
}
