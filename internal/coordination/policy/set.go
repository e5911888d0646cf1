package policy

import (
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Plain returns the baseline policies: a fixed keep-alive, eviction of the least recently
// used replicas, the tightest fit by memory, loads in order of arrival, and no preloading.
func Plain(opts ...Option) Set {
	s := newSettings(opts)
	return Set{
		KeepAlive: Func[ModelView, time.Duration](s.fixedKeepAlive),
		Place:     Func[PlaceInput, Placement](placePlain),
		Scale:     Func[ScaleInput, int](scale),
		Order:     Func[[]LoadRequest, []int](orderByArrival),
		Preload:   Func[[]ModelView, []string](preloadNothing),
	}
}

// New returns the policies that weigh cold starts against idle accelerator hours. It returns
// an error if a weight or an option is out of range.
func New(w Weights, opts ...Option) (Set, error) {
	if err := w.Check(); err != nil {
		return Set{}, trace.Wrap(err)
	}
	s := newSettings(opts)
	if err := s.check(); err != nil {
		return Set{}, trace.Wrap(err)
	}
	p := costPolicy{weights: w, settings: s}
	return Set{
		KeepAlive: Func[ModelView, time.Duration](p.keepAlive),
		Place:     Func[PlaceInput, Placement](p.place),
		Scale:     Func[ScaleInput, int](scale),
		Order:     Func[[]LoadRequest, []int](orderByWaiting),
		Preload:   Func[[]ModelView, []string](p.preload),
	}, nil
}

// Factors by which a load from a cached tier is faster than one from the weight store.
const (
	memorySpeedup = 20
	diskSpeedup   = 4
)

// TierTime returns the expected duration of a load from a tier, given the duration of the
// same load from the weight store.
func TierTime(tier ports.Tier, storeLoadTime time.Duration) time.Duration {
	switch tier {
	case ports.TierMemory:
		return storeLoadTime / memorySpeedup
	case ports.TierDisk:
		return storeLoadTime / diskSpeedup
	default:
		return storeLoadTime
	}
}

// fixedKeepAlive returns the operators' limit for the model, or else that of the settings.
func (s settings) fixedKeepAlive(_ time.Time, m ModelView) time.Duration {
	if m.KeepAlive > 0 {
		return m.KeepAlive
	}
	return s.keepAlive
}

func preloadNothing(time.Time, []ModelView) []string {
	return nil
}
