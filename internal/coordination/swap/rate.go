package swap

import "time"

// rateTime is the time constant of the models' request rates.
const rateTime = 6 * time.Second

// rate is the decaying count of a model's requests.
type rate struct {
	value float64
	at    time.Time
	// used is when a request was last seen.
	used time.Time
}

func (r *rate) add(now time.Time, n int) {
	r.value = r.perSecond(now) + float64(n)/rateTime.Seconds()
	r.at = now
}

// perSecond returns the model's requests a second.
func (r *rate) perSecond(now time.Time) float64 {
	age := now.Sub(r.at)
	if age >= 4*rateTime {
		return 0
	}
	return r.value * max(1-float64(age)/float64(4*rateTime), 0)
}

func (p *Planner) rate(model string) *rate {
	r := p.rates[model]
	if r == nil {
		r = &rate{}
		p.rates[model] = r
	}
	return r
}
