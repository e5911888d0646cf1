package entry

import (
	"context"
	"errors"
	"net/http"
	"net/netip"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/front"
)

// callerEngine is the engine client as the callers' interface uses it.
type callerEngine struct {
	client *engine.Client
	// used hears of every target that is asked, and left of each that says
	// that it leaves.
	used func(at netip.AddrPort)
	left func(at netip.AddrPort)
}

// Generate begins an answer.
func (e callerEngine) Generate(ctx context.Context, at netip.AddrPort, req wire.GenerateRequest) (front.Stream, error) {
	e.used(at)
	stream, err := e.client.Generate(ctx, at, req)
	if err != nil {
		failed := callError(err)
		if failed.Leaving {
			e.left(at)
		}
		return nil, failed
	}
	return stream, nil
}

// Cancel stops the work of a request.
func (e callerEngine) Cancel(ctx context.Context, at netip.AddrPort, requestID string) error {
	return e.client.Cancel(ctx, at, requestID)
}

// Alive asks for a sign of life.
func (e callerEngine) Alive(ctx context.Context, at netip.AddrPort) error {
	return e.client.Alive(ctx, at)
}

// callError says what a failed call to an engine means for the caller.
func callError(err error) *front.CallError {
	out := &front.CallError{Err: err}
	var known *engine.Error
	if !errors.As(err, &known) {
		return out
	}
	out.NotRun = known.NotRun
	out.Reason = known.Reason
	switch known.Reason {
	case wire.ReasonLeaving:
		out.Leaving = true
	case wire.ReasonNoReplica, wire.ReasonNoAdapter:
		out.Gone = true
	case wire.ReasonInvalid:
		out.Invalid = true
	}
	out.Overloaded = known.Status == http.StatusTooManyRequests
	return out
}
