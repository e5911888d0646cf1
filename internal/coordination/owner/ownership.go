package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// lease is a lease of the KV service held by this entry.
type lease struct {
	id  ports.LeaseID
	key string
	// renewedAt is when the request for the latest renewal was sent. The service counts
	// the TTL from a later moment, so the lease outlives renewedAt+TTL on any clock that
	// runs at the same rate.
	renewedAt time.Time
}

// ownership is the state of this entry's ownership of the shard.
type ownership struct {
	lease lease
	// leaseNamed means that the shard's value names this lease and that the lease has not
	// been found expired. Orders to targets that ignore fencing require it.
	leaseNamed bool
	// epoch is the epoch in the written value, nextEpoch a higher one that is to be
	// written, and firstEpoch the epoch at which this ownership term began.
	epoch, nextEpoch, firstEpoch ports.Epoch
	// startedAt is when the ownership term began.
	startedAt time.Time

	renewing       bool
	renewLatency   time.Duration
	renewAt        time.Time
	replacingLease bool

	// otherPreferredSince is when another entry became the preferred owner, zero while
	// this entry is.
	otherPreferredSince time.Time
	// releaseDeadline ends the wait for unresolved orders.
	releaseDeadline time.Time
	released        bool
	// successor is the entry that a released shard is offered to.
	successor ports.Member

	// superseded means that a target or the permit ledger has shown the epoch of a later
	// owner.
	superseded    bool
	checkingOwner bool
}

// leaseSafeUntil returns the time until which no other entry can have taken over the
// shard.
func (s *Shard) leaseSafeUntil() time.Time {
	return s.ownership.lease.renewedAt.Add(s.settings.LeaseTTL - s.settings.LeaseMargin)
}

// isLeaseSafe reports whether the lease certainly has not expired.
func (s *Shard) isLeaseSafe() bool {
	return s.ownership.leaseNamed && s.now.Before(s.leaseSafeUntil())
}

func (s *Shard) holder(l lease) place.Holder {
	return place.Holder{
		Instance:    s.settings.Self.ID,
		Incarnation: s.settings.Self.Incarnation,
		Lease:       l.id,
		LeaseKey:    l.key,
	}
}

// openLease requests a lease and writes its key. Each lease has a key of its own, so that
// a lost reply to one attempt cannot be mistaken for the reply to another.
func (s *Shard) openLease(then func(lease, bool)) {
	sent := s.now
	s.kv(ports.KVGrant{TTL: s.settings.LeaseTTL}, func(r ports.KVReply) {
		if r.Status != ports.KVOK {
			then(lease{}, false)
			return
		}
		l := lease{id: r.Lease, renewedAt: sent, key: "lease/" + s.nextNonce()}
		s.kv(ports.KVPut{Key: l.key, Value: []byte(s.key()), Lease: l.id}, func(r ports.KVReply) {
			if r.Status != ports.KVOK {
				s.abandonLease(l)
				then(lease{}, false)
				return
			}
			then(l, true)
		})
	})
}

// abandonLease revokes a lease that nothing depends on. If the call is lost, the lease
// expires on its own.
func (s *Shard) abandonLease(l lease) {
	s.kv(ports.KVRevoke{Lease: l.id}, func(ports.KVReply) {})
}

const (
	// renewRetryDelay is the delay before a failed renewal is retried.
	renewRetryDelay = 500 * time.Millisecond
	// maxRebalanceRenewLatency is the latency of a lease renewal above which the KV
	// service counts as too slow for handing over shards without need.
	maxRebalanceRenewLatency = 300 * time.Millisecond
)

func (s *Shard) renew() {
	own := &s.ownership
	if !own.leaseNamed {
		s.replaceLease()
		return
	}
	if own.renewing || s.now.Before(own.renewAt) {
		return
	}
	own.renewing = true
	sent := s.now
	s.kv(ports.KVRenew{Lease: own.lease.id}, func(r ports.KVReply) {
		own := &s.ownership
		own.renewing = false
		switch r.Status {
		case ports.KVOK:
			own.lease.renewedAt = sent
			own.renewLatency = s.now.Sub(sent)
			own.renewAt = sent.Add(s.settings.LeaseTTL / 3)
		case ports.KVNotFound:
			own.leaseNamed = false
		default:
			own.renewAt = s.now.Add(renewRetryDelay + s.jitter(renewRetryDelay))
		}
	})
}

// replaceLease opens a new lease after the old one has expired. The new lease protects
// the ownership only once the shard's value names it: until then another entry may be
// taking over because the old one has expired.
func (s *Shard) replaceLease() {
	own := &s.ownership
	if own.replacingLease || s.now.Before(own.renewAt) {
		return
	}
	own.replacingLease = true
	s.openLease(func(l lease, ok bool) {
		own := &s.ownership
		own.replacingLease = false
		own.renewAt = s.now.Add(renewRetryDelay + s.jitter(renewRetryDelay))
		if !ok {
			return
		}
		own.replacingLease = true
		own.lease = l
		seq := s.markChanged()
		s.writer.onWritten(seq, func() {
			s.ownership.replacingLease = false
			// If a release began in the meantime, the lease has been given up already.
			s.ownership.leaseNamed = !s.ownership.released
			s.ownership.renewAt = l.renewedAt.Add(s.settings.LeaseTTL / 3)
		})
	})
}

// loseOwnership ends the ownership term because another entry owns the shard, or may own
// it.
func (s *Shard) loseOwnership(reason string) {
	epoch := s.ownership.epoch
	s.resetOwnership()
	s.stage = stageWatching
	s.report(KindLost, s.ledgerName(), "epoch %d: %s", epoch, reason)
	s.notify(OwnershipChanged{Shard: s.settings.Shard, Owned: false, Epoch: epoch})
	s.watch.checkAt = s.now.Add(s.settings.PollInterval/2 + s.jitter(s.settings.PollInterval/2))
	if s.stopping {
		s.finishStop()
	}
}

// handleSuperseded stops all orders after a target or a ledger has shown a higher epoch
// than this owner's, and reads the shard's value. If the value is unchanged, the fence
// dates from a value that was deleted since, and the epoch is raised above it.
func (s *Shard) handleSuperseded(fence ports.Epoch) {
	s.ownership.superseded = true
	if s.ownership.checkingOwner {
		return
	}
	s.ownership.checkingOwner = true
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		s.ownership.checkingOwner = false
		item, ok := r.Item()
		if r.Status != ports.KVOK || !ok {
			return
		}
		if !s.isOwnWrite(item) {
			s.loseOwnership("the shard's value names another owner")
			return
		}
		s.raiseEpoch(fence + 1)
		s.writer.onWritten(s.writer.lastChange, func() { s.ownership.superseded = false })
	})
}

// raiseEpoch has a higher epoch written, which fences off the orders that this owner sent
// before.
func (s *Shard) raiseEpoch(epoch ports.Epoch) {
	if s.ownership.nextEpoch >= epoch || s.ownership.epoch >= epoch {
		return
	}
	s.ownership.nextEpoch = epoch
	s.markChanged()
}

func (s *Shard) rebalance() {
	own := &s.ownership
	preferred := s.candidates()[0]
	if preferred == s.settings.Self.ID {
		own.otherPreferredSince = time.Time{}
		return
	}
	if own.otherPreferredSince.IsZero() {
		own.otherPreferredSince = s.now
	}
	if s.now.Sub(own.otherPreferredSince) < s.settings.RebalanceDelay<<s.handover.returnsFrom(preferred) || !s.isLeaseSafe() || s.hasUnresolvedOrders() {
		return
	}
	if own.renewLatency > maxRebalanceRenewLatency {
		// A handover takes several KV calls, during which nobody owns the shard.
		return
	}
	s.beginRelease()
	own.successor = s.members[preferred]
	s.handover.recordOffer(preferred, own.epoch)
}

// handover counts offers of the shard to an entry that did not take it over, so that an
// entry that takes part in gossip but cannot reach the KV service is not offered the
// shard again and again.
type handover struct {
	successor string
	epoch     ports.Epoch
	// returns is how many times in a row this entry had to take the shard back.
	returns int
}

// maxReturns limits how often the delay before the next offer is doubled.
const maxReturns = 7

func (h *handover) recordOffer(to string, epoch ports.Epoch) {
	if h.successor != to {
		h.returns = 0
	}
	h.successor, h.epoch = to, epoch
}

// recordTakeover records that this entry has taken over the shard with the given epoch.
func (h *handover) recordTakeover(epoch ports.Epoch) {
	if h.successor != "" && epoch == h.epoch+1 {
		h.returns = min(h.returns+1, maxReturns)
		return
	}
	*h = handover{}
}

// returnsFrom returns how many offers to an entry in a row came back.
func (h *handover) returnsFrom(to string) int {
	if h.successor != to {
		return 0
	}
	return h.returns
}

func (s *Shard) stop() {
	s.stopping = true
	switch s.stage {
	case stageOwned:
		s.beginRelease()
	case stageReleasing:
	default:
		s.resetOwnership()
		s.finishStop()
	}
}

func (s *Shard) finishStop() {
	if s.stage == stageStopped {
		return
	}
	s.stage = stageStopped
	s.notify(Stopped{Shard: s.settings.Shard})
}

func (s *Shard) beginRelease() {
	s.stage = stageReleasing
	s.ownership.releaseDeadline = s.now.Add(s.settings.StopTimeout)
}

// continueRelease waits until no order is in flight, then writes the plan without an
// owner. Unresolved orders remain listed in the plan.
func (s *Shard) continueRelease() {
	own := &s.ownership
	if s.now.After(own.releaseDeadline.Add(s.settings.StopTimeout)) {
		s.loseOwnership("the KV service did not accept the release in time")
		return
	}
	if !own.released {
		s.renew()
		if s.hasOrderInFlight() && s.now.Before(own.releaseDeadline) {
			return
		}
		// As soon as the write is sent, another entry may own the shard.
		own.leaseNamed = false
		own.released = true
		seq := s.markChanged()
		s.writer.onWritten(seq, s.finishRelease)
	}
	s.writePlan()
}

func (s *Shard) finishRelease() {
	l, epoch, successor := s.ownership.lease, s.ownership.epoch, s.ownership.successor
	s.abandonLease(l)
	s.resetOwnership()
	s.stage = stageWatching
	s.report(KindReleased, s.ledgerName(), "epoch %d", epoch)
	s.notify(OwnershipChanged{Shard: s.settings.Shard, Owned: false, Epoch: epoch})
	s.watch.checkAt = s.now.Add(leasePollInterval + s.checkDelay())
	if successor.Addr.IsValid() {
		s.peer(successor, ports.HandOver{Shards: []int{s.settings.Shard}, From: s.settings.Self.ID}, func(ports.PeerReply) {})
	}
	if s.stopping {
		s.finishStop()
	}
}
