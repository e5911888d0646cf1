package picker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/rank"
	"chivecroft.example/chivecroft/internal/state/recent"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Picker assigns requests to targets and queues those that no target can take. It is safe
// for concurrent use.
type Picker struct {
	timer timer.Service
	// name is the instance's name; it decides between targets of equal cost.
	name    string
	zone    string
	regions map[string]string
	// onDemand is called after a request has been queued.
	onDemand func()

	mu      sync.Mutex
	targets map[string]*target
	// leaving holds the incarnations that are known to be draining, including those that
	// are no longer in the platform's list.
	leaving *recent.Set[fleet.Identity]
	// share holds the rate limits that targets have named.
	share *quota.Share
	// failureRates holds the average failure rate of each service.
	failureRates map[string]float64
	// queue holds the queued requests by priority and arrival.
	queue []*queuedRequest
	teams teamQueues
	// refusals counts the refusals with a Retry-After.
	refusals int
	// expected is when the lease holder expects each model to be loaded.
	expected map[string]time.Time
	// updatedAt is the time of the lease holder's latest update.
	updatedAt time.Time
	arrivals  map[modelKey]int
	// copies holds lists of targets by what they serve.
	copies map[copiesKey][]*target

	// view is what the lease holder's load snapshots say. isShared reports whether they
	// are recent enough, which is valid if isLoadKnown; onLoadChange is told of changes.
	view         *load.View
	isShared     bool
	isLoadKnown  bool
	onLoadChange func(LoadChange)
	random       *rand.Rand
	// plainArrivals counts the requests to plain services since the last load report, sent
	// the requests by model that were sent to targets since the last snapshot.
	plainArrivals map[string]int
	// arrivedHere counts the requests by service since the last snapshot, which came at
	// snapshotAt.
	arrivedHere map[string]int
	snapshotAt  time.Time
	// withoutLimits means that the limits of targets that have just started do not apply.
	withoutLimits bool
	// startLimits is the number of targets that have such a limit.
	startLimits int
	sent        map[modelKey]int
	// paceToldAt is when a response of a service has last reported a pace, usualTimes the
	// usual time to a response.
	paceToldAt map[string]time.Time
	usualTimes map[modelKey]*usualTime
	// candidates holds positions in a list of copies. It, options and othersCost are kept from
	// one choice to the next to save allocations.
	candidates []int
	options    []load.Place
	// othersCost is the part of each option's start that the requests of others make up, some
	// of which have ended since the snapshot.
	othersCost []float64

	// limited holds the requests for models that were refused because of rate limits since
	// the last call of Demand, at most maxLimited.
	limited        []Request
	checkScheduled bool
	closed         bool
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

// Option configures a Picker.
type Option func(*Picker)

// WithDemand calls f after a request has been queued; f must not block.
func WithDemand(f func()) Option {
	return func(p *Picker) { p.onDemand = f }
}

// WithName sets the instance's name. It determines the order in which the instance
// prefers targets of equal cost, so that different instances do not all choose the same
// one.
func WithName(name string) Option {
	return func(p *Picker) { p.name = name }
}

// WithLimitObserver calls f after each change of a target's rate limit; f must not block.
func WithLimitObserver(f func(quota.Change)) Option {
	return func(p *Picker) { p.share = quota.NewShare(quota.WithObserver(f)) }
}

// New returns a Picker without targets for an instance in zone; regions maps zones to
// their regions.
func New(t timer.Service, zone string, regions map[string]string, opts ...Option) *Picker {
	p := &Picker{
		timer: t, zone: zone, regions: regions, onDemand: func() {},
		targets:      make(map[string]*target),
		leaving:      NewLeavingSet(),
		share:        quota.NewShare(),
		failureRates: make(map[string]float64),
		expected:     make(map[string]time.Time),
		arrivals:     make(map[modelKey]int),

		copies: make(map[copiesKey][]*target), view: load.NewView(t.Now()), onLoadChange: func(LoadChange) {},
		random:        rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		plainArrivals: make(map[string]int), sent: make(map[modelKey]int),
		paceToldAt: make(map[string]time.Time), usualTimes: make(map[modelKey]*usualTime),
		arrivedHere: make(map[string]int), teams: newTeamQueues(),
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Acquire reserves capacity at a target for a request. If no target can take it, the
// request is queued until one can, its deadline passes or ctx ends. The error is a
// *Refusal or that of ctx.
func (p *Picker) Acquire(ctx context.Context, q Request) (*Reservation, error) {
	p.mu.Lock()
	now := p.timer.Now()
	if len(q.Exclude) == 0 {
		p.countArrival(&q)
	}
	takesTurn := p.takesTurn(&q)
	if !takesTurn {
		if s := p.tryAcquire(now, &q); s != nil {
			p.mu.Unlock()
			return s, nil
		}
		if refusal := p.refuse(now, &q); refusal != nil {
			p.mu.Unlock()
			return nil, refusal
		}
	}
	w := &queuedRequest{req: q, result: make(chan acquireResult, 1)}
	p.enqueue(w)
	if takesTurn {
		p.serve(now, &w.req)
	}
	p.refuseLimited(now)
	isQueued := !w.hasLeft
	p.scheduleCheckLocked()
	p.mu.Unlock()
	if isQueued {
		p.onDemand()
	}
	select {
	case a := <-w.result:
		return a.reservation, a.err
	case <-ctx.Done():
		return nil, p.dequeue(w, ctx.Err())
	}
}

func (p *Picker) countArrival(q *Request) {
	p.arrivedHere[q.Service]++
	if q.Model == "" {
		p.plainArrivals[q.Service]++
		return
	}
	p.arrivals[modelKey{q.Service, q.Model}]++
}

// release ends a reservation, records the outcome and processes the queue.
func (p *Picker) release(s *Reservation, out Outcome) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := p.timer.Now()
	r := s.state
	r.inFlight--
	if !s.responseBegan && out.Answered {
		p.recordAnswer(now, s)
	}
	if out.Rejected || out.Unreachable || out.Failed {
		r.outcomes.Rejected++
		r.rejectedAt = now
		p.countUse(s.team, r.Service, s.model, -s.used)
	}
	p.setReportedPace(now, r, out.Pace)
	s.markResponseBegan()
	if s.model != "" {
		r.inFlightByModel[s.model]--
	}
	if out.LoadKnown {
		own := r.inFlight
		if !out.Rejected {
			// The response was sent while the target still counted the request.
			own++
		}
		r.setReportedLoad(now, out.Running, out.Waiting, own)
	}
	mean := p.failureRates[r.Service]
	r.recordOutcome(now, out, mean)
	p.failureRates[r.Service] = mean + failureWeight/float64(1+p.countTargets(r.Service))*(r.failureRate-mean)
	p.processQueue(now)
}

// CountTargets returns the number of known targets of a service.
func (p *Picker) CountTargets(service string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.countTargets(service)
}

func (p *Picker) countTargets(service string) int {
	return len(p.copiesFor(&Request{Service: service}, false))
}

// Close refuses all queued requests, and later ones that would have to be queued.
func (p *Picker) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.processQueue(p.timer.Now())
}

// SetTarget adds a target or updates its description from the platform's list.
func (p *Picker) SetTarget(r fleet.Target) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.setTargetLocked(r)
	p.processQueue(p.timer.Now())
}

func (p *Picker) setTargetLocked(r fleet.Target) *target {
	// A draining incarnation never becomes available again; a description that says
	// otherwise is out of date.
	r.Draining = r.Draining || p.leaving.Has(r.Identity)
	if r.Draining {
		p.leaving.Add(r.Identity)
	}
	p.dropCopies()
	known := p.targets[r.ID]
	if known == nil || known.Born != r.Born || known.Addr != r.Addr {
		index := 0
		if known != nil {
			index = known.index
		}
		known = &target{
			Target: r, otherLoadAt: p.timer.Now(), rank: rank.Hash(p.name + "\x00" + r.ID),
			slowness: 1, phase: p.random.Float64(), index: index, distance: p.distanceTo(r.Zone),
		}
		if _, ok := p.view.Age(p.timer.Now()); ok && !p.withoutLimits {
			// The next snapshot says how many requests it may have.
			known.limit = 1
			p.startLimits++
		}
		p.targets[r.ID] = known
		return known
	}
	known.Target = r
	known.distance = p.distanceTo(r.Zone)
	known.expiresAt = time.Time{}
	return known
}

// Remove removes a target that has disappeared from the platform's list. During the
// removalDelay the target stays in use, since it may reappear.
func (p *Picker) Remove(id string, removalDelay time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.targets[id]
	if r == nil {
		return
	}
	if removalDelay <= 0 {
		delete(p.targets, id)
		p.dropCopies()
		return
	}
	if until := p.timer.Now().Add(removalDelay); r.expiresAt.IsZero() || until.Before(r.expiresAt) {
		r.expiresAt = until
		r.mayPause = true
		p.timer.After(removalDelay, func() { p.removeExpired(id) })
	}
}

// removeExpired removes a target that has not reappeared within its removal delay.
func (p *Picker) removeExpired(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r := p.targets[id]; r != nil && r.isExpired(p.timer.Now()) {
		delete(p.targets, id)
		p.dropCopies()
	}
}

// MissingFrom returns the ids of known targets that are missing from a full list.
func (p *Picker) MissingFrom(listed map[string]bool) []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var out []string
	for id := range p.targets {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}

// ApplyUpdates applies the lease holder's updates of targets. The expected load times of
// models replace all former ones.
func (p *Picker) ApplyUpdates(updates []Update, expected map[string]time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for i := range updates {
		n := &updates[i]
		if n.Gone {
			delete(p.targets, n.ID)
			p.dropCopies()
			continue
		}
		r := p.setTargetLocked(n.target())
		r.update, r.index = n, n.Index
		p.share.Adopt(n.Identity, n.Limit, p.timer.Now())
	}
	p.expected = expected
	p.updatedAt = p.timer.Now()
	p.processQueue(p.updatedAt)
}
