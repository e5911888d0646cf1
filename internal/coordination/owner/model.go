package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// model is what a shard tracks about one model: its waiting callers, its use and its
// loads.
type model struct {
	name string
	// demands are the waiting callers, by the reporting entry and adapter.
	demands map[demandKey]demand
	// eviction frees memory for the next replica.
	eviction eviction

	lastUsed time.Time
	useGaps  []time.Duration
	// lastPreload is when the model was last loaded without waiting callers.
	lastPreload time.Time
	// loadTime is the latest measured duration of a load from the weight store.
	loadTime time.Duration

	failures int
	retryAt  time.Time
	// loadedAt is when the latest load finished.
	loadedAt   time.Time
	failReason string
	// refusal is the reason why the placement found no target, and refusedAt the time of
	// that decision.
	refusal   string
	refusedAt time.Time
	// demandSince is when the demand began that no load has been planned for.
	demandSince time.Time
	// linkLoadUntil is until when callers allow a load over the link between regions.
	linkLoadUntil time.Time
	// pressure measures the overload of the ready replicas.
	pressure policy.Pressure
}

// demandKey identifies the callers at one entry that wait for a model without an adapter,
// or for one of its adapters. An entry reports these groups separately.
type demandKey struct{ from, adapter string }

type demand struct {
	waiting  int
	deadline time.Time
}

// pendingDemand is a DemandAsked event that has not been answered yet.
type pendingDemand struct {
	id      uint64
	model   string
	adapter string
	at      time.Time
}

const (
	// propagationDelay is how long it takes until the entries know of a new replica and have
	// repeated their demands.
	propagationDelay = time.Second
	// maxGaps is the number of intervals between uses that are kept for the policies.
	maxGaps = 16
	// minFailBackoff is the delay after the first failed load; it doubles with each
	// further one.
	minFailBackoff = 2 * time.Second
	// maxFailBackoff is the maximum delay after failed loads.
	maxFailBackoff = 5 * time.Minute
	// evictGracePeriod protects a replica from eviction after it has become ready or was
	// used, because the callers that wait for it need a moment to arrive.
	evictGracePeriod = 3 * time.Second
)

func (s *Shard) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name, demands: make(map[demandKey]demand)}
		s.models[name] = m
	}
	return m
}

// reset drops the state of an ownership term and keeps what was learned about the model's
// use.
func (m *model) reset() {
	clear(m.demands)
	m.refusal = ""
	m.eviction = eviction{}
	m.demandSince = time.Time{}
	m.linkLoadUntil = time.Time{}
}

func (m *model) waitingCallers(now time.Time) (int, time.Time) {
	n := 0
	var first time.Time
	for from, d := range m.demands {
		if now.After(d.deadline) {
			delete(m.demands, from)
			continue
		}
		n += d.waiting
		first = earlier(first, d.deadline)
	}
	if n == 0 {
		m.demandSince = time.Time{}
	}
	return n, first
}

func (s *Shard) handleDemand(e DemandAsked) {
	d := e.Demand
	s.pendingDemands = append(s.pendingDemands, pendingDemand{id: e.ID, model: d.Model, adapter: d.Adapter, at: s.now})
	if s.config != nil && s.unservableReason(d.Model, d.Adapter) != "" {
		return
	}
	if s.stage == stageOwned && s.config != nil {
		if reply, ok := s.refuseLoad(d); ok {
			s.pendingDemands = s.pendingDemands[:len(s.pendingDemands)-1]
			s.notify(DemandAnswered{ID: e.ID, Reply: reply})
			return
		}
	}
	m := s.model(d.Model)
	s.recordUse(m)
	if s.stage == stageOwned && d.Waiting > 0 && (d.Adapter != "" || !s.isJustLoaded(m)) {
		m.demands[demandKey{d.From, d.Adapter}] = demand{waiting: d.Waiting, deadline: s.now.Add(d.Within)}
		if d.Adapter != "" {
			s.queueAdapter(d)
		}
		if m.demandSince.IsZero() {
			m.demandSince = s.now
		}
		s.demandedModels[d.Model] = true
	}
}

// isJustLoaded reports whether a replica of the model became ready so recently that a
// demand most likely counts callers that can be served by now. In a burst all entries
// repeat their demands in step, once a second. Demands that were in transit when the load
// finished would count as an overload until their callers' deadline and cause another
// load. Entries whose callers still wait send the demand again.
func (s *Shard) isJustLoaded(m *model) bool {
	if m.loadedAt.IsZero() || s.now.Sub(m.loadedAt) >= propagationDelay {
		return false
	}
	return slices.ContainsFunc(s.replicasOf(m.name), (*replica).isReady)
}

// recordUse records a use of the model.
func (s *Shard) recordUse(m *model) {
	if !m.lastUsed.IsZero() && s.now.Sub(m.lastUsed) >= time.Second {
		m.useGaps = append(m.useGaps, s.now.Sub(m.lastUsed))
		m.useGaps = m.useGaps[max(0, len(m.useGaps)-maxGaps):]
	}
	m.lastUsed = s.now
}

func (s *Shard) recordReplicaUse(r *replica, rs *ports.ReplicaState) {
	if rs.Running > 0 || rs.Queued > 0 || (r.seen != nil && rs.Served != r.seen.Served) {
		s.recordUse(s.model(r.Model))
	}
}

func (s *Shard) recordLoad(r *replica) {
	m := s.model(r.Model)
	// The callers that waited can be served now; an entry with callers that still wait
	// repeats its demand.
	clear(m.demands)
	m.loadedAt = s.now
	m.failures = 0
	m.retryAt = time.Time{}
	if r.decidedThisTerm && r.FromStore {
		m.loadTime = s.now.Sub(r.decidedAt)
	}
}

func (s *Shard) recordLoadFailure(name, reason string) {
	m := s.model(name)
	m.failReason = reason
	wait := min(minFailBackoff<<min(m.failures, 10), maxFailBackoff)
	m.failures++
	m.retryAt = s.now.Add(wait + s.jitter(wait/4))
}

// maxPermits returns how many permits of a resource exist in the whole deployment: the
// maximum number of replicas of a model, or the slots of the weight store.
func (s *Shard) maxPermits(name string) int {
	return s.maxPermitsIn(s.config, name)
}

func (s *Shard) maxPermitsIn(c *config.Config, name string) int {
	if name == permit.Store {
		return s.settings.StoreSlots
	}
	if c == nil {
		return 0
	}
	if _, known := c.Models[name]; !known {
		return 0
	}
	if rule, ok := c.Rules[name]; ok {
		return rule.MaxReplicas
	}
	return s.settings.DefaultMaxReplicas
}

// minReplicas returns how many replicas this shard keeps loaded: the model's minimum in
// its home shard, none elsewhere.
func (s *Shard) minReplicas(name string) int {
	return s.home.minReplicas[name]
}

func (s *Shard) replicasOf(name string) []*replica {
	var found []*replica
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		for _, rid := range t.replicaIDs() {
			if r := t.replicas[rid]; r.Model == name {
				found = append(found, r)
			}
		}
	}
	return found
}

func (s *Shard) modelView(m *model) policy.ModelView {
	c := s.config.Models[m.name]
	waiting, first := m.waitingCallers(s.now)
	v := policy.ModelView{
		Model:         m.name,
		MemoryBytes:   c.MemoryBytes,
		LoadTime:      time.Duration(c.LoadTime),
		LastUsed:      m.lastUsed,
		Gaps:          m.useGaps,
		KeepAlive:     time.Duration(s.config.Rules[m.name].KeepAlive),
		Waiting:       waiting,
		FirstDeadline: first,
		Max:           s.maxPermits(m.name),
		Min:           s.minReplicas(m.name),
		Concurrency:   c.Concurrency,
	}
	for _, r := range s.replicasOf(m.name) {
		if r.isReady() {
			v.Ready++
			v.Running += r.seen.Running
			v.Queued += r.seen.Queued
		}
	}
	v.PressedFor = m.pressure.Observe(s.now, v)
	return v
}

// reviewModels unloads replicas that are not needed and plans the loads that are.
func (s *Shard) reviewModels() {
	if s.config == nil {
		return
	}
	if s.reviewDue {
		s.reviewDue = false
		s.removeGoneTargets()
		s.updatePreload()
		s.prefetchPermits()
		s.unloadUnneeded()
	}
	s.loadQueuedAdapters()
	models := s.modelsToLoad()
	if len(models) == 0 {
		return
	}
	requests := make([]policy.LoadRequest, len(models))
	for i, m := range models {
		requests[i] = policy.LoadRequest{Model: s.modelView(m), Since: m.demandSince, Tier: s.bestTier(m.name)}
	}
	for _, i := range s.policies.Order.Decide(s.now, requests) {
		s.loadReplica(models[i], requests[i].Model)
	}
}

// modelsToLoad returns the models that should have more replicas than are planned.
func (s *Shard) modelsToLoad() []*model {
	names := make(map[string]bool)
	for name := range s.demandedModels {
		if n, _ := s.model(name).waitingCallers(s.now); n > 0 {
			names[name] = true
		} else {
			delete(s.demandedModels, name)
		}
	}
	for name := range s.home.minReplicas {
		names[name] = true
	}
	for _, t := range s.targets {
		for _, r := range t.replicas {
			if r.isReady() && !r.isIdle() {
				names[r.Model] = true
			}
		}
	}
	if len(names) == 0 {
		// Preloads wait until no other model needs a replica.
		maps.Copy(names, s.home.preload)
	}
	var models []*model
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if m := s.model(name); s.plannedReplicas(name) < s.wantedReplicas(m) && !s.now.Before(m.retryAt) {
			models = append(models, m)
		}
	}
	return models
}

// wantedReplicas returns how many replicas of the model this shard should have.
func (s *Shard) wantedReplicas(m *model) int {
	if _, known := s.config.Models[m.name]; !known {
		return 0
	}
	v := s.modelView(m)
	want := s.policies.Scale.Decide(s.now, policy.ScaleInput{Model: v})
	if v.Waiting > 0 || s.home.preload[m.name] {
		want = max(want, 1)
	}
	return min(max(want, v.Min), v.Max)
}

// plannedReplicas counts the planned replicas of a model, without those that are
// unloading or on a leaving target.
func (s *Shard) plannedReplicas(name string) int {
	n := 0
	for _, t := range s.targets {
		for _, r := range t.replicas {
			if r.Model == name && r.Phase != place.PhaseUnloading && !t.isLeaving() {
				n++
			}
		}
	}
	return n
}

func (s *Shard) bestTier(name string) ports.Tier {
	best := ports.TierRemote
	for _, t := range s.targets {
		switch s.tier(t, name) {
		case ports.TierMemory:
			return ports.TierMemory
		case ports.TierDisk:
			best = ports.TierDisk
		case ports.TierRemote:
		}
	}
	return best
}

func (s *Shard) tier(t *target, name string) ports.Tier {
	if t.state != nil {
		if tier, ok := t.state.Cached[s.config.Models[name].Checkpoint]; ok {
			return tier
		}
	}
	return ports.TierRemote
}

// adapterConfig returns the configuration of an adapter, or the zero value if there is
// none.
func (s *Shard) adapterConfig(name string) config.Adapter {
	if s.config == nil {
		return config.Adapter{}
	}
	return s.config.Adapters[name]
}
