package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// applyReport updates the plan and the target's state from its report, which is
// authoritative for what is loaded.
func (s *Shard) applyReport(t *target, o ports.Order, state ports.TargetState) {
	if t.boot != state.Boot {
		s.handleRestart(t, state.Boot)
	}
	t.state = &state
	t.leavingHint = t.leavingHint && s.now.Sub(t.hintAt) < leavingHintTTL
	if t.ignoresFence != !state.ChecksFence {
		t.ignoresFence = !state.ChecksFence
		s.markChangedLazily()
	}
	if !t.fenceRaised {
		t.fenceRaised = s.isFenceRaised(o, state)
		if !t.fenceRaised {
			return
		}
	}
	t.failedReplicas = nil
	reported := make(map[string]bool)
	for i := range state.Replicas {
		rs := &state.Replicas[i]
		reported[rs.Replica] = true
		s.updateReplica(t, rs)
	}
	for _, id := range t.replicaIDs() {
		if !reported[id] {
			s.handleMissingReplica(t, t.replicas[id])
		}
	}
}

// leavingHintTTL is how long another entry's hint that a target is leaving overrides the
// target's own reports.
const leavingHintTTL = 10 * time.Second

// isFenceRaised reports whether orders of earlier owners can no longer affect the target
// beyond what the plan charges.
func (s *Shard) isFenceRaised(o ports.Order, state ports.TargetState) bool {
	if !state.ChecksFence {
		return true
	}
	return o.Kind == ports.OrderFence && state.Fence >= s.ownership.firstEpoch
}

// handleRestart drops all that was loaded by the engine's earlier boot: its memory is
// empty, and orders for that boot are refused.
func (s *Shard) handleRestart(t *target, boot string) {
	if t.boot != "" {
		s.report(KindTargetRestarted, t.id, "boot %s replaces %s, %d replicas lost", boot, t.boot, len(t.replicas))
		clear(t.replicas)
		t.fenceRaised = false
	}
	t.boot = boot
	t.bootSeq = s.markChanged()
	t.answeringSince = s.now
}

func (s *Shard) updateReplica(t *target, rs *ports.ReplicaState) {
	r := t.replicas[rs.Replica]
	if rs.Phase == ports.PhaseFailed {
		s.handleFailedReplica(t, r, rs)
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
		s.recordReplicaUse(r, rs)
	}
	r.seen = rs
	s.resolveSeen(t, &r.Loads, &r.delivery)
	s.updateAdapters(t, r)
}

// adoptReplica adds a replica to the plan that an earlier owner loaded without writing it
// to the plan, or whose order arrived late.
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
	r.seq = s.markChanged()
	return r
}

func (s *Shard) changePhase(_ *target, r *replica, rs *ports.ReplicaState) {
	if rs.Phase == ports.PhaseReady {
		r.readyAt = s.now
		s.recordLoad(r)
	}
	if rs.Phase == ports.PhaseUnloading && r.Phase != place.PhaseUnloading {
		r.Phase = place.PhaseUnloading
		r.seq = s.markChanged()
	}
	if r.Phase == place.PhaseDecided {
		r.Phase = place.PhaseConfirmed
		s.markChangedLazily()
	}
}

// resolveSeen removes senders from the unresolved ones of a replica or adapter that the
// target shows or has shown. If only one order was ever prepared, that order has arrived.
// With several, one copy may still be in transit:
//
//	owner 1 sends a load, which is delayed, and crashes
//	owner 2 sends the load again, sees the replica, and unloads it
//	owner 1's order arrives and loads the replica once more
func (s *Shard) resolveSeen(t *target, l *place.Loads, d *delivery) {
	s.resolve(l, s.fencedOff(t))
	if l.Sends == 1 {
		s.resolve(l, func(place.Sender) bool { return true })
	}
	s.resolveAfterTransit(t, l, d)
}

func (s *Shard) fencedOff(t *target) func(place.Sender) bool {
	return func(sender place.Sender) bool {
		return !t.ignoresFence && t.state.Fence > sender.Epoch
	}
}

// handleMissingReplica handles a planned replica that the target's report does not show.
// The replica may be removed only when no load order for it can still arrive.
func (s *Shard) handleMissingReplica(t *target, r *replica) {
	wasSeen := r.seen != nil
	r.seen = nil
	s.resolve(&r.Loads, s.fencedOff(t))
	if r.Phase == place.PhaseUnloading && !r.sent {
		s.resolve(&r.Loads, s.isCurrentSender)
	}
	s.resolveAfterTransit(t, &r.Loads, &r.delivery)
	if len(r.Unresolved) > 0 {
		s.fenceLostOrder(t, &r.Loads, &r.delivery)
		return
	}
	if r.Phase == place.PhaseDecided && !r.sent && !wasSeen {
		// No order can be in transit: the load is still to be ordered by this owner.
		return
	}
	s.removeReplica(t, r)
}

// fenceLostOrder raises the epoch if one of this owner's orders to a target that checks
// fencing was lost. Once the fence is above the order's epoch, the target's report is
// final.
func (s *Shard) fenceLostOrder(t *target, l *place.Loads, d *delivery) {
	if t.ignoresFence || !d.answered {
		return
	}
	for _, sender := range l.Unresolved {
		if s.isCurrentSender(sender) && sender.Epoch >= t.state.Fence {
			s.raiseEpoch(sender.Epoch + 1)
		}
	}
}

// resolveAfterTransit removes the unresolved senders of a target that ignores fencing
// once they can send no more and the target has answered for longer than an order may be
// in transit.
func (s *Shard) resolveAfterTransit(t *target, l *place.Loads, d *delivery) {
	if !t.ignoresFence || len(l.Unresolved) == 0 {
		d.quietSince = time.Time{}
		return
	}
	for _, sender := range l.Unresolved {
		if !s.hasStoppedSending(d, sender) {
			d.quietSince = time.Time{}
			return
		}
	}
	if d.quietSince.IsZero() || d.quietSince.Before(t.answeringSince) {
		d.quietSince = s.now
	}
	if s.now.Sub(d.quietSince) >= s.settings.MaxOrderTransit {
		s.resolve(l, func(place.Sender) bool { return true })
	}
}

// hasStoppedSending reports whether a sender can send no more orders.
func (s *Shard) hasStoppedSending(d *delivery, sender place.Sender) bool {
	if s.isCurrentSender(sender) {
		return d.answered
	}
	if s.isSelf(sender) {
		return s.now.Sub(s.ownership.startedAt) >= s.settings.MaxOrderTransit
	}
	return s.isSenderGone(sender)
}

func (s *Shard) removeReplica(t *target, r *replica) {
	delete(t.replicas, r.ID)
	s.markChangedLazily()
}

func (s *Shard) handleFailedReplica(t *target, r *replica, rs *ports.ReplicaState) {
	if r == nil {
		// A failed load that is not in the plan holds no memory and only has to be
		// cleared.
		t.failedReplicas = append(t.failedReplicas, rs.Replica)
		return
	}
	r.seen = nil
	s.resolveSeen(t, &r.Loads, &r.delivery)
	s.handleLoadFailure(t, r, rs.Reason)
}

// handleLoadFailure removes a failed load from the plan, or has it unloaded as long as
// another copy of its order may arrive.
func (s *Shard) handleLoadFailure(t *target, r *replica, reason string) {
	if r.Phase != place.PhaseUnloading {
		s.report(KindLoadFailed, r.Model, "%s on %s: %s", r.ID, t.id, reason)
		s.table.addFailed(s, t, r, reason)
		s.recordLoadFailure(r.Model, reason)
	}
	if len(r.Unresolved) == 0 {
		s.removeReplica(t, r)
		return
	}
	s.markUnloading(r)
}

// markUnloading has a replica unloaded once that is written.
func (s *Shard) markUnloading(r *replica) {
	if r.Phase == place.PhaseUnloading {
		return
	}
	r.Phase = place.PhaseUnloading
	r.seq = s.markChanged()
}
