package target

import (
	"container/heap"
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/transport/engine"
)

// TestCancelledCallers has many callers, of whom some stay, some cancel at a
// random moment and some close the stream after a few tokens: whoever stays gets
// the whole answer, and nothing is left behind in the client, in the batch or in
// the engine.
func TestCancelledCallers(t *testing.T) {
	const (
		callers  = 50
		each     = 20
		patience = 8 * time.Millisecond
	)
	s, addr := start(t, WithDelays(time.Millisecond, 100*time.Microsecond), WithConcurrency(8))
	c := engine.New()
	defer c.Close()
	loadModel(t, s, c, addr)
	want := strings.Join(Answer(ask("")), "")
	before := runtime.NumGoroutine()
	var wait sync.WaitGroup
	for n := range callers {
		random := rand.New(rand.NewPCG(5, uint64(n)))
		wait.Go(func() {
			for range each {
				var got string
				var err error
				switch random.IntN(3) {
				case 0:
					got, err = generate(t.Context(), s, c, n, all)
					if err != nil || got != want {
						t.Errorf("a caller who stayed got %q, %v", got, err)
					}
				case 1:
					got, _ = generate(t.Context(), s, c, n, random.IntN(4))
				case 2:
					ctx, cancel := context.WithTimeout(t.Context(), time.Duration(random.Int64N(int64(patience))))
					got, _ = generate(ctx, s, c, n, all)
					cancel()
				}
				if !strings.HasPrefix(want, got) {
					t.Errorf("a caller who left got %q", got)
				}
			}
		})
	}
	wait.Wait()
	waitFor(t, func() bool {
		running, queued := s.batchOf("r1").load()
		return running == 0 && queued == 0 && s.Engine().State().Replicas[0].Running == 0
	})
	c.Close()
	waitFor(t, func() bool { return runtime.NumGoroutine() <= before })
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.runs) != 0 {
		t.Errorf("%d requests are still known", len(s.runs))
	}
}

// all is more tokens than any answer has.
const all = 1000

// generate reads an answer up to a number of tokens.
func generate(ctx context.Context, s *Server, c *engine.Client, n, tokens int) (string, error) {
	stream, err := c.Generate(ctx, s.row.Addr, ask("caller-"+strconv.Itoa(n)))
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for range tokens {
		chunk, err := stream.Next(ctx)
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(chunk.Text)
	}
	return text.String(), nil
}

// TestBatchTurnAndGiveUp lets a turn come just before the waiter gives up: the
// place must not be lost.
func TestBatchTurnAndGiveUp(t *testing.T) {
	b := newBatch(1)
	if err := b.enter(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	w := &waiter{turn: make(chan struct{})}
	heap.Push(&b.queue, w)
	b.leave()
	b.giveUp(w)
	if running, queued := b.load(); running != 0 || queued != 0 {
		t.Errorf("%d run and %d wait at the end", running, queued)
	}
}
