package front

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/protocol/wire"
)

// leg is one stream of a generation, read by a goroutine of its own so that a
// silent one can be waited for beside another.
type leg struct {
	choice  route.Choice
	began   time.Time
	latency time.Duration
	items   chan item
	cancel  context.CancelFunc
	once    sync.Once
	// kept tells that the request goes over a connection that was kept, taken that
	// the engine has taken it.
	kept, taken atomic.Bool
}

// item is a chunk or the error that ends a leg.
type item struct {
	chunk wire.Chunk
	err   error
}

func startLeg(c *call, choice route.Choice, req wire.GenerateRequest) *leg {
	ctx, cancel := context.WithCancel(c.ctx)
	l := &leg{choice: choice, began: c.h.Timer.Now(), items: make(chan item, legBuffer), cancel: cancel}
	go l.read(ctx, c.h.Engine, req)
	return l
}

func (l *leg) read(ctx context.Context, engine Engine, req wire.GenerateRequest) {
	stream, err := engine.Generate(ctx, l.choice.Replica.Addr, req, l.kept.Store)
	if err != nil {
		l.send(ctx, item{err: err})
		return
	}
	l.taken.Store(true)
	closeStream := sync.OnceFunc(stream.Close)
	defer closeStream()
	for {
		chunk, err := stream.Next(ctx)
		if chunk.Done {
			// Closed before its end is told, while the context still lives, the
			// stream can leave its connection for another call.
			closeStream()
		}
		if !l.send(ctx, item{chunk: chunk, err: err}) || err != nil || chunk.Done {
			return
		}
	}
}

// lost tells whether the stream's connection is known to have fallen silent
// before the request, once its target has answered on a connection of its own: a
// target that lives takes a request at once, however long it thinks after that,
// and one that was kept had already brought a whole answer.
func (l *leg) lost() bool {
	return l.kept.Load() && !l.taken.Load()
}

func (l *leg) send(ctx context.Context, it item) bool {
	select {
	case l.items <- it:
		return true
	case <-ctx.Done():
		return false
	}
}

// end stops the reader and gives the place back, once.
func (l *leg) end(now time.Time, result route.Result) {
	l.once.Do(func() {
		l.cancel()
		l.choice.Release(now, result)
	})
}
