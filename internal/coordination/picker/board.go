package picker

import (
	"context"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/rank"
	"chivecroft.example/chivecroft/internal/state/recent"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// zoneCost is the cost of a target in another zone of the same region, in requests in
	// flight.
	zoneCost = 1.5
	// regionCost is the cost of a target in another region, in requests in flight.
	regionCost = 4.0
	// prefillCost is the extra cost of a request whose response has not begun, in
	// requests in flight: its prompt is probably still being processed.
	prefillCost = 3.0
	// failureCost is the cost, in requests in flight, of a failure rate that is 1 above
	// the average of the service.
	failureCost = 20.0
	// maxQueueTimeShare is the share of the time until its deadline that a request is
	// queued for a model of which the lease holder has given no expected load time.
	maxQueueTimeShare = 0.3
	// defaultRetryAfter is returned with a refusal if no load of the model is under way.
	defaultRetryAfter = 2 * time.Second
	// stoppingRetryAfter is returned with a refusal by an instance that is stopping.
	stoppingRetryAfter = 100 * time.Millisecond
	// queueCheckInterval is the interval at which the queue is checked for expired
	// deadlines, backoffs and ejections.
	queueCheckInterval = 50 * time.Millisecond
)

// Board assigns requests to targets and queues those that no target can take. It is safe
// for concurrent use.
type Board struct {
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
	// failureRates holds the average failure rate of each service.
	failureRates map[string]float64
	queue        []*queuedRequest
	// expected is when the lease holder expects each model to be loaded.
	expected map[string]time.Time
	// updatedAt is the time of the lease holder's latest update.
	updatedAt      time.Time
	arrivals       map[modelKey]int
	checkScheduled bool
	closed         bool
}

// modelKey identifies a model of a service.
type modelKey struct{ service, model string }

type queuedRequest struct {
	req    Request
	result chan acquireResult
}

type acquireResult struct {
	seat *Seat
	err  error
}

// Option configures a Board.
type Option func(*Board)

// WithDemand calls f after a request has been queued; f must not block.
func WithDemand(f func()) Option {
	return func(b *Board) { b.onDemand = f }
}

// WithName sets the instance's name. It determines the order in which the instance
// prefers targets of equal cost, so that different instances do not all choose the same
// one.
func WithName(name string) Option {
	return func(b *Board) { b.name = name }
}

// NewBoard returns a Board without targets for an instance in zone; regions maps zones to
// their regions.
func NewBoard(t timer.Service, zone string, regions map[string]string, opts ...Option) *Board {
	b := &Board{
		timer: t, zone: zone, regions: regions, onDemand: func() {},
		targets:      make(map[string]*target),
		leaving:      NewLeavers(),
		failureRates: make(map[string]float64),
		expected:     make(map[string]time.Time),
		arrivals:     make(map[modelKey]int),
	}
	for _, opt := range opts {
		opt(b)
	}
	return b
}

// Acquire reserves capacity at a target for a request. If no target can take it, the
// request is queued until one can, its deadline passes or ctx ends. The error is a
// *Refusal or that of ctx.
func (b *Board) Acquire(ctx context.Context, q Request) (*Seat, error) {
	b.mu.Lock()
	now := b.timer.Now()
	if q.Model != "" && len(q.Exclude) == 0 {
		b.arrivals[modelKey{q.Service, q.Model}]++
	}
	if s := b.tryAcquire(now, &q); s != nil {
		b.mu.Unlock()
		return s, nil
	}
	if refusal := b.refuse(now, &q); refusal != nil {
		b.mu.Unlock()
		return nil, refusal
	}
	w := &queuedRequest{req: q, result: make(chan acquireResult, 1)}
	b.queue = append(b.queue, w)
	slices.SortStableFunc(b.queue, compareQueued)
	b.scheduleCheckLocked()
	b.mu.Unlock()
	b.onDemand()
	select {
	case a := <-w.result:
		return a.seat, a.err
	case <-ctx.Done():
		return nil, b.dequeue(w, ctx.Err())
	}
}

// compareQueued orders requests by priority, then by arrival.
func compareQueued(x, y *queuedRequest) int {
	if x.req.Priority != y.req.Priority {
		return x.req.Priority - y.req.Priority
	}
	return x.req.Arrived.Compare(y.req.Arrived)
}

// dequeue removes a request whose caller is gone. A reservation that was made for it at
// the same moment is released.
func (b *Board) dequeue(w *queuedRequest, err error) error {
	b.mu.Lock()
	i := slices.Index(b.queue, w)
	if i >= 0 {
		b.queue = slices.Delete(b.queue, i, i+1)
	}
	b.mu.Unlock()
	if i < 0 {
		if a := <-w.result; a.seat != nil {
			a.seat.Done(Outcome{})
		}
	}
	return err
}

// tryAcquire reserves capacity at the best target that can accept the request, or returns
// nil. Ejected targets are used only if there is no other.
func (b *Board) tryAcquire(now time.Time, q *Request) *Seat {
	best := b.bestTarget(now, q, false)
	if best == nil {
		best = b.bestTarget(now, q, true)
	}
	if best == nil {
		return nil
	}
	load := best.load(now)
	best.inFlight++
	best.prefilling++
	if q.Model != "" {
		if best.inFlightByModel == nil {
			best.inFlightByModel = make(map[string]int)
		}
		best.inFlightByModel[q.Model]++
	}
	return &Seat{
		Target: best.Target, Waited: now.Sub(q.Arrived), Load: load,
		board: b, state: best, model: q.Model,
	}
}

// bestTarget returns the target of the lowest cost among those that are ejected or among
// those that are not, or nil.
func (b *Board) bestTarget(now time.Time, q *Request, ejected bool) *target {
	var best *target
	lowest := 0.0
	fresh := b.hasFreshUpdates(now)
	for _, r := range b.targets {
		if r.Service != q.Service || !r.canAccept(now, q, fresh) || now.Before(r.ejectedUntil) != ejected {
			continue
		}
		cost := b.cost(now, r)
		if best == nil || cost < lowest || cost == lowest && r.rank < best.rank {
			best, lowest = r, cost
		}
	}
	return best
}

// hasFreshUpdates reports whether the lease holder's updates are recent enough to take
// precedence over the platform's list.
func (b *Board) hasFreshUpdates(now time.Time) bool {
	return now.Sub(b.updatedAt) < updateTTL
}

// cost rates a target for one more request, in requests in flight.
func (b *Board) cost(now time.Time, r *target) float64 {
	cost := r.load(now) + prefillCost*float64(r.prefilling) + failureCost*max(r.currentFailureRate(now)-b.failureRates[r.Service], 0)
	switch {
	case r.Zone == b.zone:
	case b.regions[r.Zone] == b.regions[b.zone]:
		cost += zoneCost
	default:
		cost += regionCost
	}
	return cost
}

// refuse returns a Refusal if queueing the request cannot help, otherwise nil.
func (b *Board) refuse(now time.Time, q *Request) *Refusal {
	if b.closed {
		return &Refusal{Reason: ReasonStopping, RetryAfter: stoppingRetryAfter}
	}
	if !now.Before(q.Deadline) {
		return &Refusal{Reason: ReasonDeadline, RetryAfter: b.retryAfter(now, q)}
	}
	if until, ok := b.allBackingOff(now, q); ok {
		return &Refusal{Reason: ReasonResting, RetryAfter: until.Sub(now)}
	}
	if q.Model == "" {
		return nil
	}
	if b.expected[q.Model].After(q.Deadline) {
		return &Refusal{Reason: ReasonTooLate, RetryAfter: b.retryAfter(now, q)}
	}
	if now.Sub(q.Arrived) > b.maxQueueTime(q) {
		return &Refusal{Reason: ReasonNoTarget, RetryAfter: b.retryAfter(now, q)}
	}
	return nil
}

// maxQueueTime limits how long a request is queued. Without an expected load time for its
// model it is queued only for a share of the time until its deadline.
func (b *Board) maxQueueTime(q *Request) time.Duration {
	if _, known := b.expected[q.Model]; known {
		return q.Deadline.Sub(q.Arrived)
	}
	return time.Duration(maxQueueTimeShare * float64(q.Deadline.Sub(q.Arrived)))
}

func (b *Board) retryAfter(now time.Time, q *Request) time.Duration {
	if ready := b.expected[q.Model]; ready.After(now) {
		return ready.Sub(now)
	}
	return defaultRetryAfter
}

// release ends a reservation, records the outcome and processes the queue.
func (b *Board) release(s *Seat, out Outcome) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if s.released {
		return
	}
	s.released = true
	now := b.timer.Now()
	r := s.state
	r.inFlight--
	s.markResponseBegan()
	if s.model != "" {
		r.inFlightByModel[s.model]--
	}
	if out.LoadKnown {
		r.setReportedLoad(now, out.Running, out.Waiting)
	}
	mean := b.failureRates[r.Service]
	r.recordOutcome(now, out, mean)
	b.failureRates[r.Service] = mean + failureWeight/float64(1+b.countTargets(r.Service))*(r.failureRate-mean)
	b.processQueue(now)
}

func (b *Board) countTargets(service string) int {
	n := 0
	for _, r := range b.targets {
		if r.Service == service {
			n++
		}
	}
	return n
}

// processQueue assigns queued requests to targets and refuses those for which further
// waiting cannot help.
func (b *Board) processQueue(now time.Time) {
	b.queue = slices.DeleteFunc(b.queue, func(w *queuedRequest) bool {
		if s := b.tryAcquire(now, &w.req); s != nil {
			w.result <- acquireResult{seat: s}
			return true
		}
		if refusal := b.refuse(now, &w.req); refusal != nil {
			w.result <- acquireResult{err: refusal}
			return true
		}
		return false
	})
	b.scheduleCheckLocked()
}

// Close refuses all queued requests, and later ones that would have to be queued.
func (b *Board) Close() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.closed = true
	b.processQueue(b.timer.Now())
}

// scheduleCheckLocked arms a timer while requests are queued, since deadlines, backoffs
// and ejections end without any other event.
func (b *Board) scheduleCheckLocked() {
	if b.checkScheduled || len(b.queue) == 0 {
		return
	}
	b.checkScheduled = true
	b.timer.After(queueCheckInterval, func() {
		b.mu.Lock()
		defer b.mu.Unlock()
		b.checkScheduled = false
		b.processQueue(b.timer.Now())
	})
}

// SetTarget adds a target or updates its description from the platform's list.
func (b *Board) SetTarget(r fleet.Target) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.setTargetLocked(r)
	b.processQueue(b.timer.Now())
}

func (b *Board) setTargetLocked(r fleet.Target) *target {
	// A draining incarnation never becomes available again; a description that says
	// otherwise is out of date.
	r.Draining = r.Draining || b.leaving.Has(r.Identity)
	if r.Draining {
		b.leaving.Add(r.Identity)
	}
	known := b.targets[r.ID]
	if known == nil || known.Born != r.Born || known.Addr != r.Addr {
		known = &target{Target: r, otherLoadAt: b.timer.Now(), rank: rank.Hash(b.name + "\x00" + r.ID)}
		b.targets[r.ID] = known
		return known
	}
	known.Target = r
	known.expiresAt = time.Time{}
	return known
}

// Remove removes a target that has disappeared from the platform's list. During the
// removal delay doubt the target stays in use, since it may reappear.
func (b *Board) Remove(id string, doubt time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	r := b.targets[id]
	if r == nil {
		return
	}
	if doubt <= 0 {
		delete(b.targets, id)
		return
	}
	if r.expiresAt.IsZero() {
		r.expiresAt = b.timer.Now().Add(doubt)
		b.timer.After(doubt, func() { b.removeExpired(id) })
	}
}

// removeExpired removes a target that has not reappeared within its removal delay.
func (b *Board) removeExpired(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if r := b.targets[id]; r != nil && r.isExpired(b.timer.Now()) {
		delete(b.targets, id)
	}
}

// Unlisted returns the ids of known targets that are missing from a full list.
func (b *Board) Unlisted(listed map[string]bool) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []string
	for id := range b.targets {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}

// Learn applies the lease holder's updates of targets. The expected load times of models
// replace all former ones.
func (b *Board) Learn(updates []News, expected map[string]time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for i := range updates {
		n := &updates[i]
		if n.Gone {
			delete(b.targets, n.ID)
			continue
		}
		b.setTargetLocked(n.target()).update = n
	}
	b.expected = expected
	b.updatedAt = b.timer.Now()
	b.processQueue(b.updatedAt)
}
