package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// load decides one more replica of the model if a place, a permit and, for a
// load from the weight store, a slot are there. A shard without a place takes
// no permit, which another shard may have a use for.
func (s *Shard) load(m *model, v policy.ModelView) {
	if s.areThere(m.evicting) {
		return
	}
	placed := s.place(v)
	t := s.targets[placed.Target]
	m.refused, m.refusedAt = placed.Refused, s.now
	if placed.Refused != "" || t == nil {
		delete(s.permits.wants, m.name)
		return
	}
	if s.available(m.name) < 1 {
		s.acquire(m.name, s.permits.held[m.name]+1)
		return
	}
	ahead := v.Waiting+v.Running+v.Queued+v.Min == 0
	if len(placed.Evict) > 0 && ahead {
		// A load ahead of use takes nobody's place.
		return
	}
	if len(placed.Evict) > 0 {
		m.evicting = s.evict(m.name, t, placed.Evict)
		return
	}
	if t.free() < v.MemoryBytes || !t.isUsable(s.now, s.usableFor()) {
		m.refused = "the chosen target has no room"
		return
	}
	fromStore := s.tier(t, m.name) == ports.TierRemote
	if fromStore && !s.takeSlot() {
		return
	}
	if ahead {
		m.lastPreload = s.now
	}
	s.decide(m, t, fromStore)
}

// place chooses a target with room for the model and for its largest adapter
// beside it, or where there is none for the model alone.
//
// A target that models fill to the last byte has no room for their adapters.
// Callers who wait for one keep its replica busy, so with two such models on a
// target neither makes room for the other's adapter, and both groups of callers
// wait until a further replica comes elsewhere.
func (s *Shard) place(v policy.ModelView) policy.Placement {
	targets := s.targetViews(v.Model)
	roomy := v
	roomy.MemoryBytes += s.adapterRoom[v.Model]
	placed := s.policies.Place.Decide(s.now, policy.PlaceInput{Model: roomy, Targets: targets})
	if placed.Refused == "" && len(placed.Evict) == 0 {
		return placed
	}
	return s.policies.Place.Decide(s.now, policy.PlaceInput{Model: v, Targets: targets})
}

// adapterRooms returns the size of each model's largest adapter.
func adapterRooms(c *config.Config) map[string]uint64 {
	rooms := make(map[string]uint64)
	for _, a := range c.Adapters {
		rooms[a.Model] = max(rooms[a.Model], a.MemoryBytes)
	}
	return rooms
}

// usableFor is how old a target's account may be for a load to be decided on it.
func (s *Shard) usableFor() time.Duration {
	return max(minUsableFor, 3*s.settings.ReportEvery)
}

const minUsableFor = 10 * time.Second

func (s *Shard) decide(m *model, t *target, fromStore bool) {
	c := s.config.Models[m.name]
	s.lastReplica++
	r := &replica{mine: true, decidedAt: s.now, lastUsed: s.now, adapters: make(map[string]*adapter)}
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
	r.seq = s.stamp(&r.Loads, &r.delivery)
	if fromStore && s.isFar() {
		// What callers allowed was one load, not a further replica after it.
		m.acrossUntil = time.Time{}
		s.happened(KindLoadAcross, m.name, "%d bytes over the link to %s", c.MemoryBytes, t.id)
	}
	m.since = time.Time{}
}

func (s *Shard) targetViews(name string) []policy.TargetView {
	var views []policy.TargetView
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		if !t.isUsable(s.now, s.usableFor()) || (t.ignoresFence && !s.isSafe()) {
			continue
		}
		if s.tier(t, name) == ports.TierRemote && !s.mayFetch(name) {
			continue
		}
		v := policy.TargetView{Target: id, FreeBytes: t.free(), TotalBytes: t.state.MemoryBytes, Tier: s.tier(t, name)}
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
	if s.now.Sub(r.readyAt) < evictHold || s.now.Sub(r.lastUsed) < evictHold {
		return false
	}
	return s.decided(r.Model) > s.minimum(r.Model)
}

func (s *Shard) replicaView(t *target, r *replica) policy.ReplicaView {
	v := s.view(s.model(r.Model))
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
	if t := time.Duration(s.config.Models[name].LoadTime); t > 0 {
		return t
	}
	return defaultLoadTime
}

// defaultLoadTime is the estimate for a model that was never loaded and names none.
const defaultLoadTime = 10 * time.Second
