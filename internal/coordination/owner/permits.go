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

// permits is the shard's share of the limited resources.
type permits struct {
	// held are the permits of this shard, as shown in its value.
	held map[string]int
	// inherited are the permits held when the ownership term began. An earlier owner may
	// have used them, without writing that to the plan, on a target whose fence is not
	// raised yet.
	inherited map[string]int
	// quota is how many permits a lowered maximum leaves to this shard.
	quota map[string]int
	// releasing maps the resources whose permits are being released to the change that
	// must be written before the ledger may be changed.
	releasing map[string]uint64
	yields    []pendingYield
	requested map[string]int
	// prefetch are the requested permits that no caller waits for.
	prefetch map[string]bool
	recalls  map[string]*permitRecall
	buckets  map[int]*bucket
	// limitsToCheck are the resources whose maximum has to be compared with the ledger.
	limitsToCheck map[string]bool
	slots         storeSlots
}

// pendingYield is a YieldAsked event that waits for the write of the ledger.
type pendingYield struct {
	id       uint64
	resource string
	n        int
	until    time.Time
}

// bucket is one value of the ledger as last read.
type bucket struct {
	ledger   permit.Ledger
	revision ports.Revision
	readAt   time.Time
	busy     bool
	retryAt  time.Time
}

// permitRecall asks the other shards in turn for an unused permit.
type permitRecall struct {
	askedHolders map[string]bool
	busy         bool
	// pausedUntil is until when no shard is asked again, because none had an unused
	// permit.
	pausedUntil time.Time
	hint        string
}

const (
	// maxLedgerAge is how old a ledger may be to conclude that nothing is free.
	maxLedgerAge = time.Second
	// ledgerRetryDelay is the delay before a failed read or write of a ledger is retried.
	ledgerRetryDelay = 300 * time.Millisecond
	// recallRetryDelay is the delay after all holders have refused.
	recallRetryDelay = 3 * time.Second
	// yieldTimeout is how long a shard that asked for permits waits for the write of the
	// ledger.
	yieldTimeout = 3 * time.Second
)

func newPermits() permits {
	return permits{
		held:          make(map[string]int),
		inherited:     make(map[string]int),
		quota:         make(map[string]int),
		releasing:     make(map[string]uint64),
		requested:     make(map[string]int),
		prefetch:      make(map[string]bool),
		recalls:       make(map[string]*permitRecall),
		buckets:       make(map[int]*bucket),
		limitsToCheck: make(map[string]bool),
	}
}

func (p *permits) adopt(held map[string]int) {
	for resource, n := range held {
		p.held[resource] = n
		p.inherited[resource] = n
	}
}

// usedPermits counts the permits of a resource that are in use, and those among them that
// were put to use in this term.
func (s *Shard) usedPermits(resource string) (all, thisTerm int) {
	for _, t := range s.targets {
		for _, r := range t.replicas {
			if r.Model != resource && (resource != permit.Store || !r.usesStoreSlot()) {
				continue
			}
			all++
			if r.decidedThisTerm {
				thisTerm++
			}
		}
	}
	return all, thisTerm
}

// availablePermits returns how many permits can be used now. As long as a target may
// still carry out orders of an earlier owner, all permits that owner could have used
// count as used, whether or not the plan shows for what.
func (s *Shard) availablePermits(resource string) int {
	all, thisTerm := s.usedPermits(resource)
	if s.mayHaveUnplanned() {
		all = max(all, s.permits.inherited[resource]+thisTerm)
	}
	held := s.permits.held[resource]
	if quota, limited := s.permits.quota[resource]; limited {
		held = min(held, quota)
	}
	return held - all
}

// minHeldPermits returns the number of permits that the shard's value shows at least,
// whichever of its pending writes took effect.
func (s *Shard) minHeldPermits(resource string) int {
	n := min(s.permits.held[resource], s.writer.permits[resource])
	for _, a := range s.writer.attempts {
		n = min(n, a.permits[resource])
	}
	return n
}

// maxHeldPermits returns the number of permits that the shard's value shows at most,
// whichever of its pending writes took effect.
func (s *Shard) maxHeldPermits(resource string) int {
	n := max(s.permits.held[resource], s.writer.permits[resource])
	for _, a := range s.writer.attempts {
		n = max(n, a.permits[resource])
	}
	return n
}

// canLoadUnwritten reports whether a load that is not in the written plan stays within
// the permits that the written plan shows, so that a successor counts it.
func (s *Shard) canLoadUnwritten(t *target, r *replica) bool {
	if t.ignoresFence {
		return false
	}
	all, _ := s.usedPermits(r.Model)
	if all > s.minHeldPermits(r.Model) {
		return false
	}
	slots, _ := s.usedPermits(permit.Store)
	return !r.FromStore || slots <= s.minHeldPermits(permit.Store)
}

// requestPermits requests permits up to the given total.
func (s *Shard) requestPermits(resource string, wanted int) {
	if s.maxPermits(resource) < wanted || s.recallFor(resource).pausedUntil.After(s.now) {
		return
	}
	s.permits.requested[resource] = wanted
	delete(s.permits.prefetch, resource)
}

func (s *Shard) recallFor(resource string) *permitRecall {
	r := s.permits.recalls[resource]
	if r == nil {
		r = &permitRecall{askedHolders: make(map[string]bool)}
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

// markChangedLimits marks the resources whose maximum a new configuration changes.
//
// If versions were skipped, it marks all of them: a maximum that is the same in the old
// and the new version may have been higher in between, and other shards may hold permits
// since then.
func (s *Shard) markChangedLimits(old *config.Config) {
	skipped := old == nil || s.config.Version != old.Version+1
	for resource := range s.permits.held {
		if skipped || s.maxPermitsIn(old, resource) != s.maxPermits(resource) {
			s.permits.limitsToCheck[resource] = true
		}
	}
	for _, r := range s.permits.recalls {
		r.pausedUntil = time.Time{}
	}
}

// reviewPermits releases permits above a quota and advances the buckets of the ledger.
func (s *Shard) reviewPermits() {
	if s.config == nil {
		return
	}
	s.expireYields()
	s.grantSlotRequest()
	for _, resource := range slices.Sorted(maps.Keys(s.permits.quota)) {
		s.releaseAboveQuota(resource)
	}
	for _, n := range s.bucketsDue() {
		s.advanceBucket(n)
	}
}

// releaseAboveQuota releases the unused permits above the quota.
func (s *Shard) releaseAboveQuota(resource string) {
	quota := s.permits.quota[resource]
	held := s.permits.held[resource]
	if held <= quota {
		delete(s.permits.quota, resource)
		return
	}
	all, thisTerm := s.usedPermits(resource)
	if s.mayHaveUnplanned() {
		all = max(all, s.permits.inherited[resource]+thisTerm)
	}
	if n := min(held-quota, held-all); n > 0 {
		s.releasePermits(resource, n)
	}
}

// releasePermits gives up permits. The shard's value is written first, the ledger after
// it.
func (s *Shard) releasePermits(resource string, n int) {
	s.permits.held[resource] -= n
	if s.permits.held[resource] == 0 {
		delete(s.permits.held, resource)
	}
	s.permits.releasing[resource] = s.markChanged()
	delete(s.permits.requested, resource)
}
