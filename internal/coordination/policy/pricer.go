package policy

import (
	"slices"
	"time"
)

// keepMargin is added to a gap that a keep-alive is meant to span, because the
// next gap is rarely exactly like an earlier one.
const keepMargin = 1.1

// minKeepAlive keeps a replica over the pauses within a burst.
const minKeepAlive = 2 * shortGap

// pricer decides by the price of cold starts against that of idle hours.
type pricer struct {
	weights  Weights
	settings settings
}

// share returns the part of an accelerator that a model's replica holds.
func (p pricer) share(m ModelView) float64 {
	return float64(m.MemoryBytes) / float64(p.settings.acceleratorBytes)
}

// hold returns how long keeping (or loading) a replica from now on is worth
// most, and what that saves on average over not having it.
//
// Holding for d saves a cold start when the next request comes within d, and
// costs the memory until then or for the whole of d. Between two possible
// gaps a longer hold costs more and saves nothing, so only the gaps themselves
// are tried. Example: reload 20 s, gaps of 5 min (three times) and 2 h (once),
// an accelerator's whole memory, prices 1 and 60: holding for 5 min saves 0.75
// x 20 = 15 and costs 5 min = 5, net 10; for 2 h it saves 20 and costs 0.75 x 5
// + 0.25 x 120 = 33.75, net -13.75. So 5 min it is.
func (p pricer) hold(m ModelView, f forecast, reload time.Duration) (time.Duration, float64) {
	var best time.Duration
	var saving float64
	for _, o := range f {
		d := time.Duration(float64(o.after) * keepMargin)
		if d > p.settings.maxKeepAlive {
			break
		}
		net := f.within(d)*p.weights.cold(reload) - p.weights.idle(f.held(d), p.share(m))
		if net > saving {
			best, saving = d, net
		}
	}
	return best, saving
}

func (p pricer) keepAlive(_ time.Time, m ModelView) time.Duration {
	if m.KeepAlive > 0 {
		return m.KeepAlive
	}
	d, _ := p.hold(m, newForecast(m, 0), m.reloadTime())
	return max(d, minKeepAlive)
}

// preload returns idle models whose next request is near enough to be worth
// loading for, the largest saving first.
func (p pricer) preload(now time.Time, models []ModelView) []string {
	type candidate struct {
		model  string
		saving float64
	}
	var found []candidate
	for _, m := range models {
		if saving := p.preloadSaving(now, m); saving > 0 {
			found = append(found, candidate{m.Model, saving})
		}
	}
	slices.SortFunc(found, func(a, b candidate) int {
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
	found = found[:min(len(found), p.settings.preloads)]
	names := make([]string, 0, len(found))
	for _, c := range found {
		names = append(names, c.model)
	}
	return names
}

// minPreloadGaps is how many gaps have to be known before they predict.
const minPreloadGaps = 4

// preloadSaving is what loading ahead saves on average, 0 for a model that is
// loaded, has too short a past, or was loaded ahead in vain since its last use.
func (p pricer) preloadSaving(now time.Time, m ModelView) float64 {
	if m.LastPreload.After(m.LastUsed) {
		return 0
	}
	if m.Ready > 0 || m.Waiting > 0 || m.Max == 0 || m.LastUsed.IsZero() || len(m.Gaps) < minPreloadGaps {
		return 0
	}
	reload := m.reloadTime()
	// A load begun now is of use to requests that come after it has ended.
	f := newForecast(m, now.Sub(m.LastUsed)+reload)
	if len(f) == 0 {
		return 0
	}
	_, saving := p.hold(m, f, reload)
	if saving < preloadShare*p.weights.cold(reload) {
		return 0
	}
	return saving
}

// preloadShare is the share of a cold start that loading ahead has to save,
// because it also takes its turn at the weight store.
const preloadShare = 0.5

// reloadTime returns the time of the model's next load.
func (m ModelView) reloadTime() time.Duration {
	if m.ReloadTime > 0 {
		return m.ReloadTime
	}
	return m.LoadTime
}
