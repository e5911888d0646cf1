package policy

import (
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Plain returns the baseline: a fixed keep-alive, eviction of the least
// recently used, the tightest fit by memory, first come first served, and no
// preloading.
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

// New returns the policies that weigh cold starts against idle hours.
func New(w Weights, opts ...Option) (Set, error) {
	if err := w.Check(); err != nil {
		return Set{}, trace.Wrap(err)
	}
	s := newSettings(opts)
	if err := s.check(); err != nil {
		return Set{}, trace.Wrap(err)
	}
	p := pricer{weights: w, settings: s}
	return Set{
		KeepAlive: Func[ModelView, time.Duration](p.keepAlive),
		Place:     Func[PlaceInput, Placement](p.place),
		Scale:     Func[ScaleInput, int](scale),
		Order:     Func[[]LoadRequest, []int](orderByWaiting),
		Preload:   Func[[]ModelView, []string](p.preload),
	}, nil
}

// Speedups of loads from cached tiers against the weight store.
const (
	memorySpeedup = 20
	diskSpeedup   = 4
)

// TierTime returns the expected time of a load from a tier, given its time
// from the weight store.
func TierTime(tier ports.Tier, remote time.Duration) time.Duration {
	switch tier {
	case ports.TierMemory:
		return remote / memorySpeedup
	case ports.TierDisk:
		return remote / diskSpeedup
	default:
		return remote
	}
}

func (s settings) fixedKeepAlive(_ time.Time, m ModelView) time.Duration {
	if m.KeepAlive > 0 {
		return m.KeepAlive
	}
	return s.keepAlive
}

func preloadNothing(time.Time, []ModelView) []string {
	return nil
}
