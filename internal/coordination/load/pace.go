package load

import (
	"math"
	"time"
)

const (
	// toldHalfLife is the half-life of a target's smoothed pace while newer figures come.
	// The figures change many times per second. timedHalfLife is the same for response
	// times, which differ between requests.
	toldHalfLife  = time.Second
	timedHalfLife = 4 * time.Second
	// paceHold is how long a pace without newer figures is kept. paceDecay is the half-life
	// after that, so that a slow target that gets hardly any requests is tried again.
	paceHold  = 2 * time.Second
	paceDecay = 4 * time.Second
	// maxPace limits a pace in both directions, so that one figure cannot keep a target
	// without requests, or draw all to it.
	maxPace = 16.0
	// toldBand and timedBand are the relative differences from which on a new pace is
	// applied. Smaller ones would only move requests back and forth.
	toldBand  = 0.15
	timedBand = 0.4
)

// Source is where the figures of a pace come from.
type Source int

const (
	// Told figures are reported by the target.
	Told Source = iota
	// Timed figures are derived from response times, which also depend on the requests.
	Timed
)

// maxWeight limits the weight of one figure.
func (s Source) maxWeight() float64 {
	if s == Timed {
		return 0.05
	}
	return 0.5
}

func (s Source) halfLife() time.Duration {
	if s == Timed {
		return timedHalfLife
	}
	return toldHalfLife
}

func (s Source) band() float64 {
	if s == Timed {
		return timedBand
	}
	return toldBand
}

// Pace is how long work takes at a target, as a multiple of the usual time. The zero value
// is the usual pace.
type Pace struct {
	// value is the smoothed pace as of at; 0 means that there has been no figure.
	value float64
	at    time.Time
	// source is where the latest figure came from.
	source Source
	// applied is the pace that choices use, which follows value in steps.
	applied float64
}

// Observe adds a figure. Its weight grows with the time since the previous one.
func (c *Pace) Observe(now time.Time, figure float64, from Source) {
	const minWeight = 0.005
	previous := c.Value(now)
	weight := from.maxWeight()
	if !c.at.IsZero() {
		weight = min(weight, 1-math.Exp2(-now.Sub(c.at).Seconds()/from.halfLife().Seconds()))
	}
	c.value = previous + max(weight, minWeight)*(min(max(figure, 1/maxPace), maxPace)-previous)
	c.at, c.source = now, from
}

// Set replaces the smoothed pace by that of all instances as of a time.
func (c *Pace) Set(at time.Time, value float64) {
	c.value, c.at = min(max(value, 1/maxPace), maxPace), at
}

// Value returns the smoothed pace, which approaches 1 with its age.
func (c *Pace) Value(now time.Time) float64 {
	if c.value == 0 {
		return 1
	}
	age := now.Sub(c.at) - paceHold
	if age <= 0 {
		return c.value
	}
	return 1 + (c.value-1)*math.Exp2(-age.Seconds()/paceDecay.Seconds())
}

// Current returns the pace for choices.
func (c *Pace) Current(now time.Time) float64 {
	if c.value == 0 {
		return 1
	}
	value := c.Value(now)
	if c.applied == 0 {
		c.applied = 1
	}
	if math.Abs(value-c.applied) > c.source.band()*c.applied {
		c.applied = value
	}
	return c.applied
}

// Figures collects the paces that were observed at one target since the last report.
type Figures struct {
	sum float64
	n   int
}

// Add adds a figure.
func (f *Figures) Add(figure float64) {
	f.sum += min(max(figure, 1/maxPace), maxPace)
	f.n++
}

// Percent returns the mean in percent, 0 if there are no figures.
func (f *Figures) Percent() int {
	if f.n == 0 {
		return 0
	}
	return max(int(math.Round(100*f.sum/float64(f.n))), 1)
}
