package link

import (
	"context"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Direction is the direction of bytes on the link.
type Direction uint8

// The directions, as seen from the own region.
const (
	// Out is from the own region to others.
	Out Direction = iota
	// In is from other regions to the own region.
	In
	// directions is the number of directions.
	directions
)

// Settings describe the link of a deployment.
type Settings struct {
	// BitsPerSecond is the capacity of each direction, 0 for no limit.
	BitsPerSecond int64
	// Share is the share of the capacity that the entries of all regions may use.
	Share float64
}

// regionsPerDirection is the number of regions that use one direction without knowing of each
// other's use: the entries of one send, and the entries of the other fetch.
const regionsPerDirection = 2

// BytesPerSecond returns the rate that all entries together may use in one direction.
func (s Settings) BytesPerSecond() float64 {
	const bitsPerByte = 8
	return float64(s.BitsPerSecond) / bitsPerByte * s.Share
}

// Link limits an entry to its share of the link. It is safe for concurrent use.
//
// An entry is charged for the connections that it opened, in both directions, so that every
// byte is charged once. Its share is computed from the number of entries in its region, so
// that no messages are needed to divide the link.
type Link struct {
	settings Settings
	timer    timer.Service

	mu     sync.Mutex
	queues [directions]directionQueue
	opened func()
	// cancelOpened cancels the pending timer that calls opened after new work was not allowed
	// to cross, nil if there is none.
	cancelOpened timer.Cancel
}

// directionQueue is the token bucket of one direction with the traffic that waits for it.
type directionQueue struct {
	bucket     bucket
	flows      [Deferrable + 1][]*flow
	cancelWake timer.Cancel
}

// flow is the waiting traffic of one tenant at one priority.
type flow struct {
	tenant  string
	waiting []*waiter
}

// waiter is a part of a body that waits until it may cross.
type waiter struct {
	bytes int
	grant func()
}

// New returns a Link for the only entry of a region. SetEntries changes the number of entries.
func New(settings Settings, clock timer.Service) *Link {
	l := &Link{settings: settings, timer: clock, opened: func() {}}
	l.SetEntries(1)
	return l
}

// OnOpen sets the function that is called when new work may cross again after Open has
// returned false. It must be called before the link is used.
func (l *Link) OnOpen(opened func()) {
	l.opened = opened
}

// SetEntries divides the share among n entries of the region.
func (l *Link) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for d := range l.queues {
		l.queues[d].bucket.setRate(now, l.settings.BytesPerSecond()/regionsPerDirection/float64(max(n, 1)))
	}
}

// Charge charges bytes that have crossed without waiting.
func (l *Link) Charge(d Direction, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.queues[d].bucket.spend(l.timer.Now(), n)
}

// Open reports whether new work of a priority may cross now. If not, the listener is called
// once it may.
func (l *Link) Open(p Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.wait(p)
	if wait == 0 {
		return true
	}
	if l.cancelOpened == nil {
		l.cancelOpened = l.timer.After(wait, l.notifyOpened)
	}
	return false
}

// Wait returns the time until new work of a priority may cross if nothing else crosses
// meanwhile, 0 if it may cross now.
func (l *Link) Wait(p Priority) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(p)
}

func (l *Link) wait(p Priority) time.Duration {
	now := l.timer.Now()
	return max(l.queues[Out].bucket.startWait(now, p), l.queues[In].bucket.startWait(now, p))
}

// notifyOpened calls the listener when the timer set by Open fires.
func (l *Link) notifyOpened() {
	l.mu.Lock()
	l.cancelOpened = nil
	opened := l.opened
	l.mu.Unlock()
	opened()
}

// Request charges n bytes of a tenant and calls grant once they may cross, which may be before
// Request returns. The returned function cancels the wait; bytes that are not granted are not
// charged.
func (l *Link) Request(d Direction, p Priority, tenant string, n int, grant func()) (giveUp func()) {
	w := &waiter{bytes: n, grant: grant}
	l.mu.Lock()
	l.queues[d].add(p, tenant, w)
	granted := l.serve(d)
	l.mu.Unlock()
	callGrants(granted)
	return func() { l.removeWaiter(d, p, w) }
}

// Acquire waits until n bytes of a tenant may cross and charges them. If ctx ends first, it
// returns the error of ctx.
func (l *Link) Acquire(ctx context.Context, d Direction, p Priority, tenant string, n int) error {
	granted := make(chan struct{})
	giveUp := l.Request(d, p, tenant, n, func() { close(granted) })
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		giveUp()
		return ctx.Err()
	}
}

// serve removes and returns the waiters that may cross now, and sets a timer for the next one.
// The caller holds the lock.
func (l *Link) serve(d Direction) []*waiter {
	q := &l.queues[d]
	if q.cancelWake != nil {
		q.cancelWake()
		q.cancelWake = nil
	}
	var granted []*waiter
	for {
		p, ok := q.firstPriority()
		if !ok {
			return granted
		}
		now := l.timer.Now()
		if wait := q.bucket.wait(now, p); wait > 0 {
			q.cancelWake = l.timer.After(wait, func() { l.resume(d) })
			return granted
		}
		next := q.next(p)
		q.bucket.spend(now, next.bytes)
		granted = append(granted, next)
	}
}

// resume grants waiters when the timer set by serve fires.
func (l *Link) resume(d Direction) {
	l.mu.Lock()
	granted := l.serve(d)
	l.mu.Unlock()
	callGrants(granted)
}

func callGrants(granted []*waiter) {
	for _, w := range granted {
		w.grant()
	}
}

func (l *Link) removeWaiter(d Direction, p Priority, cancelled *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := &l.queues[d]
	for _, f := range q.flows[p] {
		f.waiting = slices.DeleteFunc(f.waiting, func(other *waiter) bool { return other == cancelled })
	}
	q.flows[p] = slices.DeleteFunc(q.flows[p], func(f *flow) bool { return len(f.waiting) == 0 })
}

func (q *directionQueue) add(p Priority, tenant string, part *waiter) {
	for _, f := range q.flows[p] {
		if f.tenant == tenant {
			f.waiting = append(f.waiting, part)
			return
		}
	}
	q.flows[p] = append(q.flows[p], &flow{tenant: tenant, waiting: []*waiter{part}})
}

// firstPriority returns the highest priority that has waiters.
func (q *directionQueue) firstPriority() (Priority, bool) {
	for p := range q.flows {
		if len(q.flows[p]) > 0 {
			return Priority(p), true
		}
	}
	return 0, false
}

// next removes and returns the next waiter of a priority. The tenants take turns.
func (q *directionQueue) next(p Priority) *waiter {
	f := q.flows[p][0]
	q.flows[p] = q.flows[p][1:]
	part := f.waiting[0]
	f.waiting = f.waiting[1:]
	if len(f.waiting) > 0 {
		q.flows[p] = append(q.flows[p], f)
	}
	return part
}
