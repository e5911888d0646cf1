package owner

import (
	"maps"
	"reflect"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// table is the state of the shard's rows in the routing table as last published.
type table struct {
	rows map[string]ports.Replica
	// full requests a notification with all rows.
	full bool
	// failed are rows of failed loads, which are published once.
	failed []ports.Replica
}

// addFailed publishes a failed load once.
func (t *table) addFailed(s *Shard, on *target, r *replica, reason string) {
	row := s.row(on, r)
	row.Phase = ports.PhaseFailed
	row.Reason = reason
	row.ReadyIn = 0
	t.failed = append(t.failed, row)
}

// publishTable publishes the rows that have changed. A change of the estimates alone is
// not published.
func (s *Shard) publishTable() {
	note := TableChanged{Shard: s.settings.Shard, Whole: s.table.full, Replicas: s.table.failed}
	scope := s.targetsToReview()
	for _, id := range scope {
		t := s.targets[id]
		for _, rid := range t.replicaIDs() {
			row := s.row(t, t.replicas[rid])
			old, known := s.table.rows[rid]
			if s.table.full || !known || !sameRow(old, row) {
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
	s.table.full, s.table.failed = false, nil
	if note.Whole || len(note.Replicas) > 0 || len(note.Removed) > 0 {
		s.notify(note)
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

// phase returns the phase shown to routers. Before the first report after a takeover it
// is derived from the plan.
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
