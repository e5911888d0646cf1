package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// target is the owner's view of one target of the shard.
type target struct {
	id       string
	instance ports.Instance
	listed   bool
	// missingSince is when the target disappeared from the instance list.
	missingSince time.Time

	// boot is the engine's incarnation, bootSeq the change that wrote it, and
	// inheritedBoot the one that the plan showed when the ownership term began. An owner
	// sends orders only to boots that its written plan shows.
	boot, inheritedBoot string
	bootSeq             uint64
	ignoresFence        bool
	draining            bool
	replicas            map[string]*replica
	// failedReplicas are failed loads that the engine still reports.
	failedReplicas []string

	// state is the target's latest report.
	state *ports.TargetState
	// fenceRaised means that no order of an earlier owner can be carried out any more:
	// the fence is at this term's epoch, or the target ignores fencing and every order
	// that may still arrive is charged in the plan.
	fenceRaised bool

	orderInFlight bool
	// adapterLoadInFlight means that the order in flight loads an adapter.
	adapterLoadInFlight bool

	lastReplyAt time.Time
	lastOrderAt time.Time
	retryAt     time.Time
	failures    int
	// answeringSince is since when every order has been answered.
	answeringSince time.Time
	// leavingHint and failingHint are set at hintAt, when another entry has observed that
	// the target is leaving or that requests to it fail. leavingHint is cleared by the
	// first report later than leavingHintTTL after that, failingHint by the first reply
	// to an order sent after it.
	leavingHint bool
	failingHint bool
	hintAt      time.Time
}

// replica is one planned replica.
type replica struct {
	place.Replica
	// seq is the change that must be written before the replica is ordered.
	seq uint64
	// decidedThisTerm means that the replica was planned in this ownership term.
	decidedThisTerm bool
	delivery
	// seen is the replica in the target's latest report, nil if it was not in it.
	seen       *ports.ReplicaState
	decidedAt  time.Time
	readyAt    time.Time
	lastUsed   time.Time
	unloadSent time.Time
	adapters   map[string]*adapter
}

// delivery is the state of this term's load order for a replica or an adapter.
type delivery struct {
	sent, answered bool
	// quietSince is since when the target has shown without a gap that no unresolved
	// order has arrived, while none of their senders could send any more.
	quietSince time.Time
}

func newTarget(id string) *target {
	return &target{id: id, replicas: make(map[string]*replica)}
}

func (s *Shard) adoptTarget(id string, p place.Target) {
	t := newTarget(id)
	t.boot, t.ignoresFence, t.draining = p.Boot, p.IgnoresFence, p.Draining
	t.inheritedBoot = p.Boot
	for _, planned := range p.Replicas {
		r := &replica{Replica: planned.Clone(), decidedAt: s.now, lastUsed: s.now}
		r.adapters, r.Adapters = s.adoptAdapters(r.Adapters), nil
		t.replicas[r.ID] = r
	}
	s.targets[id] = t
}

// syncInstances updates the targets from the instance list. A target that disappeared
// from the list stays until it counts as gone.
func (s *Shard) syncInstances() {
	for id, row := range s.instances {
		t := s.targets[id]
		if t == nil {
			t = newTarget(id)
			s.targets[id] = t
			s.sortedTargets = nil
		}
		t.instance, t.listed, t.missingSince = row, true, time.Time{}
	}
	for id, t := range s.targets {
		if _, ok := s.instances[id]; ok {
			continue
		}
		if t.missingSince.IsZero() {
			t.missingSince = s.now
		}
		t.listed = false
	}
}

// plan returns the target's part of the shard's plan.
func (t *target) plan() place.Target {
	p := place.Target{Boot: t.boot, IgnoresFence: t.ignoresFence, Draining: t.draining}
	for _, id := range t.replicaIDs() {
		r := t.replicas[id]
		planned := r.Replica
		planned.Adapters = r.plannedAdapters()
		p.Replicas = append(p.Replicas, planned.Clone())
	}
	return p
}

func (t *target) replicaIDs() []string {
	return slices.Sorted(maps.Keys(t.replicas))
}

// isLeaving reports whether the target gets no new loads.
func (t *target) isLeaving() bool {
	return t.leavingHint || t.isConfirmedLeaving()
}

// isConfirmedLeaving reports whether the target itself, the platform or an operator says
// that the target is leaving. A hint from another entry only stops new loads.
func (t *target) isConfirmedLeaving() bool {
	return t.draining || t.instance.Leaving || (t.state != nil && t.state.Leaving)
}

// isUsable reports whether a load may be planned on the target.
func (t *target) isUsable(now time.Time, maxAge time.Duration) bool {
	return t.listed && t.fenceRaised && t.state != nil && !t.isLeaving() && !t.failingHint &&
		t.failures == 0 && now.Sub(t.lastReplyAt) < maxAge
}

// hasOnlyPlanned reports whether the target can hold nothing that the plan does not
// charge: its fence is raised, or it never had one, or no earlier owner knew the engine's
// present boot when it wrote the plan.
func (t *target) hasOnlyPlanned() bool {
	return t.fenceRaised || t.ignoresFence || t.inheritedBoot == "" || t.boot != t.inheritedBoot
}

// chargedBytes returns the memory charged to the target: for each replica the higher of
// the planned and the reported memory.
func (t *target) chargedBytes() uint64 {
	var sum uint64
	for _, r := range t.replicas {
		sum += r.chargedBytes()
	}
	return sum
}

func (r *replica) chargedBytes() uint64 {
	charge := r.MemoryBytes
	for _, a := range r.adapters {
		charge += a.MemoryBytes
	}
	if r.seen == nil {
		return charge
	}
	return max(charge, r.seen.MemoryBytes)
}

func (t *target) freeBytes() uint64 {
	if t.state == nil || t.hasUnplannedAdapterLoads() {
		return 0
	}
	charge := t.chargedBytes()
	return t.state.MemoryBytes - min(charge, t.state.MemoryBytes)
}

// isBusy reports whether loads or unloads are in flight, in which case the target is
// asked for reports more often.
func (t *target) isBusy() bool {
	for _, r := range t.replicas {
		if r.decidedThisTerm && r.Phase == place.PhaseDecided && !r.sent {
			// A report now would only delay the order that waits for its write.
			continue
		}
		if r.Phase != place.PhaseConfirmed || r.isLoading() || r.hasAdapterOrders() {
			return true
		}
	}
	return false
}

// hasAdapterOrders reports whether adapters are loading or unloading.
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

// hasSpareCapacity reports whether the replica can take one more request.
func (r *replica) hasSpareCapacity() bool {
	return r.isReady() && r.seen.Running+r.seen.Queued < max(r.Concurrency, 1)
}

// usesStoreSlot reports whether the replica's load occupies a slot of the weight store.
func (r *replica) usesStoreSlot() bool {
	return r.FromStore && (r.seen == nil || r.seen.Phase == ports.PhaseLoading)
}

func (s *Shard) handleTargetNews(n ports.TargetNews) {
	t := s.targets[n.Target]
	if t == nil {
		return
	}
	t.leavingHint = t.leavingHint || n.Leaving
	t.failingHint = t.failingHint || n.Failing
	t.hintAt = s.now
	t.lastOrderAt = time.Time{}
}

func (s *Shard) handleDrain(d DrainTarget) {
	t := s.targets[d.Target]
	if t == nil || s.stage != stageOwned {
		return
	}
	t.draining = !d.Undo
	s.markChanged()
}

// removeGoneTargets removes the targets that are gone.
func (s *Shard) removeGoneTargets() {
	for _, id := range s.targetIDs() {
		t := s.targets[id]
		if s.isGone(t) {
			s.removeTarget(t)
		}
	}
}

// isGone requires both that the instance list, which lags, has not shown the target for
// longer than its lag, and that the target has not answered for as long.
func (s *Shard) isGone(t *target) bool {
	if t.listed || t.missingSince.IsZero() {
		return false
	}
	return s.now.Sub(t.missingSince) >= s.settings.GoneDelay && s.now.Sub(t.lastReplyAt) >= s.settings.GoneDelay
}

func (s *Shard) removeTarget(t *target) {
	s.report(KindTargetGone, t.id, "%d replicas", len(t.replicas))
	delete(s.targets, t.id)
	s.sortedTargets = nil
	s.markChanged()
}

// mayHaveUnplanned reports whether a target may hold replicas that an earlier owner
// loaded without writing them to the plan.
func (s *Shard) mayHaveUnplanned() bool {
	for _, t := range s.targets {
		if !t.hasOnlyPlanned() {
			return true
		}
	}
	return false
}

// awaitsFirstReport reports whether a target's first report is still expected.
func (s *Shard) awaitsFirstReport() bool {
	for _, t := range s.targets {
		if t.listed && !t.fenceRaised && t.failures == 0 {
			return true
		}
	}
	return false
}

// hasUnresolvedOrder reports whether a load order of the replica or of one of its
// adapters may still arrive.
func (r *replica) hasUnresolvedOrder() bool {
	for _, a := range r.adapters {
		if len(a.Unresolved) > 0 {
			return true
		}
	}
	return len(r.Unresolved) > 0
}

// hasUnresolvedOrders reports whether there are planned loads whose outcome is unknown,
// or unwritten changes.
func (s *Shard) hasUnresolvedOrders() bool {
	for _, t := range s.targets {
		for _, r := range t.replicas {
			if r.Phase == place.PhaseDecided || r.hasUnresolvedOrder() {
				return true
			}
		}
	}
	return s.writer.lastChange != s.writer.lastWritten
}

func (s *Shard) hasOrderInFlight() bool {
	for _, t := range s.targets {
		if t.orderInFlight {
			return true
		}
	}
	return false
}
