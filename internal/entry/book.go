package entry

import (
	"context"
	"sync"

	"github.com/gravitational/trace"
)

// book pairs asks to a part with the notes that answer them.
type book[T any] struct {
	mu   sync.Mutex
	next uint64
	open map[uint64]chan T
}

func newBook[T any]() *book[T] {
	return &book[T]{open: make(map[uint64]chan T)}
}

// ask posts an ask under a fresh number and waits for its answer.
func (b *book[T]) ask(ctx context.Context, post func(id uint64)) (T, error) {
	answer := make(chan T, 1)
	b.mu.Lock()
	b.next++
	id := b.next
	b.open[id] = answer
	b.mu.Unlock()
	post(id)
	select {
	case v := <-answer:
		return v, nil
	case <-ctx.Done():
		b.forget(id)
		var none T
		return none, trace.Wrap(ctx.Err(), "waiting for the answer of a part")
	}
}

func (b *book[T]) forget(id uint64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.open, id)
}

// answer ends an ask; an answer that nobody waits for any more is dropped.
func (b *book[T]) answer(id uint64, v T) {
	b.mu.Lock()
	waiting := b.open[id]
	delete(b.open, id)
	b.mu.Unlock()
	if waiting != nil {
		waiting <- v
	}
}
