package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Status is the state of a shard as shown to operators.
type Status struct {
	Zone  string      `json:"zone"`
	Shard int         `json:"shard"`
	Stage string      `json:"stage"`
	Epoch ports.Epoch `json:"epoch"`
	Owner string      `json:"owner,omitempty"`
	// LeaseLeft is the time for which the lease certainly remains valid.
	LeaseLeft time.Duration `json:"leaseLeftNanos"`
	// OffPlan means that orders are sent before the plan with them is written, because of
	// an outage of the KV service.
	OffPlan bool `json:"offPlan"`
	// Unwritten is the number of changes of the plan that are not written yet.
	Unwritten uint64          `json:"unwritten"`
	Permits   map[string]int  `json:"permits,omitempty"`
	Targets   []TargetStatus  `json:"targets,omitempty"`
	Replicas  []ports.Replica `json:"replicas,omitempty"`
}

// TargetStatus is the state of a target as shown to operators.
type TargetStatus struct {
	ID           string        `json:"id"`
	Boot         string        `json:"boot"`
	IgnoresFence bool          `json:"ignoresFence"`
	FenceRaised  bool          `json:"raised"`
	Leaving      bool          `json:"leaving"`
	Draining     bool          `json:"draining"`
	Listed       bool          `json:"listed"`
	SilentFor    time.Duration `json:"silentNanos"`
	MemoryBytes  uint64        `json:"memoryBytes"`
	ChargedBytes uint64        `json:"chargedBytes"`
	Replicas     int           `json:"replicas"`
	// Adapters counts the adapters charged to the replicas.
	Adapters int `json:"adapters"`
	// Unresolved counts the replicas with a load order that may still arrive, either
	// their own or that of an adapter.
	Unresolved int `json:"unresolved"`
}

// Status returns the state of the shard. It must be called between two steps.
func (s *Shard) Status() Status {
	st := Status{
		Zone:      s.settings.Zone,
		Shard:     s.settings.Shard,
		Stage:     string(s.stage),
		Epoch:     s.ownership.epoch,
		OffPlan:   s.canOrderUnwritten(),
		Unwritten: s.writer.lastChange - s.writer.lastWritten,
		Permits:   make(map[string]int),
	}
	if s.stage != stageOwned && s.stage != stageReleasing {
		st.Owner = s.gossipedOwner()
		return st
	}
	st.Owner = s.settings.Self.ID
	if s.isLeaseSafe() {
		st.LeaseLeft = s.leaseSafeUntil().Sub(s.now)
	}
	for resource, n := range s.permits.held {
		st.Permits[resource] = n
	}
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		st.Targets = append(st.Targets, s.targetStatus(t))
		for _, rid := range t.replicaIDs() {
			st.Replicas = append(st.Replicas, s.row(t, t.replicas[rid]))
		}
	}
	return st
}

func (s *Shard) targetStatus(t *target) TargetStatus {
	st := TargetStatus{
		ID:           t.id,
		Boot:         t.boot,
		IgnoresFence: t.ignoresFence,
		FenceRaised:  t.fenceRaised,
		Leaving:      t.isLeaving(),
		Draining:     t.draining,
		Listed:       t.listed,
		SilentFor:    s.silentFor(t),
		ChargedBytes: t.chargedBytes(),
		Replicas:     len(t.replicas),
	}
	if t.state != nil {
		st.MemoryBytes = t.state.MemoryBytes
	}
	for _, r := range t.replicas {
		st.Adapters += len(r.adapters)
		if r.hasUnresolvedOrder() || r.Phase == place.PhaseDecided {
			st.Unresolved++
		}
	}
	return st
}

func (s *Shard) silentFor(t *target) time.Duration {
	if t.lastReplyAt.IsZero() {
		return s.now.Sub(s.ownership.startedAt)
	}
	return s.now.Sub(t.lastReplyAt)
}
