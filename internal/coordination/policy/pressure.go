package policy

import "time"

// pressureLapse is how long a pressure that nobody looked at still counts.
const pressureLapse = 2 * time.Second

// Pressure measures for how long a model's replicas have been overloaded.
type Pressure struct {
	since time.Time
	seen  time.Time
}

// Observe takes the model's work now and returns for how long it has been more
// than what the ready replicas batch.
func (p *Pressure) Observe(now time.Time, v ModelView) time.Duration {
	per := v.Concurrency
	if per <= 0 {
		per = defaultConcurrency
	}
	work := float64(v.Running + v.Queued + v.Waiting)
	if v.Ready == 0 || work <= scaleUpLoad*float64(v.Ready*per) {
		*p = Pressure{}
		return 0
	}
	if p.since.IsZero() || now.Sub(p.seen) > pressureLapse {
		p.since = now
	}
	p.seen = now
	return now.Sub(p.since)
}
