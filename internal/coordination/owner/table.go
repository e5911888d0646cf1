package owner

import (
	"maps"
	"reflect"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// table is what was last told of the shard's replicas.
type table struct {
	rows map[string]ports.Replica
	// whole asks for a note of all rows.
	whole bool
	// failed are rows that are told once.
	failed []ports.Replica
}

// fail tells of a failed load once.
func (t *table) fail(s *Shard, on *target, r *replica, reason string) {
	row := s.row(on, r)
	row.Phase = ports.PhaseFailed
	row.Reason = reason
	row.ReadyIn = 0
	t.failed = append(t.failed, row)
}

// publish tells of the rows that changed. Estimates alone are no change.
func (s *Shard) publish() {
	note := TableChanged{Shard: s.settings.Shard, Whole: s.table.whole, Replicas: s.table.failed}
	scope := s.scope()
	for _, id := range scope {
		t := s.targets[id]
		for _, rid := range t.replicaIDs() {
			row := s.row(t, t.replicas[rid])
			old, known := s.table.rows[rid]
			if s.table.whole || !known || !sameRow(old, row) {
				note.Replicas = append(note.Replicas, row)
				s.table.rows[rid] = row
			}
		}
	}
	for _, id := range slices.Sorted(maps.Keys(s.table.rows)) {
		if !s.isPlanned(s.table.rows[id].Target, id) {
			note.Removed = append(note.Removed, id)
			delete(s.table.rows, id)
		}
	}
	s.table.whole, s.table.failed = false, nil
	if note.Whole || len(note.Replicas) > 0 || len(note.Removed) > 0 {
		s.note(note)
	}
}

func (s *Shard) isPlanned(targetID, replicaID string) bool {
	t := s.targets[targetID]
	return t != nil && t.replicas[replicaID] != nil
}

func sameRow(a, b ports.Replica) bool {
	a.ReadyIn = b.ReadyIn
	return reflect.DeepEqual(a, b)
}

func (s *Shard) row(t *target, r *replica) ports.Replica {
	row := ports.Replica{
		ID:          r.ID,
		Model:       r.Model,
		Revision:    r.Revision,
		Target:      t.id,
		Addr:        t.instance.Addr,
		Zone:        s.settings.Zone,
		Region:      s.settings.Region,
		Shard:       s.settings.Shard,
		Phase:       r.phase(),
		Concurrency: r.Concurrency,
		Leaving:     t.isLeaving(),
	}
	if r.seen != nil {
		row.Adapters = r.servedAdapters()
		row.Running, row.Queued = r.seen.Running, r.seen.Queued
	}
	if row.Phase == ports.PhaseLoading {
		row.ReadyIn = s.replicaReadyIn(r)
	}
	return row
}

// phase is the replica's phase as routers see it: before the first report after
// a takeover, the plan's word stands for the target's.
func (r *replica) phase() ports.ReplicaPhase {
	switch {
	case r.Phase == place.PhaseUnloading:
		return ports.PhaseUnloading
	case r.seen != nil:
		return r.seen.Phase
	case r.Phase == place.PhaseConfirmed:
		return ports.PhaseReady
	}
	return ports.PhaseLoading
}
