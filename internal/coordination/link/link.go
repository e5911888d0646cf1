package link

import (
	"context"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Direction is the way that bytes go.
type Direction uint8

// The directions, as seen from the own region.
const (
	// Out leaves the own region.
	Out Direction = iota
	// In comes into it.
	In
	directions
)

// Settings are what a deployment allows on the link.
type Settings struct {
	// BitsPerSecond is what each direction carries, 0 for no limit.
	BitsPerSecond int64
	// Share is the part of it that the entries of all regions may use.
	Share float64
}

// sides is the number of ends of a direction that use it without knowing of each
// other: what one region's entries send and what the other's fetch.
const sides = 2

// BytesPerSecond is what the system may send in one direction.
func (s Settings) BytesPerSecond() float64 {
	const bitsPerByte = 8
	return float64(s.BitsPerSecond) / bitsPerByte * s.Share
}

// Link is an entry's part of the link; it is safe for use by several goroutines.
//
// An entry is charged for the connections that it opened, in both directions, so
// every byte is charged once. Its part follows from the number of entries in its
// region, for which no message is needed.
type Link struct {
	settings Settings
	timer    timer.Service

	mu     sync.Mutex
	ways   [directions]way
	opened func()
	// turned is the pending look after new work was turned away.
	turned timer.Cancel
}

// way is one direction with those who wait for it.
type way struct {
	bucket bucket
	flows  [Deferrable + 1][]*flow
	wake   timer.Cancel
}

// flow is what one tenant has waiting at a priority.
type flow struct {
	tenant  string
	waiting []*waiter
}

// waiter is a part of a body that waits for its turn.
type waiter struct {
	bytes int
	grant func()
}

// New returns a link of which the entry has the whole share, until SetEntries
// says how many there are.
func New(settings Settings, clock timer.Service) *Link {
	l := &Link{settings: settings, timer: clock, opened: func() {}}
	l.SetEntries(1)
	return l
}

// Listen sets what is called when new work may cross again after some was
// turned away; it is called before the link is in use.
func (l *Link) Listen(opened func()) {
	l.opened = opened
}

// SetEntries divides the share between the entries of the region.
func (l *Link) SetEntries(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.timer.Now()
	for d := range l.ways {
		l.ways[d].bucket.setRate(now, l.settings.BytesPerSecond()/sides/float64(max(n, 1)))
	}
}

// Spend charges bytes that have crossed and that nothing held back.
func (l *Link) Spend(d Direction, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ways[d].bucket.spend(l.timer.Now(), n)
}

// Open tells whether new work of a priority may cross now. If not, the listener
// is called once it may.
func (l *Link) Open(p Priority) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	wait := l.wait(p)
	if wait == 0 {
		return true
	}
	if l.turned == nil {
		l.turned = l.timer.After(wait, l.look)
	}
	return false
}

// Wait returns how long new work of a priority has to wait before it may cross,
// if nothing else crosses meanwhile.
func (l *Link) Wait(p Priority) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.wait(p)
}

func (l *Link) wait(p Priority) time.Duration {
	now := l.timer.Now()
	return max(l.ways[Out].bucket.startWait(now, p), l.ways[In].bucket.startWait(now, p))
}

func (l *Link) look() {
	l.mu.Lock()
	l.turned = nil
	opened := l.opened
	l.mu.Unlock()
	opened()
}

// Ask calls grant, at once or later, when bytes of a tenant may cross, and
// charges them then; the returned function gives up the wait.
func (l *Link) Ask(d Direction, p Priority, tenant string, n int, grant func()) (giveUp func()) {
	w := &waiter{bytes: n, grant: grant}
	l.mu.Lock()
	l.ways[d].add(p, tenant, w)
	granted := l.serve(d)
	l.mu.Unlock()
	call(granted)
	return func() { l.forget(d, p, w) }
}

// Acquire waits until bytes of a tenant may cross.
func (l *Link) Acquire(ctx context.Context, d Direction, p Priority, tenant string, n int) error {
	granted := make(chan struct{})
	giveUp := l.Ask(d, p, tenant, n, func() { close(granted) })
	select {
	case <-granted:
		return nil
	case <-ctx.Done():
		giveUp()
		return ctx.Err()
	}
}

// serve takes out those who may go now, and arms a timer for the next. Its
// caller holds the lock.
func (l *Link) serve(d Direction) []*waiter {
	w := &l.ways[d]
	if w.wake != nil {
		w.wake()
		w.wake = nil
	}
	var granted []*waiter
	for {
		p, ok := w.first()
		if !ok {
			return granted
		}
		now := l.timer.Now()
		if wait := w.bucket.wait(now, p); wait > 0 {
			w.wake = l.timer.After(wait, func() { l.resume(d) })
			return granted
		}
		next := w.next(p)
		w.bucket.spend(now, next.bytes)
		granted = append(granted, next)
	}
}

func (l *Link) resume(d Direction) {
	l.mu.Lock()
	granted := l.serve(d)
	l.mu.Unlock()
	call(granted)
}

func call(granted []*waiter) {
	for _, w := range granted {
		w.grant()
	}
}

func (l *Link) forget(d Direction, p Priority, gone *waiter) {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &l.ways[d]
	for _, f := range w.flows[p] {
		f.waiting = slices.DeleteFunc(f.waiting, func(other *waiter) bool { return other == gone })
	}
	w.flows[p] = slices.DeleteFunc(w.flows[p], func(f *flow) bool { return len(f.waiting) == 0 })
}

func (w *way) add(p Priority, tenant string, part *waiter) {
	for _, f := range w.flows[p] {
		if f.tenant == tenant {
			f.waiting = append(f.waiting, part)
			return
		}
	}
	w.flows[p] = append(w.flows[p], &flow{tenant: tenant, waiting: []*waiter{part}})
}

// first returns the first priority that has somebody waiting.
func (w *way) first() (Priority, bool) {
	for p := range w.flows {
		if len(w.flows[p]) > 0 {
			return Priority(p), true
		}
	}
	return 0, false
}

// next takes a part of the tenant whose turn it is.
func (w *way) next(p Priority) *waiter {
	f := w.flows[p][0]
	w.flows[p] = w.flows[p][1:]
	part := f.waiting[0]
	f.waiting = f.waiting[1:]
	if len(f.waiting) > 0 {
		w.flows[p] = append(w.flows[p], f)
	}
	return part
}
