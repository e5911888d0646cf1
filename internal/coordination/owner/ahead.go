package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
)

// Permits ahead of use: in an outage of the KV service no permit can move, so a
// shard loads only what it holds permits for. While the service answers, a shard
// therefore takes one permit for each model that has its home here, and one slot
// of the weight store, if they are free. It asks nobody for theirs, and gives
// them up as any unused permit when somebody else asks.

const (
	// aheadAfter and aheadSpread keep the takings of shards that start together apart.
	aheadAfter  = 5 * time.Second
	aheadSpread = 30 * time.Second
	// aheadEvery is the period at which permits that came free are looked for.
	aheadEvery = 10 * time.Minute
	// slotEvery is the same for a slot of the weight store, which there are few
	// of and which change hands with every burst.
	slotEvery = time.Minute
)

// planAhead has the shard look for free permits some time from now.
func (s *Shard) planAhead() {
	s.home.aheadAt = s.now.Add(aheadAfter + s.jitter(aheadSpread))
	s.home.slotAt = s.home.aheadAt
}

// takeAhead takes what is free of the permits that the shard has none of.
func (s *Shard) takeAhead() {
	if s.home.aheadAt.IsZero() || !s.outage.since.IsZero() {
		return
	}
	if !s.now.Before(s.home.slotAt) {
		s.home.slotAt = s.now.Add(slotEvery + s.jitter(aheadSpread))
		s.acquireAhead(permit.Store)
	}
	if s.now.Before(s.home.aheadAt) {
		return
	}
	s.home.aheadAt = s.now.Add(aheadEvery + s.jitter(aheadSpread))
	for _, name := range s.home.models {
		s.acquireAhead(name)
	}
}

func (s *Shard) acquireAhead(resource string) {
	_, wanted := s.permits.wants[resource]
	_, freeing := s.permits.freed[resource]
	if wanted || freeing || s.permits.held[resource] > 0 {
		return
	}
	s.acquire(resource, 1)
	if _, wanted = s.permits.wants[resource]; wanted {
		s.permits.ahead[resource] = true
	}
}

// leavesToOthers tells whether a permit that is wanted ahead of use is left free:
// one of the model is held already, so that one side of a cut can load it, and the
// other side finds the free one in the ledger. Slots of the weight store are for
// all models and taken in any case.
func (s *Shard) leavesToOthers(resource string, l permit.Ledger) bool {
	return s.permits.ahead[resource] && resource != permit.Store && l.Resources[resource].Granted() > 0
}

// dropAhead ends the tries for permits ahead of use in a bucket.
func (s *Shard) dropAhead(n int) {
	for resource := range s.permits.ahead {
		if s.bucketOf(resource) == n {
			delete(s.permits.wants, resource)
			delete(s.permits.ahead, resource)
		}
	}
}
