package target

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/engine"
)

func TestRefusals(t *testing.T) {
	s, addr := start(t)
	c := engine.New()
	defer c.Close()
	loadModel(t, s, c, addr)
	tests := []struct {
		name   string
		change func(*wire.GenerateRequest)
		want   string
	}{
		{"no such replica", func(r *wire.GenerateRequest) { r.Replica = "r9" }, wire.ReasonNoReplica},
		{"replica of another model", func(r *wire.GenerateRequest) { r.Model = "seats" }, wire.ReasonNoReplica},
		{"adapter not loaded", func(r *wire.GenerateRequest) { r.Adapter = "fiesta" }, wire.ReasonNoAdapter},
	}
	for _, tt := range tests {
		req := ask("a")
		tt.change(&req)
		_, err := c.Generate(t.Context(), addr, req)
		if !engine.NotRun(err) || !strings.Contains(err.Error(), tt.want) {
			t.Errorf("%s: %v", tt.name, err)
		}
	}
	s.Leave()
	if _, err := c.Generate(t.Context(), addr, ask("a")); !engine.NotRun(err) || !strings.Contains(err.Error(), wire.ReasonLeaving) {
		t.Errorf("leaving: %v", err)
	}
	if runs := s.Executions().Runs; len(runs) != 0 {
		t.Errorf("refused requests ran: %v", runs)
	}
}

func TestFencing(t *testing.T) {
	for _, checks := range []bool{true, false} {
		_, addr := start(t, WithFencing(checks))
		c := engine.New()
		defer c.Close()
		order(t, c, addr, ports.Order{Kind: ports.OrderFence, Epoch: 5})
		want := ports.OrderTaken
		if checks {
			want = ports.OrderFenced
		}
		got := order(t, c, addr, ports.Order{Kind: ports.OrderLoad, Epoch: 4, Replica: "r1", Model: "menu", MemoryBytes: 1})
		if got.Status != want || got.State.ChecksFence != checks {
			t.Errorf("checks fencing %t: an old order ended as %s", checks, got.Status)
		}
	}
}

// TestPriority fills the batch and queues requests of two priorities.
func TestPriority(t *testing.T) {
	b := newBatch(1)
	if err := b.enter(t.Context(), 0); err != nil {
		t.Fatal(err)
	}
	var mu sync.Mutex
	var order []string
	var wait sync.WaitGroup
	for n, priority := range []int{0, 10, 0, 10} {
		wait.Go(func() {
			if err := b.enter(t.Context(), priority); err != nil {
				t.Error(err)
				return
			}
			mu.Lock()
			order = append(order, fmt.Sprintf("%d/%d", n, priority))
			mu.Unlock()
			b.leave()
		})
		waitFor(t, func() bool {
			_, queued := b.load()
			return queued == n+1
		})
	}
	b.leave()
	wait.Wait()
	if diff := cmp.Diff([]string{"1/10", "3/10", "0/0", "2/0"}, order); diff != "" {
		t.Errorf("turns (-want +got):\n%s", diff)
	}
	if running, queued := b.load(); running != 0 || queued != 0 {
		t.Errorf("%d run and %d wait at the end", running, queued)
	}
}

func TestCancel(t *testing.T) {
	s, addr := start(t, WithDelays(0, time.Hour))
	c := engine.New()
	defer c.Close()
	loadModel(t, s, c, addr)
	stream, err := c.Generate(t.Context(), addr, ask("a"))
	if err != nil {
		t.Fatal(err)
	}
	if _, err := stream.Next(t.Context()); err != nil {
		t.Fatal(err)
	}
	if err := c.Cancel(t.Context(), addr, "a"); err != nil {
		t.Fatal(err)
	}
	if _, err := read(t.Context(), stream); err == nil || !strings.Contains(err.Error(), "cancelled after 1 tokens") {
		t.Errorf("the cancelled stream ended with %v", err)
	}
	waitFor(t, func() bool { return s.Engine().State().Replicas[0].Running == 0 })
}

// TestCacheEvents has a cache for two prefixes, and events that come late.
func TestCacheEvents(t *testing.T) {
	s, addr := start(t, WithCache(2, 50*time.Millisecond, 0))
	c := engine.New()
	defer c.Close()
	loadModel(t, s, c, addr)
	var prefixes []uint64
	for _, text := range []string{"a", "b", "a", "c"} {
		req := ask(text)
		req.Messages[0].Content = text
		prefixes = append(prefixes, wire.Prefix(req.Model, req.Adapter, req.Messages))
		stream, err := c.Generate(t.Context(), addr, req)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := read(t.Context(), stream); err != nil {
			t.Fatal(err)
		}
	}
	var got wire.CacheEvents
	waitFor(t, func() bool {
		events, err := c.Events(t.Context(), addr, 0)
		got = events
		return err == nil && len(events.Events) == 4
	})
	slices.SortFunc(got.Events, func(a, b wire.CacheEvent) int { return int(a.Seq) - int(b.Seq) })
	want := wire.CacheEvents{Boot: s.boot, First: 1, Last: 4, Events: []wire.CacheEvent{
		{Seq: 1, Replica: "r1", Prefix: prefixes[0]},
		{Seq: 2, Replica: "r1", Prefix: prefixes[1]},
		{Seq: 3, Replica: "r1", Prefix: prefixes[3]},
		{Seq: 4, Replica: "r1", Prefix: prefixes[1], Evicted: true},
	}}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}

// TestAdapterOrder answers once the adapter can be used, and at once again after.
func TestAdapterOrder(t *testing.T) {
	s, addr := start(t, WithAdapterTime(30*time.Millisecond, 0))
	c := engine.New()
	defer c.Close()
	loadModel(t, s, c, addr)
	load := ports.Order{Kind: ports.OrderLoadAdapter, Epoch: 1, Replica: "r1", Model: "menu", Adapter: "fiesta", Checkpoint: "fiesta-1", MemoryBytes: 1}
	for range 2 {
		reply := order(t, c, addr, load)
		if reply.Status != ports.OrderTaken || !slices.Contains(reply.State.Replicas[0].Adapters, "fiesta") {
			t.Fatalf("the order ended as %s with %v", reply.Status, reply.State.Replicas)
		}
	}
	req := ask("a")
	req.Adapter = "fiesta"
	stream, err := c.Generate(t.Context(), addr, req)
	if err != nil {
		t.Fatal(err)
	}
	if got, err := read(t.Context(), stream); err != nil || got != strings.Join(Answer(req), "") {
		t.Errorf("answer %q, %v", got, err)
	}
}
