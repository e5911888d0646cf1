package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// bucketsDue returns the buckets that need a read or a write.
func (s *Shard) bucketsDue() []int {
	due := make(map[int]bool)
	for resource := range s.permits.requested {
		due[s.bucketOf(resource)] = true
	}
	for resource := range s.permits.limitsToCheck {
		due[s.bucketOf(resource)] = true
	}
	for resource, seq := range s.permits.releasing {
		if s.isWritten(seq) {
			due[s.bucketOf(resource)] = true
		}
	}
	return slices.Sorted(maps.Keys(due))
}

// advanceBucket makes the next KV call for a bucket: a read if the ledger is unknown or
// too old to conclude that nothing is free, else one write for everything that is due.
func (s *Shard) advanceBucket(n int) {
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
	if len(grants) == 0 && !s.needsLedgerWrite(n, b.ledger) {
		s.applyLedger(n, b)
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
			s.storeLedger(n, b, item)
		case ports.KVNotFound:
			b.ledger, b.revision, b.readAt = permit.Ledger{}, 0, s.now
		default:
			s.dropPrefetches(n)
			b.retryAt = s.now.Add(ledgerRetryDelay + s.jitter(ledgerRetryDelay))
		}
	})
}

func (s *Shard) storeLedger(n int, b *bucket, item ports.Item) {
	ledger, err := permit.Decode(item.Value)
	if err != nil {
		s.report(KindDamaged, bucketKey(n), "%v", err)
		b.retryAt = s.now.Add(s.settings.PollInterval)
		return
	}
	b.ledger, b.revision, b.readAt = ledger, item.Revision, s.now
	s.checkLedgerEpochs(ledger)
}

// checkLedgerEpochs checks the ownership if a later owner has changed a grant of this
// shard.
func (s *Shard) checkLedgerEpochs(l permit.Ledger) {
	var latest uint64
	for _, r := range l.Resources {
		latest = max(latest, r.Epochs[s.ledgerName()])
	}
	if latest > uint64(s.ownership.epoch) {
		s.handleSuperseded(ports.Epoch(latest))
	}
}

// nextLedger returns the ledger with all changes that are due, and the grants that give
// this shard more than it holds.
func (s *Shard) nextLedger(n int, l permit.Ledger) (permit.Ledger, map[string]int) {
	grants := make(map[string]int)
	for _, resource := range s.resourcesDue(n) {
		l = l.Limit(resource, s.maxPermits(resource), s.config.Version)
		if seq, freed := s.permits.releasing[resource]; freed {
			if s.isWritten(seq) {
				l = l.Release(resource, s.ledgerName(), uint64(s.ownership.epoch), s.maxHeldPermits(resource))
			}
			continue
		}
		wanted, ok := s.permits.requested[resource]
		if !ok {
			continue
		}
		if s.skipsPrefetch(resource, l) {
			continue
		}
		after, grant := l.Grant(resource, s.ledgerName(), uint64(s.ownership.epoch), wanted)
		if grant > s.permits.held[resource] {
			l = after
			grants[resource] = grant
		}
	}
	return l, grants
}

// isLeaked reports whether the ledger grants this shard more than it can hold.
func (s *Shard) isLeaked(resource string, r permit.Resource) bool {
	return r.Grants[s.ledgerName()] > s.maxHeldPermits(resource) && !r.IsFenced(s.ledgerName(), uint64(s.ownership.epoch))
}

func (s *Shard) resourcesDue(n int) []string {
	due := make(map[string]bool)
	for resource := range s.permits.requested {
		due[resource] = true
	}
	for resource := range s.permits.limitsToCheck {
		due[resource] = true
	}
	for resource := range s.permits.releasing {
		due[resource] = true
	}
	maps.DeleteFunc(due, func(resource string, _ bool) bool { return s.bucketOf(resource) != n })
	return slices.Sorted(maps.Keys(due))
}

// needsLedgerWrite reports whether the ledger grants this shard more than it kept, or has
// another maximum than the configuration.
func (s *Shard) needsLedgerWrite(n int, l permit.Ledger) bool {
	for _, resource := range s.resourcesDue(n) {
		r := l.Resources[resource]
		if r.Max != s.maxPermits(resource) && r.Version <= s.config.Version {
			return true
		}
		seq, freed := s.permits.releasing[resource]
		if freed && s.isWritten(seq) && s.isLeaked(resource, r) {
			return true
		}
	}
	return false
}

// applyLedger evaluates a ledger that needs no write.
func (s *Shard) applyLedger(n int, b *bucket) {
	if s.now.Sub(b.readAt) >= maxLedgerAge {
		b.readAt = time.Time{}
		s.readLedger(n, b)
		return
	}
	for _, resource := range s.resourcesDue(n) {
		if seq, freed := s.permits.releasing[resource]; freed {
			if s.isWritten(seq) {
				s.finishPermitRelease(resource)
			}
			continue
		}
		s.applyQuota(resource, b.ledger)
		if _, wanted := s.permits.requested[resource]; wanted && !s.permits.prefetch[resource] {
			s.recallPermit(resource, b)
		}
	}
	s.dropPrefetches(n)
}

// applyQuota sets a quota if a lowered maximum requires the shard to give permits back.
func (s *Shard) applyQuota(resource string, l permit.Ledger) {
	r := l.Resources[resource]
	if r.Version <= s.config.Version && r.Max != s.maxPermits(resource) {
		// The configuration changed while the write was in flight.
		return
	}
	delete(s.permits.limitsToCheck, resource)
	if s.isLeaked(resource, r) {
		s.reconcile(resource)
	}
	if r.Granted() <= r.Max {
		delete(s.permits.quota, resource)
		return
	}
	if share := r.Share(s.ledgerName()); share < s.permits.held[resource] {
		s.permits.quota[resource] = share
		delete(s.permits.requested, resource)
	}
}

func (s *Shard) writeLedger(n int, b *bucket, next permit.Ledger, grants map[string]int) {
	next.Nonce = s.nextNonce()
	value, err := permit.Encode(next)
	if err != nil {
		b.retryAt = s.now.Add(s.settings.PollInterval)
		return
	}
	b.busy = true
	s.kv(ports.KVPut{Key: bucketKey(n), Value: value, Expect: b.revision}, func(r ports.KVReply) {
		b.busy = false
		switch r.Status {
		case ports.KVOK:
			b.ledger, b.revision, b.readAt = next, r.Revision, s.now
			s.applyGrants(n, b, grants)
		case ports.KVConflict:
			if item, ok := r.Item(); ok {
				s.storeLedger(n, b, item)
			} else {
				b.readAt = time.Time{}
			}
		default:
			// A write whose reply was lost counts as failed. If it took effect, its
			// grants stand in the ledger as this shard's, and the next write, which
			// expects the revision read before it, lets the shard hold them.
			s.dropPrefetches(n)
			b.readAt = time.Time{}
			b.retryAt = s.now.Add(ledgerRetryDelay + s.jitter(ledgerRetryDelay))
		}
	})
}

// applyGrants adds the permits granted by a ledger write to the shard's permits.
func (s *Shard) applyGrants(n int, b *bucket, grants map[string]int) {
	for _, resource := range slices.Sorted(maps.Keys(grants)) {
		delete(s.permits.requested, resource)
		delete(s.permits.prefetch, resource)
		delete(s.permits.recalls, resource)
		if s.permits.held[resource] < grants[resource] {
			s.permits.held[resource] = grants[resource]
			s.markChanged()
		}
		if b.ledger.Resources[resource].Max != s.maxPermits(resource) {
			// The maximum changed while the grant was in flight, when this shard held no
			// permit to compare with it.
			s.permits.limitsToCheck[resource] = true
		}
	}
	for _, resource := range s.resourcesDue(n) {
		if seq, freed := s.permits.releasing[resource]; freed && s.isWritten(seq) && b.ledger.Resources[resource].Grants[s.ledgerName()] <= s.maxHeldPermits(resource) {
			s.finishPermitRelease(resource)
		}
		s.applyQuota(resource, b.ledger)
	}
}

// finishPermitRelease ends a release once the ledger shows what the shard holds.
func (s *Shard) finishPermitRelease(resource string) {
	delete(s.permits.releasing, resource)
	var left []pendingYield
	for _, y := range s.permits.yields {
		if y.resource != resource {
			left = append(left, y)
			continue
		}
		s.notify(YieldAnswered{ID: y.id, Reply: ports.YieldReply{Yielded: y.n}})
	}
	s.permits.yields = left
}
