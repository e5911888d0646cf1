package policy

import "time"

// Bounds of the load of a replica, as shares of its concurrency.
const (
	// scaleUpLoad is the load above which a replica is added.
	scaleUpLoad = 0.9
	// scaleDownLoad is the load that the remaining replicas must stay below
	// for one to go.
	scaleDownLoad = 0.5
	// targetLoad is the load that added replicas bring it down to.
	targetLoad = 0.7
	// coldBatches is how many batches may wait for a first replica before it is
	// not left to it alone: it works the first off while others would still load.
	coldBatches = 4
	// growth bounds how many times the replicas are multiplied at once.
	growth = 2
)

// Bounds of the time for which replicas must be overloaded before one is added.
const (
	patienceLeast = 500 * time.Millisecond
	patienceMost  = 5 * time.Second
)

// patience is how long a model must be overloaded before a replica is added: a
// further replica takes a load to come, so a queue that is gone by then was not
// worth it, and at the weight store the load would go before the first replica
// of a model that others wait for.
func patience(loadTime time.Duration) time.Duration {
	return min(max(loadTime/2, patienceLeast), patienceMost)
}

// scale gives a cold model one replica for a burst, doubles the replicas of one
// that stays overloaded up to what the work needs, and shrinks by one replica at
// a time. Hysteresis between the two bounds keeps a load near a bound from
// adding and removing the same replica: with a concurrency of 10, a second
// replica comes above 9 requests and goes below 5.
func scale(_ time.Time, in ScaleInput) int {
	m := in.Model
	per := m.Concurrency
	if per <= 0 {
		per = defaultConcurrency
	}
	work := float64(m.Running + m.Queued + m.Waiting)
	want := m.Ready
	switch {
	case m.Ready == 0:
		want = ceil(work / float64(coldBatches*per))
	case work > scaleUpLoad*float64(m.Ready*per):
		if m.PressedFor >= patience(m.LoadTime) {
			want = max(m.Ready, min(growth*m.Ready, ceil(work/(targetLoad*float64(per)))))
		}
	case m.Ready > 1 && work < scaleDownLoad*float64((m.Ready-1)*per):
		want = m.Ready - 1
	}
	return min(max(want, m.Min), m.Max)
}

func ceil(v float64) int {
	n := int(v)
	if float64(n) < v {
		n++
	}
	return n
}
