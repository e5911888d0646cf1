package owner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
)

// unloadUnneeded unloads idle replicas after their keep-alive, replicas of models that
// were removed or have another revision, those on leaving targets, and those above a
// lowered maximum. An unloading replica finishes its requests first; then its permit can
// be used for a load elsewhere.
func (s *Shard) unloadUnneeded() {
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		for _, rid := range t.replicaIDs() {
			r := t.replicas[rid]
			if t.isConfirmedLeaving() || (r.isReady() && s.isUnneeded(r)) {
				s.markUnloading(r)
			}
			if r.isReady() {
				s.unloadUnusedAdapters(r)
			}
		}
	}
	for _, name := range slices.Sorted(maps.Keys(s.permits.quota)) {
		s.unloadAbove(name, s.permits.quota[name])
	}
}

func (s *Shard) isUnneeded(r *replica) bool {
	if c, known := s.config.Models[r.Model]; !known || c.Revision != r.Revision || c.Checkpoint != r.Checkpoint {
		return true
	}
	if !r.isIdle() || s.now.Sub(r.lastUsed) < time.Second {
		return false
	}
	m := s.model(r.Model)
	if waiting, _ := m.waitingCallers(s.now); waiting > 0 {
		return false
	}
	if s.plannedReplicas(r.Model) <= s.minReplicas(r.Model) || s.home.preload[r.Model] {
		return false
	}
	v := s.modelView(m)
	v.LastUsed = r.lastUsed
	return s.now.Sub(r.lastUsed) >= s.policies.KeepAlive.Decide(s.now, v)
}

// unloadAbove unloads the replicas above the quota that a lowered maximum leaves to this
// shard, idle ones first.
func (s *Shard) unloadAbove(name string, quota int) {
	var staying []*replica
	for _, r := range s.replicasOf(name) {
		if r.Phase != place.PhaseUnloading {
			staying = append(staying, r)
		}
	}
	slices.SortStableFunc(staying, func(a, b *replica) int {
		if a.isIdle() != b.isIdle() {
			if a.isIdle() {
				return -1
			}
			return 1
		}
		return cmp.Compare(a.lastUsed.UnixNano(), b.lastUsed.UnixNano())
	})
	for i := 0; i < len(staying)-quota; i++ {
		s.markUnloading(staying[i])
	}
}
