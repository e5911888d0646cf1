package load

import (
	"math"
	"time"
)

// rateHalfLife is the half-life of a rate without further events.
const rateHalfLife = 1500 * time.Millisecond

// rate is a moving average of a number per second.
type rate struct {
	value float64
	at    time.Time
}

func (r *rate) add(now time.Time, n float64) {
	r.value = r.perSecond(now) + n*math.Ln2/rateHalfLife.Seconds()
	r.at = now
}

func (r *rate) perSecond(now time.Time) float64 {
	if r.value == 0 {
		return 0
	}
	return r.value * math.Exp2(-now.Sub(r.at).Seconds()/rateHalfLife.Seconds())
}
