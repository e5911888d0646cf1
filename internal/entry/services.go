package entry

import (
	"io"
	"net/http"
	"sync"

	"chivecroft.example/chivecroft/internal/transport/front"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// services sends calls to the instances of plain services.
//
// A call that must run at most once gets a connection of its own that was
// opened for it. That proves the connection live, and it also keeps net/http
// from sending the call again: the transport repeats a call that carries an
// Idempotency-Key when a kept connection breaks, but never on a fresh one.
type services struct {
	kept  *http.Transport
	fresh *http.Transport
}

// maxIdlePerInstance is how many idle connections are kept to an instance.
const maxIdlePerInstance = 64

func newServices() *services {
	s := &services{
		kept:  gate.NewDialer().Transport(nil),
		fresh: gate.NewDialer().Transport(nil),
	}
	s.kept.MaxIdleConnsPerHost = maxIdlePerInstance
	s.fresh.DisableKeepAlives = true
	return s
}

// Send sends the call.
func (s *services) Send(req *http.Request, proven bool) (*http.Response, error) {
	transport := s.kept
	if proven {
		transport = s.fresh
	}
	ctx, call := gate.Track(req.Context(), nil)
	resp, err := transport.RoundTrip(req.WithContext(ctx))
	if err != nil {
		return nil, &front.CallError{NotRun: !call.Seal(), Err: err}
	}
	resp.Body = &trackedBody{ReadCloser: resp.Body, release: sync.OnceFunc(call.Release)}
	return resp, nil
}

// Close drops the idle connections.
func (s *services) Close() {
	s.kept.CloseIdleConnections()
	s.fresh.CloseIdleConnections()
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
