package picker

import (
	"math"
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
)

// LoadChange reports that the picker has begun or ceased to use the load of all instances.
type LoadChange struct {
	// Shared reports whether a load snapshot is in use.
	Shared bool
	// Age is the age of the latest snapshot, negative if there has been none.
	Age time.Duration
}

// WithLoadObserver calls f when the load snapshots begin or cease to be recent enough; f
// must not block.
func WithLoadObserver(f func(LoadChange)) Option {
	return func(p *Picker) { p.onLoadChange = f }
}

// WithRandom sets the source of random numbers.
func WithRandom(r *rand.Rand) Option {
	return func(p *Picker) { p.random = r }
}

// WithoutStartLimits ignores the limits of targets that have just started or recovered.
func WithoutStartLimits() Option {
	return func(p *Picker) { p.withoutLimits = true }
}

// LoadReport returns what to tell the lease holder about this instance's load, and resets
// the count of arrivals.
func (p *Picker) LoadReport() load.Report {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	p.usesSnapshot(now)
	highest := 0
	for _, r := range p.targets {
		highest = max(highest, r.index)
	}
	own := load.Own{InFlight: make([]int, highest+1)}
	for _, r := range p.targets {
		if r.index == 0 {
			continue
		}
		own.InFlight[r.index] = r.inFlight
		own.AddPace(r.index, r.figures, r.paceSource)
		r.figures = load.Figures{}
		if r.limit > 0 || now.Sub(r.rejectedAt) < load.MaxAge {
			own.AddOutcomes(r.index, r.outcomes)
		}
		r.outcomes = load.Outcomes{}
	}
	out := p.view.Report(now, &own)
	out.Arrived = p.plainArrivals
	p.plainArrivals = make(map[string]int)
	out.Use = p.takeUse()
	out.Waiting = p.waitingTeams(now)
	return out
}

// ApplyLoad applies a load snapshot of the lease holder, which may be nil, after the
// updates of the same reply. It answers a report that was sent at sentAt.
func (p *Picker) ApplyLoad(term int64, s *load.Snapshot, sentAt time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.view.SetTerm(term)
	if s == nil {
		return
	}
	others, ok := p.view.Apply(s, sentAt)
	if !ok {
		return
	}
	now := p.timer.Now()
	age, _ := p.view.Age(now)
	at := now.Add(-age)
	for _, r := range p.targets {
		r.pace.Set(at, p.view.Pace(r.index))
		r.slowness = r.pace.Current(now)
		if !p.withoutLimits {
			r.limit = p.view.Limit(r.index)
		}
		if r.others.at.After(at) {
			continue
		}
		r.others = otherLoad{at: at}
		if r.index < len(others) {
			r.others.count = float64(others[r.index])
		}
	}
	p.setChances(now)
	clear(p.sent)
	p.usesSnapshot(now)
	p.setLeads(now)
	p.renewHolds(now)
	p.processQueue(now)
}

// otherLoad is the number of other instances' requests at a target as of a time.
type otherLoad struct {
	count float64
	at    time.Time
}

// usesSnapshot reports whether there is a load snapshot that is recent enough, and tells
// the observer when that changes.
func (p *Picker) usesSnapshot(now time.Time) bool {
	age, ok := p.view.Age(now)
	if ok == p.isShared && p.isLoadKnown {
		return ok
	}
	wasKnown := p.isLoadKnown
	p.isShared, p.isLoadKnown = ok, true
	if !ok && !wasKnown {
		age = -1
	}
	p.onLoadChange(LoadChange{Shared: ok, Age: age})
	return ok
}

// candidateSet holds the targets that can take a request.
type candidateSet struct {
	// tier is the tier, with strained set if it is so.
	tier choiceTier
	// copies are all targets that serve the request. The Picker's candidates are positions
	// in it, its options the places of these.
	copies []*target
	// others is the number of the other instances' requests at the candidates.
	others float64
	// limitedAt is the position of the best candidate that has a limit, -1 if there is none.
	limitedAt int
	// sent is the estimated number of requests that other instances have sent since the
	// snapshot, kept the share of those in the snapshot that have not ended since.
	sent, kept float64
}

// chooseShared returns the target for a request on the basis of the load snapshot among
// those of a tier, or nil.
func (p *Picker) chooseShared(now time.Time, q *Request, tier choiceTier) *target {
	c := p.weigh(now, q, tier)
	if len(p.options) == 0 {
		return nil
	}
	if p.prefersLimited(&c) {
		// Chance has already decided for this target, which has room.
		best := c.copies[p.candidates[c.limitedAt]]
		best.expected = best.sharedLoad()
		return best
	}
	i, share := load.Choose(p.options, 1+c.sent, p.random.Float64())
	best := c.copies[p.candidates[i]]
	best.expected = float64(best.inFlight) + c.kept*best.others.count + share*(1-c.kept)*c.others
	return best
}

// weigh sets the candidates, and their places as they probably are by now.
func (p *Picker) weigh(now time.Time, q *Request, tier choiceTier) candidateSet {
	c := p.collect(now, q, tier)
	if len(p.options) == 0 {
		return c
	}
	c.sent = p.sentByOthers(now, q)
	c.kept = keptShare(c.sent, c.others)
	for i := range p.options {
		p.options[i].Start -= (1 - c.kept) * p.othersCost[i]
	}
	return c
}

// prefersLimited reports whether the best candidate that has a limit is chosen.
func (p *Picker) prefersLimited(c *candidateSet) bool {
	return c.limitedAt >= 0 && p.options[c.limitedAt].Start < load.Level(p.options, 1+c.sent)
}

// collect sets the candidates and their places for a choice.
func (p *Picker) collect(now time.Time, q *Request, tier choiceTier) candidateSet {
	c := candidateSet{copies: p.copiesFor(q, p.hasFreshUpdates(now)), limitedAt: -1}
	tier.strained = p.isStrained(now, q, c.copies)
	c.tier = tier
	list, options, othersCost := p.candidates[:0], p.options[:0], p.othersCost[:0]
	limited, mean, most := p.share.InForce(), p.failureRates[q.Service], q.overcommit()
	p.drawNumber(q)
	for i, r := range c.copies {
		if !r.isUnhindered(q, tier) && r.hindrance(now, q, tier) != noObstacle || r.isFull(most) ||
			limited && p.share.Blocks(r.Identity, now) {
			continue
		}
		list = append(list, i)
		option, step := p.option(now, q, r, mean, limited)
		options = append(options, option)
		othersCost = append(othersCost, step*r.others.count)
		c.others += r.others.count
		last := len(options) - 1
		if r.limit > 0 && (c.limitedAt < 0 || options[last].Start < options[c.limitedAt].Start) {
			c.limitedAt = last
		}
	}
	p.candidates, p.options, p.othersCost = list, options, othersCost
	return c
}

// keptShare estimates the share of the requests in a snapshot that have not ended since,
// if as many end as are sent.
func keptShare(sent, inFlight float64) float64 {
	if sent == 0 {
		return 1
	}
	return math.Exp(-sent / max(inFlight, 1))
}

// option returns the expected time of a request at a target for the choice, in the time
// that one request usually takes there alone. The second result is by how much one request
// raises it.
func (p *Picker) option(now time.Time, q *Request, r *target, mean float64, limited bool) (load.Place, float64) {
	unit := 1.0
	if q.Model == "" {
		unit = 1 / float64(max(r.Slots, 1))
	}
	extra := r.distance + prefillCost*float64(r.prefilling)
	if r.failureRate > 0 {
		extra += failureCost * max(r.currentFailureRate(now)-mean, 0)
	}
	if limited && p.share.IsLimited(r.Identity) {
		extra -= permitBonus
	}
	step := unit * r.slowness
	return load.Place{Start: step*(r.sharedLoad()+1) + unit*extra, Width: 1 / step}, step
}

// sharedLoad returns the number of requests at the target as of the snapshot, corrected
// by this instance's own requests since then.
func (r *target) sharedLoad() float64 { return r.others.count + float64(r.inFlight) }

// sentByOthers estimates how many requests for the same model the other instances have
// sent since the snapshot.
func (p *Picker) sentByOthers(now time.Time, q *Request) float64 {
	key := modelKey{q.Service, q.Model}
	age, _ := p.view.Age(now)
	all := p.view.Rate(load.Model{Service: q.Service, Model: q.Model}) * age.Seconds()
	return max(all-float64(p.sent[key]), 0)
}
