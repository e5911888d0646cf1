package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// linkRetryAfter is the retry delay sent to callers whose model could only be loaded over
// the link between regions. By then the weight store's region may be available again, or
// have room.
const linkRetryAfter = 10 * time.Second

// isStoreRemote reports whether a load from the weight store crosses the link between
// regions.
func (s *Shard) isStoreRemote() bool {
	return s.settings.StoreRegion != "" && s.settings.StoreRegion != s.settings.Region
}

// canFetch reports whether a replica of the model may be loaded from the weight store:
// always in its region, and over the link only while callers allow it.
func (s *Shard) canFetch(name string) bool {
	return !s.isStoreRemote() || s.now.Before(s.model(name).linkLoadUntil)
}

// refuseLoad answers a demand that needs a load which it does not allow here, or which
// would finish too late for its callers. It returns false if the load is allowed.
func (s *Shard) refuseLoad(d ports.Demand) (ports.DemandReply, bool) {
	if s.plannedReplicas(d.Model) > 0 || (d.Load != ports.LoadCached && !s.isStoreRemote()) {
		return ports.DemandReply{}, false
	}
	if s.bestTier(d.Model) != ports.TierRemote {
		return ports.DemandReply{}, false
	}
	if d.Load != ports.LoadAcross {
		return ports.DemandReply{Status: ports.DemandElsewhere, Reason: "the checkpoint is not cached here"}, true
	}
	in := s.fetchTime(d.Model) + queueDelayEstimate
	if in > d.Within {
		return ports.DemandReply{
			Status: ports.DemandRefused, RetryAfter: linkRetryAfter,
			Reason: fmt.Sprintf("a load over the link between regions would take %v", in.Round(time.Second)),
		}, true
	}
	s.model(d.Model).linkLoadUntil = s.now.Add(d.Within)
	return ports.DemandReply{}, false
}

// mustGrowElsewhere reports whether the model needs another replica that this shard could
// only load over the link. The answer to the demand has to say so, because callers that
// learn of a replica here ask no other zone.
func (s *Shard) mustGrowElsewhere(m *model) bool {
	planned := s.plannedReplicas(m.name)
	return s.isStoreRemote() && m.refusal != "" && planned > 0 && s.wantedReplicas(m) > planned
}

// fetchTime estimates the duration of a load from the weight store. A duration measured
// in the store's region does not apply to a load over the link, which is limited by
// bandwidth.
func (s *Shard) fetchTime(name string) time.Duration {
	in := s.loadTime(name)
	if !s.isStoreRemote() || s.settings.LinkBytesPerSecond == 0 {
		return in
	}
	crossing := float64(s.modelConfig(name).MemoryBytes) / s.settings.LinkBytesPerSecond
	return max(in, time.Duration(crossing*float64(time.Second)))
}
