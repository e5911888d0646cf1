package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// lease is a lease of the KV service as its holder sees it.
type lease struct {
	id  ports.LeaseID
	key string
	// sent is when the request that last prolonged it was sent. The service
	// counts from a later moment, so the lease outlives sent+TTL on any clock
	// of the same rate.
	sent time.Time
}

// session is the ownership of the shard.
type session struct {
	lease lease
	// covered means that the shard's value names this lease and that the lease
	// was not found lapsed; orders to targets that ignore fencing need it.
	covered bool
	// epoch is the written epoch, wanted a higher one that is to be written, and
	// first the epoch at which this tenure began.
	epoch, wanted, first ports.Epoch
	// since is when the tenure began.
	since time.Time

	renewing  bool
	renewTook time.Duration
	renewAt   time.Time
	reopening bool

	// away is when another entry became preferred, zero while this one is.
	away time.Time
	// releaseBy ends the wait for unresolved orders.
	releaseBy time.Time
	released  bool
	// successor is who a released shard is meant for.
	successor ports.Member

	// superseded means that a target has shown the fence of a later owner.
	superseded bool
	checking   bool
}

// safeEnd is until when no other entry can have taken the shard over.
func (s *Shard) safeEnd() time.Time {
	return s.session.lease.sent.Add(s.settings.LeaseTTL - s.settings.LeaseMargin)
}

// isSafe tells whether the lease certainly stands.
func (s *Shard) isSafe() bool {
	return s.session.covered && s.now.Before(s.safeEnd())
}

func (s *Shard) holder(l lease) place.Holder {
	return place.Holder{
		Instance:    s.settings.Self.ID,
		Incarnation: s.settings.Self.Incarnation,
		Lease:       l.id,
		LeaseKey:    l.key,
	}
}

// openLease grants a lease and puts its key; each lease has a key of its own, so
// that a lost answer to one attempt cannot be mistaken for another's.
func (s *Shard) openLease(then func(lease, bool)) {
	sent := s.now
	s.kv(ports.KVGrant{TTL: s.settings.LeaseTTL}, func(r ports.KVReply) {
		if r.Status != ports.KVOK {
			then(lease{}, false)
			return
		}
		l := lease{id: r.Lease, sent: sent, key: "lease/" + s.nextNonce()}
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

// abandonLease ends a lease that nothing hangs on; a lost call only leaves it
// to lapse.
func (s *Shard) abandonLease(l lease) {
	s.kv(ports.KVRevoke{Lease: l.id}, func(ports.KVReply) {})
}

const (
	renewRetry = 500 * time.Millisecond
	// slowRenewal is the time of a renewal from which the KV service counts as
	// too slow for moving shards without need.
	slowRenewal = 300 * time.Millisecond
)

func (s *Shard) renew() {
	ses := &s.session
	if !ses.covered {
		s.reopen()
		return
	}
	if ses.renewing || s.now.Before(ses.renewAt) {
		return
	}
	ses.renewing = true
	sent := s.now
	s.kv(ports.KVRenew{Lease: ses.lease.id}, func(r ports.KVReply) {
		ses := &s.session
		ses.renewing = false
		switch r.Status {
		case ports.KVOK:
			ses.lease.sent = sent
			ses.renewTook = s.now.Sub(sent)
			ses.renewAt = sent.Add(s.settings.LeaseTTL / 3)
		case ports.KVNotFound:
			ses.covered = false
		default:
			ses.renewAt = s.now.Add(renewRetry + s.jitter(renewRetry))
		}
	})
}

// reopen replaces a lapsed lease. The new one covers the shard only once it is
// named in the shard's value: until then another entry may be taking over on
// the strength of the old one's end.
func (s *Shard) reopen() {
	ses := &s.session
	if ses.reopening || s.now.Before(ses.renewAt) {
		return
	}
	ses.reopening = true
	s.openLease(func(l lease, ok bool) {
		ses := &s.session
		ses.reopening = false
		ses.renewAt = s.now.Add(renewRetry + s.jitter(renewRetry))
		if !ok {
			return
		}
		ses.reopening = true
		ses.lease = l
		seq := s.changed()
		s.journal.whenWritten(seq, func() {
			s.session.reopening = false
			// A release that began meanwhile has given the lease up already.
			s.session.covered = !s.session.released
			s.session.renewAt = l.sent.Add(s.settings.LeaseTTL / 3)
		})
	})
}

// lose ends the tenure because another entry owns the shard, or may.
func (s *Shard) lose(why string) {
	epoch := s.session.epoch
	s.forget()
	s.stage = stageWatching
	s.happened(KindLost, s.name(), "epoch %d: %s", epoch, why)
	s.note(OwnershipChanged{Shard: s.settings.Shard, Owned: false, Epoch: epoch})
	s.watch.lookAt = s.now.Add(s.settings.PollEvery/2 + s.jitter(s.settings.PollEvery/2))
	if s.stopping {
		s.stopped()
	}
}

// superseded stops all orders after a target or a ledger has shown a higher epoch
// than this owner's, and reads the value. With the value unchanged the fence is a
// remnant of a value that was deleted, and the epoch is raised above it.
func (s *Shard) superseded(fence ports.Epoch) {
	s.session.superseded = true
	if s.session.checking {
		return
	}
	s.session.checking = true
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		s.session.checking = false
		item, ok := r.Item()
		if r.Status != ports.KVOK || !ok {
			return
		}
		if !s.isOwnWrite(item) {
			s.lose("the value names another owner")
			return
		}
		s.raiseEpoch(fence + 1)
		s.journal.whenWritten(s.journal.changed, func() { s.session.superseded = false })
	})
}

// raiseEpoch has a higher epoch written, which then fences off this owner's own
// earlier orders.
func (s *Shard) raiseEpoch(epoch ports.Epoch) {
	if s.session.wanted >= epoch || s.session.epoch >= epoch {
		return
	}
	s.session.wanted = epoch
	s.changed()
}

func (s *Shard) rebalance() {
	ses := &s.session
	preferred := s.candidates()[0]
	if preferred == s.settings.Self.ID {
		ses.away = time.Time{}
		return
	}
	if ses.away.IsZero() {
		ses.away = s.now
	}
	if s.now.Sub(ses.away) < s.settings.RebalanceAfter<<s.handover.failed(preferred) || !s.isSafe() || s.hasUnresolved() {
		return
	}
	if ses.renewTook > slowRenewal {
		// A hand-over takes several calls, during which nobody owns the shard.
		return
	}
	s.beginRelease()
	ses.successor = s.members[preferred]
	s.handover.begin(preferred, ses.epoch)
}

// handover remembers shards given to an entry that did not take them, so that
// an entry which gossips but cannot reach the KV service is not offered a shard
// again and again.
type handover struct {
	to    string
	epoch ports.Epoch
	// returned counts the times in a row that the shard came back untouched.
	returned int
}

// mostReturned bounds the doubling of the wait before the next offer.
const mostReturned = 7

func (h *handover) begin(to string, epoch ports.Epoch) {
	if h.to != to {
		h.returned = 0
	}
	h.to, h.epoch = to, epoch
}

// taken tells that this entry owns the shard, with the given epoch.
func (h *handover) taken(epoch ports.Epoch) {
	if h.to != "" && epoch == h.epoch+1 {
		h.returned = min(h.returned+1, mostReturned)
		return
	}
	*h = handover{}
}

// failed is how often in a row an offer to an entry came back.
func (h *handover) failed(to string) int {
	if h.to != to {
		return 0
	}
	return h.returned
}

func (s *Shard) stop() {
	s.stopping = true
	switch s.stage {
	case stageOwned:
		s.beginRelease()
	case stageReleasing:
	default:
		s.forget()
		s.stopped()
	}
}

func (s *Shard) stopped() {
	if s.stage == stageStopped {
		return
	}
	s.stage = stageStopped
	s.note(Stopped{Shard: s.settings.Shard})
}

func (s *Shard) beginRelease() {
	s.stage = stageReleasing
	s.session.releaseBy = s.now.Add(s.settings.StopWithin)
}

// release waits until no order is under way, then writes the plan as it stands
// without an owner. What is unresolved stands in the plan.
func (s *Shard) release() {
	ses := &s.session
	if s.now.After(ses.releaseBy.Add(s.settings.StopWithin)) {
		s.lose("the KV service did not take the release")
		return
	}
	if !ses.released {
		s.renew()
		if s.ordersUnderWay() && s.now.Before(ses.releaseBy) {
			return
		}
		// From the moment of the write on, another entry may own the shard.
		ses.covered = false
		ses.released = true
		seq := s.changed()
		s.journal.whenWritten(seq, s.finishRelease)
	}
	s.writePlan()
}

func (s *Shard) finishRelease() {
	l, epoch, successor := s.session.lease, s.session.epoch, s.session.successor
	s.abandonLease(l)
	s.forget()
	s.stage = stageWatching
	s.happened(KindReleased, s.name(), "epoch %d", epoch)
	s.note(OwnershipChanged{Shard: s.settings.Shard, Owned: false, Epoch: epoch})
	s.watch.lookAt = s.now.Add(leasePoll + s.rankWait())
	if successor.Addr.IsValid() {
		s.peer(successor, ports.HandOver{Shards: []int{s.settings.Shard}, From: s.settings.Self.ID}, func(ports.PeerReply) {})
	}
	if s.stopping {
		s.stopped()
	}
}
