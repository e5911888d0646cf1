package policy

import "time"

// maxObserveInterval is the maximum time between two calls of Observe that count as the same
// overload.
const maxObserveInterval = 2 * time.Second

// Pressure measures for how long a model's replicas have been overloaded.
type Pressure struct {
	overloadedSince time.Time
	lastObserved    time.Time
}

// Observe records the model's current work and returns for how long it has exceeded what
// the ready replicas batch, 0 if it does not or if no replica is ready.
func (p *Pressure) Observe(now time.Time, v ModelView) time.Duration {
	concurrency := v.Concurrency
	if concurrency <= 0 {
		concurrency = defaultConcurrency
	}
	work := float64(v.Running + v.Queued + v.Waiting)
	if v.Ready == 0 || work <= scaleUpLoad*float64(v.Ready*concurrency) {
		*p = Pressure{}
		return 0
	}
	if p.overloadedSince.IsZero() || now.Sub(p.lastObserved) > maxObserveInterval {
		p.overloadedSince = now
	}
	p.lastObserved = now
	return now.Sub(p.overloadedSince)
}
