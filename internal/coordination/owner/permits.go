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
	freed  map[string]uint64
	yields []yield
	wants  map[string]int
	// ahead are the wants that nobody waits for.
	ahead   map[string]bool
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
		ahead:     make(map[string]bool),
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
	delete(s.permits.ahead, resource)
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
//
// Where versions were skipped, all are marked: a maximum that is the same in the
// old and the new one may have been higher in between, and others may hold
// permits from then.
func (s *Shard) reviewLimits(old *config.Config) {
	skipped := old == nil || s.config.Version != old.Version+1
	for resource := range s.permits.held {
		if skipped || s.maximumIn(old, resource) != s.maximum(resource) {
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
