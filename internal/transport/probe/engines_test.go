package probe_test

import (
	"context"
	"net/netip"
	"strings"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/probe"
)

func startTarget(t *testing.T) (*target.Server, netip.AddrPort) {
	t.Helper()
	s := target.New(
		target.WithDelays(time.Millisecond, time.Millisecond),
		target.WithLoadTime(func(string) time.Duration { return time.Millisecond }),
	)
	at, err := s.Start(t.Context(), loopback)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Close)
	s.Order(ports.Order{Kind: ports.OrderLoad, Epoch: 1, Replica: "r1", Model: "menu", Checkpoint: "menu", MemoryBytes: 1})
	for s.Engine().State().Replicas[0].Phase != ports.PhaseReady {
		time.Sleep(time.Millisecond)
	}
	return s, at
}

func startEngines(t *testing.T) (*engine.Client, *probe.Engines) {
	client := engine.New()
	t.Cleanup(client.Close)
	return client, probe.NewEngines(client, timer.NewSystem(), nil)
}

func ask(ctx context.Context, e *probe.Engines, at netip.AddrPort, id string) (string, error) {
	stream, err := e.Generate(ctx, at, wire.GenerateRequest{
		RequestID: id, Replica: "r1", Model: "menu", MaxTokens: 4, Seed: 1,
		Messages: []wire.Message{{Role: "user", Content: "hi"}},
	}, func(bool) {})
	if err != nil {
		return "", err
	}
	defer stream.Close()
	var text strings.Builder
	for {
		chunk, err := stream.Next(ctx)
		if err != nil || chunk.Done {
			return text.String(), err
		}
		text.WriteString(chunk.Text)
	}
}

// TestSignOfLifeRetires freezes kept connections: the sign of life comes over a
// new one, and after it calls go to new ones as well.
func TestSignOfLifeRetires(t *testing.T) {
	stand, at := startTarget(t)
	_, engines := startEngines(t)
	want, err := ask(t.Context(), engines, at, "a")
	if err != nil || want == "" {
		t.Fatalf("%q, %v", want, err)
	}
	if stand.Freeze() == 0 {
		t.Fatal("no connection was kept")
	}
	start := time.Now()
	if err := engines.Alive(t.Context(), at); err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), 2*time.Second)
	defer cancel()
	if got, err := ask(ctx, engines, at, "b"); got != want {
		t.Errorf("got %q (%v) after %v, want %q", got, err, time.Since(start), want)
	}
}

// TestIdleConnectionsAreProbed freezes connections while nobody uses them, on a
// clock that shows them idle, and lets a round of probes find out.
func TestIdleConnectionsAreProbed(t *testing.T) {
	stand, at := startTarget(t)
	client := engine.New(engine.WithTimeouts(time.Second, 200*time.Millisecond))
	t.Cleanup(client.Close)
	clock := timer.NewVirtual(time.Unix(0, 0))
	engines := probe.NewEngines(client, clock, nil)
	want, err := ask(t.Context(), engines, at, "a")
	if err != nil {
		t.Fatal(err)
	}
	stand.Freeze()
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	clock.Advance(10 * time.Second)
	go engines.Run(ctx)
	time.Sleep(500 * time.Millisecond)
	short, cancel := context.WithTimeout(t.Context(), time.Second)
	defer cancel()
	if got, err := ask(short, engines, at, "b"); got != want {
		t.Errorf("got %q (%v), want %q: the call used a silent connection", got, err, want)
	}
}
