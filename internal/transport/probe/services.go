package probe

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/shard"
	"chivecroft.example/chivecroft/internal/transport/front"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Bounds of calls to plain services.
const (
	// idleMost is how long a connection to a plain service is kept unused.
	idleMost = 10 * time.Second
	// idlePerInstance is how many are kept to each.
	idlePerInstance = 64
	// silentAfter is how long a call may be without an answer before a fresh
	// connection is tried.
	silentAfter = 500 * time.Millisecond
	// dialTimeout bounds the trial.
	dialTimeout = time.Second
	// checkEvery is the least time between two trials of an instance.
	checkEvery = time.Second
)

// Services sends calls to the instances of plain services.
type Services struct {
	dialer *gate.Dialer
	kept   *gate.Transport
	fresh  *gate.Transport
	checks *shard.Map[string, time.Time]
	watch  gate.Watch
}

// Option changes Services under construction.
type Option func(*Services)

// WithWatch has the bytes of the connections counted.
func WithWatch(watch gate.Watch) Option {
	return func(s *Services) { s.watch = watch }
}

// NewServices returns services without connections.
func NewServices(opts ...Option) *Services {
	s := &Services{checks: shard.NewMap[string, time.Time]()}
	for _, opt := range opts {
		opt(s)
	}
	s.dialer = gate.NewDialer(gate.WithWatch(s.watch))
	s.fresh = gate.NewDialer(gate.WithWatch(s.watch)).Transport(nil)
	s.kept = s.dialer.Transport(nil)
	s.kept.MaxIdleConnsPerHost = idlePerInstance
	s.kept.IdleConnTimeout = idleMost
	s.fresh.DisableKeepAlives = true
	return s
}

// Send sends the call once. A call that must run at most once gets a connection
// of its own: it has just shown itself to work, and net/http, which repeats a
// call with an Idempotency-Key when a kept connection breaks, never does so on
// one that was opened for it.
func (s *Services) Send(req *http.Request, proven bool) (*http.Response, error) {
	transport := s.kept
	if proven {
		transport = s.fresh
	}
	address := req.URL.Host
	watch := time.AfterFunc(silentAfter, func() { s.check(req.Context(), address) })
	defer watch.Stop()
	ctx, call := gate.Track(req.Context(), nil)
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, &front.CallError{NotRun: !call.Seal(), Err: err}
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, release: sync.OnceFunc(call.Release)}
	return resp, nil
}

// Close drops the idle connections.
func (s *Services) Close() {
	s.kept.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
}

// check tries a fresh connection to an instance that has been silent. If it
// comes about, the kept ones are retired: the call that is silent goes on, but
// none joins it. An instance that can't be reached at all keeps its connections,
// which are as good as any.
func (s *Services) check(ctx context.Context, address string) {
	if ctx.Err() != nil || !s.turn(address) {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	var dialer net.Dialer
	conn, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return
	}
	_ = conn.Close()
	s.dialer.Retire(address)
}

// turn lets one trial of an instance through in checkEvery.
func (s *Services) turn(address string) bool {
	now := time.Now()
	mine := false
	s.checks.Update(address, func(last time.Time, _ bool) (time.Time, bool) {
		if now.Sub(last) < checkEvery {
			return last, true
		}
		mine = true
		return now, true
	})
	return mine
}

func newTransport() *gate.Transport {
	return gate.NewDialer().Transport(nil)
}

// trackedBody gives the call's connection back at the end of the answer.
type trackedBody struct {
	io.ReadCloser
	release func()
}

// Read reads from the body.
func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		b.release()
	}
	return n, err
}

// Close ends the answer.
func (b *trackedBody) Close() error {
	b.release()
	return b.ReadCloser.Close()
}
