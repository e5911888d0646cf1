package picker

import (
	"testing"
	"time"
)

// runs lets the world run and returns the mean number of requests at a target, at all
// targets, and the largest number that was ever at that target.
func (w *world) runs(d time.Duration, perSecond float64, r *worldTarget) (mean, all float64, most int) {
	const step = 100 * time.Millisecond
	n := int(d / step)
	for range n {
		w.run(step, perSecond, everywhere)
		mean += float64(r.running) / float64(n)
		most = max(most, r.running)
		for _, other := range w.targets {
			all += float64(other.running) / float64(n*len(w.targets))
		}
	}
	return mean, all, most
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
			w := newWorld(t, 40, 10, time.Second)
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
			mean, all, _ := w.runs(20*time.Second, perSecond, slow)
			t.Logf("requests at the slow target %.1f, mean %.1f", mean, all)
			if share := mean / all; share > c.most || share < 0.1 || slow.served == served || w.refused > 0 {
				t.Errorf("the slow target has %.2f of the mean, %d requests, %d refused", share, slow.served-served, w.refused)
			}
		})
	}
}

// TestFlutteringPace has all targets report a pace that differs from response to response
// although they work evenly. It guards against instances that swing from target to target.
func TestFlutteringPace(t *testing.T) {
	const perSecond = 200
	measure := func(isFluttering bool) float64 {
		w := newWorld(t, 40, 10, time.Second)
		for _, r := range w.targets {
			r.pace = func() float64 {
				if !isFluttering {
					return 1
				}
				return []float64{0.5, 1, 2, 0.5}[w.random.IntN(4)]
			}
		}
		w.run(5*time.Second, perSecond, everywhere)
		return w.meanBusiest(15*time.Second, perSecond)
	}
	steady, fluttering := measure(false), measure(true)
	t.Logf("busiest over mean: steady pace %.2f, fluttering %.2f", steady, fluttering)
	if fluttering > 1.2*steady {
		t.Errorf("busiest over mean %.2f with a fluttering pace, %.2f with a steady one", fluttering, steady)
	}
}
