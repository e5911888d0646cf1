package policy

import (
	"slices"
	"time"
)

// burstGap is the gap between two requests below which they belong to one burst. Every
// keep-alive is longer, so such a gap says nothing about how long to keep a replica.
const burstGap = 15 * time.Second

// priorWeight is the weight of all prior gaps together, in observed gaps.
const priorWeight = 1.5

// priorGaps are the gaps assumed for a model before any have been observed, spaced evenly
// on a logarithmic scale.
var priorGaps = []time.Duration{
	time.Minute,
	4 * time.Minute,
	15 * time.Minute,
	time.Hour,
	4 * time.Hour,
	16 * time.Hour,
}

// outcome is a possible time until the next request, with its weight.
type outcome struct {
	after  time.Duration
	weight float64
}

// forecast is the empirical distribution of the time until the next request, given how
// long there has been none; the shortest time comes first.
type forecast []outcome

// newForecast returns the distribution for a model that has been idle for the given time:
// it leaves out gaps that are not longer than that and shortens the others by it.
//
// For gaps of 5, 20 and 60 min and an idle time of 10 min, the next request is 10 or 50 min
// away with equal weight, apart from the prior gaps.
func newForecast(m ModelView, idle time.Duration) forecast {
	f := make(forecast, 0, len(m.Gaps)+len(priorGaps))
	f = f.add(m.Gaps, 1, idle)
	f = f.add(priorGaps, priorWeight/float64(len(priorGaps)), idle)
	slices.SortFunc(f, func(a, b outcome) int { return int(a.after - b.after) })
	return f
}

// add appends the outcomes for the gaps that are longer than the idle time, without those
// of a burst.
func (f forecast) add(gaps []time.Duration, weight float64, idle time.Duration) forecast {
	for _, gap := range gaps {
		if gap < burstGap || gap <= idle {
			continue
		}
		f = append(f, outcome{after: gap - idle, weight: weight})
	}
	return f
}

// totalWeight returns the sum of the weights.
func (f forecast) totalWeight() float64 {
	var sum float64
	for _, o := range f {
		sum += o.weight
	}
	return sum
}

// probabilityWithin returns the probability that the next request comes within d.
func (f forecast) probabilityWithin(d time.Duration) float64 {
	var hit float64
	for _, o := range f {
		if o.after <= d {
			hit += o.weight
		}
	}
	if hit == 0 {
		return 0
	}
	return hit / f.totalWeight()
}

// expectedIdle returns the expected idle time of a replica that is kept until the next
// request, but at most for d.
func (f forecast) expectedIdle(d time.Duration) time.Duration {
	total := f.totalWeight()
	if total == 0 {
		return d
	}
	var sum float64
	for _, o := range f {
		sum += o.weight * float64(min(o.after, d))
	}
	return time.Duration(sum / total)
}

// maxGaps is the maximum number of gaps kept for a model.
const maxGaps = 32

// KeepGap appends the latest gap between two requests and drops the oldest gap beyond the
// limit. It ignores gaps within a burst, because a burst of many calls would otherwise push
// out all gaps that show when the next burst may come.
func KeepGap(gaps []time.Duration, gap time.Duration) []time.Duration {
	if gap < burstGap {
		return gaps
	}
	gaps = append(gaps, gap)
	return gaps[max(0, len(gaps)-maxGaps):]
}
