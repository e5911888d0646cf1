package usage

import (
	"math"
	"time"
)

const (
	// permitLifetime is how long a permit may be used after its start.
	permitLifetime = 800 * time.Millisecond
	// transitTime is how much longer the requests at the beginning of a window may be on
	// their way to targets than those at its end.
	transitTime = 100 * time.Millisecond
	// aloneDeviations is the number of standard deviations between the expected use without
	// a holder and the bound. With few large requests the tails are long.
	aloneDeviations = 5
)

// Bounds limit a team's use in each sliding window: rate × Window + burst, exceeded by the
// factor Excess and Slack units. A Window of 0 means that use is judged in no window.
type Bounds struct {
	Window time.Duration
	Excess float64
	Slack  float64
}

// Limit is the quota of a team, in units per second and units. Largest is the amount of the
// largest plausible request: the bucket is at least that large if the bounds allow it,
// since a smaller one would never serve such a request.
type Limit struct {
	Team                 string
	Rate, Burst, Largest float64
}

// MaxUse returns the largest amount that a window may have.
func (b Bounds) MaxUse(l Limit) float64 {
	return (l.Rate*b.Window.Seconds()+l.Burst)*(1+b.Excess) + b.Slack
}

// span returns the time whose grants may arrive within one window.
func (b Bounds) span() float64 {
	return (b.Window + permitLifetime + slotTime + transitTime).Seconds()
}

// bucket returns the rate and the capacity with which a window stays within the bounds: it
// holds the refill of its span and a full bucket.
func (b Bounds) bucket(l Limit) (rate, capacity float64) {
	if b.Window <= 0 {
		return l.Rate, max(l.Burst, l.Largest)
	}
	allowed, span := b.MaxUse(l), b.span()
	rate = max(min(l.Rate, (allowed-l.Burst)/span), 0)
	return rate, min(max(l.Burst, l.Largest), max(allowed-rate*span, 0))
}

// alonePart returns the part of the rate that instances without a holder admit of requests
// of an amount. They decide at random, so the use in a window scatters, the more so the
// larger the requests are; the expected use keeps some standard deviations below the bound.
func (b Bounds) alonePart(l Limit, amount float64) float64 {
	if b.Window <= 0 {
		return alonePart
	}
	// expected + aloneDeviations × √(expected × amount) = MaxUse, solved for √expected.
	half := aloneDeviations * math.Sqrt(amount) / 2
	root := math.Sqrt(half*half+b.MaxUse(l)) - half
	return min(alonePart, root*root/(l.Rate*(b.Window+aloneTime).Seconds()))
}
