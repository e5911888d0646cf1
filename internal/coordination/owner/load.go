package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// loadReplica plans one more replica of the model if there is a target with room, a
// permit and, for a load from the weight store, a slot. Without a target the shard takes
// no permit, because another shard may be able to use it.
func (s *Shard) loadReplica(m *model, v policy.ModelView) {
	if s.isEvictionPending(m.eviction) {
		return
	}
	placement := s.choosePlacement(v)
	t := s.targets[placement.Target]
	m.refusal, m.refusedAt = placement.Refused, s.now
	if placement.Refused != "" || t == nil {
		delete(s.permits.requested, m.name)
		return
	}
	if s.availablePermits(m.name) < 1 {
		s.requestPermits(m.name, s.permits.held[m.name]+1)
		return
	}
	isPreload := v.Waiting+v.Running+v.Queued+v.Min == 0
	if len(placement.Evict) > 0 && isPreload {
		// A preload evicts nothing.
		return
	}
	if len(placement.Evict) > 0 {
		m.eviction = s.evict(m.name, t, placement.Evict)
		return
	}
	if t.freeBytes() < v.MemoryBytes || !t.isUsable(s.now, s.maxReportAge()) {
		m.refusal = "the chosen target has too little free memory"
		return
	}
	fromStore := s.tier(t, m.name) == ports.TierRemote
	if fromStore && !s.takeStoreSlot() {
		return
	}
	if isPreload {
		m.lastPreload = s.now
	}
	s.planReplica(m, t, fromStore)
}

// choosePlacement selects a target with room for the model and its largest adapter or, if
// there is none, for the model alone.
//
// A target that is filled completely by models has no room for their adapters. Callers
// that wait for an adapter keep its replica busy, so with two such models on one target
// neither is evicted for the other's adapter, and the callers of both wait until another
// replica is loaded elsewhere.
func (s *Shard) choosePlacement(v policy.ModelView) policy.Placement {
	targets := s.targetViews(v.Model)
	withAdapter := v
	withAdapter.MemoryBytes += s.largestAdapter[v.Model]
	placement := s.policies.Place.Decide(s.now, policy.PlaceInput{Model: withAdapter, Targets: targets})
	if placement.Refused == "" && len(placement.Evict) == 0 {
		return placement
	}
	return s.policies.Place.Decide(s.now, policy.PlaceInput{Model: v, Targets: targets})
}

// largestAdapters returns the memory in bytes of each model's largest adapter.
func largestAdapters(c *config.Config) map[string]uint64 {
	sizes := make(map[string]uint64)
	for _, a := range c.Adapters {
		sizes[a.Model] = max(sizes[a.Model], a.MemoryBytes)
	}
	return sizes
}

// maxReportAge returns how old a target's report may be for a load to be planned on it.
func (s *Shard) maxReportAge() time.Duration {
	return max(minMaxReportAge, 3*s.settings.ReportEvery)
}

const minMaxReportAge = 10 * time.Second

func (s *Shard) planReplica(m *model, t *target, fromStore bool) {
	c := s.config.Models[m.name]
	s.lastReplica++
	r := &replica{decidedThisTerm: true, decidedAt: s.now, lastUsed: s.now, adapters: make(map[string]*adapter)}
	r.Replica = place.Replica{
		ID:          s.replicaID(),
		Model:       m.name,
		Revision:    c.Revision,
		Checkpoint:  c.Checkpoint,
		MemoryBytes: c.MemoryBytes,
		Concurrency: c.Concurrency,
		Phase:       place.PhaseDecided,
		FromStore:   fromStore,
	}
	t.replicas[r.ID] = r
	r.seq = s.recordSender(&r.Loads, &r.delivery)
	if fromStore && s.isStoreRemote() {
		// The callers allowed one load over the link, not further ones after it.
		m.linkLoadUntil = time.Time{}
		s.report(KindLoadAcross, m.name, "%d bytes over the link to %s", c.MemoryBytes, t.id)
	}
	m.demandSince = time.Time{}
}

func (s *Shard) targetViews(name string) []policy.TargetView {
	var views []policy.TargetView
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		if !t.isUsable(s.now, s.maxReportAge()) || (t.ignoresFence && !s.isLeaseSafe()) {
			continue
		}
		if s.tier(t, name) == ports.TierRemote && !s.canFetch(name) {
			continue
		}
		v := policy.TargetView{Target: id, FreeBytes: t.freeBytes(), TotalBytes: t.state.MemoryBytes, Tier: s.tier(t, name)}
		for _, rid := range t.replicaIDs() {
			r := t.replicas[rid]
			if r.Phase != place.PhaseUnloading && !r.isReady() {
				v.Loading++
			}
			if r.isReady() {
				v.Running += r.seen.Running
			}
		}
		v.Evictable = s.evictables(t, name, s.config.Models[name].MemoryBytes)
		views = append(views, v)
	}
	return views
}

func (s *Shard) isEvictable(r *replica, name string) bool {
	if !r.isReady() || !r.isIdle() || r.Model == name {
		return false
	}
	if s.now.Sub(r.readyAt) < evictGracePeriod || s.now.Sub(r.lastUsed) < evictGracePeriod {
		return false
	}
	return s.plannedReplicas(r.Model) > s.minReplicas(r.Model)
}

func (s *Shard) replicaView(t *target, r *replica) policy.ReplicaView {
	v := s.modelView(s.model(r.Model))
	v.LastUsed = r.lastUsed
	return policy.ReplicaView{
		Replica:    r.ID,
		Target:     t.id,
		Model:      v,
		LoadedAt:   r.readyAt,
		ReloadTime: s.loadTime(r.Model),
		Busy:       !r.isIdle(),
	}
}

func (s *Shard) loadTime(name string) time.Duration {
	if t := s.model(name).loadTime; t > 0 {
		return t
	}
	if t := time.Duration(s.modelConfig(name).LoadTime); t > 0 {
		return t
	}
	return defaultLoadTime
}

// modelConfig returns the configuration of a model, which is empty while the shard has
// none: it may take over a plan with loads before its entry has read one.
func (s *Shard) modelConfig(name string) config.Model {
	if s.config == nil {
		return config.Model{}
	}
	return s.config.Models[name]
}

// defaultLoadTime is the estimate for a model that was never loaded and has no configured
// load time.
const defaultLoadTime = 10 * time.Second
