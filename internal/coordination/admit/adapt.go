package admit

import "time"

// Bounds of the adaptive limit.
const (
	adaptStart = 16
	adaptLeast = 8
	adaptMost  = 4096
	// adaptTolerance is how many times the usual latency is no sign of a queue.
	adaptTolerance = 2
	// adaptSlack is latency that is always accepted above the usual one.
	adaptSlack = 20 * time.Millisecond
	// adaptCut is the factor of a decrease, adaptPause the time between two.
	adaptCut   = 0.85
	adaptPause = 200 * time.Millisecond
	// adaptShort is the weight of a sample in the latest latency.
	adaptShort = 0.1
	// adaptRise is the time in which the usual latency follows a lasting rise.
	adaptRise = 5 * time.Minute
	// adaptAnew is how often the limit is lowered to see the latency without a
	// queue, adaptDrain the factor: less than half, since a limit of twice the
	// capacity is what is tolerated.
	adaptAnew  = 30 * time.Second
	adaptDrain = 0.3
)

// Adaptive is the concurrency limit of a back end that does not tell its
// capacity. Its user provides the locking.
//
// It begins low, since the first latencies seen are taken for the usual ones: a
// back end that is overloaded from the start would look healthy. It rises by
// about one for each limit's worth of calls while the limit is in use, and falls
// when the latest latency leaves the usual one behind, or when the back end says
// that it is overloaded.
//
// The usual latency follows a fall at once and a rise slowly, since a standing
// queue must not become usual. It still would in time, as the queue that is
// tolerated lasts; so every now and then the limit is lowered, which empties that
// queue and shows the latency without it.
type Adaptive struct {
	limit        float64
	short, usual float64
	cutAt        time.Time
	anewAt       time.Time
	seenAt       time.Time
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
	a.sample(now, float64(latency))
	switch {
	case overloaded || a.short > adaptTolerance*a.usual+float64(adaptSlack):
		a.cut(now, adaptCut)
	case now.Sub(a.anewAt) > adaptAnew && 2*flying >= int(a.limit):
		a.anewAt = now
		a.cut(now, adaptDrain)
	case 2*flying >= int(a.limit):
		a.limit = min(a.limit+1/a.limit, adaptMost)
	}
}

func (a *Adaptive) sample(now time.Time, latency float64) {
	if a.seenAt.IsZero() {
		a.short, a.usual = latency, latency
		a.seenAt, a.anewAt = now, now
	}
	a.short += adaptShort * (latency - a.short)
	passed := min(float64(now.Sub(a.seenAt))/float64(adaptRise), 1)
	a.seenAt = now
	if a.short < a.usual {
		a.usual = a.short
		return
	}
	a.usual += passed * (a.short - a.usual)
}

func (a *Adaptive) cut(now time.Time, factor float64) {
	if now.Sub(a.cutAt) < adaptPause {
		return
	}
	a.cutAt = now
	a.limit = max(a.limit*factor, adaptLeast)
}
