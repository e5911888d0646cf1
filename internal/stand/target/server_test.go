package target

import (
	"context"
	"errors"
	"io"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/platf"
	"chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/kvhttp"
)

var loopback = netip.MustParseAddrPort("127.0.0.1:0")

func start(t *testing.T, opts ...Option) (*Server, netip.AddrPort) {
	t.Helper()
	s := New(append([]Option{WithDelays(0, 0), WithLoadTime(func(string) time.Duration { return 20 * time.Millisecond })}, opts...)...)
	addr, err := s.Start(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { s.Close() })
	return s, addr
}

func order(t *testing.T, c *engine.Client, to netip.AddrPort, o ports.Order) ports.OrderReply {
	t.Helper()
	done := make(chan ports.OrderReply, 1)
	c.Order(to, o, func(r ports.OrderReply) { done <- r })
	select {
	case r := <-done:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("no reply to the order")
	}
	return ports.OrderReply{}
}

func loadModel(t *testing.T, s *Server, c *engine.Client, at netip.AddrPort) {
	t.Helper()
	o := ports.Order{Kind: ports.OrderLoad, Epoch: 1, Replica: "r1", Model: "menu", Checkpoint: "menu-1", MemoryBytes: 1}
	if r := order(t, c, at, o); r.Status != ports.OrderTaken {
		t.Fatalf("load ended as %s: %s", r.Status, r.Reason)
	}
	waitFor(t, func() bool { return s.Engine().State().Replicas[0].Phase == ports.PhaseReady })
}

func waitFor(t *testing.T, done func() bool) {
	t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		if done() {
			return
		}
	}
	t.Fatal("it did not happen within 5 s")
}

func read(ctx context.Context, s *engine.Stream) (string, error) {
	defer s.Close()
	var text strings.Builder
	for {
		chunk, err := s.Next(ctx)
		if errors.Is(err, io.EOF) {
			return text.String(), nil
		}
		if err != nil {
			return text.String(), err
		}
		text.WriteString(chunk.Text)
	}
}

func ask(id string) wire.GenerateRequest {
	return wire.GenerateRequest{
		RequestID: id, Replica: "r1", Model: "menu", Seed: 7,
		Messages: []wire.Message{{Role: "user", Content: "What is for supper?"}},
	}
}

// TestColdToAnswer goes the whole way: the target registers, loads through the
// weight store, answers, breaks off and resumes.
func TestColdToAnswer(t *testing.T) {
	p := platf.New(platf.WithListLag(0))
	at, err := p.Start(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	defer p.Close()
	base := "http://" + at.String()
	s, addr := start(t, WithID("t1"), WithPlatform(base))
	kv := kvhttp.New(base)
	defer kv.Close()
	waitFor(t, func() bool {
		rows := make(chan []ports.Instance, 1)
		kv.Instances(func(got []ports.Instance, _ error) { rows <- got })
		got := <-rows
		return len(got) == 1 && got[0].Addr == addr
	})
	c := engine.New()
	defer c.Close()
	loadModel(t, s, c, addr)
	if got := p.Counts().Fetches; got != 1 {
		t.Errorf("%d reads of the weight store, want 1", got)
	}
	want := strings.Join(Answer(ask("a")), "")
	stream, err := c.Generate(t.Context(), addr, ask("a"))
	if err != nil {
		t.Fatal(err)
	}
	got, err := read(t.Context(), stream)
	if err != nil || got != want {
		t.Errorf("answer %q, %v, want %q", got, err, want)
	}
	if err := s.SetFaults(func(f *Faults) { f.CutNext, f.CutAfter = 1, 3 }); err != nil {
		t.Fatal(err)
	}
	stream, err = c.Generate(t.Context(), addr, ask("b"))
	if err != nil {
		t.Fatal(err)
	}
	head, err := read(t.Context(), stream)
	var cut *engine.StreamError
	if !errors.As(err, &cut) || cut.Fault != engine.StreamCut || cut.Tokens != 3 {
		t.Fatalf("the cut answer ended with %v", err)
	}
	again := ask("b")
	again.Offset = cut.Tokens
	stream, err = c.Generate(t.Context(), addr, again)
	if err != nil {
		t.Fatal(err)
	}
	tail, err := read(t.Context(), stream)
	if err != nil || head+tail != want {
		t.Errorf("resumed answer %q, %v, want %q", head+tail, err, want)
	}
	wantRuns := Executions{Runs: map[string]int{"a": 1, "b": 1}, Resumes: map[string]int{"b": 1}}
	if diff := cmp.Diff(wantRuns, s.Executions()); diff != "" {
		t.Errorf("executions (-want +got):\n%s", diff)
	}
}

// BenchmarkGenerate is one warm answer of the stand-in, through the client.
func BenchmarkGenerate(b *testing.B) {
	s := New(WithDelays(0, 0), WithLoadTime(func(string) time.Duration { return 0 }), WithConcurrency(64))
	addr, err := s.Start(b.Context(), loopback)
	if err != nil {
		b.Fatal(err)
	}
	defer s.Close()
	c := engine.New()
	defer c.Close()
	s.Order(ports.Order{Kind: ports.OrderLoad, Replica: "r1", Model: "menu", Checkpoint: "menu-1", MemoryBytes: 1})
	for s.Engine().State().Replicas[0].Phase != ports.PhaseReady {
		time.Sleep(time.Millisecond)
	}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			stream, err := c.Generate(b.Context(), addr, ask("a"))
			if err != nil {
				b.Error(err)
				return
			}
			if _, err := read(b.Context(), stream); err != nil {
				b.Error(err)
				return
			}
		}
	})
}
