package entry

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
)

// pendingCalls matches requests to a part with the part's replies, by a number.
type pendingCalls[T any] struct {
	mu   sync.Mutex
	last uint64
	// waiting holds the channel of each request that has no reply yet.
	waiting map[uint64]chan T
}

func newPendingCalls[T any]() *pendingCalls[T] {
	return &pendingCalls[T]{waiting: make(map[uint64]chan T)}
}

// call sends a request under a new number and waits for its reply.
func (c *pendingCalls[T]) call(ctx context.Context, send func(id uint64)) (T, error) {
	reply := make(chan T, 1)
	c.mu.Lock()
	c.last++
	id := c.last
	c.waiting[id] = reply
	c.mu.Unlock()
	send(id)
	select {
	case v := <-reply:
		return v, nil
	case <-ctx.Done():
		c.remove(id)
		var none T
		return none, trace.Wrap(ctx.Err(), "waiting for the answer of a part")
	}
}

func (c *pendingCalls[T]) remove(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// resolve delivers the reply to a request. A reply that nobody waits for is dropped.
func (c *pendingCalls[T]) resolve(id uint64, v T) {
	c.mu.Lock()
	reply := c.waiting[id]
	delete(c.waiting, id)
	c.mu.Unlock()
	if reply != nil {
		reply <- v
	}
}
