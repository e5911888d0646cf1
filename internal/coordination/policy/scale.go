package policy

import "time"

// Limits that scale uses. Loads are fractions of a replica's concurrency.
const (
	// scaleUpLoad is the load above which replicas are added.
	scaleUpLoad = 0.9
	// scaleDownLoad is the load below which the remaining replicas must stay if one
	// is removed.
	scaleDownLoad = 0.5
	// targetLoad is the load that is to remain after replicas were added.
	targetLoad = 0.7
	// maxColdBatches is the number of batches that may wait for each replica of a model
	// without ready replicas. One replica works off the first batches in the time in
	// which a further one would still load.
	maxColdBatches = 4
	// maxGrowth is the maximum factor by which one decision multiplies the replicas.
	maxGrowth = 2
)

// Minimum and maximum time for which replicas must be overloaded before one is added.
const (
	minScaleUpDelay = 500 * time.Millisecond
	maxScaleUpDelay = 5 * time.Second
)

// scaleUpDelay returns for how long a model must be overloaded before a replica is added. A
// further replica is of no use to a queue that is empty before the load ends, and its load
// would take a slot of the weight store before the first replica of another model.
func scaleUpDelay(loadTime time.Duration) time.Duration {
	return min(max(loadTime/2, minScaleUpDelay), maxScaleUpDelay)
}

// scale returns the number of replicas that a model should have. A model without ready
// replicas gets one for every maxColdBatches batches of work. One that stays overloaded gets up
// to twice its replicas, as far as the work needs them. One with too little load loses one
// replica at a time. The two limits differ (hysteresis), so that a load near one of them does
// not add and remove the same replica again and again: with a concurrency of 10, a second
// replica is added above 9 requests and removed below 5.
func scale(_ time.Time, in ScaleInput) int {
	m := in.Model
	concurrency := m.Concurrency
	if concurrency <= 0 {
		concurrency = defaultConcurrency
	}
	work := float64(m.Running + m.Queued + m.Waiting)
	want := m.Ready
	switch {
	case m.Ready == 0:
		want = ceil(work / float64(maxColdBatches*concurrency))
	case work > scaleUpLoad*float64(m.Ready*concurrency):
		if m.PressedFor >= scaleUpDelay(m.LoadTime) {
			want = max(m.Ready, min(maxGrowth*m.Ready, ceil(work/(targetLoad*float64(concurrency)))))
		}
	case m.Ready > 1 && work < scaleDownLoad*float64((m.Ready-1)*concurrency):
		want = m.Ready - 1
	}
	return min(max(want, m.Min), m.Max)
}

// ceil returns v rounded up.
func ceil(v float64) int {
	n := int(v)
	if float64(n) < v {
		n++
	}
	return n
}
