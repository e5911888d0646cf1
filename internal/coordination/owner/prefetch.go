package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
)

// In an outage of the KV service no permit can move, so a shard can only load what it
// already holds permits for. While the service answers, a shard therefore prefetches one
// permit for each model that has its home here, and one slot of the weight store, if they
// are free. It does not recall them from other shards, and yields them like any unused
// permit when another shard asks.

const (
	// prefetchDelay is the delay before the first prefetch after a takeover or a new
	// assignment of models.
	prefetchDelay = 5 * time.Second
	// prefetchJitter spreads the prefetches of shards that start at the same time.
	prefetchJitter = 30 * time.Second
	// permitPrefetchInterval is the interval at which the shard looks for permits that
	// have become free.
	permitPrefetchInterval = 10 * time.Minute
	// slotPrefetchInterval is the same for a slot of the weight store. It is shorter
	// because there are few slots, and they change hands with every burst.
	slotPrefetchInterval = time.Minute
)

// schedulePrefetch schedules the next prefetch of permits.
func (s *Shard) schedulePrefetch() {
	s.home.permitPrefetchAt = s.now.Add(prefetchDelay + s.jitter(prefetchJitter))
	s.home.slotPrefetchAt = s.home.permitPrefetchAt
}

// prefetchPermits requests free permits of resources that the shard holds none of.
func (s *Shard) prefetchPermits() {
	if s.home.permitPrefetchAt.IsZero() || !s.outage.since.IsZero() {
		return
	}
	if !s.now.Before(s.home.slotPrefetchAt) {
		s.home.slotPrefetchAt = s.now.Add(slotPrefetchInterval + s.jitter(prefetchJitter))
		s.prefetchPermit(permit.Store)
	}
	if s.now.Before(s.home.permitPrefetchAt) {
		return
	}
	s.home.permitPrefetchAt = s.now.Add(permitPrefetchInterval + s.jitter(prefetchJitter))
	for _, name := range s.home.models {
		s.prefetchPermit(name)
	}
}

func (s *Shard) prefetchPermit(resource string) {
	_, wanted := s.permits.requested[resource]
	_, freeing := s.permits.releasing[resource]
	if wanted || freeing || s.permits.held[resource] > 0 {
		return
	}
	s.requestPermits(resource, 1)
	if _, wanted = s.permits.requested[resource]; wanted {
		s.permits.prefetch[resource] = true
	}
}

// skipsPrefetch reports whether a permit is left in the ledger instead of being
// prefetched. If a permit of the model is held already, one side of a network partition
// can load the model, and the other side finds the free permit in the ledger. Slots of
// the weight store serve all models and are prefetched in any case.
func (s *Shard) skipsPrefetch(resource string, l permit.Ledger) bool {
	return s.permits.prefetch[resource] && resource != permit.Store && l.Resources[resource].Granted() > 0
}

// dropPrefetches ends the attempts to prefetch permits from a bucket.
func (s *Shard) dropPrefetches(n int) {
	for resource := range s.permits.prefetch {
		if s.bucketOf(resource) == n {
			delete(s.permits.requested, resource)
			delete(s.permits.prefetch, resource)
		}
	}
}
