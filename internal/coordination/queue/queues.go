package queue

import (
	"cmp"
	"context"
	"errors"
	"hash/maphash"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// stripeCount is the number of separately locked parts of the queues.
const stripeCount = 64

// stripeSeed seeds the hash that distributes models over stripes. It may be random, since the
// distribution affects no result.
var stripeSeed = maphash.MakeSeed()

// The default Limits.
const (
	// defaultMaxCount is the maximum number of requests in all queues of an entry.
	defaultMaxCount = 20_000
	// defaultMaxBytes is the maximum memory of the requests in all queues of an entry.
	defaultMaxBytes = 32 << 20
	// defaultMaxPerQueue is the maximum number of requests in one queue.
	defaultMaxPerQueue = 4_000
)

// Demander requests replicas from the owners of the models' shards.
type Demander interface {
	// Demand tells the owner that callers wait for a replica and returns its reply. It may
	// block until ctx ends.
	Demand(ctx context.Context, demand ports.Demand) (ports.DemandReply, error)
}

// DemandFunc is a function that implements Demander.
type DemandFunc func(ctx context.Context, demand ports.Demand) (ports.DemandReply, error)

// Demand calls the function.
func (f DemandFunc) Demand(ctx context.Context, demand ports.Demand) (ports.DemandReply, error) {
	return f(ctx, demand)
}

// Room holds the queues of one entry. It is safe for concurrent use.
type Room struct {
	table    picker
	demander Demander
	timer    timer.Service
	limits   Limits
	stripes  [stripeCount]stripe

	nextSeq    atomic.Uint64
	count      atomic.Int64
	bytes      atomic.Int64
	isDraining atomic.Bool
}

// Limits bound the queues of an entry.
type Limits struct {
	// Count is the maximum number of requests in all queues together.
	Count int64
	// Bytes is the maximum memory of the requests in all queues together.
	Bytes int64
	// LineCount is the maximum number of requests in one queue.
	LineCount int
}

// stripe holds the queues under one lock, by model.
type stripe struct {
	mu     sync.Mutex
	queues map[string]map[queueKey]*waitQueue
}

// Option configures a Room.
type Option func(*Room)

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(r *Room) { r.limits = limits }
}

// NewRoom returns empty queues that take slots from a routing table. The table's change
// listener has to call Wake.
func NewRoom(table *route.Table, demander Demander, clock timer.Service, opts ...Option) *Room {
	r := &Room{
		table: table, demander: demander, timer: clock,
		limits: Limits{Count: defaultMaxCount, Bytes: defaultMaxBytes, LineCount: defaultMaxPerQueue},
	}
	for i := range r.stripes {
		r.stripes[i].queues = make(map[string]map[queueKey]*waitQueue)
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Acquire returns a slot on a replica, immediately or after a wait. Its error is always an
// *admit.Refusal, returned early enough that the answer reaches the caller before the
// deadline.
func (r *Room) Acquire(ctx context.Context, req Request) (Grant, error) {
	now := r.timer.Now()
	if !now.Before(req.Deadline) {
		return Grant{}, &admit.Refusal{Reason: admit.ReasonDeadline, Detail: "the deadline has passed"}
	}
	w := r.newWaiter(req, now)
	if grant, ok := r.pickOrEnqueue(w, now); ok {
		return grant, nil
	}
	select {
	case a := <-w.done:
		return a.result()
	case <-ctx.Done():
		return r.cancelWait(ctx, w)
	}
}

// Wake processes the queues of a model or service again. It has to be called after a change
// that may let requests proceed, such as a replica that became ready or a call that ended.
func (r *Room) Wake(key string) {
	s := r.stripe(key)
	s.mu.Lock()
	if len(s.queues[key]) == 0 {
		s.mu.Unlock()
		return
	}
	var acts []actions
	keys := make([]queueKey, 0, len(s.queues[key]))
	now := r.timer.Now()
	for _, q := range s.byLastGrant(key) {
		acts = append(acts, q.process(now, r.table))
		keys = append(keys, q.key)
		r.schedule(q, now)
	}
	s.prune(key, now)
	s.mu.Unlock()
	for i, a := range acts {
		r.carryOut(keys[i], a)
	}
}

// Drain makes Acquire refuse new requests that would have to wait; requests that wait
// already are served or refused as before.
func (r *Room) Drain() {
	r.isDraining.Store(true)
}

// RefuseWaiting refuses all waiting requests; a stopping entry calls it when its time to
// drain is up.
func (r *Room) RefuseWaiting(retryAfter time.Duration) {
	for i := range r.stripes {
		r.refuseStripe(&r.stripes[i], retryAfter)
	}
}

// Waiting returns the number of waiting requests and the memory they use in bytes.
func (r *Room) Waiting() (count, bytes int64) {
	return r.count.Load(), r.bytes.Load()
}

// newWaiter returns a waiter for req and computes its latest useful start from the average
// duration of a call. A call that starts later would rarely end before its deadline and
// would only take a slot from one that can.
func (r *Room) newWaiter(req Request, now time.Time) *waiter {
	left := req.Deadline.Sub(now)
	margin := min(time.Duration(answerMarginShare*float64(left)), maxAnswerMargin)
	took := min(r.table.Took(req.Query.Key), left/2)
	return &waiter{
		req: req, seq: r.nextSeq.Add(1), heapIndex: -1, enqueuedAt: now,
		refuseBy: req.Deadline.Add(-margin - took), done: make(chan outcome, 1),
	}
}

// pickOrEnqueue returns a slot if one is free and no other request waits. Otherwise it
// enqueues the request and returns false; the outcome is then sent to w.done.
func (r *Room) pickOrEnqueue(w *waiter, now time.Time) (Grant, bool) {
	key := w.req.Query.Key
	s := r.stripe(key)
	s.mu.Lock()
	q := s.queues[key][queueKey{key, w.req.Query.Adapter}]
	status := route.Busy
	if q == nil || q.queue.count == 0 {
		var choice route.Choice
		choice, status = r.table.Pick(w.req.Query, now)
		if status == route.Picked {
			if q != nil {
				q.shedder.Observe(now, 0)
			}
			s.mu.Unlock()
			return Grant{Choice: choice}, true
		}
	}
	if q == nil {
		q = s.getOrCreate(queueKey{key, w.req.Query.Adapter}, w.req.Plain)
	}
	w.isCold = status != route.Busy || !r.table.Ready(w.req.Query)
	a := r.enqueue(q, w, now)
	r.schedule(q, now)
	s.mu.Unlock()
	r.carryOut(q.key, a)
	return Grant{}, false
}

// enqueue adds a waiter to its queue, or refuses it.
func (r *Room) enqueue(q *waitQueue, w *waiter, now time.Time) actions {
	var a actions
	if refusal := r.checkArrival(q, w, now); refusal != nil {
		w.done <- outcome{refusal: refusal}
		return a
	}
	if r.isFull(q, w) {
		if !r.evictFor(q, w, &a, now) {
			w.done <- outcome{refusal: &admit.Refusal{
				Reason: admit.ReasonQueueFull, Detail: "too many requests wait", RetryAfter: q.retryAfter(now),
			}}
			return a
		}
	}
	r.count.Add(1)
	r.bytes.Add(w.req.Bytes)
	q.queue.push(w)
	next := q.process(now, r.table)
	next.answers = append(a.answers, next.answers...)
	return next
}

// checkArrival returns a refusal for a new request that cannot be served before its deadline
// or that is shed, nil if the request may wait.
func (r *Room) checkArrival(q *waitQueue, w *waiter, now time.Time) *admit.Refusal {
	if r.isDraining.Load() {
		return &admit.Refusal{Reason: admit.ReasonDraining, Detail: "the entry is stopping", RetryAfter: time.Second}
	}
	if wait := r.table.CrossWait(w.req.Query); now.Add(wait).After(w.refuseBy) {
		return &admit.Refusal{
			Reason: admit.ReasonTooLate, RetryAfter: wait,
			Detail: "the share of the link between regions is used up until after the deadline",
		}
	}
	wait := q.expectedWait(now, w)
	if w.isCold || !q.readyAt.IsZero() {
		if now.Add(wait).After(w.refuseBy) {
			return &admit.Refusal{
				Reason: admit.ReasonTooLate, RetryAfter: wait,
				Detail: "the model will not be loaded before the deadline",
			}
		}
		return nil
	}
	if w.req.Class != config.ClassDeferrable {
		// The expected wait of a new request shows a growing queue earlier than the waits of
		// requests that have left it.
		q.shedder.Observe(now, wait)
	}
	if q.shedder.Sheds(now, w.req.Class, q.queue.count == 0) {
		return &admit.Refusal{Reason: admit.ReasonOverload, Detail: "shed under overload", RetryAfter: cmp.Or(max(wait, 0), time.Second)}
	}
	if now.Add(wait + wait/estimateErrorDivisor).After(w.refuseBy) {
		return &admit.Refusal{Reason: admit.ReasonTooLate, Detail: "the queue is longer than the deadline", RetryAfter: wait}
	}
	return nil
}

func (r *Room) isFull(q *waitQueue, w *waiter) bool {
	return q.queue.count >= r.limits.LineCount ||
		r.count.Load() >= r.limits.Count ||
		r.bytes.Load()+w.req.Bytes > r.limits.Bytes
}

// evictFor frees space for w: it refuses a waiter of the tenant with the longest weighted
// queue, provided that the tenant of w has less waiting. It reports whether it did.
func (r *Room) evictFor(q *waitQueue, w *waiter, a *actions, now time.Time) bool {
	if q.queue.count == 0 {
		return false
	}
	victim := q.queue.evictionCandidate()
	if q.queue.weightedLength(victim.req) <= q.queue.weightedLength(w.req)+1/w.req.weight() {
		return false
	}
	q.queue.remove(victim)
	a.refuse(victim, admit.ReasonQueueFull, "made room for a tenant with less waiting", q.retryAfter(now))
	return true
}

// cancelWait removes a waiter whose context has ended, because the caller is gone or because
// the deadline has passed before the queue's own timer noticed it. If a grant was already
// made, its slot is released.
func (r *Room) cancelWait(ctx context.Context, w *waiter) (Grant, error) {
	key := w.req.Query.Key
	s := r.stripe(key)
	s.mu.Lock()
	q := s.queues[key][queueKey{key, w.req.Query.Adapter}]
	queued := q != nil && w.heapIndex >= 0
	if queued {
		q.queue.remove(w)
	}
	s.mu.Unlock()
	if queued {
		r.count.Add(-1)
		r.bytes.Add(-w.req.Bytes)
	} else if a := <-w.done; a.refusal == nil {
		a.grant.Choice.Done(r.timer.Now(), route.Result{})
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, &admit.Refusal{Reason: admit.ReasonDeadline, Detail: "no replica took the request in time", RetryAfter: defaultRetryAfter}
	}
	return Grant{}, &admit.Refusal{Reason: admit.ReasonCancelled, Detail: "the caller is gone"}
}

func (r *Room) carryOut(key queueKey, a actions) {
	for _, ans := range a.answers {
		r.count.Add(-1)
		r.bytes.Add(-ans.waiter.req.Bytes)
		ans.waiter.done <- ans.outcome
	}
	if a.demand != nil {
		go r.sendDemand(key, *a.demand)
	}
}

// schedule sets the timer of the queue to the first time to refuse a waiter or the next
// demand. The caller holds the lock of the queue's stripe.
func (r *Room) schedule(q *waitQueue, now time.Time) {
	at := q.nextCheck()
	if at.IsZero() || (q.cancelWake != nil && !at.Before(q.wakeAt)) {
		return
	}
	if q.cancelWake != nil {
		q.cancelWake()
	}
	q.wakeAt = at
	q.cancelWake = r.timer.After(at.Sub(now), func() {
		s := r.stripe(q.key.key)
		s.mu.Lock()
		q.cancelWake = nil
		s.mu.Unlock()
		r.Wake(q.key.key)
	})
}

// sendDemand sends a demand to the owner and passes the reply to the queue.
func (r *Room) sendDemand(key queueKey, demand ports.Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	reply, err := r.demander.Demand(ctx, demand)
	s := r.stripe(key.key)
	s.mu.Lock()
	q := s.queues[key.key][key]
	if q == nil {
		s.mu.Unlock()
		return
	}
	now := r.timer.Now()
	ready := r.table.Ready(route.Query{Key: key.key, Adapter: key.adapter})
	a := q.handleReply(now, reply, err, ready)
	r.schedule(q, now)
	s.mu.Unlock()
	r.carryOut(key, a)
}

func (r *Room) refuseStripe(s *stripe, retryAfter time.Duration) {
	var acts []actions
	var keys []queueKey
	s.mu.Lock()
	for key := range s.queues {
		for _, q := range s.byLastGrant(key) {
			var a actions
			q.refuseAll(&a, admit.ReasonDraining, "the entry stops", retryAfter)
			acts = append(acts, a)
			keys = append(keys, q.key)
		}
	}
	s.mu.Unlock()
	for i, a := range acts {
		r.carryOut(keys[i], a)
	}
}

func (r *Room) stripe(key string) *stripe {
	return &r.stripes[maphash.String(stripeSeed, key)%stripeCount]
}

// getOrCreate returns the queue of a key, creating it if there is none.
func (s *stripe) getOrCreate(key queueKey, plain bool) *waitQueue {
	queues := s.queues[key.key]
	if queues == nil {
		queues = make(map[queueKey]*waitQueue)
		s.queues[key.key] = queues
	}
	l := queues[key]
	if l == nil {
		l = &waitQueue{key: key, isPlain: plain, queue: newFairQueue()}
		queues[key] = l
	}
	return l
}

// byLastGrant returns the queues of a model, the one with the oldest last grant first, so
// that the adapters of a model take turns.
func (s *stripe) byLastGrant(key string) []*waitQueue {
	queues := slices.Collect(maps.Values(s.queues[key]))
	slices.SortFunc(queues, func(a, b *waitQueue) int {
		if c := a.lastGrantAt.Compare(b.lastGrantAt); c != 0 {
			return c
		}
		return strings.Compare(a.key.adapter, b.key.adapter)
	})
	return queues
}

// prune deletes the idle queues of a model.
func (s *stripe) prune(key string, now time.Time) {
	for name, q := range s.queues[key] {
		if q.isIdle(now) && q.cancelWake == nil {
			delete(s.queues[key], name)
		}
	}
	if len(s.queues[key]) == 0 {
		delete(s.queues, key)
	}
}
