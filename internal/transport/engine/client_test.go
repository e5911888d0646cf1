package engine

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const testTimeout = 150 * time.Millisecond

func serve(t *testing.T, handler http.HandlerFunc) netip.AddrPort {
	t.Helper()
	server := httptest.NewServer(handler)
	t.Cleanup(server.Close)
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func closedPort(t *testing.T) netip.AddrPort {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	at := netip.MustParseAddrPort(l.Addr().String())
	if err := l.Close(); err != nil {
		t.Fatal(err)
	}
	return at
}

func answer(status int, body string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.WriteHeader(status)
		fmt.Fprint(w, body)
	}
}

func order(t *testing.T, c *Client, to netip.AddrPort, o ports.Order) ports.OrderReply {
	t.Helper()
	done := make(chan ports.OrderReply, 1)
	c.Order(to, o, func(r ports.OrderReply) { done <- r })
	select {
	case r := <-done:
		return r
	case <-time.After(5 * time.Second):
		t.Fatal("the order did not end")
	}
	return ports.OrderReply{}
}

func TestOrderEnds(t *testing.T) {
	abort := func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }
	tests := []struct {
		name    string
		handler http.HandlerFunc
		want    ports.OrderStatus
	}{
		{"taken", answer(200, `{"status":"taken","state":{"id":"t1"}}`), ports.OrderTaken},
		{"fenced", answer(200, `{"status":"fenced","reason":"epoch 1 is below fence 2"}`), ports.OrderFenced},
		{"refused", answer(200, `{"status":"refused"}`), ports.OrderRefused},
		{"undefined status", answer(200, `{"status":"done"}`), ports.OrderUnknown},
		{"an end that only a sender can know", answer(200, `{"status":"unsent"}`), ports.OrderUnknown},
		{"cut body", answer(200, `{"status":"taken"`), ports.OrderUnknown},
		{"empty body", answer(200, ""), ports.OrderUnknown},
		{"500", answer(500, `{"status":"taken"}`), ports.OrderUnknown},
		{"503", answer(503, ""), ports.OrderUnknown},
		{"reset", abort, ports.OrderUnknown},
		{"no answer in time", func(http.ResponseWriter, *http.Request) { time.Sleep(2 * testTimeout) }, ports.OrderUnknown},
		{"refused connection", nil, ports.OrderUnsent},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New(WithTimeouts(testTimeout, testTimeout))
			defer c.Close()
			at := closedPort(t)
			if tt.handler != nil {
				at = serve(t, tt.handler)
			}
			got := order(t, c, at, ports.Order{Kind: ports.OrderLoad})
			if diff := cmp.Diff(tt.want, got.Status); diff != "" {
				t.Errorf("status (-want +got):\n%s", diff)
			}
			lost := got.Status == ports.OrderUnknown || got.Status == ports.OrderUnsent
			if lost && (got.Err == nil || !strings.Contains(got.Err.Error(), at.String())) {
				t.Errorf("the error lacks its peer: %v", got.Err)
			}
		})
	}
}

// lateClock says that the time has come once a connection is open, and waits
// for one: a check made before dialling fails to find it.
type lateClock struct {
	timer.System
	start  time.Time
	opened chan struct{}
	missed atomic.Bool
}

func (c *lateClock) Now() time.Time {
	select {
	case <-c.opened:
	case <-time.After(2 * time.Second):
		c.missed.Store(true)
	}
	return c.start.Add(time.Second)
}

func TestOrderIsCheckedAtTheWrite(t *testing.T) {
	clock := &lateClock{start: time.Now(), opened: make(chan struct{})}
	var requests atomic.Int64
	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { requests.Add(1) }))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			close(clock.opened)
		}
	}
	server.Start()
	defer server.Close()
	c := New(WithTimer(clock))
	defer c.Close()
	at := netip.MustParseAddrPort(server.Listener.Addr().String())
	got := order(t, c, at, ports.Order{Kind: ports.OrderLoad, NotAfter: clock.start.Add(time.Second)})
	if got.Status != ports.OrderUnsent || !errors.Is(got.Err, ErrLapsed) {
		t.Errorf("the order ended as %s, %v", got.Status, got.Err)
	}
	if clock.missed.Load() || requests.Load() != 0 {
		t.Errorf("checked before dialling: %t; the engine saw %d requests", clock.missed.Load(), requests.Load())
	}
}

func token(i int) string { return fmt.Sprintf(`{"requestId":"a","index":%d,"text":"w%d "}`+"\n", i, i) }

func end(n int) string {
	return fmt.Sprintf(`{"requestId":"a","index":%d,"done":true,"tokens":%d,"reason":"stop"}`+"\n", n, n)
}

// outcome reads a stream to its end and writes down what came.
func outcome(ctx context.Context, s *Stream) string {
	defer s.Close()
	var text strings.Builder
	for {
		chunk, err := s.Next(ctx)
		var fault *StreamError
		switch {
		case errors.Is(err, io.EOF):
			return text.String() + "whole"
		case errors.As(err, &fault):
			return fmt.Sprintf("%s%s after %d", text.String(), fault.Fault, fault.Tokens)
		case err != nil:
			return text.String() + err.Error()
		}
		text.WriteString(chunk.Text)
	}
}

func TestStreamDamage(t *testing.T) {
	tests := []struct {
		name   string
		offset int
		body   string
		want   string
	}{
		{"whole", 0, token(0) + token(1) + end(2), "w0 w1 whole"},
		{"empty answer", 0, end(0), "whole"},
		{"resumed", 2, token(2) + end(3), "w2 whole"},
		{"duplicates", 0, token(0) + token(0) + token(1) + token(0) + end(2), "w0 w1 whole"},
		{"resumed from the start", 1, token(0) + token(1) + end(2), "w1 whole"},
		{"no end mark", 0, token(0) + token(1), "w0 w1 cut after 2"},
		{"nothing", 0, "", "cut after 0"},
		{"end mark without line end", 0, token(0) + strings.TrimSpace(end(1)), "w0 cut after 1"},
		{"cut token", 0, token(0) + `{"requestId":"a","ind`, "w0 cut after 1"},
		{"gap", 0, token(0) + token(2) + end(3), "w0 gap after 1"},
		{"missing tail", 0, token(0) + end(2), "w0 gap after 1"},
		{"end mark too low", 0, token(0) + token(1) + end(1), "w0 w1 gap after 2"},
		{"token of another request", 0, token(0) + strings.Replace(token(1), `"a"`, `"b"`, 1), "w0 crossed after 1"},
		{"duplicate of another request", 0, token(0) + strings.Replace(token(0), `"a"`, `"b"`, 1), "w0 crossed after 1"},
		{"end mark of another request", 0, token(0) + strings.Replace(end(1), `"a"`, `"b"`, 1), "w0 crossed after 1"},
		{"cancelled", 0, token(0) + strings.Replace(end(1), "stop", "cancelled", 1), "w0 cancelled after 1"},
		{"undefined end", 0, token(0) + strings.Replace(end(1), "stop", "bored", 1), "w0 damaged after 1"},
		{"no JSON", 0, token(0) + "oops\n", "w0 damaged after 1"},
		{"endless line", 0, token(0) + strings.Repeat("x", 2*chunkBytes), "w0 damaged after 1"},
		{"long line", 0, strings.Replace(token(0), "w0 ", strings.Repeat("w", 10_000), 1) + end(1), strings.Repeat("w", 10_000) + "whole"},
		{"more after the end mark", 0, token(0) + end(1) + token(1), "w0 whole"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			defer c.Close()
			s, err := c.Generate(t.Context(), serve(t, answer(200, tt.body)), wire.GenerateRequest{RequestID: "a", Offset: tt.offset})
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(tt.want, outcome(t.Context(), s)); diff != "" {
				t.Errorf("outcome (-want +got):\n%s", diff)
			}
		})
	}
}

func TestGenerateRefused(t *testing.T) {
	tests := []struct {
		name    string
		handler http.HandlerFunc
		notRun  bool
		reason  string
	}{
		{"refused connection", nil, true, ""},
		{"engine says not run", answer(503, `{"reason":"leaving","notRun":true}`), true, "leaving"},
		{"engine does not say", answer(500, `{"reason":"crashed"}`), false, "crashed"},
		{"cut body", answer(503, `{"reason":"leaving","notRun":true`), false, ""},
		{"balancer", answer(502, "<html>"), false, ""},
		{"reset", func(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }, false, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			c := New()
			defer c.Close()
			at := closedPort(t)
			if tt.handler != nil {
				at = serve(t, tt.handler)
			}
			_, err := c.Generate(t.Context(), at, wire.GenerateRequest{RequestID: "a"})
			var e *Error
			if !errors.As(err, &e) {
				t.Fatalf("error %v", err)
			}
			if NotRun(err) != tt.notRun || e.Reason != tt.reason || e.Peer != at {
				t.Errorf("not run %t, reason %q, peer %s", e.NotRun, e.Reason, e.Peer)
			}
		})
	}
}

// TestSilentStream gives up on one Next with a context of its own.
func TestSilentStream(t *testing.T) {
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, token(0))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c := New()
	defer c.Close()
	s, err := c.Generate(t.Context(), at, wire.GenerateRequest{RequestID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(t.Context(), testTimeout)
	defer cancel()
	if diff := cmp.Diff("w0 cut after 1", outcome(ctx, s)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if _, err := s.Next(t.Context()); err == nil {
		t.Error("a closed stream goes on")
	}
}

// TestSilentAfterEndMark has the body go on without a word after the end mark:
// the caller has the whole answer and must not wait for more.
func TestSilentAfterEndMark(t *testing.T) {
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		fmt.Fprint(w, token(0)+end(1))
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	})
	c := New()
	defer c.Close()
	s, err := c.Generate(t.Context(), at, wire.GenerateRequest{RequestID: "a"})
	if err != nil {
		t.Fatal(err)
	}
	begin := time.Now()
	if diff := cmp.Diff("w0 whole", outcome(t.Context(), s)); diff != "" {
		t.Errorf("outcome (-want +got):\n%s", diff)
	}
	if d := time.Since(begin); d > time.Second {
		t.Errorf("it took %v", d)
	}
}

// TestConnectionsAreKept counts the connections of several whole answers.
func TestConnectionsAreKept(t *testing.T) {
	var dials atomic.Int64
	server := httptest.NewUnstartedServer(answer(200, token(0)+end(1)))
	server.Config.ConnState = func(_ net.Conn, s http.ConnState) {
		if s == http.StateNew {
			dials.Add(1)
		}
	}
	server.Start()
	defer server.Close()
	at := netip.MustParseAddrPort(server.Listener.Addr().String())
	c := New()
	defer c.Close()
	for range 10 {
		s, err := c.Generate(t.Context(), at, wire.GenerateRequest{RequestID: "a"})
		if err != nil {
			t.Fatal(err)
		}
		outcome(t.Context(), s)
	}
	if n := dials.Load(); n != 1 {
		t.Errorf("%d connections for 10 answers one after the other", n)
	}
}

func TestSmallCalls(t *testing.T) {
	events := wire.CacheEvents{Boot: "b", First: 3, Last: 4, Events: []wire.CacheEvent{{Seq: 4, Replica: "r"}}}
	at := serve(t, func(w http.ResponseWriter, r *http.Request) {
		switch r.Method + " " + r.URL.RequestURI() {
		case "GET /engine/events?after=3":
			_ = json.NewEncoder(w).Encode(events)
		case "GET /engine/load":
			fmt.Fprint(w, `{"boot":"b","ageNanos":5}`)
		case "GET /engine/alive":
		case "POST /engine/cancel":
			w.WriteHeader(http.StatusNoContent)
		default:
			http.NotFound(w, r)
		}
	})
	c := New()
	defer c.Close()
	gotEvents, err := c.Events(t.Context(), at, 3)
	if diff := cmp.Diff(events, gotEvents); diff != "" || err != nil {
		t.Errorf("events, %v (-want +got):\n%s", err, diff)
	}
	load, err := c.Load(t.Context(), at)
	if diff := cmp.Diff(wire.LoadReport{Boot: "b", Age: 5}, load); diff != "" || err != nil {
		t.Errorf("load, %v (-want +got):\n%s", err, diff)
	}
	if err := errors.Join(c.Alive(t.Context(), at), c.Cancel(t.Context(), at, "a")); err != nil {
		t.Error(err)
	}
	if _, err := c.Load(t.Context(), serve(t, answer(200, `{"boot"`))); err == nil {
		t.Error("a cut load report is taken")
	}
}

// TestOrderOverSilentConnection freezes the kept connections to an engine: an
// order must arrive all the same, and a report costs one short timeout.
func TestOrderOverSilentConnection(t *testing.T) {
	s := target.New()
	at, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	c := New(WithTimeouts(2*time.Second, testTimeout))
	defer c.Close()
	order(t, c, at, ports.Order{Kind: ports.OrderReport})
	if s.Freeze() == 0 {
		t.Fatal("no connection was kept")
	}
	begin := time.Now()
	var got []ports.OrderStatus
	for _, kind := range []ports.OrderKind{ports.OrderFence, ports.OrderReport, ports.OrderReport} {
		got = append(got, order(t, c, at, ports.Order{Kind: kind, Epoch: 2}).Status)
	}
	want := []ports.OrderStatus{ports.OrderTaken, ports.OrderUnknown, ports.OrderTaken}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("a fence and two reports (-want +got):\n%s", diff)
	}
	if took := time.Since(begin); took > time.Second {
		t.Errorf("they took %v", took)
	}
}
