package picker

import (
	"testing"
	"time"
)

// meanRunning lets the world run and returns the mean number of requests at a target and
// that over all targets.
func (w *world) meanRunning(d time.Duration, perSecond float64, r *worldTarget) (mean, all float64) {
	const step = 100 * time.Millisecond
	n := int(d / step)
	for range n {
		w.run(step, perSecond, everywhere)
		mean += float64(r.running) / float64(n)
		for _, other := range w.targets {
			all += float64(other.running) / float64(n*len(w.targets))
		}
	}
	return mean, all
}

// TestSlowTarget has one of ten targets work at a quarter of the usual pace, which its
// responses say, or only their times. It guards against a slow target that gets as much as
// the others, or nothing.
func TestSlowTarget(t *testing.T) {
	for _, c := range []struct {
		name   string
		model  string
		isTold bool
		// most bounds the slow target's requests over the mean.
		most float64
	}{
		{"stream, told", "m", true, 0.55},
		{"stream, by response times", "m", false, 0.75},
		{"plain service, told", "", true, 0.55},
		{"plain service, by response times", "", false, 0.75},
	} {
		t.Run(c.name, func(t *testing.T) {
			const perSecond = 200
			w := newWorld(40, 10, time.Second)
			w.model = c.model
			slow := w.targets[0]
			slow.slowness = 4
			for _, r := range w.targets {
				if c.isTold {
					r.pace = func() float64 { return r.slowness }
				}
			}
			w.run(10*time.Second, perSecond, everywhere)
			served := slow.served
			mean, all := w.meanRunning(20*time.Second, perSecond, slow)
			share := mean / all
			report(t, share > c.most || share < 0.1 || slow.served == served || w.refused > 0,
				"the slow target has %.1f requests at a time, %.2f of the mean, %d in all, %d refused", mean, share, slow.served-served, w.refused)
		})
	}
}

// TestFlutteringPace has all targets report a pace that differs from response to response
// although they work evenly. It guards against instances that swing from target to target.
func TestFlutteringPace(t *testing.T) {
	const perSecond = 200
	measure := func(isFluttering bool) float64 {
		w := newWorld(40, 10, time.Second)
		for _, r := range w.targets {
			r.pace = func() float64 {
				if !isFluttering {
					return 1
				}
				return []float64{0.5, 1, 2, 0.5}[w.random.IntN(4)]
			}
		}
		w.run(5*time.Second, perSecond, everywhere)
		return w.meanBusiest(15*time.Second, perSecond, everywhere)
	}
	steady, fluttering := measure(false), measure(true)
	report(t, fluttering > 1.2*steady, "busiest over mean %.2f with a fluttering pace, %.2f with a steady one", fluttering, steady)
}
