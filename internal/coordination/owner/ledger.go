package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// bucketsDue are the buckets with something to do.
func (s *Shard) bucketsDue() []int {
	due := make(map[int]bool)
	for resource := range s.permits.wants {
		due[s.bucketOf(resource)] = true
	}
	for resource := range s.permits.limits {
		due[s.bucketOf(resource)] = true
	}
	for resource, seq := range s.permits.freed {
		if s.isWritten(seq) {
			due[s.bucketOf(resource)] = true
		}
	}
	return slices.Sorted(maps.Keys(due))
}

// advance does the next call for a bucket: a read if it is unknown or too old
// to rule that nothing is free, else one write for all that is due in it.
func (s *Shard) advance(n int) {
	b := s.permits.buckets[n]
	if b == nil {
		b = &bucket{}
		s.permits.buckets[n] = b
	}
	if b.busy || s.now.Before(b.retryAt) {
		return
	}
	if b.readAt.IsZero() {
		s.readLedger(n, b)
		return
	}
	next, grants := s.nextLedger(n, b.ledger)
	if len(grants) == 0 && !s.hasReleases(n, b.ledger) {
		s.settleLedger(n, b)
		return
	}
	s.writeLedger(n, b, next, grants)
}

func (s *Shard) readLedger(n int, b *bucket) {
	b.busy = true
	s.kv(ports.KVGet{Key: bucketKey(n)}, func(r ports.KVReply) {
		b.busy = false
		switch r.Status {
		case ports.KVOK:
			item, _ := r.Item()
			s.keepLedger(n, b, item)
		case ports.KVNotFound:
			b.ledger, b.revision, b.readAt = permit.Ledger{}, 0, s.now
		default:
			s.dropAhead(n)
			b.retryAt = s.now.Add(ledgerRetry + s.jitter(ledgerRetry))
		}
	})
}

func (s *Shard) keepLedger(n int, b *bucket, item ports.Item) {
	ledger, err := permit.Decode(item.Value)
	if err != nil {
		s.happened(KindDamaged, bucketKey(n), "%v", err)
		b.retryAt = s.now.Add(s.settings.PollEvery)
		return
	}
	b.ledger, b.revision, b.readAt = ledger, item.Revision, s.now
	s.heedEpochs(ledger)
}

// heedEpochs checks the ownership if a later owner has changed a grant of this shard.
func (s *Shard) heedEpochs(l permit.Ledger) {
	var latest uint64
	for _, r := range l.Resources {
		latest = max(latest, r.Epochs[s.name()])
	}
	if latest > uint64(s.session.epoch) {
		s.superseded(ports.Epoch(latest))
	}
}

// nextLedger is the ledger with all that is due in the bucket, and the grants
// that give this shard more than it holds.
func (s *Shard) nextLedger(n int, l permit.Ledger) (permit.Ledger, map[string]int) {
	grants := make(map[string]int)
	for _, resource := range s.resourcesDue(n) {
		l = l.Limit(resource, s.maximum(resource), s.config.Version)
		if seq, freed := s.permits.freed[resource]; freed {
			if s.isWritten(seq) {
				l = l.Release(resource, s.name(), uint64(s.session.epoch), s.atMost(resource))
			}
			continue
		}
		wanted, ok := s.permits.wants[resource]
		if !ok {
			continue
		}
		if s.leavesToOthers(resource, l) {
			continue
		}
		after, grant := l.Grant(resource, s.name(), uint64(s.session.epoch), wanted)
		if grant > s.permits.held[resource] {
			l = after
			grants[resource] = grant
		}
	}
	return l, grants
}

// isLeaked tells whether the ledger grants this shard more than it can hold.
func (s *Shard) isLeaked(resource string, r permit.Resource) bool {
	return r.Grants[s.name()] > s.atMost(resource) && !r.IsFenced(s.name(), uint64(s.session.epoch))
}

func (s *Shard) resourcesDue(n int) []string {
	due := make(map[string]bool)
	for resource := range s.permits.wants {
		due[resource] = true
	}
	for resource := range s.permits.limits {
		due[resource] = true
	}
	for resource := range s.permits.freed {
		due[resource] = true
	}
	maps.DeleteFunc(due, func(resource string, _ bool) bool { return s.bucketOf(resource) != n })
	return slices.Sorted(maps.Keys(due))
}

// hasReleases tells whether the ledger grants this shard more than it kept, or
// has another maximum than the configuration.
func (s *Shard) hasReleases(n int, l permit.Ledger) bool {
	for _, resource := range s.resourcesDue(n) {
		r := l.Resources[resource]
		if r.Max != s.maximum(resource) && r.Version <= s.config.Version {
			return true
		}
		seq, freed := s.permits.freed[resource]
		if freed && s.isWritten(seq) && s.isLeaked(resource, r) {
			return true
		}
	}
	return false
}

// settleLedger draws the conclusions from a ledger that needs no write.
func (s *Shard) settleLedger(n int, b *bucket) {
	if s.now.Sub(b.readAt) >= ledgerFresh {
		b.readAt = time.Time{}
		s.readLedger(n, b)
		return
	}
	for _, resource := range s.resourcesDue(n) {
		if seq, freed := s.permits.freed[resource]; freed {
			if s.isWritten(seq) {
				s.released(resource)
			}
			continue
		}
		s.applyShare(resource, b.ledger)
		if _, wanted := s.permits.wants[resource]; wanted && !s.permits.ahead[resource] {
			s.recall(resource, b)
		}
	}
	s.dropAhead(n)
}

// applyShare sets a quota where a lowered maximum takes permits back.
func (s *Shard) applyShare(resource string, l permit.Ledger) {
	r := l.Resources[resource]
	if r.Version <= s.config.Version && r.Max != s.maximum(resource) {
		// The configuration changed while the write was under way.
		return
	}
	delete(s.permits.limits, resource)
	if s.isLeaked(resource, r) {
		s.reconcile(resource)
	}
	if r.Granted() <= r.Max {
		delete(s.permits.quota, resource)
		return
	}
	if share := r.Share(s.name()); share < s.permits.held[resource] {
		s.permits.quota[resource] = share
		delete(s.permits.wants, resource)
	}
}

func (s *Shard) writeLedger(n int, b *bucket, next permit.Ledger, grants map[string]int) {
	next.Nonce = s.nextNonce()
	value, err := permit.Encode(next)
	if err != nil {
		b.retryAt = s.now.Add(s.settings.PollEvery)
		return
	}
	b.busy = true
	s.kv(ports.KVPut{Key: bucketKey(n), Value: value, Expect: b.revision}, func(r ports.KVReply) {
		b.busy = false
		switch r.Status {
		case ports.KVOK:
			b.ledger, b.revision, b.readAt = next, r.Revision, s.now
			s.granted(n, b, grants)
		case ports.KVConflict:
			if item, ok := r.Item(); ok {
				s.keepLedger(n, b, item)
			} else {
				b.readAt = time.Time{}
			}
		default:
			// A write whose answer was lost counts as not made. What it granted
			// stands in the ledger as this shard's, and the next write, which
			// expects the revision that it reads, lets the shard hold it.
			s.dropAhead(n)
			b.readAt = time.Time{}
			b.retryAt = s.now.Add(ledgerRetry + s.jitter(ledgerRetry))
		}
	})
}

// granted takes what a ledger write brought into the shard's holding.
func (s *Shard) granted(n int, b *bucket, grants map[string]int) {
	for _, resource := range slices.Sorted(maps.Keys(grants)) {
		delete(s.permits.wants, resource)
		delete(s.permits.ahead, resource)
		delete(s.permits.recalls, resource)
		if s.permits.held[resource] < grants[resource] {
			s.permits.held[resource] = grants[resource]
			s.changed()
		}
		if b.ledger.Resources[resource].Max != s.maximum(resource) {
			// The maximum changed while the grant was under way, when this shard
			// held nothing that it had to be compared with.
			s.permits.limits[resource] = true
		}
	}
	for _, resource := range s.resourcesDue(n) {
		if seq, freed := s.permits.freed[resource]; freed && s.isWritten(seq) && b.ledger.Resources[resource].Grants[s.name()] <= s.atMost(resource) {
			s.released(resource)
		}
		s.applyShare(resource, b.ledger)
	}
}

// released ends a release: the ledger shows what the shard holds.
func (s *Shard) released(resource string) {
	delete(s.permits.freed, resource)
	var left []yield
	for _, y := range s.permits.yields {
		if y.resource != resource {
			left = append(left, y)
			continue
		}
		s.note(YieldAnswered{ID: y.id, Reply: ports.YieldReply{Yielded: y.n}})
	}
	s.permits.yields = left
}
