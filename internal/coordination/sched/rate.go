package sched

import "time"

// rateTimeConstant is the time constant of the models' request rates: a rate without
// requests falls linearly to 0 within four of them.
const rateTimeConstant = 6 * time.Second

// rate is the moving average of a model's requests per second.
type rate struct {
	value float64
	at    time.Time
	// lastUsed is when the model was last in use or asked for.
	lastUsed time.Time
}

func (r *rate) add(now time.Time, n int) {
	r.value = r.perSecond(now) + float64(n)/rateTimeConstant.Seconds()
	r.at = now
}

// perSecond returns the model's requests per second.
func (r *rate) perSecond(now time.Time) float64 {
	age := now.Sub(r.at)
	if age >= 4*rateTimeConstant {
		return 0
	}
	return r.value * max(1-float64(age)/float64(4*rateTimeConstant), 0)
}

func (p *Planner) rate(model string) *rate {
	r := p.rates[model]
	if r == nil {
		r = &rate{}
		p.rates[model] = r
	}
	return r
}
