package owner

import (
	"fmt"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/rank"
)

// watching is the state of an entry that does not own the shard.
type watching struct {
	lookAt time.Time
	// ranked means that the first look waited for its turn among the candidates.
	ranked bool
	// hadOwner remembers whether gossip showed an owner at the last look around.
	hadOwner bool
}

const (
	// rankDelay keeps candidates apart, so that the preferred one takes a free
	// shard before the next one looks.
	rankDelay = 1500 * time.Millisecond
	// leasePoll is the period of looks at a lease whose holder went silent.
	leasePoll = time.Second
	// lookJitter spreads the looks of one candidate at many shards.
	lookJitter = 300 * time.Millisecond
	// suspectAfter is the wait between gossip's loss of an owner and the first look.
	suspectAfter = 200 * time.Millisecond
)

func (s *Shard) changeMembers(members []ports.Member) {
	s.members = make(map[string]ports.Member, len(members))
	for _, m := range members {
		s.members[m.ID] = m
	}
	s.reviewHome(false)
	s.hearSenders()
	has := s.gossipedOwner() != ""
	if s.watch.hadOwner && !has {
		s.watch.lookAt = earlier(s.watch.lookAt, s.now.Add(suspectAfter+s.rankWait()))
	}
	s.watch.hadOwner = has
}

// gossipedOwner returns the other entry that says it owns the shard.
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

// candidates are the entries of the zone that may own the shard.
func (s *Shard) candidates() []string {
	ids := []string{s.settings.Self.ID}
	for _, m := range s.members {
		if m.ID != s.settings.Self.ID && m.Zone == s.settings.Zone && m.Phase == ports.MemberAlive {
			ids = append(ids, m.ID)
		}
	}
	return rank.Order(s.key(), ids)
}

func (s *Shard) rankWait() time.Duration {
	for rank, id := range s.candidates() {
		if id == s.settings.Self.ID {
			return time.Duration(rank)*rankDelay + s.jitter(lookJitter)
		}
	}
	return s.settings.PollEvery
}

func (s *Shard) watchOver() {
	if s.watch.lookAt.IsZero() || s.now.Before(s.watch.lookAt) || s.stopping {
		return
	}
	if !s.watch.ranked {
		s.watch.ranked = true
		s.watch.lookAt = s.now.Add(s.rankWait())
		if s.now.Before(s.watch.lookAt) {
			return
		}
	}
	s.look()
}

// lookAgain plans the next look: soon while nobody is known to own the shard,
// else at the slow period, which finds what gossip misses.
func (s *Shard) lookAgain() {
	s.stage = stageWatching
	wait := s.settings.PollEvery + s.jitter(s.settings.PollEvery/4)
	if s.gossipedOwner() == "" {
		wait = leasePoll + s.rankWait()
	}
	s.watch.lookAt = s.now.Add(wait)
}

// look reads the shard's value and, if it names an owner, that owner's lease.
func (s *Shard) look() {
	s.stage = stageTaking
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		switch r.Status {
		case ports.KVNotFound:
			s.takeNew()
		case ports.KVOK:
			s.found(r)
		default:
			s.lookAgain()
		}
	})
}

func (s *Shard) found(r ports.KVReply) {
	item, ok := r.Item()
	if !ok {
		s.lookAgain()
		return
	}
	plan, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
	if err != nil {
		s.refuseValue(err)
		return
	}
	if plan.ShardCount != s.settings.ShardCount {
		s.refuseValue(s.otherDivision(plan))
		return
	}
	if plan.Owner.Instance == "" {
		s.take(plan, item.Revision)
		return
	}
	s.checkLease(plan, item.Revision)
}

// takeNew takes a shard without a value, unless other values show that the zone
// is divided into another number of shards: its targets then belong to those.
func (s *Shard) takeNew() {
	s.kv(ports.KVList{Prefix: s.keyPrefix(), Limit: 1}, func(r ports.KVReply) {
		if r.Status != ports.KVOK {
			s.lookAgain()
			return
		}
		plan := place.Plan{Zone: s.settings.Zone, Shard: s.settings.Shard, ShardCount: s.settings.ShardCount}
		if item, ok := r.Item(); ok {
			other, err := place.DecodeAny(item.Value)
			if err == nil && other.ShardCount != s.settings.ShardCount {
				err = s.otherDivision(other)
			}
			if err != nil {
				s.refuseValue(err)
				return
			}
		}
		s.take(plan, 0)
	})
}

func (s *Shard) otherDivision(plan place.Plan) error {
	return trace.BadParameter("plan of shard %s/%d is of a zone divided into %d shards, the settings say %d",
		plan.Zone, plan.Shard, plan.ShardCount, s.settings.ShardCount)
}

// refuseValue leaves a value alone that this program cannot read; looks go on
// slowly, since somebody may mend it.
func (s *Shard) refuseValue(err error) {
	s.happened(KindDamaged, s.key(), "%v", err)
	s.stage = stageWatching
	s.watch.lookAt = s.now.Add(s.settings.PollEvery)
}

// checkLease takes the shard only if the KV service says that the owner's lease
// is gone. The value was read before the lease, and is written with its
// revision as the expectation: an owner that renewed its claim in between has
// changed the value, and the write fails.
func (s *Shard) checkLease(plan place.Plan, revision ports.Revision) {
	if s.isOwnPast(plan.Owner) {
		s.kv(ports.KVRevoke{Lease: plan.Owner.Lease}, func(r ports.KVReply) {
			if r.Status != ports.KVOK && r.Status != ports.KVNotFound {
				s.lookAgain()
				return
			}
			s.take(plan, revision)
		})
		return
	}
	s.kv(ports.KVGet{Key: plan.Owner.LeaseKey}, func(r ports.KVReply) {
		if r.Status != ports.KVNotFound {
			s.lookAgain()
			return
		}
		s.take(plan, revision)
	})
}

// isOwnPast tells whether the owner was an earlier incarnation of this instance,
// whose process is known to be gone.
func (s *Shard) isOwnPast(h place.Holder) bool {
	return h.Instance == s.settings.Self.ID && h.Incarnation < s.settings.Self.Incarnation
}

// take opens a lease and then claims the shard with the next epoch.
func (s *Shard) take(plan place.Plan, revision ports.Revision) {
	s.stage = stageTaking
	s.openLease(func(l lease, ok bool) {
		if !ok {
			s.lookAgain()
			return
		}
		s.claim(plan, revision, l)
	})
}

func (s *Shard) claim(plan place.Plan, revision ports.Revision, l lease) {
	before := plan.Owner
	plan.Epoch++
	plan.Owner = s.holder(l)
	plan.Nonce = s.nextNonce()
	value, err := place.Encode(plan)
	if err != nil {
		s.refuseValue(err)
		return
	}
	s.kv(ports.KVPut{Key: s.key(), Value: value, Expect: revision}, func(r ports.KVReply) {
		switch r.Status {
		case ports.KVOK:
			s.own(plan, r.Revision, l, before)
		case ports.KVUnknown:
			s.claimUnknown(plan, l, before)
		default:
			s.abandonLease(l)
			s.lookAgain()
		}
	})
}

// claimUnknown reads back whether a claim took effect. If the value is still
// the old one the claim may yet arrive; the next look finds this entry's own
// holder then, whose lease it checks like any other.
func (s *Shard) claimUnknown(plan place.Plan, l lease, before place.Holder) {
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		item, ok := r.Item()
		if r.Status == ports.KVOK && ok {
			now, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
			if err == nil && now.Nonce == plan.Nonce {
				s.own(plan, item.Revision, l, before)
				return
			}
		}
		s.abandonLease(l)
		s.lookAgain()
	})
}

// own begins the tenure with the plan as it was written.
func (s *Shard) own(plan place.Plan, revision ports.Revision, l lease, before place.Holder) {
	s.forget()
	s.stage = stageOwned
	s.handover.taken(plan.Epoch)
	s.session = session{
		lease:   l,
		covered: true,
		epoch:   plan.Epoch,
		first:   plan.Epoch,
		since:   s.now,
		renewAt: l.sent.Add(s.settings.LeaseTTL / 3),
	}
	s.journal.revision = revision
	s.journal.permits = plan.Permits
	s.permits.adopt(plan.Permits)
	for _, id := range plan.TargetIDs() {
		s.adoptTarget(id, plan.Targets[id])
	}
	s.matchList()
	s.after(s.jitter(auditSpread), s.sameTenure(func() { s.auditLedgers("") }))
	s.planAhead()
	s.table.whole = true
	s.happened(KindTakeover, s.name(), "epoch %d, after %s", plan.Epoch, describe(before))
	s.note(OwnershipChanged{Shard: s.settings.Shard, Owned: true, Epoch: plan.Epoch})
}

func describe(h place.Holder) string {
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
