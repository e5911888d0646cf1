package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Bounds of the choice.
const (
	// affinitySlack is how much busier, in shares of its capacity, a replica
	// with the prompt's prefix may be than the one that load alone would choose.
	affinitySlack = 0.25
	// ejectShare is the largest share of a model's replicas that is ejected at
	// a time.
	ejectShare = 0.5
	// tookWeight is the weight of one sample in the average time of a call.
	tookWeight = 0.05
	// rings are the own zone, the own region and what is beyond.
	rings = 3
)

// RingBeyond is the ring of other regions, across the link.
const RingBeyond = rings - 1

// Query asks for a replica of a model, or an instance of a plain service.
type Query struct {
	// Key is a model's name or a ServiceKey.
	Key     string
	Adapter string
	// Prefix is the hash of the prompt's beginning, 0 for none.
	Prefix uint64
	// Exclude names replicas that were tried already.
	Exclude []string
	// Priority says what the request gives way to on the link between regions.
	Priority link.Priority
}

// Status says how a Pick ended.
type Status uint8

// The ends of a Pick.
const (
	// Picked means that the choice holds a replica.
	Picked Status = iota
	// Busy means that replicas are ready and all of them full.
	Busy
	// Loading means that no replica is ready and one loads.
	Loading
	// Cold means that nothing is ready and nothing loads.
	Cold
)

// Choice is a replica with a place taken on it; Done gives the place back.
type Choice struct {
	Replica ports.Replica
	// Ring is 0 for the own zone, 1 for the own region and 2 beyond.
	Ring int
	// PrefixHit tells that the replica was chosen for its cached prefix.
	PrefixHit bool

	table *Table
	key   string
	state *replica
}

// Result says how a call on a choice ended.
type Result struct {
	// Failed means that the target did not do its work, which counts towards
	// its ejection; a caller's own fault or cancellation is no failure.
	Failed bool
	// Overloaded means that the target said that it has too much to do.
	Overloaded bool
	// Latency is the time to the first byte or token.
	Latency time.Duration
	// Took is the time of the whole call, 0 if it was not carried through.
	Took time.Duration
	// Leaving means that the target said that it leaves.
	Leaving bool
}

// Done ends the call; it must be called exactly once.
func (c Choice) Done(now time.Time, result Result) {
	p := c.table.part(c.key)
	p.mu.Lock()
	c.state.done(now, result)
	if m := p.models[c.key]; m != nil && result.Took > 0 && !result.Failed {
		m.took += time.Duration(tookWeight * float64(result.Took-m.took))
	}
	p.mu.Unlock()
	if result.Leaving {
		c.table.MarkLeaving(c.Replica.Target)
	}
	c.table.changed(c.key)
}

// Again takes one more place on the replica of a choice, even if it is full; the
// result is a choice of its own.
func (c Choice) Again() Choice {
	p := c.table.part(c.key)
	p.mu.Lock()
	defer p.mu.Unlock()
	c.state.flying++
	return c
}

// Pick takes a place on the best replica for q: in the nearest ring that has
// room, the better of two random ones by load, or one with the prompt's prefix
// if it is not much busier.
func (t *Table) Pick(q Query, now time.Time) (Choice, Status) {
	p := t.part(q.Key)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[q.Key]
	if m == nil {
		return Choice{}, Cold
	}
	tolerant := m.tolerant(now)
	seen := false
	for ring := range rings {
		best, any := t.best(p, m, q, ring, tolerant, now)
		seen = seen || any
		if best == nil || ring == RingBeyond && !t.mayCross(q) {
			continue
		}
		best.flying++
		hit := m.homes.has(q.Prefix, best.row.ID)
		m.homes.learn(q.Prefix, best.row.ID)
		return Choice{Replica: best.row, Ring: ring, PrefixHit: hit, table: t, key: q.Key, state: best}, Picked
	}
	if seen {
		return Choice{}, Busy
	}
	return Choice{}, t.unready(m, q)
}

// Outlook tells what is known of a model without a ready replica: when the
// first load is expected to end, and why the latest failed load failed.
func (t *Table) Outlook(key string) (readyIn time.Duration, loading bool, failed string) {
	p := t.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[key]
	if m == nil {
		return 0, false, ""
	}
	for _, r := range m.replicas {
		switch {
		case r.leaving(), !t.reaches(r):
		case r.row.Phase == ports.PhaseLoading && (!loading || r.row.ReadyIn < readyIn):
			readyIn, loading = r.row.ReadyIn, true
		case r.row.Phase == ports.PhaseFailed:
			failed = r.row.ID + ": " + r.row.Reason
		}
	}
	return readyIn, loading, failed
}

// Ready tells whether any replica could serve q, with room or without.
func (t *Table) Ready(q Query) bool {
	p := t.part(q.Key)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[q.Key]
	return m != nil && slices.ContainsFunc(m.replicas, func(r *replica) bool { return r.usable(q) && t.reaches(r) })
}

// CrossWait returns how long a request has to wait at least for the link between
// regions, 0 if it may cross now or a replica on this side could serve it.
func (t *Table) CrossWait(q Query) time.Duration {
	if t.crossing == nil {
		return 0
	}
	p := t.part(q.Key)
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.models[q.Key]
	if m == nil {
		return 0
	}
	beyond := false
	for _, r := range m.replicas {
		if !r.usable(q) {
			continue
		}
		if r.ring != RingBeyond {
			return 0
		}
		beyond = true
	}
	if !beyond {
		return 0
	}
	return t.crossing.Wait(q.Priority)
}

// Took returns the average time of a call, 0 if none is known.
func (t *Table) Took(key string) time.Duration {
	p := t.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if m := p.models[key]; m != nil {
		return m.took
	}
	return 0
}

// best returns the replica to use in a ring, nil if none has room, and whether
// any could have been used.
func (t *Table) best(p *part, m *model, q Query, ring int, tolerant bool, now time.Time) (*replica, bool) {
	s := sample{took: m.took}
	usable := false
	for _, r := range m.replicas {
		if r.ring != ring || !r.usable(q) || !t.reaches(r) || (r.ejected(now) && !tolerant) {
			continue
		}
		usable = true
		if r.load(now, m.took) < float64(r.limit()) {
			s.add(p.random, r, m.homes.has(q.Prefix, r.row.ID), now)
		}
	}
	return s.choice(p.random, now), usable
}

// sample keeps two random replicas of those that have room, each pair as likely
// as any other, and the least busy one that has the prompt's prefix.
type sample struct {
	took     time.Duration
	seen     int
	two      [2]*replica
	home     *replica
	homeCost float64
}

func (s *sample) add(random *rand.Rand, r *replica, home bool, now time.Time) {
	s.seen++
	if s.seen <= len(s.two) {
		s.two[s.seen-1] = r
	} else if i := random.IntN(s.seen); i < len(s.two) {
		s.two[i] = r
	}
	if !home {
		return
	}
	if cost := r.cost(now, s.took); s.home == nil || cost < s.homeCost {
		s.home, s.homeCost = r, cost
	}
}

func (s *sample) choice(random *rand.Rand, now time.Time) *replica {
	if s.seen == 0 {
		return nil
	}
	if s.seen > 1 && random.IntN(2) == 0 {
		// Equal costs go to the first, and sampling puts some replicas there
		// more often than others.
		s.two[0], s.two[1] = s.two[1], s.two[0]
	}
	best, cost := s.two[0], s.two[0].cost(now, s.took)
	if second := s.two[1]; second != nil {
		if c := second.cost(now, s.took); c < cost {
			best, cost = second, c
		}
	}
	if s.home != nil && s.homeCost <= cost+affinitySlack {
		return s.home
	}
	return best
}

// tolerant tells whether so many replicas are ejected that ejection says more
// about the calls than about the replicas, and is ignored.
func (m *model) tolerant(now time.Time) bool {
	ready, ejected := 0, 0
	for _, r := range m.replicas {
		if r.row.Phase != ports.PhaseReady || r.leaving() {
			continue
		}
		ready++
		if r.ejected(now) {
			ejected++
		}
	}
	return float64(ejected) > ejectShare*float64(ready)
}

// unready tells whether a replica that could serve q loads.
func (t *Table) unready(m *model, q Query) Status {
	for _, r := range m.replicas {
		if !t.reaches(r) {
			continue
		}
		if r.row.Phase == ports.PhaseLoading && !r.leaving() {
			return Loading
		}
		if q.Adapter != "" && r.row.Phase == ports.PhaseReady && !r.leaving() {
			return Loading
		}
	}
	return Cold
}

// Flying returns how many calls this entry has in flight for a model or service.
func (t *Table) Flying(key string) int {
	p := t.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	sum := 0
	if m := p.models[key]; m != nil {
		for _, r := range m.replicas {
			sum += r.flying
		}
	}
	return sum
}
