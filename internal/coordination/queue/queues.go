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

// Queues holds the queues of one entry. It is safe for concurrent use.
type Queues struct {
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
	// MaxCount is the maximum number of requests in all queues together.
	MaxCount int64
	// MaxBytes is the maximum memory of the requests in all queues together.
	MaxBytes int64
	// MaxPerQueue is the maximum number of requests in one queue.
	MaxPerQueue int
}

// stripe holds the queues under one lock, by model.
type stripe struct {
	mu     sync.Mutex
	queues map[string]map[queueKey]*waitQueue
}

// Option configures Queues.
type Option func(*Queues)

// WithLimits replaces the default limits.
func WithLimits(limits Limits) Option {
	return func(qs *Queues) { qs.limits = limits }
}

// New returns empty queues that take slots from a routing table. The table's change
// listener has to call Process.
func New(table *route.Table, demander Demander, clock timer.Service, opts ...Option) *Queues {
	qs := &Queues{
		table: table, demander: demander, timer: clock,
		limits: Limits{MaxCount: defaultMaxCount, MaxBytes: defaultMaxBytes, MaxPerQueue: defaultMaxPerQueue},
	}
	for i := range qs.stripes {
		qs.stripes[i].queues = make(map[string]map[queueKey]*waitQueue)
	}
	for _, opt := range opts {
		opt(qs)
	}
	return qs
}

// Acquire returns a slot on a replica, immediately or after a wait. Its error is always an
// *admit.Refusal, returned early enough that the answer reaches the caller before the
// deadline.
func (qs *Queues) Acquire(ctx context.Context, req Request) (Grant, error) {
	now := qs.timer.Now()
	if !now.Before(req.Deadline) {
		return Grant{}, &admit.Refusal{Reason: admit.ReasonDeadline, Detail: "the deadline has passed"}
	}
	w := qs.newWaiter(req, now)
	if grant, ok := qs.pickOrEnqueue(w, now); ok {
		return grant, nil
	}
	select {
	case a := <-w.done:
		return a.result()
	case <-ctx.Done():
		return qs.cancelWait(ctx, w)
	}
}

// Process processes the queues of a model or service again. It has to be called after a change
// that may let requests proceed, such as a replica that became ready or a call that ended.
func (qs *Queues) Process(key string) {
	s := qs.stripe(key)
	s.mu.Lock()
	if len(s.queues[key]) == 0 {
		s.mu.Unlock()
		return
	}
	var acts []actions
	keys := make([]queueKey, 0, len(s.queues[key]))
	now := qs.timer.Now()
	for _, q := range s.byLastGrant(key) {
		acts = append(acts, q.process(now, qs.table))
		keys = append(keys, q.key)
		qs.schedule(q, now)
	}
	s.prune(key, now)
	s.mu.Unlock()
	for i, a := range acts {
		qs.carryOut(keys[i], a)
	}
}

// Drain makes Acquire refuse new requests that would have to wait; requests that wait
// already are served or refused as before.
func (qs *Queues) Drain() {
	qs.isDraining.Store(true)
}

// RefuseWaiting refuses all waiting requests; a stopping entry calls it when its time to
// drain is up.
func (qs *Queues) RefuseWaiting(retryAfter time.Duration) {
	for i := range qs.stripes {
		qs.refuseStripe(&qs.stripes[i], retryAfter)
	}
}

// Size returns the number of waiting requests and the memory they use in bytes.
func (qs *Queues) Size() (count, bytes int64) {
	return qs.count.Load(), qs.bytes.Load()
}

// newWaiter returns a waiter for req and computes its latest useful start from the average
// duration of a call. A call that starts later would rarely end before its deadline and
// would only take a slot from one that can.
func (qs *Queues) newWaiter(req Request, now time.Time) *waiter {
	left := req.Deadline.Sub(now)
	margin := min(time.Duration(answerMarginShare*float64(left)), maxAnswerMargin)
	took := min(qs.table.AvgDuration(req.Query.Key), left/2)
	return &waiter{
		req: req, seq: qs.nextSeq.Add(1), heapIndex: -1, enqueuedAt: now,
		refuseBy: req.Deadline.Add(-margin - took), done: make(chan outcome, 1),
	}
}

// pickOrEnqueue returns a slot if one is free and no other request waits. Otherwise it
// enqueues the request and returns false; the outcome is then sent to w.done.
func (qs *Queues) pickOrEnqueue(w *waiter, now time.Time) (Grant, bool) {
	key := w.req.Query.Key
	s := qs.stripe(key)
	s.mu.Lock()
	q := s.queues[key][queueKey{key, w.req.Query.Adapter}]
	status := route.Busy
	if q == nil || q.queue.count == 0 {
		var choice route.Choice
		choice, status = qs.table.Pick(w.req.Query, now)
		if status == route.Picked {
			if q != nil {
				q.shedder.Observe(now, 0)
			}
			s.mu.Unlock()
			return Grant{Choice: choice}, true
		}
	}
	if q == nil {
		q = s.getOrCreate(queueKey{key, w.req.Query.Adapter}, w.req.IsPlainService)
	}
	w.isCold = status != route.Busy || !qs.table.HasUsable(w.req.Query)
	a := qs.enqueue(q, w, now)
	qs.schedule(q, now)
	s.mu.Unlock()
	qs.carryOut(q.key, a)
	return Grant{}, false
}

// enqueue adds a waiter to its queue, or refuses it.
func (qs *Queues) enqueue(q *waitQueue, w *waiter, now time.Time) actions {
	var a actions
	if refusal := qs.checkArrival(q, w, now); refusal != nil {
		w.done <- outcome{refusal: refusal}
		return a
	}
	if qs.isFull(q, w) {
		if !qs.evictFor(q, w, &a, now) {
			w.done <- outcome{refusal: &admit.Refusal{
				Reason: admit.ReasonQueueFull, Detail: "too many requests wait", RetryAfter: q.retryAfter(now),
			}}
			return a
		}
	}
	qs.count.Add(1)
	qs.bytes.Add(w.req.Bytes)
	q.queue.push(w)
	next := q.process(now, qs.table)
	next.answers = append(a.answers, next.answers...)
	return next
}

// checkArrival returns a refusal for a new request that cannot be served before its deadline
// or that is shed, nil if the request may wait.
func (qs *Queues) checkArrival(q *waitQueue, w *waiter, now time.Time) *admit.Refusal {
	if qs.isDraining.Load() {
		return &admit.Refusal{Reason: admit.ReasonDraining, Detail: "the entry is stopping", RetryAfter: time.Second}
	}
	if wait := qs.table.LinkWait(w.req.Query); now.Add(wait).After(w.refuseBy) {
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
	if q.shedder.ShouldShed(now, w.req.Class, q.queue.count == 0) {
		return &admit.Refusal{Reason: admit.ReasonOverload, Detail: "shed under overload", RetryAfter: cmp.Or(max(wait, 0), time.Second)}
	}
	if now.Add(wait + wait/estimateErrorDivisor).After(w.refuseBy) {
		return &admit.Refusal{Reason: admit.ReasonTooLate, Detail: "the queue is longer than the deadline", RetryAfter: wait}
	}
	return nil
}

func (qs *Queues) isFull(q *waitQueue, w *waiter) bool {
	return q.queue.count >= qs.limits.MaxPerQueue ||
		qs.count.Load() >= qs.limits.MaxCount ||
		qs.bytes.Load()+w.req.Bytes > qs.limits.MaxBytes
}

// evictFor frees space for w: it refuses a waiter of the tenant with the longest weighted
// queue, provided that the tenant of w has less waiting. It reports whether it did.
func (qs *Queues) evictFor(q *waitQueue, w *waiter, a *actions, now time.Time) bool {
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
func (qs *Queues) cancelWait(ctx context.Context, w *waiter) (Grant, error) {
	key := w.req.Query.Key
	s := qs.stripe(key)
	s.mu.Lock()
	q := s.queues[key][queueKey{key, w.req.Query.Adapter}]
	queued := q != nil && w.heapIndex >= 0
	if queued {
		q.queue.remove(w)
	}
	s.mu.Unlock()
	if queued {
		qs.count.Add(-1)
		qs.bytes.Add(-w.req.Bytes)
	} else if a := <-w.done; a.refusal == nil {
		a.grant.Choice.Release(qs.timer.Now(), route.Result{})
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, &admit.Refusal{Reason: admit.ReasonDeadline, Detail: "no replica took the request in time", RetryAfter: defaultRetryAfter}
	}
	return Grant{}, &admit.Refusal{Reason: admit.ReasonCancelled, Detail: "the caller is gone"}
}

func (qs *Queues) carryOut(key queueKey, a actions) {
	for _, ans := range a.answers {
		qs.count.Add(-1)
		qs.bytes.Add(-ans.waiter.req.Bytes)
		ans.waiter.done <- ans.outcome
	}
	if a.demand != nil {
		go qs.sendDemand(key, *a.demand)
	}
}

// schedule sets the timer of the queue to the first time to refuse a waiter or the next
// demand. The caller holds the lock of the queue's stripe.
func (qs *Queues) schedule(q *waitQueue, now time.Time) {
	at := q.nextCheck()
	if at.IsZero() || (q.cancelTimer != nil && !at.Before(q.timerAt)) {
		return
	}
	if q.cancelTimer != nil {
		q.cancelTimer()
	}
	q.timerAt = at
	q.cancelTimer = qs.timer.After(at.Sub(now), func() {
		s := qs.stripe(q.key.key)
		s.mu.Lock()
		q.cancelTimer = nil
		s.mu.Unlock()
		qs.Process(q.key.key)
	})
}

// sendDemand sends a demand to the owner and passes the reply to the queue.
func (qs *Queues) sendDemand(key queueKey, demand ports.Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	reply, err := qs.demander.Demand(ctx, demand)
	s := qs.stripe(key.key)
	s.mu.Lock()
	q := s.queues[key.key][key]
	if q == nil {
		s.mu.Unlock()
		return
	}
	now := qs.timer.Now()
	ready := qs.table.HasUsable(route.Query{Key: key.key, Adapter: key.adapter})
	a := q.handleReply(now, reply, err, ready)
	qs.schedule(q, now)
	s.mu.Unlock()
	qs.carryOut(key, a)
}

func (qs *Queues) refuseStripe(s *stripe, retryAfter time.Duration) {
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
		qs.carryOut(keys[i], a)
	}
}

func (qs *Queues) stripe(key string) *stripe {
	return &qs.stripes[maphash.String(stripeSeed, key)%stripeCount]
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
		if q.isIdle(now) && q.cancelTimer == nil {
			delete(s.queues[key], name)
		}
	}
	if len(s.queues[key]) == 0 {
		delete(s.queues, key)
	}
}
