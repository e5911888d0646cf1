package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// target is one target of the shard as its owner knows it.
type target struct {
	id       string
	instance ports.Instance
	listed   bool
	// missingSince is when the target went off the instance list.
	missingSince time.Time

	// boot is the engine's incarnation, bootSeq the change that wrote it, and
	// inherited the one that the plan showed when the tenure began. An owner
	// orders only boots that its written plan shows.
	boot, inherited string
	bootSeq         uint64
	ignoresFence    bool
	draining        bool
	replicas        map[string]*replica
	// remnants are failed loads that the engine still shows.
	remnants []string

	// state is the target's latest own report.
	state *ports.TargetState
	// raised means that no order of an earlier owner can be carried out any
	// more: the fence stands at this tenure's epoch, or the target ignores
	// fencing and every order that may still come is charged in the plan.
	raised bool

	busy bool
	// loadsAdapter means that the order under way loads an adapter.
	loadsAdapter bool

	lastOK   time.Time
	lastAsk  time.Time
	nextTry  time.Time
	failures int
	// answering is since when every order was answered.
	answering time.Time
	// leavingNews holds until the target itself says otherwise.
	leavingNews bool
	failing     bool
	newsAt      time.Time
}

// replica is one planned replica.
type replica struct {
	place.Replica
	// seq is the change that must be written before the replica is ordered.
	seq uint64
	// mine means that it was decided in this tenure.
	mine bool
	delivery
	// seen is the target's latest report of the replica, nil if it showed none.
	seen       *ports.ReplicaState
	decidedAt  time.Time
	readyAt    time.Time
	lastUsed   time.Time
	unloadSent time.Time
	adapters   map[string]*adapter
}

// delivery is what became of this tenure's load order for a replica or an adapter.
type delivery struct {
	sent, answered bool
	// quietSince is since when the target has shown, without a gap, that no
	// unresolved order arrived although its sender can send no more.
	quietSince time.Time
}

func newTarget(id string) *target {
	return &target{id: id, replicas: make(map[string]*replica)}
}

func (s *Shard) adoptTarget(id string, p place.Target) {
	t := newTarget(id)
	t.boot, t.ignoresFence, t.draining = p.Boot, p.IgnoresFence, p.Draining
	t.inherited = p.Boot
	for _, planned := range p.Replicas {
		r := &replica{Replica: planned.Clone(), decidedAt: s.now, lastUsed: s.now}
		r.adapters, r.Adapters = s.adoptAdapters(r.Adapters), nil
		t.replicas[r.ID] = r
	}
	s.targets[id] = t
}

// matchList brings the targets in line with the instance list. A target that
// went off the list stays until it counts as gone.
func (s *Shard) matchList() {
	for id, row := range s.listed {
		t := s.targets[id]
		if t == nil {
			t = newTarget(id)
			s.targets[id] = t
			s.ids = nil
		}
		t.instance, t.listed, t.missingSince = row, true, time.Time{}
	}
	for id, t := range s.targets {
		if _, ok := s.listed[id]; ok {
			continue
		}
		if t.missingSince.IsZero() {
			t.missingSince = s.now
		}
		t.listed = false
	}
}

// plan is the target's part of the value.
func (t *target) plan() place.Target {
	p := place.Target{Boot: t.boot, IgnoresFence: t.ignoresFence, Draining: t.draining}
	for _, id := range t.replicaIDs() {
		r := t.replicas[id]
		planned := r.Replica
		planned.Adapters = r.planAdapters()
		p.Replicas = append(p.Replicas, planned.Clone())
	}
	return p
}

func (t *target) replicaIDs() []string {
	return slices.Sorted(maps.Keys(t.replicas))
}

// isLeaving tells whether the target gets no new work.
func (t *target) isLeaving() bool {
	return t.leavingNews || t.isGoing()
}

// isGoing tells whether the target itself, the platform or an operator says that
// it goes; the word of another entry stops new work only.
func (t *target) isGoing() bool {
	return t.draining || t.instance.Leaving || (t.state != nil && t.state.Leaving)
}

// isUsable tells whether a load may be decided for the target.
func (t *target) isUsable(now time.Time, within time.Duration) bool {
	return t.listed && t.raised && t.state != nil && !t.isLeaving() && !t.failing &&
		t.failures == 0 && now.Sub(t.lastOK) < within
}

// isFree tells whether nothing can be on the target that the plan does not
// charge: its fence is raised, or it was never subject to one, or no earlier
// owner knew the engine's present boot when it wrote the plan.
func (t *target) isFree() bool {
	return t.raised || t.ignoresFence || t.inherited == "" || t.boot != t.inherited
}

// charge is the memory taken by plan or by the target's own account, whichever
// is higher for each replica.
func (t *target) charge() uint64 {
	var sum uint64
	for _, r := range t.replicas {
		sum += r.charge()
	}
	return sum
}

func (r *replica) charge() uint64 {
	charge := r.MemoryBytes
	for _, a := range r.adapters {
		charge += a.MemoryBytes
	}
	if r.seen == nil {
		return charge
	}
	return max(charge, r.seen.MemoryBytes)
}

func (t *target) free() uint64 {
	if t.state == nil || t.hasStrangeLoads() {
		return 0
	}
	charge := t.charge()
	return t.state.MemoryBytes - min(charge, t.state.MemoryBytes)
}

// isBusy tells whether loads or unloads are under way, which calls for frequent reports.
func (t *target) isBusy() bool {
	for _, r := range t.replicas {
		if r.mine && r.Phase == place.PhaseDecided && !r.sent {
			// A report now would only hold up the order that waits for its write.
			continue
		}
		if r.Phase != place.PhaseConfirmed || r.isLoading() || r.hasAdapterOrders() {
			return true
		}
	}
	return false
}

// hasAdapterOrders tells whether adapters load or unload.
func (r *replica) hasAdapterOrders() bool {
	for _, a := range r.adapters {
		if a.sent && !a.seen || a.Unloading && !a.unloadSent.IsZero() {
			return true
		}
	}
	return false
}

func (r *replica) isLoading() bool {
	return r.seen != nil && r.seen.Phase == ports.PhaseLoading
}

func (r *replica) isReady() bool {
	return r.Phase != place.PhaseUnloading && r.seen != nil && r.seen.Phase == ports.PhaseReady
}

func (r *replica) isIdle() bool {
	return r.seen == nil || (r.seen.Running == 0 && r.seen.Queued == 0)
}

// hasSpare tells whether the replica can take a request more than it has.
func (r *replica) hasSpare() bool {
	return r.isReady() && r.seen.Running+r.seen.Queued < max(r.Concurrency, 1)
}

// takesSlot tells whether the replica's load occupies a slot of the weight store.
func (r *replica) takesSlot() bool {
	return r.FromStore && (r.seen == nil || r.seen.Phase == ports.PhaseLoading)
}

func (s *Shard) takeNews(n ports.TargetNews) {
	t := s.targets[n.Target]
	if t == nil {
		return
	}
	t.leavingNews = t.leavingNews || n.Leaving
	t.failing = t.failing || n.Failing
	t.newsAt = s.now
	t.lastAsk = time.Time{}
}

func (s *Shard) drain(d DrainTarget) {
	t := s.targets[d.Target]
	if t == nil || s.stage != stageOwned {
		return
	}
	t.draining = !d.Undo
	s.changed()
}

// reviewTargets drops the targets that are gone.
func (s *Shard) reviewTargets() {
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		if s.isGone(t) {
			s.dropTarget(t)
		}
	}
}

// isGone needs both: the list, which lags, has not shown the target for longer
// than its lag, and the target has not answered for as long.
func (s *Shard) isGone(t *target) bool {
	if t.listed || t.missingSince.IsZero() {
		return false
	}
	return s.now.Sub(t.missingSince) >= s.settings.GoneAfter && s.now.Sub(t.lastOK) >= s.settings.GoneAfter
}

func (s *Shard) dropTarget(t *target) {
	s.happened(KindTargetGone, t.id, "%d replicas", len(t.replicas))
	delete(s.targets, t.id)
	s.ids = nil
	s.changed()
}

// hasUnraised tells whether a target may hold what an earlier owner loaded off
// the plan.
func (s *Shard) hasUnraised() bool {
	for _, t := range s.targets {
		if !t.isFree() {
			return true
		}
	}
	return false
}

// hasUnseen tells whether a target's first account is still to be expected.
func (s *Shard) hasUnseen() bool {
	for _, t := range s.targets {
		if t.listed && !t.raised && t.failures == 0 {
			return true
		}
	}
	return false
}

// unresolved tells whether a load order of the replica or of an adapter may
// still arrive.
func (r *replica) unresolved() bool {
	for _, a := range r.adapters {
		if len(a.Unresolved) > 0 {
			return true
		}
	}
	return len(r.Unresolved) > 0
}

// hasUnresolved tells whether loads are decided whose outcome is open.
func (s *Shard) hasUnresolved() bool {
	for _, t := range s.targets {
		for _, r := range t.replicas {
			if r.Phase == place.PhaseDecided || r.unresolved() {
				return true
			}
		}
	}
	return s.journal.changed != s.journal.written
}

func (s *Shard) ordersUnderWay() bool {
	for _, t := range s.targets {
		if t.busy {
			return true
		}
	}
	return false
}
