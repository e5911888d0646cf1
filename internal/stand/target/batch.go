package target

import (
	"container/heap"
	"context"
	"sync"
)

// batch is the continuous batch of one replica: up to size requests run side by
// side, the others wait in order of priority, then of arrival.
type batch struct {
	mu      sync.Mutex
	size    int
	running int
	serial  uint64
	queue   waiting
}

func newBatch(size int) *batch {
	return &batch{size: size}
}

// enter waits for a place in the batch; leave gives it back.
func (b *batch) enter(ctx context.Context, priority int) error {
	b.mu.Lock()
	if b.running < b.size {
		b.running++
		b.mu.Unlock()
		return nil
	}
	b.serial++
	w := &waiter{priority: priority, serial: b.serial, turn: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.mu.Unlock()
	select {
	case <-w.turn:
		return nil
	case <-ctx.Done():
		b.giveUp(w)
		return ctx.Err()
	}
}

func (b *batch) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.queue) == 0 {
		b.running--
		return
	}
	w := heap.Pop(&b.queue).(*waiter)
	close(w.turn)
}

func (b *batch) giveUp(w *waiter) {
	b.mu.Lock()
	if w.index >= 0 {
		heap.Remove(&b.queue, w.index)
		b.mu.Unlock()
		return
	}
	b.mu.Unlock()
	// Its turn came in the meantime.
	b.leave()
}

func (b *batch) load() (running, queued int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.running, len(b.queue)
}

type waiter struct {
	priority int
	serial   uint64
	turn     chan struct{}
	// index is the place in the queue, -1 once the turn has come.
	index int
}

// waiting is a heap: higher priority first, then earlier arrival.
type waiting []*waiter

func (q waiting) Len() int { return len(q) }

func (q waiting) Less(i, j int) bool {
	if q[i].priority != q[j].priority {
		return q[i].priority > q[j].priority
	}
	return q[i].serial < q[j].serial
}

func (q waiting) Swap(i, j int) {
	q[i], q[j] = q[j], q[i]
	q[i].index, q[j].index = i, j
}

func (q *waiting) Push(x any) {
	w := x.(*waiter)
	w.index = len(*q)
	*q = append(*q, w)
}

func (q *waiting) Pop() any {
	old := *q
	last := old[len(old)-1]
	last.index = -1
	*q = old[:len(old)-1]
	return last
}
