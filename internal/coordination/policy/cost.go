package policy

import (
	"slices"
	"time"
)

// gapMargin is the factor by which a keep-alive is longer than the gap that it is meant to
// span, because the next gap is rarely the same as an earlier one.
const gapMargin = 1.1

// minKeepAlive is long enough to keep a replica during the pauses within a burst.
const minKeepAlive = 2 * burstGap

// costPolicy implements the policies that weigh the cost of cold starts against that of idle
// accelerator hours.
type costPolicy struct {
	weights  Weights
	settings settings
}

// memoryShare returns the fraction of an accelerator's memory that a replica of the model
// takes.
func (p costPolicy) memoryShare(m ModelView) float64 {
	return float64(m.MemoryBytes) / float64(p.settings.acceleratorBytes)
}

// bestKeepAlive returns the time for which keeping (or loading) a replica from now on saves
// most, and the expected net saving compared with not having it.
//
// Keeping the replica for d saves a cold start if the next request comes within d, and costs
// its memory until that request or for the whole of d. Between two possible gaps, a longer
// time costs more and saves nothing, so only the gaps themselves are tried.
//
// Example: a reload takes 20 s, the gaps are 5 min (three times) and 2 h (once), the model
// takes an accelerator's whole memory, and the weights are 1 and 60. Keeping it for 5 min
// saves 0.75 x 20 = 15 and costs 5 min = 5, net 10. Keeping it for 2 h saves 20 and costs
// 0.75 x 5 + 0.25 x 120 = 33.75, net -13.75. The result is 5 min. (The example leaves out
// the prior gaps and gapMargin.)
func (p costPolicy) bestKeepAlive(m ModelView, f forecast, reload time.Duration) (time.Duration, float64) {
	var best time.Duration
	var saving float64
	for _, o := range f {
		d := time.Duration(float64(o.after) * gapMargin)
		if d > p.settings.maxKeepAlive {
			break
		}
		net := f.probabilityWithin(d)*p.weights.coldStartCost(reload) - p.weights.idleCost(f.expectedIdle(d), p.memoryShare(m))
		if net > saving {
			best, saving = d, net
		}
	}
	return best, saving
}

// keepAlive returns the operators' limit if there is one, otherwise the time that saves
// most, but at least minKeepAlive.
func (p costPolicy) keepAlive(_ time.Time, m ModelView) time.Duration {
	if m.KeepAlive > 0 {
		return m.KeepAlive
	}
	d, _ := p.bestKeepAlive(m, newForecast(m, 0), m.reloadTime())
	return max(d, minKeepAlive)
}

// preload returns the idle models whose next request is expected so soon that a load saves
// more than it costs, the largest saving first.
func (p costPolicy) preload(now time.Time, models []ModelView) []string {
	type scoredModel struct {
		model  string
		saving float64
	}
	var found []scoredModel
	for _, m := range models {
		if saving := p.preloadSaving(now, m); saving > 0 {
			found = append(found, scoredModel{m.Model, saving})
		}
	}
	slices.SortFunc(found, func(a, b scoredModel) int {
		switch {
		case a.saving > b.saving:
			return -1
		case a.saving < b.saving:
			return 1
		case a.model < b.model:
			return -1
		default:
			return 1
		}
	})
	found = found[:min(len(found), p.settings.maxPreloads)]
	names := make([]string, 0, len(found))
	for _, c := range found {
		names = append(names, c.model)
	}
	return names
}

// minPreloadGaps is the minimum number of observed gaps for a prediction.
const minPreloadGaps = 4

// preloadSaving returns the expected saving of a preload. It is 0 for a model that is loaded
// or that callers wait for, that may have no replicas, that has too few observed gaps, that
// has been preloaded since its last use, or whose saving is below minPreloadShare.
func (p costPolicy) preloadSaving(now time.Time, m ModelView) float64 {
	if m.LastPreload.After(m.LastUsed) {
		return 0
	}
	if m.Ready > 0 || m.Waiting > 0 || m.Max == 0 || m.LastUsed.IsZero() || len(m.Gaps) < minPreloadGaps {
		return 0
	}
	reload := m.reloadTime()
	// A load that begins now only helps requests that arrive after its end.
	f := newForecast(m, now.Sub(m.LastUsed)+reload)
	if len(f) == 0 {
		return 0
	}
	_, saving := p.bestKeepAlive(m, f, reload)
	if saving < minPreloadShare*p.weights.coldStartCost(reload) {
		return 0
	}
	return saving
}

// minPreloadShare is the minimum saving of a preload as a fraction of the cost of a cold
// start. It is above 0 because a preload also takes a slot of the weight store.
const minPreloadShare = 0.5

// reloadTime returns the expected duration of the model's next load.
func (m ModelView) reloadTime() time.Duration {
	if m.ReloadTime > 0 {
		return m.ReloadTime
	}
	return m.LoadTime
}
