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
)

// scale grows at once to what the work needs and shrinks by one replica at a
// time. Hysteresis between the two bounds keeps a load near a bound from
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
	case work > scaleUpLoad*float64(m.Ready*per):
		want = max(m.Ready, ceil(work/(targetLoad*float64(per))))
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
