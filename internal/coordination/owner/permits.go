package owner

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// permits are the shard's share of the limited resources.
type permits struct {
	// held are the permits of this shard, which its value carries.
	held map[string]int
	// inherited are those held when the tenure began. An earlier owner may have
	// spent them off the plan on a target whose fence is not raised yet.
	inherited map[string]int
	// quota is how many replicas a lowered maximum leaves to this shard.
	quota map[string]int
	// freed maps resources with a lowered holding to the change that must be
	// written before the ledger may learn of it.
	freed   map[string]uint64
	yields  []yield
	wants   map[string]int
	recalls map[string]*recall
	buckets map[int]*bucket
	// limits are the resources whose maximum is to be compared with the ledger.
	limits map[string]bool
	slots  slots
}

// yield is a YieldAsked that waits for the ledger.
type yield struct {
	id       uint64
	resource string
	n        int
	until    time.Time
}

// bucket is one ledger value as last read.
type bucket struct {
	ledger   permit.Ledger
	revision ports.Revision
	readAt   time.Time
	busy     bool
	retryAt  time.Time
}

// recall asks other shards, one after another, for unused permits.
type recall struct {
	asked map[string]bool
	busy  bool
	// emptyUntil is until when nobody is asked again, since nobody had any.
	emptyUntil time.Time
	hint       string
}

const (
	// ledgerFresh is how old a ledger may be to conclude that nothing is free.
	ledgerFresh = time.Second
	ledgerRetry = 300 * time.Millisecond
	// recallPause is the wait after all holders said no.
	recallPause = 3 * time.Second
	// yieldWithin bounds the wait of an asker for the ledger's write.
	yieldWithin = 3 * time.Second
)

func newPermits() permits {
	return permits{
		held:      make(map[string]int),
		inherited: make(map[string]int),
		quota:     make(map[string]int),
		freed:     make(map[string]uint64),
		wants:     make(map[string]int),
		recalls:   make(map[string]*recall),
		buckets:   make(map[int]*bucket),
		limits:    make(map[string]bool),
	}
}

func (p *permits) adopt(held map[string]int) {
	for resource, n := range held {
		p.held[resource] = n
		p.inherited[resource] = n
	}
}

// spent counts the permits of a resource that are in use, and those among them
// that were put to use in this tenure.
func (s *Shard) spent(resource string) (all, mine int) {
	for _, t := range s.targets {
		for _, r := range t.replicas {
			if r.Model != resource && (resource != permit.Store || !r.takesSlot()) {
				continue
			}
			all++
			if r.mine {
				mine++
			}
		}
	}
	return all, mine
}

// available is how many permits can be spent now. As long as a target may still
// carry out orders of an earlier owner, all that owner could have spent counts
// as spent, whether or not the plan shows on what.
func (s *Shard) available(resource string) int {
	all, mine := s.spent(resource)
	if s.hasUnraised() {
		all = max(all, s.permits.inherited[resource]+mine)
	}
	held := s.permits.held[resource]
	if quota, limited := s.permits.quota[resource]; limited {
		held = min(held, quota)
	}
	return held - all
}

// firm is how many permits the shard holds whatever became of its writes.
func (s *Shard) firm(resource string) int {
	n := min(s.permits.held[resource], s.journal.permits[resource])
	for _, a := range s.journal.attempts {
		n = min(n, a.permits[resource])
	}
	return n
}

// atMost is how many permits the shard's value may show, whatever became of its writes.
func (s *Shard) atMost(resource string) int {
	n := max(s.permits.held[resource], s.journal.permits[resource])
	for _, a := range s.journal.attempts {
		n = max(n, a.permits[resource])
	}
	return n
}

// mayLoadOffPlan tells whether a load that the plan does not show yet stays
// within the permits that the written plan shows: a successor then counts it.
func (s *Shard) mayLoadOffPlan(t *target, r *replica) bool {
	if t.ignoresFence {
		return false
	}
	all, _ := s.spent(r.Model)
	if all > s.firm(r.Model) {
		return false
	}
	slots, _ := s.spent(permit.Store)
	return !r.FromStore || slots <= s.firm(permit.Store)
}

// acquire asks for a holding of the given size.
func (s *Shard) acquire(resource string, wanted int) {
	if s.maximum(resource) < wanted || s.recallOf(resource).emptyUntil.After(s.now) {
		return
	}
	s.permits.wants[resource] = wanted
}

func (s *Shard) recallOf(resource string) *recall {
	r := s.permits.recalls[resource]
	if r == nil {
		r = &recall{asked: make(map[string]bool)}
		s.permits.recalls[resource] = r
	}
	return r
}

func (s *Shard) bucketOf(resource string) int {
	return place.ShardOf(resource, s.settings.LedgerBuckets)
}

const ledgerPrefix = "permit/"

func bucketKey(n int) string {
	return fmt.Sprintf("%s%d", ledgerPrefix, n)
}

// reviewLimits marks the resources whose maximum a new configuration changes.
func (s *Shard) reviewLimits(old *config.Config) {
	for resource := range s.permits.held {
		if s.maximumIn(old, resource) != s.maximum(resource) {
			s.permits.limits[resource] = true
		}
	}
	for _, r := range s.permits.recalls {
		r.emptyUntil = time.Time{}
	}
}

// reviewPermits gives up what is above a quota and takes the ledger's buckets
// forward.
func (s *Shard) reviewPermits() {
	if s.config == nil {
		return
	}
	s.expireYields()
	s.grantWish()
	for _, resource := range slices.Sorted(maps.Keys(s.permits.quota)) {
		s.giveBack(resource)
	}
	for _, n := range s.bucketsDue() {
		s.advance(n)
	}
}

// giveBack lowers the holding towards the quota by what is not in use.
func (s *Shard) giveBack(resource string) {
	quota := s.permits.quota[resource]
	held := s.permits.held[resource]
	if held <= quota {
		delete(s.permits.quota, resource)
		return
	}
	all, mine := s.spent(resource)
	if s.hasUnraised() {
		all = max(all, s.permits.inherited[resource]+mine)
	}
	if n := min(held-quota, held-all); n > 0 {
		s.free(resource, n)
	}
}

// free gives up permits: the shard's value is written first, the ledger after.
func (s *Shard) free(resource string, n int) {
	s.permits.held[resource] -= n
	if s.permits.held[resource] == 0 {
		delete(s.permits.held, resource)
	}
	s.permits.freed[resource] = s.changed()
	delete(s.permits.wants, resource)
}

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
}

// nextLedger is the ledger with all that is due in the bucket, and the grants
// that give this shard more than it holds.
func (s *Shard) nextLedger(n int, l permit.Ledger) (permit.Ledger, map[string]int) {
	grants := make(map[string]int)
	for _, resource := range s.resourcesDue(n) {
		l = l.Limit(resource, s.maximum(resource), s.config.Version)
		if seq, freed := s.permits.freed[resource]; freed {
			if s.isWritten(seq) {
				l = l.Release(resource, s.name(), s.atMost(resource))
			}
			continue
		}
		wanted, ok := s.permits.wants[resource]
		if !ok {
			continue
		}
		after, grant := l.Grant(resource, s.name(), wanted)
		if grant > s.permits.held[resource] {
			l = after
			grants[resource] = grant
		}
	}
	return l, grants
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
		if freed && s.isWritten(seq) && r.Grants[s.name()] > s.atMost(resource) {
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
		if _, wanted := s.permits.wants[resource]; wanted {
			s.recall(resource, b)
		}
	}
}

// applyShare sets a quota where a lowered maximum takes permits back.
func (s *Shard) applyShare(resource string, l permit.Ledger) {
	r := l.Resources[resource]
	if r.Version <= s.config.Version && r.Max != s.maximum(resource) {
		// The configuration changed while the write was under way.
		return
	}
	delete(s.permits.limits, resource)
	if r.Grants[s.name()] > s.atMost(resource) {
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
			b.readAt = time.Time{}
			b.retryAt = s.now.Add(ledgerRetry + s.jitter(ledgerRetry))
		}
	})
}

// granted takes what a ledger write brought into the shard's holding.
func (s *Shard) granted(n int, b *bucket, grants map[string]int) {
	for _, resource := range slices.Sorted(maps.Keys(grants)) {
		delete(s.permits.wants, resource)
		delete(s.permits.recalls, resource)
		if s.permits.held[resource] < grants[resource] {
			s.permits.held[resource] = grants[resource]
			s.changed()
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
