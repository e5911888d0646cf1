package owner

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/rank"
)

// watchState is the state of an entry that does not own the shard.
type watchState struct {
	checkAt time.Time
	// ranked means that the first check was delayed by this entry's rank among the
	// candidates.
	ranked bool
	// hadOwner is whether gossip showed an owner at the previous change of the members.
	hadOwner bool
}

const (
	// candidateDelay separates the checks of consecutive candidates, so that the
	// preferred one can take a free shard before the next one checks it.
	candidateDelay = 1500 * time.Millisecond
	// leasePollInterval is the interval at which a shard without a known owner is
	// checked.
	leasePollInterval = time.Second
	// checkJitter spreads the checks of one candidate for many shards.
	checkJitter = 300 * time.Millisecond
	// suspectDelay is the delay between the disappearance of the owner from gossip and
	// the first check.
	suspectDelay = 200 * time.Millisecond
)

func (s *Shard) changeMembers(members []ports.Member) {
	s.members = make(map[string]ports.Member, len(members))
	for _, m := range members {
		s.members[m.ID] = m
	}
	s.assignHomeModels(false)
	s.trackSenders()
	has := s.gossipedOwner() != ""
	if s.watch.hadOwner && !has {
		s.watch.checkAt = earlier(s.watch.checkAt, s.now.Add(suspectDelay+s.checkDelay()))
	}
	s.watch.hadOwner = has
}

// gossipedOwner returns the other entry that claims in gossip to own the shard, or an
// empty string.
func (s *Shard) gossipedOwner() string {
	return s.ownerOf(s.settings.Zone, s.settings.Shard).ID
}

func (s *Shard) ownerOf(zone string, shard int) ports.Member {
	var found ports.Member
	for _, m := range s.members {
		if m.Zone != zone || m.ID == s.settings.Self.ID || m.Phase == ports.MemberSilent || m.Phase == ports.MemberGone {
			continue
		}
		for _, owned := range m.Shards {
			if owned == shard && (found.ID == "" || m.ID < found.ID) {
				found = m
			}
		}
	}
	return found
}

// candidates returns the entries of the zone that may own the shard, the preferred one
// first.
func (s *Shard) candidates() []string {
	ids := []string{s.settings.Self.ID}
	for _, m := range s.members {
		if m.ID != s.settings.Self.ID && m.Zone == s.settings.Zone && m.Phase == ports.MemberAlive {
			ids = append(ids, m.ID)
		}
	}
	return rank.Order(s.key(), ids)
}

func (s *Shard) checkDelay() time.Duration {
	for rank, id := range s.candidates() {
		if id == s.settings.Self.ID {
			return time.Duration(rank)*candidateDelay + s.jitter(checkJitter)
		}
	}
	return s.settings.PollInterval
}

func (s *Shard) checkIfDue() {
	if s.watch.checkAt.IsZero() || s.now.Before(s.watch.checkAt) || s.stopping {
		return
	}
	if !s.watch.ranked {
		s.watch.ranked = true
		s.watch.checkAt = s.now.Add(s.checkDelay())
		if s.now.Before(s.watch.checkAt) {
			return
		}
	}
	s.checkOwner()
}

// scheduleCheck schedules the next check: soon while no owner is known, else at the long
// interval, which finds what gossip misses.
func (s *Shard) scheduleCheck() {
	s.stage = stageWatching
	wait := s.settings.PollInterval + s.jitter(s.settings.PollInterval/4)
	if s.gossipedOwner() == "" {
		wait = leasePollInterval + s.checkDelay()
	}
	s.watch.checkAt = s.now.Add(wait)
}

// checkOwner reads the shard's value and, if it names an owner, that owner's lease.
func (s *Shard) checkOwner() {
	s.stage = stageTaking
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		switch r.Status {
		case ports.KVNotFound:
			s.claimNewShard()
		case ports.KVOK:
			s.handleValue(r)
		default:
			s.scheduleCheck()
		}
	})
}

func (s *Shard) handleValue(r ports.KVReply) {
	item, ok := r.Item()
	if !ok {
		s.scheduleCheck()
		return
	}
	plan, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
	if err != nil {
		s.rejectValue(err)
		return
	}
	if plan.ShardCount != s.settings.ShardCount {
		s.rejectValue(s.shardCountError(plan))
		return
	}
	if plan.Owner.Instance == "" {
		s.acquireLeaseAndClaim(plan, item.Revision)
		return
	}
	s.checkLease(plan, item.Revision)
}

// claimNewShard claims a shard without a value, unless other values show that the zone is
// divided into another number of shards, to which its targets then belong.
func (s *Shard) claimNewShard() {
	s.kv(ports.KVList{Prefix: s.keyPrefix(), Limit: 1}, func(r ports.KVReply) {
		if r.Status != ports.KVOK {
			s.scheduleCheck()
			return
		}
		plan := place.Plan{Zone: s.settings.Zone, Shard: s.settings.Shard, ShardCount: s.settings.ShardCount}
		if item, ok := r.Item(); ok {
			other, err := place.DecodeAny(item.Value)
			if err == nil && other.ShardCount != s.settings.ShardCount {
				err = s.shardCountError(other)
			}
			if err != nil {
				s.rejectValue(err)
				return
			}
		}
		s.acquireLeaseAndClaim(plan, 0)
	})
}

func (s *Shard) shardCountError(plan place.Plan) error {
	return trace.BadParameter("plan of shard %s/%d is of a zone divided into %d shards, the settings say %d",
		plan.Zone, plan.Shard, plan.ShardCount, s.settings.ShardCount)
}

// rejectValue leaves a value unchanged that this program cannot read. The shard is
// checked again at the long interval, because an operator may repair the value.
func (s *Shard) rejectValue(err error) {
	s.report(KindDamaged, s.key(), "%v", err)
	s.stage = stageWatching
	s.watch.checkAt = s.now.Add(s.settings.PollInterval)
}

// checkLease claims the shard only if the KV service reports that the owner's lease is
// gone. The value was read before the lease, and the claim expects its revision: an owner
// that renewed its claim in between has changed the value, so the write fails.
func (s *Shard) checkLease(plan place.Plan, revision ports.Revision) {
	if s.isFormerSelf(plan.Owner) {
		s.kv(ports.KVRevoke{Lease: plan.Owner.Lease}, func(r ports.KVReply) {
			if r.Status != ports.KVOK && r.Status != ports.KVNotFound {
				s.scheduleCheck()
				return
			}
			s.acquireLeaseAndClaim(plan, revision)
		})
		return
	}
	s.kv(ports.KVGet{Key: plan.Owner.LeaseKey}, func(r ports.KVReply) {
		if r.Status != ports.KVNotFound {
			s.scheduleCheck()
			return
		}
		s.acquireLeaseAndClaim(plan, revision)
	})
}

// isFormerSelf reports whether the owner was an earlier incarnation of this instance,
// whose process is known to have ended.
func (s *Shard) isFormerSelf(h place.Holder) bool {
	return h.Instance == s.settings.Self.ID && h.Incarnation < s.settings.Self.Incarnation
}

// acquireLeaseAndClaim opens a lease and then claims the shard with the next epoch.
func (s *Shard) acquireLeaseAndClaim(plan place.Plan, revision ports.Revision) {
	s.stage = stageTaking
	s.openLease(func(l lease, ok bool) {
		if !ok {
			s.scheduleCheck()
			return
		}
		s.claim(plan, revision, l)
	})
}

func (s *Shard) claim(plan place.Plan, revision ports.Revision, l lease) {
	former := plan.Owner
	plan.Epoch++
	plan.Owner = s.holder(l)
	plan.Nonce = s.nextNonce()
	value, err := place.Encode(plan)
	if err != nil {
		s.rejectValue(err)
		return
	}
	s.kv(ports.KVPut{Key: s.key(), Value: value, Expect: revision}, func(r ports.KVReply) {
		switch r.Status {
		case ports.KVOK:
			s.beginOwnership(plan, r.Revision, l, former)
		case ports.KVUnknown:
			s.verifyClaim(plan, l, former)
		default:
			s.abandonLease(l)
			s.scheduleCheck()
		}
	})
}

// verifyClaim reads back whether a claim took effect. If the value is still the old one,
// the claim may yet arrive. The next check then finds this entry as the owner and checks
// its lease like any other.
func (s *Shard) verifyClaim(plan place.Plan, l lease, former place.Holder) {
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		item, ok := r.Item()
		if r.Status == ports.KVOK && ok {
			current, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
			if err == nil && current.Nonce == plan.Nonce {
				s.beginOwnership(plan, item.Revision, l, former)
				return
			}
		}
		s.abandonLease(l)
		s.scheduleCheck()
	})
}

// beginOwnership begins an ownership term with the plan as written.
func (s *Shard) beginOwnership(plan place.Plan, revision ports.Revision, l lease, former place.Holder) {
	s.resetOwnership()
	s.stage = stageOwned
	s.handover.recordTakeover(plan.Epoch)
	s.ownership = ownership{
		lease:      l,
		leaseNamed: true,
		epoch:      plan.Epoch,
		firstEpoch: plan.Epoch,
		startedAt:  s.now,
		renewAt:    l.renewedAt.Add(s.settings.LeaseTTL / 3),
	}
	s.writer.revision = revision
	s.writer.permits = plan.Permits
	s.permits.adopt(plan.Permits)
	for _, id := range plan.TargetIDs() {
		s.adoptTarget(id, plan.Targets[id])
	}
	s.syncInstances()
	s.after(s.jitter(auditJitter), s.ifSameTerm(func() { s.auditLedgers("") }))
	s.schedulePrefetch()
	s.table.full = true
	s.report(KindTakeover, s.ledgerName(), "epoch %d, after %s", plan.Epoch, holderName(former))
	s.notify(OwnershipChanged{Shard: s.settings.Shard, Owned: true, Epoch: plan.Epoch})
}

func holderName(h place.Holder) string {
	if h.Instance == "" {
		return "nobody"
	}
	return fmt.Sprintf("%s/%d", h.Instance, h.Incarnation)
}

func earlier(a, b time.Time) time.Time {
	if a.IsZero() || b.Before(a) {
		return b
	}
	return a
}
