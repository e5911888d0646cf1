package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// affinitySlack is by how much the cost of a replica with the prompt's prefix in its cache
	// may exceed the cost of the one that would be picked by load. It is a share of capacity.
	affinitySlack = 0.25
	// maxEjectedShare is the maximum share of a model's ready replicas that may be ejected; if
	// more are, ejection is ignored.
	maxEjectedShare = 0.5
	// durationWeight is the weight of one sample in the moving average of call durations.
	durationWeight = 0.05
	// ringCount is the number of rings: the own zone, the own region and other regions.
	ringCount = 3
)

// RingOtherRegion is the ring of other regions, which are reached over the link between
// regions.
const RingOtherRegion = ringCount - 1

// Query asks for a replica of a model, or an instance of a plain service.
type Query struct {
	// Key is a model's name or a ServiceKey.
	Key     string
	Adapter string
	// Prefix is the hash of the prompt's prefix, 0 for none.
	Prefix uint64
	// Exclude lists the ids of replicas that were already tried.
	Exclude []string
	// Priority is the priority of the request on the link between regions.
	Priority link.Priority
}

// Status is the result of a Pick.
type Status uint8

// The results of a Pick.
const (
	// Picked means that the choice holds a slot on a replica.
	Picked Status = iota
	// Busy means that replicas are ready but none may take the request now, since they are
	// full or beyond a link that is used up.
	Busy
	// Loading means that no replica can serve the request yet, and that one is loading or is
	// ready without the adapter.
	Loading
	// Cold means that no usable replica is ready or loading.
	Cold
)

// Choice is a slot on a replica; Release releases it.
type Choice struct {
	Replica ports.Replica
	// Ring is 0 for the own zone, 1 for the own region and RingOtherRegion for other regions.
	Ring int
	// PrefixHit is set if the replica probably has the prompt's prefix in its cache.
	PrefixHit bool

	table   *Table
	key     string
	replica *replica
}

// Result is the end of a call on a Choice.
type Result struct {
	// Failed means that the target failed, which counts towards its ejection. Errors of the
	// caller and cancellation are not failures.
	Failed bool
	// Overloaded means that the target reported that it is overloaded.
	Overloaded bool
	// Latency is the time to the first byte or token.
	Latency time.Duration
	// Duration is the duration of the call, 0 if it did not complete.
	Duration time.Duration
	// Leaving means that the target reported that it is leaving.
	Leaving bool
}

// Release ends the call and releases the slot. It must be called exactly once.
func (c Choice) Release(now time.Time, result Result) {
	s := c.table.stripe(c.key)
	s.mu.Lock()
	c.replica.release(now, result)
	if m := s.models[c.key]; m != nil && result.Duration > 0 && !result.Failed {
		m.avgDuration += time.Duration(durationWeight * float64(result.Duration-m.avgDuration))
	}
	s.mu.Unlock()
	if result.Leaving {
		c.table.MarkLeaving(c.Replica.Target)
	}
	c.table.onChange(c.key)
}

// AcquireAnother takes another slot on the same replica, even if the replica is full. Release
// has to be called for the returned Choice too.
func (c Choice) AcquireAnother() Choice {
	s := c.table.stripe(c.key)
	s.mu.Lock()
	defer s.mu.Unlock()
	c.replica.inFlight++
	return c
}

// Pick takes a slot on the best replica for q in the nearest ring that has a free slot. The
// best is the less loaded of two random replicas, or one with the prompt's prefix in its cache
// if its cost is not much higher (affinitySlack).
func (t *Table) Pick(q Query, now time.Time) (Choice, Status) {
	s := t.stripe(q.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[q.Key]
	if m == nil {
		return Choice{}, Cold
	}
	ignoreEjection := m.ignoresEjection(now)
	anyUsable := false
	for ring := range ringCount {
		best, hasUsable := t.bestInRing(s, m, q, ring, ignoreEjection, now)
		anyUsable = anyUsable || hasUsable
		if best == nil || ring == RingOtherRegion && !t.canCross(q) {
			continue
		}
		best.inFlight++
		hit := m.prefixes.has(q.Prefix, best.row.ID)
		m.prefixes.add(q.Prefix, best.row.ID)
		return Choice{Replica: best.row, Ring: ring, PrefixHit: hit, table: t, key: q.Key, replica: best}, Picked
	}
	if anyUsable {
		return Choice{}, Busy
	}
	return Choice{}, t.unreadyStatus(m, q)
}

// LoadState returns the state of a model's loads: whether a replica is loading, in what time the
// first load is expected to end, and the replica and reason of a failed load, if any.
func (t *Table) LoadState(key string) (readyIn time.Duration, loading bool, failed string) {
	s := t.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[key]
	if m == nil {
		return 0, false, ""
	}
	for _, r := range m.replicas {
		switch {
		case r.isLeaving(), !t.isReachable(r):
		case r.row.Phase == ports.PhaseLoading && (!loading || r.row.ReadyIn < readyIn):
			readyIn, loading = r.row.ReadyIn, true
		case r.row.Phase == ports.PhaseFailed:
			failed = r.row.ID + ": " + r.row.Reason
		}
	}
	return readyIn, loading, failed
}

// HasUsable reports whether any replica could serve q, whether it has a free slot or not.
func (t *Table) HasUsable(q Query) bool {
	s := t.stripe(q.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[q.Key]
	return m != nil && slices.ContainsFunc(m.replicas, func(r *replica) bool { return r.isUsable(q) && t.isReachable(r) })
}

// LinkWait returns the minimum time that a request has to wait for the link between regions,
// 0 if it may cross now or if a replica in the own region could serve it.
func (t *Table) LinkWait(q Query) time.Duration {
	if t.linkGate == nil {
		return 0
	}
	s := t.stripe(q.Key)
	s.mu.Lock()
	defer s.mu.Unlock()
	m := s.models[q.Key]
	if m == nil {
		return 0
	}
	inOtherRegion := false
	for _, r := range m.replicas {
		if !r.isUsable(q) {
			continue
		}
		if r.ring != RingOtherRegion {
			return 0
		}
		inOtherRegion = true
	}
	if !inOtherRegion {
		return 0
	}
	return t.linkGate.Wait(q.Priority)
}

// AvgDuration returns the average duration of a call, 0 if unknown.
func (t *Table) AvgDuration(key string) time.Duration {
	s := t.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	if m := s.models[key]; m != nil {
		return m.avgDuration
	}
	return 0
}

// bestInRing returns the replica to pick in a ring, nil if none has a free slot, and whether
// any replica of the ring is usable.
func (t *Table) bestInRing(s *stripe, m *model, q Query, ring int, ignoreEjection bool, now time.Time) (*replica, bool) {
	c := candidates{avgDuration: m.avgDuration}
	hasUsable := false
	for _, r := range m.replicas {
		if r.ring != ring || !r.isUsable(q) || !t.isReachable(r) || (r.isEjected(now) && !ignoreEjection) {
			continue
		}
		hasUsable = true
		if r.load(now, m.avgDuration) < float64(r.limit()) {
			c.add(s.random, r, m.prefixes.has(q.Prefix, r.row.ID), now)
		}
	}
	return c.choose(s.random, now), hasUsable
}

// candidates keeps two random replicas of those with a free slot, by reservoir sampling so
// that all pairs are equally likely, and the one of lowest cost that has the prompt's prefix.
type candidates struct {
	avgDuration time.Duration
	count       int
	pair        [2]*replica
	cached      *replica
	cachedCost  float64
}

func (c *candidates) add(random *rand.Rand, r *replica, hasPrefix bool, now time.Time) {
	c.count++
	if c.count <= len(c.pair) {
		c.pair[c.count-1] = r
	} else if i := random.IntN(c.count); i < len(c.pair) {
		c.pair[i] = r
	}
	if !hasPrefix {
		return
	}
	if cost := r.cost(now, c.avgDuration); c.cached == nil || cost < c.cachedCost {
		c.cached, c.cachedCost = r, cost
	}
}

func (c *candidates) choose(random *rand.Rand, now time.Time) *replica {
	if c.count == 0 {
		return nil
	}
	if c.count > 1 && random.IntN(2) == 0 {
		// Of two equal costs the first one wins, and sampling makes some replicas the first
		// more often than others.
		c.pair[0], c.pair[1] = c.pair[1], c.pair[0]
	}
	best, cost := c.pair[0], c.pair[0].cost(now, c.avgDuration)
	if second := c.pair[1]; second != nil {
		if c := second.cost(now, c.avgDuration); c < cost {
			best, cost = second, c
		}
	}
	if c.cached != nil && c.cachedCost <= cost+affinitySlack {
		return c.cached
	}
	return best
}

// ignoresEjection reports whether so many replicas are ejected that the failures are more
// likely caused by the calls than by the replicas, so that ejection has to be ignored.
func (m *model) ignoresEjection(now time.Time) bool {
	ready, ejected := 0, 0
	for _, r := range m.replicas {
		if r.row.Phase != ports.PhaseReady || r.isLeaving() {
			continue
		}
		ready++
		if r.isEjected(now) {
			ejected++
		}
	}
	return float64(ejected) > maxEjectedShare*float64(ready)
}

// unreadyStatus returns Loading if a replica that may serve q is loading, or is ready and only
// lacks the adapter, and Cold otherwise.
func (t *Table) unreadyStatus(m *model, q Query) Status {
	for _, r := range m.replicas {
		if !t.isReachable(r) {
			continue
		}
		if r.row.Phase == ports.PhaseLoading && !r.isLeaving() {
			return Loading
		}
		if q.Adapter != "" && r.row.Phase == ports.PhaseReady && !r.isLeaving() {
			return Loading
		}
	}
	return Cold
}

// InFlight returns how many calls this entry has in flight for a model or service.
func (t *Table) InFlight(key string) int {
	s := t.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := 0
	if m := s.models[key]; m != nil {
		for _, r := range m.replicas {
			sum += r.inFlight
		}
	}
	return sum
}
