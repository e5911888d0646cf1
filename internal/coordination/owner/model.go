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

// model is what a shard knows of one model's use.
type model struct {
	name string
	// demands are the callers who wait, by who told of them and for what.
	demands map[demandKey]demand
	// evicting is what makes room for the next replica.
	evicting evicting

	lastUsed time.Time
	gaps     []time.Duration
	// lastPreload is when the model was last loaded with nobody waiting.
	lastPreload time.Time
	// loadTime is the latest measured time of a load from the weight store.
	loadTime time.Duration

	failures int
	retryAt  time.Time
	// loadedAt is when the latest load was done.
	loadedAt time.Time
	reason   string
	// refused says why the placement found no target, at refusedAt.
	refused   string
	refusedAt time.Time
	// since is when the demand began that no load has been decided for.
	since time.Time
	// acrossUntil is until when callers allow a load over the link.
	acrossUntil time.Time
	// pressure measures the overload of the ready replicas.
	pressure policy.Pressure
}

// demandKey tells apart the callers of an entry who wait for the model alone and
// for each of its adapters, of which the entry tells one by one.
type demandKey struct{ from, adapter string }

type demand struct {
	waiting int
	until   time.Time
}

// ask is a DemandAsked without an answer yet.
type ask struct {
	id      uint64
	model   string
	adapter string
	at      time.Time
}

const (
	// newsTime is how long the entries take to hear of a replica and to repeat a
	// demand.
	newsTime = time.Second
	// gapsKept bounds the gaps between uses that policies see.
	gapsKept = 16
	// failBackoffFirst and failBackoffLimit bound the wait after failed loads.
	failBackoffFirst = 2 * time.Second
	failBackoffLimit = 5 * time.Minute
	// evictHold spares a replica that has just become ready or was just used:
	// who waits for it needs a moment to come.
	evictHold = 3 * time.Second
)

func (s *Shard) model(name string) *model {
	m := s.models[name]
	if m == nil {
		m = &model{name: name, demands: make(map[demandKey]demand)}
		s.models[name] = m
	}
	return m
}

// reset drops what belongs to a tenure and keeps what was learned of the use.
func (m *model) reset() {
	clear(m.demands)
	m.refused = ""
	m.evicting = evicting{}
	m.since = time.Time{}
	m.acrossUntil = time.Time{}
}

func (m *model) waiting(now time.Time) (int, time.Time) {
	n := 0
	var first time.Time
	for from, d := range m.demands {
		if now.After(d.until) {
			delete(m.demands, from)
			continue
		}
		n += d.waiting
		first = earlier(first, d.until)
	}
	if n == 0 {
		m.since = time.Time{}
	}
	return n, first
}

func (s *Shard) takeDemand(e DemandAsked) {
	d := e.Demand
	s.asks = append(s.asks, ask{id: e.ID, model: d.Model, adapter: d.Adapter, at: s.now})
	if s.config != nil && s.unservable(d.Model, d.Adapter) != "" {
		return
	}
	if s.stage == stageOwned && s.config != nil {
		if reply, ok := s.beyond(d); ok {
			s.asks = s.asks[:len(s.asks)-1]
			s.note(DemandAnswered{ID: e.ID, Reply: reply})
			return
		}
	}
	m := s.model(d.Model)
	s.touch(m)
	if s.stage == stageOwned && d.Waiting > 0 && (d.Adapter != "" || !s.isNews(m)) {
		m.demands[demandKey{d.From, d.Adapter}] = demand{waiting: d.Waiting, until: s.now.Add(d.Within)}
		if d.Adapter != "" {
			s.awaitAdapter(d)
		}
		if m.since.IsZero() {
			m.since = s.now
		}
		s.demanded[d.Model] = true
	}
}

// isNews tells whether a replica of the model has become ready so lately that a
// demand most likely tells of callers who have a place by now. Demands of a burst
// come in step, each second from every entry: those that were on their way when the
// load was done would count as an overload until their callers' deadline, and make
// another load. Who still waits tells again.
func (s *Shard) isNews(m *model) bool {
	if m.loadedAt.IsZero() || s.now.Sub(m.loadedAt) >= newsTime {
		return false
	}
	return slices.ContainsFunc(s.replicasOf(m.name), (*replica).isReady)
}

// touch records a use of the model.
func (s *Shard) touch(m *model) {
	if !m.lastUsed.IsZero() && s.now.Sub(m.lastUsed) >= time.Second {
		m.gaps = append(m.gaps, s.now.Sub(m.lastUsed))
		m.gaps = m.gaps[max(0, len(m.gaps)-gapsKept):]
	}
	m.lastUsed = s.now
}

func (s *Shard) used(r *replica, rs *ports.ReplicaState) {
	if rs.Running > 0 || rs.Queued > 0 || (r.seen != nil && rs.Served != r.seen.Served) {
		s.touch(s.model(r.Model))
	}
}

func (s *Shard) loadDone(r *replica) {
	m := s.model(r.Model)
	// Who waited is served now; who is still waiting tells again.
	clear(m.demands)
	m.loadedAt = s.now
	m.failures = 0
	m.retryAt = time.Time{}
	if r.mine && r.FromStore {
		m.loadTime = s.now.Sub(r.decidedAt)
	}
}

func (s *Shard) modelFailed(name, reason string) {
	m := s.model(name)
	m.reason = reason
	wait := min(failBackoffFirst<<min(m.failures, 10), failBackoffLimit)
	m.failures++
	m.retryAt = s.now.Add(wait + s.jitter(wait/4))
}

// maximum is the model's replica limit over the whole deployment.
func (s *Shard) maximum(name string) int {
	return s.maximumIn(s.config, name)
}

func (s *Shard) maximumIn(c *config.Config, name string) int {
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

// minimum is how many replicas this shard keeps loaded: the model's minimum at
// its home shard, none elsewhere.
func (s *Shard) minimum(name string) int {
	return s.home.minima[name]
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

func (s *Shard) view(m *model) policy.ModelView {
	c := s.config.Models[m.name]
	waiting, first := m.waiting(s.now)
	v := policy.ModelView{
		Model:         m.name,
		MemoryBytes:   c.MemoryBytes,
		LoadTime:      time.Duration(c.LoadTime),
		LastUsed:      m.lastUsed,
		Gaps:          m.gaps,
		KeepAlive:     time.Duration(s.config.Rules[m.name].KeepAlive),
		Waiting:       waiting,
		FirstDeadline: first,
		Max:           s.maximum(m.name),
		Min:           s.minimum(m.name),
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

// reviewModels unloads what is not needed and decides the loads that are.
func (s *Shard) reviewModels() {
	if s.config == nil {
		return
	}
	if s.ticked {
		s.ticked = false
		s.reviewTargets()
		s.reviewPreload()
		s.takeAhead()
		s.retire()
	}
	s.reviewAdapters()
	wanting := s.wanting()
	if len(wanting) == 0 {
		return
	}
	requests := make([]policy.LoadRequest, len(wanting))
	for i, m := range wanting {
		requests[i] = policy.LoadRequest{Model: s.view(m), Since: m.since, Tier: s.bestTier(m.name)}
	}
	for _, i := range s.policies.Order.Decide(s.now, requests) {
		s.load(wanting[i], requests[i].Model)
	}
}

// wanting are the models that should have more replicas than are decided.
func (s *Shard) wanting() []*model {
	names := make(map[string]bool)
	for name := range s.demanded {
		if n, _ := s.model(name).waiting(s.now); n > 0 {
			names[name] = true
		} else {
			delete(s.demanded, name)
		}
	}
	for name := range s.home.minima {
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
		// Loads ahead of use wait until nothing else is wanted.
		maps.Copy(names, s.home.preload)
	}
	var wanting []*model
	for _, name := range slices.Sorted(maps.Keys(names)) {
		if m := s.model(name); s.decided(name) < s.wanted(m) && !s.now.Before(m.retryAt) {
			wanting = append(wanting, m)
		}
	}
	return wanting
}

// wanted is the number of replicas that the model should have in this shard.
func (s *Shard) wanted(m *model) int {
	if _, known := s.config.Models[m.name]; !known {
		return 0
	}
	v := s.view(m)
	want := s.policies.Scale.Decide(s.now, policy.ScaleInput{Model: v})
	if v.Waiting > 0 || s.home.preload[m.name] {
		want = max(want, 1)
	}
	return min(max(want, v.Min), v.Max)
}

// decided counts the replicas that are there to stay.
func (s *Shard) decided(name string) int {
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

// adapterConfig is what the configuration says of an adapter, if anything.
func (s *Shard) adapterConfig(name string) config.Adapter {
	if s.config == nil {
		return config.Adapter{}
	}
	return s.config.Adapters[name]
}
