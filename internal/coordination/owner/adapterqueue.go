package owner

import (
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// adapterQueue holds the adapters that callers wait for, in order of their first demand.
// Its size depends on the number of callers, not on the number of configured adapters.
type adapterQueue struct {
	queue  []*queuedAdapter
	queued map[string]*queuedAdapter
}

type queuedAdapter struct {
	name, model string
	waiting     int
	deadline    time.Time
	eviction    eviction
}

// adapterLoadEstimate is the expected duration of an adapter's load.
const adapterLoadEstimate = 20 * time.Millisecond

// adapterGracePeriod protects an adapter that has just been loaded from eviction until
// its callers have arrived. One that has served requests is idle as soon as its engine
// reports so.
const adapterGracePeriod = time.Second

func newAdapterQueue() adapterQueue {
	return adapterQueue{queued: make(map[string]*queuedAdapter)}
}

func (s *Shard) queueAdapter(d ports.Demand) {
	w := s.adapterQueue.queued[d.Adapter]
	if w == nil {
		w = &queuedAdapter{name: d.Adapter, model: d.Model}
		s.adapterQueue.queued[d.Adapter] = w
		s.adapterQueue.queue = append(s.adapterQueue.queue, w)
	}
	w.waiting = d.Waiting
	w.deadline = timer.Later(w.deadline, s.now.Add(d.Within))
}

// dequeueAdapter ends the wait for an adapter. An entry whose callers still wait repeats
// its demand.
func (s *Shard) dequeueAdapter(model, name string) {
	delete(s.adapterQueue.queued, name)
	m := s.model(model)
	for key := range m.demands {
		if key.adapter == name {
			delete(m.demands, key)
		}
	}
}

// loadQueuedAdapters plans loads of the queued adapters. Each step looks only at these,
// and once at the replicas of each of their models.
func (s *Shard) loadQueuedAdapters() {
	if len(s.adapterQueue.queue) == 0 {
		return
	}
	hostsByModel := make(map[string]*adapterHosts)
	s.adapterQueue.queue = slices.DeleteFunc(s.adapterQueue.queue, func(w *queuedAdapter) bool {
		if s.adapterQueue.queued[w.name] != w {
			return true
		}
		c, known := s.config.Adapters[w.name]
		if !known || c.Model != w.model || s.now.After(w.deadline) {
			delete(s.adapterQueue.queued, w.name)
			return true
		}
		if hostsByModel[w.model] == nil {
			hostsByModel[w.model] = &adapterHosts{all: s.adapterHosts(w.model)}
		}
		s.placeAdapter(w, c, hostsByModel[w.model])
		return false
	})
}

// adapterHosts are the replicas that could load an adapter of a model.
type adapterHosts struct {
	all []adapterHost
	// minRefusedBytes is the smallest size for which no room was found in this step, 0
	// for none. If many adapters wait, no placement is tried for others of at least this
	// size.
	minRefusedBytes uint64
}

// adapterHost is a ready replica that could load an adapter.
type adapterHost struct {
	t *target
	r *replica
}

func (s *Shard) adapterHosts(model string) []adapterHost {
	var found []adapterHost
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		if !t.isUsable(s.now, s.maxReportAge()) || (t.ignoresFence && !s.isLeaseSafe()) {
			continue
		}
		for _, rid := range t.replicaIDs() {
			if r := t.replicas[rid]; r.Model == model && r.isReady() {
				found = append(found, adapterHost{t, r})
			}
		}
	}
	return found
}

// placeAdapter plans an adapter's load on one of the replicas, or evicts others to make
// room for it. A replica that has the adapter loaded but has no spare capacity does not
// count.
func (s *Shard) placeAdapter(w *queuedAdapter, c config.Adapter, hosts *adapterHosts) {
	var free []adapterHost
	for _, at := range hosts.all {
		switch a := at.r.adapters[w.name]; {
		case a == nil:
			free = append(free, at)
		case !a.seen && !a.Unloading:
			// Its load is planned.
			return
		case !a.Unloading && at.r.hasSpareCapacity():
			// The callers have not seen the routing row yet and are about to arrive.
			a.lastUsed, at.r.lastUsed = s.now, s.now
			s.dequeueAdapter(w.model, w.name)
			return
		}
	}
	if len(free) == 0 || s.isEvictionPending(w.eviction) {
		return
	}
	if hosts.minRefusedBytes > 0 && c.MemoryBytes >= hosts.minRefusedBytes {
		return
	}
	placement := s.chooseHost(w, c, free)
	i := slices.IndexFunc(free, func(at adapterHost) bool { return at.t.id == placement.Target })
	if placement.Refused != "" || i < 0 {
		if len(free) == len(hosts.all) {
			hosts.minRefusedBytes = c.MemoryBytes
		}
		return
	}
	if len(placement.Evict) > 0 {
		w.eviction = s.evict(w.model, free[i].t, placement.Evict)
		return
	}
	if free[i].t.freeBytes() >= c.MemoryBytes {
		s.planAdapterLoad(free[i].r, w.name, c)
	}
}

// chooseHost has the policy choose among the targets with room for the adapter. Only if
// there are none does it choose among all targets, with the replicas and adapters that
// could be evicted. An adapter has such a low value compared to a model that the policy
// would rather evict one than leave memory unused.
func (s *Shard) chooseHost(w *queuedAdapter, c config.Adapter, hosts []adapterHost) policy.Placement {
	in := policy.PlaceInput{Model: s.queuedAdapterView(w, c)}
	for _, at := range hosts {
		if at.t.freeBytes() >= c.MemoryBytes {
			in.Targets = append(in.Targets, s.hostView(at))
		}
	}
	if len(in.Targets) > 0 {
		return s.policies.Place.Decide(s.now, in)
	}
	for _, at := range hosts {
		v := s.hostView(at)
		v.Evictable = s.evictables(at.t, w.model, c.MemoryBytes)
		in.Targets = append(in.Targets, v)
	}
	return s.policies.Place.Decide(s.now, in)
}

func (s *Shard) hostView(at adapterHost) policy.TargetView {
	v := policy.TargetView{Target: at.t.id, FreeBytes: at.t.freeBytes(), TotalBytes: at.t.state.MemoryBytes, Tier: ports.TierMemory}
	v.Loading, _ = at.t.pendingAdapters(s.now)
	v.Running = at.r.seen.Running
	return v
}

func (s *Shard) planAdapterLoad(r *replica, name string, c config.Adapter) {
	a := &adapter{lastUsed: s.now}
	a.Checkpoint, a.MemoryBytes = c.Checkpoint, c.MemoryBytes
	r.adapters[name] = a
	a.seq = s.recordSender(&a.Loads, &a.delivery)
}

func (s *Shard) queuedAdapterView(w *queuedAdapter, c config.Adapter) policy.ModelView {
	return policy.ModelView{
		Model: w.name, MemoryBytes: c.MemoryBytes, LoadTime: adapterLoadEstimate,
		LastUsed: s.now, Waiting: w.waiting, FirstDeadline: w.deadline, Max: 1,
	}
}

// evictables returns the idle replicas of other models on a target, and idle adapters of
// all models. If a replica and its adapter are both chosen, the adapter is unloaded with
// its replica, so at least as much memory is freed as the policy expects.
//
// The policy hardly distinguishes adapters because their value is so low. It is therefore
// shown only the least recently used ones, and no more than are needed to make room.
func (s *Shard) evictables(t *target, model string, need uint64) []policy.ReplicaView {
	var views []policy.ReplicaView
	for _, rid := range t.replicaIDs() {
		if r := t.replicas[rid]; s.isEvictable(r, model) {
			views = append(views, s.replicaView(t, r))
		}
	}
	room := t.freeBytes()
	for _, v := range s.idleAdapters(t) {
		if room >= need {
			break
		}
		room += v.Model.MemoryBytes
		views = append(views, v)
	}
	return views
}

// idleAdapters returns the adapters of a target that could be evicted, least recently
// used first.
func (s *Shard) idleAdapters(t *target) []policy.ReplicaView {
	var views []policy.ReplicaView
	for _, rid := range t.replicaIDs() {
		r := t.replicas[rid]
		if !r.isReady() {
			continue
		}
		for _, name := range r.adapterNames() {
			if a := r.adapters[name]; s.isAdapterEvictable(a, name) {
				views = append(views, policy.ReplicaView{
					Replica:    r.ID + adapterSeparator + name,
					Target:     t.id,
					Model:      s.adapterView(r.Model, name, a),
					LoadedAt:   a.readyAt,
					ReloadTime: adapterLoadEstimate,
				})
			}
		}
	}
	slices.SortStableFunc(views, func(a, b policy.ReplicaView) int {
		return a.Model.LastUsed.Compare(b.Model.LastUsed)
	})
	return views
}

// adapterSeparator separates the replica from its adapter in the IDs shown to policies.
const adapterSeparator = "\x00"

func (s *Shard) isAdapterEvictable(a *adapter, name string) bool {
	if !s.isAdapterIdle(a) || s.adapterQueue.queued[name] != nil {
		return false
	}
	return a.used || s.now.Sub(a.lastUsed) >= adapterGracePeriod
}

// adapterView presents an adapter to a policy as a model with a very short load time.
func (s *Shard) adapterView(model, name string, a *adapter) policy.ModelView {
	return policy.ModelView{
		Model:       name,
		MemoryBytes: a.MemoryBytes,
		LoadTime:    adapterLoadEstimate,
		LastUsed:    a.lastUsed,
		KeepAlive:   time.Duration(s.config.Rules[model].KeepAlive),
		Ready:       1,
		Running:     a.use.Running,
		Max:         1,
	}
}

// eviction identifies replicas, or adapters of replicas, that are evicted from a target.
type eviction struct {
	target string
	ids    []string
}

// evict has replicas and adapters unloaded to make room. The memory is used only once the
// target confirms that they are gone.
func (s *Shard) evict(model string, t *target, ids []string) eviction {
	for _, id := range ids {
		rid, name, isAdapter := strings.Cut(id, adapterSeparator)
		r := t.replicas[rid]
		switch {
		case r == nil:
		case !isAdapter && s.isEvictable(r, model):
			s.markUnloading(r)
		case r.adapters[name] != nil && s.isAdapterEvictable(r.adapters[name], name):
			s.markAdapterUnloading(r.adapters[name])
		}
	}
	return eviction{target: t.id, ids: ids}
}

// isEvictionPending reports whether part of what is being evicted has not been unloaded
// yet.
func (s *Shard) isEvictionPending(e eviction) bool {
	t := s.targets[e.target]
	if t == nil {
		return false
	}
	for _, id := range e.ids {
		rid, name, isAdapter := strings.Cut(id, adapterSeparator)
		r := t.replicas[rid]
		switch {
		case r == nil:
		case !isAdapter && r.Phase == place.PhaseUnloading:
			return true
		case isAdapter && r.adapters[name] != nil && r.adapters[name].Unloading:
			return true
		}
	}
	return false
}
