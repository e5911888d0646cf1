package owner

import (
	"fmt"
	"maps"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// journal writes the plan to the KV service, one write at a time.
//
// Every change of the plan takes the next sequence number; a write covers all
// changes up to the number at which it was made, so changes that come while a
// write is under way go together in the next one.
type journal struct {
	revision ports.Revision
	// changed is the last change, written the last one known to be in the value.
	changed, written uint64
	// permits are those of the value as last known to be written.
	permits map[string]int
	// attempts are the writes that may have taken effect, by nonce.
	attempts map[string]attempt
	writing  bool
	retryAt  time.Time
	backoff  time.Duration
	// lazyAt is when changes are written that nothing waits for.
	lazyAt time.Time
	// pending run once the change they wait for is written.
	pending []pendingWrite
	// pendingSince is when the oldest unwritten change was made.
	pendingSince time.Time
}

type attempt struct {
	seq     uint64
	epoch   ports.Epoch
	permits map[string]int
}

type pendingWrite struct {
	seq  uint64
	then func()
}

const (
	// lazyDelay gathers changes that nothing waits for.
	lazyDelay = 2 * time.Second
	// writeBackoff bounds the wait between tries to write.
	writeBackoffFirst = 200 * time.Millisecond
	writeBackoffLimit = 2 * time.Second
	// offPlanAfter is how long a change may wait for the KV service before
	// targets that check fencing are ordered without it.
	offPlanAfter = time.Second
)

func (j *journal) whenWritten(seq uint64, then func()) {
	j.pending = append(j.pending, pendingWrite{seq, then})
}

// changed records a change of the plan that is to be written at once.
func (s *Shard) changed() uint64 {
	j := &s.journal
	if j.changed == j.written {
		j.pendingSince = s.now
	}
	j.changed++
	return j.changed
}

// changedLazily records a change that can wait for the next write.
func (s *Shard) changedLazily() {
	if s.journal.lazyAt.IsZero() {
		s.journal.lazyAt = s.now.Add(lazyDelay)
	}
}

func (s *Shard) isWritten(seq uint64) bool {
	return seq <= s.journal.written
}

// isOffPlan tells whether writes have been failing for long enough that orders
// to targets that check fencing go ahead of them.
func (s *Shard) isOffPlan() bool {
	j := &s.journal
	return j.changed > j.written && s.now.Sub(j.pendingSince) >= offPlanAfter
}

func (s *Shard) writePlan() {
	j := &s.journal
	if !j.lazyAt.IsZero() && !s.now.Before(j.lazyAt) {
		j.lazyAt = time.Time{}
		s.changed()
	}
	if j.writing || j.changed == j.written || s.now.Before(j.retryAt) {
		return
	}
	plan := s.plan()
	plan.Nonce = s.nextNonce()
	value, err := place.Encode(plan)
	if err != nil {
		s.happened(KindDamaged, s.key(), "the plan cannot be written: %v", err)
		j.retryAt = s.now.Add(s.settings.PollEvery)
		return
	}
	j.writing = true
	j.lazyAt = time.Time{}
	j.attempts[plan.Nonce] = attempt{seq: j.changed, epoch: plan.Epoch, permits: plan.Permits}
	s.kv(ports.KVPut{Key: s.key(), Value: value, Expect: j.revision}, func(r ports.KVReply) {
		s.planWritten(plan.Nonce, r)
	})
}

func (s *Shard) planWritten(nonce string, r ports.KVReply) {
	j := &s.journal
	switch r.Status {
	case ports.KVOK:
		s.wrote(nonce, r.Revision)
	case ports.KVConflict:
		s.resolveWrite(r)
	case ports.KVUnknown:
		s.readBack()
	case ports.KVUnavailable:
		delete(j.attempts, nonce)
		s.retryWrite()
	default:
		s.happened(KindDamaged, s.key(), "the KV service refuses the plan: %s", r.Status)
		s.retryWrite()
	}
}

// readBack finds out what became of a write whose answer was lost; nothing is
// written until that is known.
func (s *Shard) readBack() {
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		if r.Status == ports.KVOK || r.Status == ports.KVNotFound {
			s.resolveWrite(r)
			return
		}
		s.after(writeBackoffFirst+s.jitter(writeBackoffLimit), s.sameTenure(s.readBack))
	})
}

func (s *Shard) sameTenure(f func()) func() {
	tenure := s.tenure
	return func() {
		if s.tenure == tenure {
			f()
		}
	}
}

// resolveWrite goes on from the value that stands in the KV service: a write of
// this owner, the value as it was before, or another owner's.
func (s *Shard) resolveWrite(r ports.KVReply) {
	item, ok := r.Item()
	if !ok {
		s.lose("the value was deleted")
		return
	}
	plan, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
	if err != nil {
		s.happened(KindDamaged, s.key(), "%v", err)
		s.lose("the value cannot be read")
		return
	}
	if _, own := s.journal.attempts[plan.Nonce]; own {
		s.wrote(plan.Nonce, item.Revision)
		return
	}
	if item.Revision == s.journal.revision {
		// The write has not taken effect and may yet. A new one expects the same
		// revision, so that only one of the two can.
		s.retryWrite()
		return
	}
	s.lose("the value names " + describe(plan.Owner))
}

func (s *Shard) isOwnWrite(item ports.Item) bool {
	plan, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
	if err != nil {
		return false
	}
	_, own := s.journal.attempts[plan.Nonce]
	return own || item.Revision == s.journal.revision
}

func (s *Shard) wrote(nonce string, revision ports.Revision) {
	j := &s.journal
	a := j.attempts[nonce]
	clear(j.attempts)
	j.revision = revision
	j.written = a.seq
	j.permits = a.permits
	j.writing = false
	j.backoff = 0
	j.pendingSince = s.now
	s.session.epoch = a.epoch
	waiting := j.pending
	j.pending = nil
	for i, p := range waiting {
		if p.seq > a.seq {
			s.journal.pending = append(s.journal.pending, p)
			continue
		}
		tenure := s.tenure
		p.then()
		if s.tenure != tenure {
			_ = i
			return
		}
	}
}

func (s *Shard) retryWrite() {
	j := &s.journal
	j.writing = false
	j.backoff = min(max(2*j.backoff, writeBackoffFirst), writeBackoffLimit)
	j.retryAt = s.now.Add(j.backoff/2 + s.jitter(j.backoff))
}

// nextNonce is unique for all time: no two incarnations share an instance's name and number.
func (s *Shard) nextNonce() string {
	s.lastNonce++
	self := s.settings.Self
	return fmt.Sprintf("%s/%d/%d-%d", self.ID, self.Incarnation, s.settings.Shard, s.lastNonce)
}

// plan is the value to be written now.
func (s *Shard) plan() place.Plan {
	p := place.Plan{
		Zone:       s.settings.Zone,
		Shard:      s.settings.Shard,
		ShardCount: s.settings.ShardCount,
		Epoch:      max(s.session.epoch, s.session.wanted),
		Owner:      s.holder(s.session.lease),
		Permits:    maps.Clone(s.permits.held),
		Targets:    make(map[string]place.Target, len(s.targets)),
	}
	if s.session.released {
		p.Owner = place.Holder{}
	}
	for id, t := range s.targets {
		p.Targets[id] = t.plan()
	}
	return p
}

// noteKV follows whether the KV service answers.
func (s *Shard) noteKV(status ports.KVStatus) {
	failed := status == ports.KVUnavailable || status == ports.KVUnknown
	w := &s.outage
	switch {
	case !failed:
		if w.told {
			s.happened(KindOutageOver, s.name(), "after %v", s.now.Sub(w.since).Round(time.Second))
		}
		*w = outage{}
	case w.since.IsZero():
		w.since = s.now
	case !w.told && s.now.Sub(w.since) >= outageAfter:
		w.told = true
		s.happened(KindOutage, s.name(), "no answer since %v", s.now.Sub(w.since).Round(time.Second))
	}
}

// outage is a stretch of KV calls that all failed.
type outage struct {
	since time.Time
	told  bool
}

// outageAfter keeps single failures out of the day page.
const outageAfter = 3 * time.Second
