package owner

import (
	"fmt"
	"maps"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// planWriter writes the plan to the KV service, one write at a time.
//
// Every change of the plan gets the next sequence number. A write covers all changes up
// to the number at which it was made, so changes made while a write is in flight go into
// the next write together.
type planWriter struct {
	revision ports.Revision
	// lastChange is the number of the latest change, and lastWritten that of the latest
	// one known to be in the value.
	lastChange, lastWritten uint64
	// permits are those in the value as last known to be written.
	permits map[string]int
	// attempts are the writes that may have taken effect, by nonce.
	attempts map[string]writeAttempt
	writing  bool
	retryAt  time.Time
	backoff  time.Duration
	// lazyWriteAt is when changes that nothing waits for are written.
	lazyWriteAt time.Time
	// callbacks run once the change that they wait for is written.
	callbacks []writeCallback
	// unwrittenSince is when the oldest unwritten change was made.
	unwrittenSince time.Time
}

type writeAttempt struct {
	seq     uint64
	epoch   ports.Epoch
	permits map[string]int
}

type writeCallback struct {
	seq uint64
	run func()
}

const (
	// lazyWriteDelay is how long changes that nothing waits for are collected for one
	// write.
	lazyWriteDelay = 2 * time.Second
	// minWriteBackoff is the delay before the first retry of a write; it doubles with
	// each further one.
	minWriteBackoff = 200 * time.Millisecond
	// maxWriteBackoff is the maximum delay between tries to write.
	maxWriteBackoff = 2 * time.Second
	// unwrittenOrderDelay is how long a change may wait for the KV service before orders
	// that depend on it are sent to targets that check fencing.
	unwrittenOrderDelay = time.Second
)

func (w *planWriter) onWritten(seq uint64, then func()) {
	w.callbacks = append(w.callbacks, writeCallback{seq, then})
}

// markChanged records a change of the plan that is to be written at once, and returns its
// sequence number.
func (s *Shard) markChanged() uint64 {
	w := &s.writer
	if w.lastChange == w.lastWritten {
		w.unwrittenSince = s.now
	}
	w.lastChange++
	return w.lastChange
}

// markChangedLazily records a change that can wait for the next write.
func (s *Shard) markChangedLazily() {
	if s.writer.lazyWriteAt.IsZero() {
		s.writer.lazyWriteAt = s.now.Add(lazyWriteDelay)
	}
}

func (s *Shard) isWritten(seq uint64) bool {
	return seq <= s.writer.lastWritten
}

// canOrderUnwritten reports whether writes have been failing for long enough that orders
// to targets that check fencing are sent before the write.
func (s *Shard) canOrderUnwritten() bool {
	w := &s.writer
	return w.lastChange > w.lastWritten && s.now.Sub(w.unwrittenSince) >= unwrittenOrderDelay
}

func (s *Shard) writePlan() {
	w := &s.writer
	if !w.lazyWriteAt.IsZero() && !s.now.Before(w.lazyWriteAt) {
		w.lazyWriteAt = time.Time{}
		s.markChanged()
	}
	if w.writing || w.lastChange == w.lastWritten || s.now.Before(w.retryAt) {
		return
	}
	plan := s.plan()
	plan.Nonce = s.nextNonce()
	value, err := place.Encode(plan)
	if err != nil {
		s.report(KindDamaged, s.key(), "cannot encode the plan: %v", err)
		w.retryAt = s.now.Add(s.settings.PollInterval)
		return
	}
	w.writing = true
	w.lazyWriteAt = time.Time{}
	w.attempts[plan.Nonce] = writeAttempt{seq: w.lastChange, epoch: plan.Epoch, permits: plan.Permits}
	s.kv(ports.KVPut{Key: s.key(), Value: value, Expect: w.revision}, func(r ports.KVReply) {
		s.handleWriteReply(plan.Nonce, r)
	})
}

func (s *Shard) handleWriteReply(nonce string, r ports.KVReply) {
	w := &s.writer
	switch r.Status {
	case ports.KVOK:
		s.confirmWrite(nonce, r.Revision)
	case ports.KVConflict:
		s.resolveWrite(r)
	case ports.KVUnknown:
		s.readBack()
	case ports.KVUnavailable:
		delete(w.attempts, nonce)
		s.retryWrite()
	default:
		s.report(KindDamaged, s.key(), "the KV service rejected the plan: %s", r.Status)
		s.retryWrite()
	}
}

// readBack finds out whether a write whose reply was lost has taken effect. Nothing is
// written until that is known.
func (s *Shard) readBack() {
	s.kv(ports.KVGet{Key: s.key()}, func(r ports.KVReply) {
		if r.Status == ports.KVOK || r.Status == ports.KVNotFound {
			s.resolveWrite(r)
			return
		}
		s.after(minWriteBackoff+s.jitter(maxWriteBackoff), s.ifSameTerm(s.readBack))
	})
}

func (s *Shard) ifSameTerm(f func()) func() {
	term := s.term
	return func() {
		if s.term == term {
			f()
		}
	}
}

// resolveWrite continues from the value in the KV service, which is a write of this
// owner, the value as it was before, or another owner's.
func (s *Shard) resolveWrite(r ports.KVReply) {
	item, ok := r.Item()
	if !ok {
		s.loseOwnership("the shard's value was deleted")
		return
	}
	plan, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
	if err != nil {
		s.report(KindDamaged, s.key(), "%v", err)
		s.loseOwnership("the shard's value cannot be read")
		return
	}
	if _, own := s.writer.attempts[plan.Nonce]; own {
		s.confirmWrite(plan.Nonce, item.Revision)
		return
	}
	if item.Revision == s.writer.revision {
		// The write has not taken effect yet, but may still do so. The next write expects
		// the same revision, so only one of the two can succeed.
		s.retryWrite()
		return
	}
	s.loseOwnership("the shard's value names " + holderName(plan.Owner))
}

func (s *Shard) isOwnWrite(item ports.Item) bool {
	plan, err := place.Decode(item.Value, s.settings.Zone, s.settings.Shard)
	if err != nil {
		return false
	}
	_, own := s.writer.attempts[plan.Nonce]
	return own || item.Revision == s.writer.revision
}

func (s *Shard) confirmWrite(nonce string, revision ports.Revision) {
	w := &s.writer
	a := w.attempts[nonce]
	clear(w.attempts)
	w.revision = revision
	w.lastWritten = a.seq
	w.permits = a.permits
	w.writing = false
	w.backoff = 0
	w.unwrittenSince = s.now
	s.ownership.epoch = a.epoch
	callbacks := w.callbacks
	w.callbacks = nil
	for i, p := range callbacks {
		if p.seq > a.seq {
			s.writer.callbacks = append(s.writer.callbacks, p)
			continue
		}
		term := s.term
		p.run()
		if s.term != term {
			_ = i
			return
		}
	}
}

func (s *Shard) retryWrite() {
	w := &s.writer
	w.writing = false
	w.backoff = min(max(2*w.backoff, minWriteBackoff), maxWriteBackoff)
	w.retryAt = s.now.Add(w.backoff/2 + s.jitter(w.backoff))
}

// nextNonce returns a nonce that is never reused: no two incarnations have the same
// instance name and incarnation number.
func (s *Shard) nextNonce() string {
	s.lastNonce++
	self := s.settings.Self
	return fmt.Sprintf("%s/%d/%d-%d", self.ID, self.Incarnation, s.settings.Shard, s.lastNonce)
}

// plan returns the plan as it is to be written now.
func (s *Shard) plan() place.Plan {
	p := place.Plan{
		Zone:       s.settings.Zone,
		Shard:      s.settings.Shard,
		ShardCount: s.settings.ShardCount,
		Epoch:      max(s.ownership.epoch, s.ownership.nextEpoch),
		Owner:      s.holder(s.ownership.lease),
		Permits:    maps.Clone(s.permits.held),
		Targets:    make(map[string]place.Target, len(s.targets)),
	}
	if s.ownership.released {
		p.Owner = place.Holder{}
	}
	for id, t := range s.targets {
		p.Targets[id] = t.plan()
	}
	return p
}

// trackOutage tracks whether the KV service answers.
func (s *Shard) trackOutage(status ports.KVStatus) {
	failed := status == ports.KVUnavailable || status == ports.KVUnknown
	o := &s.outage
	switch {
	case !failed:
		if o.reported {
			s.report(KindOutageOver, s.ledgerName(), "after %v", s.now.Sub(o.since).Round(time.Second))
		}
		*o = outage{}
	case o.since.IsZero():
		o.since = s.now
	case !o.reported && s.now.Sub(o.since) >= outageReportDelay:
		o.reported = true
		s.report(KindOutage, s.ledgerName(), "no answer for %v", s.now.Sub(o.since).Round(time.Second))
	}
}

// outage is a period in which all KV calls failed.
type outage struct {
	since    time.Time
	reported bool
}

// outageReportDelay is the duration of an outage from which it is reported, so that
// single failed calls are not shown to operators.
const outageReportDelay = 3 * time.Second
