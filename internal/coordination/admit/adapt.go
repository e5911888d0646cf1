package admit

import "time"

const (
	// initialLimit, minLimit and maxLimit are numbers of calls in flight.
	initialLimit = 16
	minLimit     = 8
	maxLimit     = 4096
	// latencyTolerance is the multiple of the baseline latency above which, plus latencySlack,
	// the back end is considered overloaded.
	latencyTolerance = 2
	// latencySlack is latency that is always accepted on top of that.
	latencySlack = 20 * time.Millisecond
	// decreaseFactor multiplies the limit when it is decreased.
	decreaseFactor = 0.85
	// minDecreaseInterval is the minimum time between two decreases.
	minDecreaseInterval = 200 * time.Millisecond
	// latencyWeight is the weight of one sample in the moving average of the latency.
	latencyWeight = 0.1
	// baselineRiseTime is the time in which the baseline follows a lasting rise of the latency.
	baselineRiseTime = 5 * time.Minute
	// probeInterval is how often the limit is lowered to measure the latency without a queue.
	probeInterval = 30 * time.Second
	// probeFactor multiplies the limit for such a measurement. It is less than a half, since
	// latencyTolerance allows a limit of twice the capacity.
	probeFactor = 0.3
)

// AdaptiveLimit is the concurrency limit of a back end that does not report its capacity. It is not
// safe for concurrent use.
//
// The limit starts low, since the first latencies become the baseline: a back end that is
// overloaded from the start would look healthy. While at least half of the limit is in use, it
// rises by about one per limit calls. It falls when the average latency exceeds the tolerated
// multiple of the baseline, or when the back end reports that it is overloaded.
//
// The baseline follows a fall of the latency immediately and a rise slowly, so that a standing
// queue does not become part of it. Over a long time it still would, since a tolerated queue
// persists. Therefore the limit is lowered from time to time, which empties that queue and
// shows the latency without it.
type AdaptiveLimit struct {
	limit             float64
	latency, baseline float64
	decreasedAt       time.Time
	probedAt          time.Time
	sampledAt         time.Time
}

// NewAdaptiveLimit returns the initial limit for a back end of unknown capacity.
func NewAdaptiveLimit() *AdaptiveLimit {
	return &AdaptiveLimit{limit: initialLimit}
}

// Limit returns the number of calls that may be in flight.
func (a *AdaptiveLimit) Limit() int {
	return int(a.limit)
}

// Observe updates the limit after a call. The call is included in inFlight; overloaded is set
// if the back end reported that it is overloaded.
func (a *AdaptiveLimit) Observe(now time.Time, latency time.Duration, overloaded bool, inFlight int) {
	a.addLatency(now, float64(latency))
	switch {
	case overloaded || a.latency > latencyTolerance*a.baseline+float64(latencySlack):
		a.decrease(now, decreaseFactor)
	case now.Sub(a.probedAt) > probeInterval && 2*inFlight >= int(a.limit):
		a.probedAt = now
		a.decrease(now, probeFactor)
	case 2*inFlight >= int(a.limit):
		a.limit = min(a.limit+1/a.limit, maxLimit)
	}
}

// addLatency updates the average latency and the baseline.
func (a *AdaptiveLimit) addLatency(now time.Time, latency float64) {
	if a.sampledAt.IsZero() {
		a.latency, a.baseline = latency, latency
		a.sampledAt, a.probedAt = now, now
	}
	a.latency += latencyWeight * (latency - a.latency)
	riseShare := min(float64(now.Sub(a.sampledAt))/float64(baselineRiseTime), 1)
	a.sampledAt = now
	if a.latency < a.baseline {
		a.baseline = a.latency
		return
	}
	a.baseline += riseShare * (a.latency - a.baseline)
}

// decrease multiplies the limit by factor, at most once per minDecreaseInterval.
func (a *AdaptiveLimit) decrease(now time.Time, factor float64) {
	if now.Sub(a.decreasedAt) < minDecreaseInterval {
		return
	}
	a.decreasedAt = now
	a.limit = max(a.limit*factor, minLimit)
}
