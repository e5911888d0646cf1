package policy

import (
	"slices"
	"time"
)

// shortGap is the gap below which two requests belong to one burst: any
// keep-alive spans it, so it says nothing about how long to wait.
const shortGap = 15 * time.Second

// priorWeight is how many observed gaps the prior counts for.
const priorWeight = 1.5

// priorGaps stand in for a model whose gaps are not known yet, spread evenly
// over the orders of magnitude.
var priorGaps = []time.Duration{
	time.Minute,
	4 * time.Minute,
	15 * time.Minute,
	time.Hour,
	4 * time.Hour,
	16 * time.Hour,
}

// outcome is a possible time until the next request with its weight.
type outcome struct {
	after  time.Duration
	weight float64
}

// forecast is the empirical distribution of the time until the next request,
// shortest first, given how long there has been none.
type forecast []outcome

// newForecast conditions the model's gaps on an idle time that has passed
// already: gaps that would have ended by now are out, the others are shortened.
//
// For gaps of 5, 20 and 60 min and an idle time of 10 min, the next request is
// 10 or 50 min away with equal weight, besides what the prior adds.
func newForecast(m ModelView, idle time.Duration) forecast {
	f := make(forecast, 0, len(m.Gaps)+len(priorGaps))
	f = f.add(m.Gaps, 1, idle)
	f = f.add(priorGaps, priorWeight/float64(len(priorGaps)), idle)
	slices.SortFunc(f, func(a, b outcome) int { return int(a.after - b.after) })
	return f
}

func (f forecast) add(gaps []time.Duration, weight float64, idle time.Duration) forecast {
	for _, gap := range gaps {
		if gap < shortGap || gap <= idle {
			continue
		}
		f = append(f, outcome{after: gap - idle, weight: weight})
	}
	return f
}

// total returns the sum of the weights.
func (f forecast) total() float64 {
	var sum float64
	for _, o := range f {
		sum += o.weight
	}
	return sum
}

// within returns the probability of a request within d.
func (f forecast) within(d time.Duration) float64 {
	var hit float64
	for _, o := range f {
		if o.after <= d {
			hit += o.weight
		}
	}
	if hit == 0 {
		return 0
	}
	return hit / f.total()
}

// held returns the expected time for which a replica kept for d is idle.
func (f forecast) held(d time.Duration) time.Duration {
	total := f.total()
	if total == 0 {
		return d
	}
	var sum float64
	for _, o := range f {
		sum += o.weight * float64(min(o.after, d))
	}
	return time.Duration(sum / total)
}

// gapsKept bounds the gaps that are kept of a model.
const gapsKept = 32

// KeepGap adds the latest gap between two requests to those that are kept.
// Gaps within a burst are left out: a burst of many calls would otherwise push
// out all gaps that say when the next burst may come.
func KeepGap(gaps []time.Duration, gap time.Duration) []time.Duration {
	if gap < shortGap {
		return gaps
	}
	gaps = append(gaps, gap)
	return gaps[max(0, len(gaps)-gapsKept):]
}
