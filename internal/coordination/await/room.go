package await

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

// partCount is the number of locks over the lines.
const partCount = 64

// partSeed spreads the models over the locks; the spread reaches no effect.
var partSeed = maphash.MakeSeed()

// Bounds of all queues of an entry and of one line.
const (
	defaultCount     = 20_000
	defaultBytes     = 32 << 20
	defaultLineCount = 4_000
)

// Demander tells the owner of a model's shard that callers wait.
type Demander interface {
	// Demand asks for a replica; it may block until ctx ends.
	Demand(ctx context.Context, demand ports.Demand) (ports.DemandReply, error)
}

// DemandFunc makes a Demander of a function.
type DemandFunc func(ctx context.Context, demand ports.Demand) (ports.DemandReply, error)

// Demand calls the function.
func (f DemandFunc) Demand(ctx context.Context, demand ports.Demand) (ports.DemandReply, error) {
	return f(ctx, demand)
}

// Room holds the queues of one entry; it is safe for use by several goroutines.
type Room struct {
	table    picker
	demander Demander
	timer    timer.Service
	limits   Limits
	parts    [partCount]roomPart

	serial   atomic.Uint64
	count    atomic.Int64
	bytes    atomic.Int64
	draining atomic.Bool
}

// Limits bound what waits at an entry.
type Limits struct {
	// Count and Bytes bound all queues together, LineCount each one.
	Count     int64
	Bytes     int64
	LineCount int
}

// roomPart is the lines under one lock, by model.
type roomPart struct {
	mu    sync.Mutex
	lines map[string]map[lineKey]*line
}

// Option changes a Room under construction.
type Option func(*Room)

// WithLimits replaces the bounds.
func WithLimits(limits Limits) Option {
	return func(r *Room) { r.limits = limits }
}

// NewRoom returns empty queues over a routing table. The table's listener has
// to call Wake.
func NewRoom(table *route.Table, demander Demander, clock timer.Service, opts ...Option) *Room {
	r := &Room{
		table: table, demander: demander, timer: clock,
		limits: Limits{Count: defaultCount, Bytes: defaultBytes, LineCount: defaultLineCount},
	}
	for i := range r.parts {
		r.parts[i].lines = make(map[string]map[lineKey]*line)
	}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Acquire returns a place on a replica, at once or after a wait, or an
// *admit.Refusal in good time before the deadline.
func (r *Room) Acquire(ctx context.Context, req Request) (Grant, error) {
	now := r.timer.Now()
	if !now.Before(req.Deadline) {
		return Grant{}, &admit.Refusal{Reason: admit.ReasonDeadline, Detail: "the deadline has passed"}
	}
	w := r.newWaiter(req, now)
	if grant, ok := r.join(w, now); ok {
		return grant, nil
	}
	select {
	case a := <-w.done:
		return a.result()
	case <-ctx.Done():
		return r.leave(ctx, w)
	}
}

// Wake looks at a model's lines again, for instance because a replica became
// ready or a call on one ended.
func (r *Room) Wake(key string) {
	p := r.part(key)
	p.mu.Lock()
	if len(p.lines[key]) == 0 {
		p.mu.Unlock()
		return
	}
	var acts []act
	keys := make([]lineKey, 0, len(p.lines[key]))
	now := r.timer.Now()
	for _, l := range p.ordered(key) {
		acts = append(acts, l.work(now, r.table))
		keys = append(keys, l.key)
		r.schedule(l, now)
	}
	p.prune(key, now)
	p.mu.Unlock()
	for i, a := range acts {
		r.carryOut(keys[i], a)
	}
}

// Drain refuses newcomers from now on; those who wait already are served or
// refused as before.
func (r *Room) Drain() {
	r.draining.Store(true)
}

// RefuseWaiting refuses everybody who waits, when a stop can wait no longer.
func (r *Room) RefuseWaiting(retryAfter time.Duration) {
	for i := range r.parts {
		r.refusePart(&r.parts[i], retryAfter)
	}
}

// Waiting returns how many requests and bytes wait.
func (r *Room) Waiting() (count, bytes int64) {
	return r.count.Load(), r.bytes.Load()
}

// newWaiter computes the latest useful start: a call that is begun so late that
// calls of its kind rarely end in time only takes the place of one that could.
func (r *Room) newWaiter(req Request, now time.Time) *waiter {
	left := req.Deadline.Sub(now)
	margin := min(time.Duration(answerMargin*float64(left)), answerMarginMost)
	took := min(r.table.Took(req.Query.Key), left/2)
	return &waiter{
		req: req, serial: r.serial.Add(1), index: -1, joined: now,
		due: req.Deadline.Add(-margin - took), done: make(chan answer, 1),
	}
}

// join gives the request a place at once if nobody waits before it, and else
// puts it into its line, which answers it.
func (r *Room) join(w *waiter, now time.Time) (Grant, bool) {
	key := w.req.Query.Key
	p := r.part(key)
	p.mu.Lock()
	l := p.lines[key][lineKey{key, w.req.Query.Adapter}]
	status := route.Busy
	if l == nil || l.queue.count == 0 {
		var choice route.Choice
		choice, status = r.table.Pick(w.req.Query, now)
		if status == route.Picked {
			if l != nil {
				l.shedder.Observe(now, 0)
			}
			p.mu.Unlock()
			return Grant{Choice: choice}, true
		}
	}
	if l == nil {
		l = p.line(lineKey{key, w.req.Query.Adapter}, w.req.Plain)
	}
	w.cold = status != route.Busy || !r.table.Ready(w.req.Query)
	a := r.enqueue(l, w, now)
	r.schedule(l, now)
	p.mu.Unlock()
	r.carryOut(l.key, a)
	return Grant{}, false
}

// enqueue puts a waiter into its line, or refuses it.
func (r *Room) enqueue(l *line, w *waiter, now time.Time) act {
	var a act
	if refusal := r.judge(l, w, now); refusal != nil {
		w.done <- answer{refusal: refusal}
		return a
	}
	if r.full(l, w) {
		if !r.makeRoom(l, w, &a, now) {
			w.done <- answer{refusal: &admit.Refusal{
				Reason: admit.ReasonQueueFull, Detail: "too many requests wait", RetryAfter: l.retryAfter(now),
			}}
			return a
		}
	}
	r.count.Add(1)
	r.bytes.Add(w.req.Bytes)
	l.queue.push(w)
	work := l.work(now, r.table)
	work.answers = append(a.answers, work.answers...)
	return work
}

// judge refuses a newcomer whom waiting cannot help or who is shed.
func (r *Room) judge(l *line, w *waiter, now time.Time) *admit.Refusal {
	if r.draining.Load() {
		return &admit.Refusal{Reason: admit.ReasonDraining, Detail: "the entry is stopping", RetryAfter: time.Second}
	}
	if wait := r.table.CrossWait(w.req.Query); now.Add(wait).After(w.due) {
		return &admit.Refusal{
			Reason: admit.ReasonTooLate, RetryAfter: wait,
			Detail: "the share of the link between regions is used up until after the deadline",
		}
	}
	wait := l.expectedWait(now, w)
	if w.cold || !l.readyAt.IsZero() {
		if now.Add(wait).After(w.due) {
			return &admit.Refusal{
				Reason: admit.ReasonTooLate, RetryAfter: wait,
				Detail: "the model will not be loaded before the deadline",
			}
		}
		return nil
	}
	if w.req.Class != config.ClassDeferrable {
		// What a newcomer has to expect tells of a queue earlier than the waits
		// of those who have left it.
		l.shedder.Observe(now, wait)
	}
	if l.shedder.Sheds(now, w.req.Class, l.queue.count == 0) {
		return &admit.Refusal{Reason: admit.ReasonOverload, Detail: "shed under overload", RetryAfter: cmp.Or(max(wait, 0), time.Second)}
	}
	if now.Add(wait + wait/estimateSlack).After(w.due) {
		return &admit.Refusal{Reason: admit.ReasonTooLate, Detail: "the queue is longer than the deadline", RetryAfter: wait}
	}
	return nil
}

func (r *Room) full(l *line, w *waiter) bool {
	return l.queue.count >= r.limits.LineCount ||
		r.count.Load() >= r.limits.Count ||
		r.bytes.Load()+w.req.Bytes > r.limits.Bytes
}

// makeRoom refuses the waiter of this line whose tenant has most waiting, if
// the newcomer's tenant has less.
func (r *Room) makeRoom(l *line, w *waiter, a *act, now time.Time) bool {
	if l.queue.count == 0 {
		return false
	}
	victim := l.queue.longest()
	if l.queue.share(victim.req) <= l.queue.share(w.req)+1/w.req.weight() {
		return false
	}
	l.queue.remove(victim)
	a.refuse(victim, admit.ReasonQueueFull, "made room for a tenant with less waiting", l.retryAfter(now))
	return true
}

// leave takes a waiter out whose caller is gone or whose time is up: the end of
// its context may be noticed before the queue's own look at deadlines. If its
// answer is on the way already, a place in it is given back.
func (r *Room) leave(ctx context.Context, w *waiter) (Grant, error) {
	key := w.req.Query.Key
	p := r.part(key)
	p.mu.Lock()
	l := p.lines[key][lineKey{key, w.req.Query.Adapter}]
	queued := l != nil && w.index >= 0
	if queued {
		l.queue.remove(w)
	}
	p.mu.Unlock()
	if queued {
		r.count.Add(-1)
		r.bytes.Add(-w.req.Bytes)
	} else if a := <-w.done; a.refusal == nil {
		a.grant.Choice.Done(r.timer.Now(), route.Result{})
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		return Grant{}, &admit.Refusal{Reason: admit.ReasonDeadline, Detail: "no replica took the request in time", RetryAfter: coldRetryAfter}
	}
	return Grant{}, &admit.Refusal{Reason: admit.ReasonCancelled, Detail: "the caller is gone"}
}

func (r *Room) carryOut(key lineKey, a act) {
	for _, ans := range a.answers {
		r.count.Add(-1)
		r.bytes.Add(-ans.to.req.Bytes)
		ans.to.done <- ans.answer
	}
	if a.demand != nil {
		go r.demand(key, *a.demand)
	}
}

// schedule makes sure that the line is looked at again when its first deadline
// or next demand is due. Its caller holds the line's lock.
func (r *Room) schedule(l *line, now time.Time) {
	at := l.nextLook()
	if at.IsZero() || (l.wake != nil && !at.Before(l.wakeAt)) {
		return
	}
	if l.wake != nil {
		l.wake()
	}
	l.wakeAt = at
	l.wake = r.timer.After(at.Sub(now), func() {
		p := r.part(l.key.key)
		p.mu.Lock()
		l.wake = nil
		p.mu.Unlock()
		r.Wake(l.key.key)
	})
}

// demand asks the owner and gives the answer to the line.
func (r *Room) demand(key lineKey, demand ports.Demand) {
	ctx, cancel := context.WithTimeout(context.Background(), demandTimeout)
	defer cancel()
	reply, err := r.demander.Demand(ctx, demand)
	p := r.part(key.key)
	p.mu.Lock()
	l := p.lines[key.key][key]
	if l == nil {
		p.mu.Unlock()
		return
	}
	now := r.timer.Now()
	ready := r.table.Ready(route.Query{Key: key.key, Adapter: key.adapter})
	a := l.answered(now, reply, err, ready)
	r.schedule(l, now)
	p.mu.Unlock()
	r.carryOut(key, a)
}

func (r *Room) refusePart(p *roomPart, retryAfter time.Duration) {
	var acts []act
	var keys []lineKey
	p.mu.Lock()
	for key := range p.lines {
		for _, l := range p.ordered(key) {
			var a act
			l.refuseAll(&a, admit.ReasonDraining, "the entry stops", retryAfter)
			acts = append(acts, a)
			keys = append(keys, l.key)
		}
	}
	p.mu.Unlock()
	for i, a := range acts {
		r.carryOut(keys[i], a)
	}
}

func (r *Room) part(key string) *roomPart {
	return &r.parts[maphash.String(partSeed, key)%partCount]
}

// line returns the line of a key, making it if there is none.
func (p *roomPart) line(key lineKey, plain bool) *line {
	lines := p.lines[key.key]
	if lines == nil {
		lines = make(map[lineKey]*line)
		p.lines[key.key] = lines
	}
	l := lines[key]
	if l == nil {
		l = &line{key: key, plain: plain, queue: newQueue()}
		lines[key] = l
	}
	return l
}

// ordered returns a model's lines, the one that was granted least recently
// first, so that the adapters of a model take turns.
func (p *roomPart) ordered(key string) []*line {
	lines := slices.Collect(maps.Values(p.lines[key]))
	slices.SortFunc(lines, func(a, b *line) int {
		if c := a.grantedAt.Compare(b.grantedAt); c != 0 {
			return c
		}
		return strings.Compare(a.key.adapter, b.key.adapter)
	})
	return lines
}

// prune forgets the lines of a model that were empty for long.
func (p *roomPart) prune(key string, now time.Time) {
	for name, l := range p.lines[key] {
		if l.idle(now) && l.wake == nil {
			delete(p.lines[key], name)
		}
	}
	if len(p.lines[key]) == 0 {
		delete(p.lines, key)
	}
}
