package proxy_test

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"chivecroft.example/chivecroft/internal/transport/proxy"
	"chivecroft.example/chivecroft/platform/fake"
)

// endsWithinEvent responds with a stream that ends within an event, although its HTTP
// body is complete.
func endsWithinEvent(f *fake.Target) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f.Run(r)
		f.Sign(w, r)
		_, _ = io.WriteString(w, events(1, 2)+"id: 3\nda")
	}
}

// TestBrokenStreamConnectionIsNotReused sends a request after a stream has ended within
// an event. It must not use the connection of the stream.
func TestBrokenStreamConnectionIsNotReused(t *testing.T) {
	near, _ := newTwoTargets(t)
	r := newRig(t, near)
	near.Behave(endsWithinEvent(near))
	got, _ := r.call("/stream/")
	if !got.Cut || got.Body != events(1, 2) {
		t.Errorf("broken stream: %+v", got)
	}
	near.Behave(nil)
	r.expect("/unsafe/", answer{Status: http.StatusOK, Body: "answer of near", Signed: "sig-near"})
}

// failingConn fails writes once broken is set, like a kept connection that was dropped
// while it was idle.
type failingConn struct {
	net.Conn
	broken *atomic.Bool
}

var errBroken = errors.New("broken")

func (c *failingConn) Write(b []byte) (int, error) {
	if c.broken.Load() {
		return 0, errBroken
	}
	return c.Conn.Write(b)
}

// TestBodyIsResentWhenNothingWasWritten sends a request with a body while the kept
// connection can no longer be written. Nothing was sent, so the request must go over
// another connection to the same target.
func TestBodyIsResentWhenNothingWasWritten(t *testing.T) {
	near, _ := newTwoTargets(t)
	r := newRig(t, near)
	var dialer net.Dialer
	var latest *atomic.Bool
	transport := &http.Transport{DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dialer.DialContext(ctx, network, address)
		latest = new(atomic.Bool)
		return &failingConn{Conn: c, broken: latest}, err
	}}
	defer transport.CloseIdleConnections()
	r.serve(proxy.WithTransport(transport))
	whole := answer{Status: http.StatusOK, Body: "answer of near", Signed: "sig-near"}
	r.expect("/unsafe/", whole)
	latest.Store(true)
	r.expect("/unsafe/", whole)
}
