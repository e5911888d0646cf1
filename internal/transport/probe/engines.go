package probe

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/shard"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/front"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Bounds of probing engines.
const (
	// probeEvery is how often an engine with idle connections is probed.
	probeEvery = 5 * time.Second
	// probeFor is how long after its last call an engine is probed; its idle
	// connections are closed by then.
	probeFor = 90 * time.Second
	// roundEvery is how often the engines that are due are looked for.
	roundEvery = time.Second
	// aliveTimeout bounds a probe, which an engine answers at once.
	aliveTimeout = time.Second
)

// Engines is the engines' client as the callers' interface uses it.
type Engines struct {
	client *engine.Client
	timer  timer.Service
	scheme string
	fresh  *gate.Transport
	uses   *shard.Map[netip.AddrPort, use]
}

// use is when an engine was last called and last probed.
type use struct{ called, probed time.Time }

// NewEngines returns engines behind a client; fresh makes the connections for
// signs of life and may be nil for plain TCP.
func NewEngines(client *engine.Client, clock timer.Service, fresh *gate.Transport) *Engines {
	e := &Engines{client: client, timer: clock, scheme: "http", fresh: fresh, uses: shard.NewMap[netip.AddrPort, use]()}
	if fresh == nil {
		e.fresh = newTransport()
	}
	e.fresh.DisableKeepAlives = true
	if e.fresh.TLSClientConfig != nil {
		e.scheme = "https"
	}
	return e
}

// Generate begins an answer; over hears whether the request is written to a kept
// connection, each time that the transport takes one for it.
func (e *Engines) Generate(ctx context.Context, at netip.AddrPort, req wire.GenerateRequest, over func(kept bool)) (front.Stream, error) {
	e.touch(at)
	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { over(info.Reused) },
	})
	stream, err := e.client.Generate(ctx, at, req)
	if err != nil {
		return nil, CallError(err)
	}
	return stream, nil
}

// Cancel stops the work of a request.
func (e *Engines) Cancel(ctx context.Context, at netip.AddrPort, requestID string) error {
	return e.client.Cancel(ctx, at, requestID)
}

// Alive asks for a sign of life on a connection of its own. Whoever asks has
// waited on a kept connection in vain; if the engine answers on a new one, the
// kept ones are not used for further calls.
func (e *Engines) Alive(ctx context.Context, at netip.AddrPort) error {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, e.scheme+"://"+at.String()+wire.PathAlive, nil)
	if err != nil {
		return trace.Wrap(err)
	}
	resp, err := e.fresh.RoundTrip(req)
	if err != nil {
		return trace.Wrap(err, "probe %s", at)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return trace.Wrap(fmt.Errorf("HTTP status %d", resp.StatusCode), "probe %s", at)
	}
	e.client.Retire(at)
	return nil
}

// Run probes the engines that were called lately until ctx ends, so that a
// connection which fell silent while it was idle is found before a call uses it.
func (e *Engines) Run(ctx context.Context) {
	for {
		for _, at := range e.due() {
			go e.probe(ctx, at)
		}
		select {
		case <-ctx.Done():
			return
		case <-e.after(roundEvery):
		}
	}
}

// probe uses a kept connection; the client retires all to an engine that does
// not answer in time.
func (e *Engines) probe(ctx context.Context, at netip.AddrPort) {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	if e.client.Alive(ctx, at) != nil && ctx.Err() != nil {
		e.client.Retire(at)
	}
}

func (e *Engines) touch(at netip.AddrPort) {
	now := e.timer.Now()
	e.uses.Update(at, func(u use, _ bool) (use, bool) {
		u.called = now
		return u, true
	})
}

// due returns the engines to probe now and forgets those not called for long.
func (e *Engines) due() []netip.AddrPort {
	now := e.timer.Now()
	var due, old []netip.AddrPort
	e.uses.Each(func(at netip.AddrPort, u use) bool {
		switch {
		case now.Sub(u.called) > probeFor:
			old = append(old, at)
		case now.Sub(u.called) > probeEvery && now.Sub(u.probed) > probeEvery:
			due = append(due, at)
		}
		return true
	})
	for _, at := range old {
		e.uses.Delete(at)
	}
	for _, at := range due {
		e.uses.Update(at, func(u use, present bool) (use, bool) {
			u.probed = now
			return u, present
		})
	}
	return due
}

func (e *Engines) after(d time.Duration) <-chan struct{} {
	done := make(chan struct{})
	e.timer.After(d, func() { close(done) })
	return done
}

// CallError says what a failed call to an engine means for its caller.
func CallError(err error) *front.CallError {
	out := &front.CallError{Err: err}
	var known *engine.Error
	if !errors.As(err, &known) {
		return out
	}
	out.NotRun, out.Reason = known.NotRun, known.Reason
	out.Overloaded = known.Status == http.StatusTooManyRequests
	switch known.Reason {
	case wire.ReasonLeaving:
		out.Leaving = true
	case wire.ReasonNoReplica:
		out.Gone = true
	case wire.ReasonNoAdapter:
		out.NoAdapter = true
	case wire.ReasonInvalid:
		out.Invalid = true
	}
	return out
}
