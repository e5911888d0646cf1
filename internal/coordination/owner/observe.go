package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// observe takes a target's own account as the truth about what is loaded.
func (s *Shard) observe(t *target, o ports.Order, state ports.TargetState) {
	if t.boot != state.Boot {
		s.restarted(t, state.Boot)
	}
	t.state = &state
	t.leavingNews = t.leavingNews && s.now.Sub(t.newsAt) < newsHold
	if t.ignoresFence != !state.ChecksFence {
		t.ignoresFence = !state.ChecksFence
		s.changedLazily()
	}
	if !t.raised {
		t.raised = s.isRaised(o, state)
		if !t.raised {
			return
		}
	}
	t.remnants = nil
	reported := make(map[string]bool)
	for i := range state.Replicas {
		rs := &state.Replicas[i]
		reported[rs.Replica] = true
		s.seeReplica(t, rs)
	}
	for _, id := range t.replicaIDs() {
		if !reported[id] {
			s.missReplica(t, t.replicas[id])
		}
	}
}

// newsHold is how long the word of another entry that a target leaves counts
// against the target's own.
const newsHold = 10 * time.Second

// isRaised tells whether orders of earlier owners have no effect on the target
// any more beyond what the plan charges.
func (s *Shard) isRaised(o ports.Order, state ports.TargetState) bool {
	if !state.ChecksFence {
		return true
	}
	return o.Kind == ports.OrderFence && state.Fence >= s.session.first
}

// restarted takes all that was on the engine's earlier boot for gone: the
// memory is empty, and orders for that boot are refused.
func (s *Shard) restarted(t *target, boot string) {
	if t.boot != "" {
		s.happened(KindTargetRestarted, t.id, "boot %s after %s, %d replicas gone", boot, t.boot, len(t.replicas))
		clear(t.replicas)
		t.raised = false
	}
	t.boot = boot
	t.bootSeq = s.changed()
	t.answering = s.now
}

func (s *Shard) seeReplica(t *target, rs *ports.ReplicaState) {
	r := t.replicas[rs.Replica]
	if rs.Phase == ports.PhaseFailed {
		s.seeFailed(t, r, rs)
		return
	}
	if r == nil {
		r = s.adoptReplica(t, rs)
	}
	if r.seen == nil || r.seen.Phase != rs.Phase {
		s.changePhase(t, r, rs)
	}
	if r.seen == nil || rs.Running > 0 || rs.Queued > 0 || rs.Served != r.seen.Served {
		r.lastUsed = s.now
		s.used(r, rs)
	}
	r.seen = rs
	s.settleSeen(t, &r.Loads, &r.delivery)
	s.seeAdapters(t, r)
}

// adoptReplica takes a replica into the plan that an earlier owner loaded off
// the plan, or whose late order came after all.
func (s *Shard) adoptReplica(t *target, rs *ports.ReplicaState) *replica {
	r := &replica{decidedAt: s.now, lastUsed: s.now, adapters: make(map[string]*adapter)}
	r.Replica = place.Replica{
		ID:          rs.Replica,
		Model:       rs.Model,
		Revision:    rs.Revision,
		MemoryBytes: rs.MemoryBytes,
		Phase:       place.PhaseConfirmed,
		FromStore:   rs.Phase == ports.PhaseLoading,
	}
	if rs.Phase == ports.PhaseUnloading {
		r.Phase = place.PhaseUnloading
	}
	t.replicas[r.ID] = r
	r.seq = s.changed()
	return r
}

func (s *Shard) changePhase(_ *target, r *replica, rs *ports.ReplicaState) {
	if rs.Phase == ports.PhaseReady {
		r.readyAt = s.now
		s.loadDone(r)
	}
	if rs.Phase == ports.PhaseUnloading && r.Phase != place.PhaseUnloading {
		r.Phase = place.PhaseUnloading
		r.seq = s.changed()
	}
	if r.Phase == place.PhaseDecided {
		r.Phase = place.PhaseConfirmed
		s.changedLazily()
	}
}

// settleSeen strikes out senders of what is there or was there. Where
// a single order was ever prepared, what is there is that order's doing; with
// several, one copy may still be on its way:
//
//	owner 1 sends a load, which is delayed, and dies
//	owner 2 sends it again, sees the replica, and unloads it
//	owner 1's order arrives and loads it once more
func (s *Shard) settleSeen(t *target, l *place.Loads, d *delivery) {
	s.resolve(l, s.isFencedOff(t))
	if l.Sends == 1 {
		s.resolve(l, func(place.Sender) bool { return true })
	}
	s.settleQuiet(t, l, d)
}

func (s *Shard) isFencedOff(t *target) func(place.Sender) bool {
	return func(sender place.Sender) bool {
		return !t.ignoresFence && t.state.Fence > sender.Epoch
	}
}

// missReplica handles a planned replica that the target does not show. It may
// be struck out only when no load order for it can still arrive.
func (s *Shard) missReplica(t *target, r *replica) {
	wasSeen := r.seen != nil
	r.seen = nil
	s.resolve(&r.Loads, s.isFencedOff(t))
	if r.Phase == place.PhaseUnloading && !r.sent {
		s.resolve(&r.Loads, s.isOwnNow)
	}
	s.settleQuiet(t, &r.Loads, &r.delivery)
	if len(r.Unresolved) > 0 {
		s.pursue(t, &r.Loads, &r.delivery)
		return
	}
	if r.Phase == place.PhaseDecided && !r.sent && !wasSeen {
		// Nobody's order can be on its way: the load is ordered by this owner.
		return
	}
	s.removeReplica(t, r)
}

// pursue raises the epoch if an own order to a target that checks fencing got
// lost: once the fence is above it, the target's account is final.
func (s *Shard) pursue(t *target, l *place.Loads, d *delivery) {
	if t.ignoresFence || !d.answered {
		return
	}
	for _, sender := range l.Unresolved {
		if s.isOwnNow(sender) && sender.Epoch >= t.state.Fence {
			s.raiseEpoch(sender.Epoch + 1)
		}
	}
}

// settleQuiet strikes out senders on a target that ignores fencing once they
// can send no more and the target has answered for longer than an order may be
// on its way.
func (s *Shard) settleQuiet(t *target, l *place.Loads, d *delivery) {
	if !t.ignoresFence || len(l.Unresolved) == 0 {
		d.quietSince = time.Time{}
		return
	}
	for _, sender := range l.Unresolved {
		if !s.isQuiet(d, sender) {
			d.quietSince = time.Time{}
			return
		}
	}
	if d.quietSince.IsZero() || d.quietSince.Before(t.answering) {
		d.quietSince = s.now
	}
	if s.now.Sub(d.quietSince) >= s.settings.OrderTransit {
		s.resolve(l, func(place.Sender) bool { return true })
	}
}

// isQuiet tells whether a sender can send no more.
func (s *Shard) isQuiet(d *delivery, sender place.Sender) bool {
	if s.isOwnNow(sender) {
		return d.answered
	}
	if s.isSelf(sender) {
		return s.now.Sub(s.session.since) >= s.settings.OrderTransit
	}
	return s.isSenderGone(sender)
}

func (s *Shard) removeReplica(t *target, r *replica) {
	delete(t.replicas, r.ID)
	s.changedLazily()
}

func (s *Shard) seeFailed(t *target, r *replica, rs *ports.ReplicaState) {
	if r == nil {
		// What failed outside the plan holds no memory and is only cleared away.
		t.remnants = append(t.remnants, rs.Replica)
		return
	}
	r.seen = nil
	s.settleSeen(t, &r.Loads, &r.delivery)
	s.loadFailed(t, r, rs.Reason)
}

// loadFailed takes a failed load out of the plan, or has it unloaded as long as
// another copy of its order may arrive.
func (s *Shard) loadFailed(t *target, r *replica, reason string) {
	if r.Phase != place.PhaseUnloading {
		s.happened(KindLoadFailed, r.Model, "%s on %s: %s", r.ID, t.id, reason)
		s.table.fail(s, t, r, reason)
		s.modelFailed(r.Model, reason)
	}
	if len(r.Unresolved) == 0 {
		s.removeReplica(t, r)
		return
	}
	s.unload(r)
}

// unload has a replica go, once that is written.
func (s *Shard) unload(r *replica) {
	if r.Phase == place.PhaseUnloading {
		return
	}
	r.Phase = place.PhaseUnloading
	r.seq = s.changed()
}
