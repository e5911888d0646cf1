package front

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/shard"
)

// Bounds of the time after which a lookup is hedged.
const (
	hedgeLeast = 20 * time.Millisecond
	hedgeLimit = time.Second
	// hedgeUp and hedgeDown move the delay after a slower and a faster call. It
	// stands still where one call in twenty is slower, at the 95th percentile.
	hedgeUp   = 0.19
	hedgeDown = 0.01
)

// delays knows how long the lookups of each service usually take at most.
type delays struct {
	services *shard.Map[string, time.Duration]
}

func newDelays() *delays {
	return &delays{services: shard.NewMap[string, time.Duration]()}
}

// of returns how long a lookup of a service may go without an answer before it is
// hedged.
func (d *delays) of(service string) time.Duration {
	delay, known := d.services.Get(service)
	if !known {
		return hedgeLimit
	}
	return delay
}

// observe takes the time of a lookup from its first send to its answer, from
// whichever instance. One that was hedged counts as slower than the delay, which
// is all that is known of it and all that is asked.
func (d *delays) observe(service string, took time.Duration) {
	d.services.Update(service, func(delay time.Duration, known bool) (time.Duration, bool) {
		if !known {
			delay = hedgeLimit
		}
		change := -hedgeDown
		if took > delay {
			change = hedgeUp
		}
		delay += time.Duration(change * float64(delay))
		return min(max(delay, hedgeLeast), hedgeLimit), true
	})
}
