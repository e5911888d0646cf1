package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// linkRetryAfter is the advice to callers whose model could only be loaded over
// the link between regions: by then the store's region may be back, or have room.
const linkRetryAfter = 10 * time.Second

// isFar tells whether a load from the weight store crosses the link.
func (s *Shard) isFar() bool {
	return s.settings.StoreRegion != "" && s.settings.StoreRegion != s.settings.Region
}

// mayFetch tells whether a replica of the model may be loaded from the weight
// store: always beside it, and over the link only while callers allow it.
func (s *Shard) mayFetch(name string) bool {
	return !s.isFar() || s.now.Before(s.model(name).acrossUntil)
}

// beyond answers a demand for a load that the demand does not allow here, or
// that would end too late for its callers; false if nothing speaks against it.
func (s *Shard) beyond(d ports.Demand) (ports.DemandReply, bool) {
	if s.decided(d.Model) > 0 || (d.Load != ports.LoadCached && !s.isFar()) {
		return ports.DemandReply{}, false
	}
	if s.bestTier(d.Model) != ports.TierRemote {
		return ports.DemandReply{}, false
	}
	if d.Load != ports.LoadAcross {
		return ports.DemandReply{Status: ports.DemandElsewhere, Reason: "the checkpoint is not cached here"}, true
	}
	in := s.fetchTime(d.Model) + queuedEstimate
	if in > d.Within {
		return ports.DemandReply{
			Status: ports.DemandRefused, RetryAfter: linkRetryAfter,
			Reason: fmt.Sprintf("a load over the link between regions would take %v", in.Round(time.Second)),
		}, true
	}
	s.model(d.Model).acrossUntil = s.now.Add(d.Within)
	return ports.DemandReply{}, false
}

// growsElsewhere tells whether the model should have a further replica that this
// shard could only fetch over the link. The answer has to say so: callers who hear
// that there is a replica ask no other zone.
func (s *Shard) growsElsewhere(m *model) bool {
	decided := s.decided(m.name)
	return s.isFar() && m.refused != "" && decided > 0 && s.wanted(m) > decided
}

// fetchTime estimates a load from the weight store, over the link if need be.
// What was measured beside the store says nothing of it.
func (s *Shard) fetchTime(name string) time.Duration {
	in := s.loadTime(name)
	if !s.isFar() || s.settings.LinkBytesPerSecond == 0 {
		return in
	}
	crossing := float64(s.config.Models[name].MemoryBytes) / s.settings.LinkBytesPerSecond
	return max(in, time.Duration(crossing*float64(time.Second)))
}
