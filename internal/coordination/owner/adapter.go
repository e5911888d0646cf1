package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// adapterRetry is the wait after an adapter's load was refused or lost.
const adapterRetry = time.Second

// nextAdapter loads an adapter that callers wait for. Its memory is charged by
// the plan before the order and until the replica is gone.
func (s *Shard) nextAdapter(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	if s.config == nil {
		return ports.Order{}, nil, false
	}
	s.chargeAdapters(t, r)
	for _, name := range slices.Sorted(maps.Keys(r.adapters)) {
		a := r.adapters[name]
		c, known := s.config.Adapters[name]
		if !known || slices.Contains(r.seen.Adapters, name) || s.now.Before(a.retryAt) {
			continue
		}
		if !s.mayOrder(t, a.seq) || s.adapterLoads() >= s.settings.AdapterLoads {
			continue
		}
		a.retryAt = s.now.Add(adapterRetry)
		o := ports.Order{Kind: ports.OrderLoadAdapter, Replica: r.ID, Model: r.Model, Adapter: name, Checkpoint: c.Checkpoint, MemoryBytes: c.MemoryBytes}
		return o, nil, true
	}
	return ports.Order{}, nil, false
}

// chargeAdapters charges the adapters that are waited for on a ready replica.
func (s *Shard) chargeAdapters(t *target, r *replica) {
	m := s.model(r.Model)
	for _, from := range slices.Sorted(maps.Keys(m.demands)) {
		d := m.demands[from]
		c, known := s.config.Adapters[d.adapter]
		if d.adapter == "" || !known || c.Model != r.Model || s.now.After(d.until) {
			continue
		}
		if a := r.adapters[d.adapter]; a != nil {
			a.lastUsed = s.now
			continue
		}
		if slices.Contains(r.seen.Adapters, d.adapter) {
			continue
		}
		if t.free() < c.MemoryBytes {
			s.makeRoom(t, r.Model, c.MemoryBytes)
			continue
		}
		if r.Adapters == nil {
			r.Adapters = make(map[string]uint64)
		}
		r.Adapters[d.adapter] = c.MemoryBytes
		r.adapters[d.adapter] = &adapter{seq: s.changed(), lastUsed: s.now}
	}
}

// makeRoom unloads the longest idle replica for an adapter that does not fit,
// unless one is on its way out already. Single adapters are not unloaded: which
// of them serve requests is not in a target's account.
func (s *Shard) makeRoom(t *target, name string, bytes uint64) {
	var oldest *replica
	for _, id := range t.replicaIDs() {
		r := t.replicas[id]
		if r.Phase == place.PhaseUnloading {
			return
		}
		if s.isEvictable(r, name) && (oldest == nil || r.lastUsed.Before(oldest.lastUsed)) {
			oldest = r
		}
	}
	if oldest != nil && t.free()+oldest.charge() >= bytes {
		s.unload(oldest)
	}
}

// adapterLoads counts the adapter loads in flight in the shard.
func (s *Shard) adapterLoads() int {
	n := 0
	for _, t := range s.targets {
		if t.state != nil {
			n += t.state.AdapterLoads
		}
	}
	return n
}
