package front

import (
	"cmp"
	"context"
	"fmt"
	"net/http"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Stream is an answer that an engine is generating.
type Stream interface {
	// Next returns the next chunk; the last one has Done set.
	Next(ctx context.Context) (wire.Chunk, error)
	// Close gives up what has not arrived.
	Close()
}

// Engine reaches the model engines. Its errors are *CallError where more is
// known than that the call failed.
type Engine interface {
	// Generate begins an answer and returns once the engine has taken the request,
	// which it says before it works on it; the stream lives no longer than ctx.
	// Before the request is written, over hears whether that is done on a
	// connection which was kept after another answer.
	Generate(ctx context.Context, at netip.AddrPort, req wire.GenerateRequest, over func(kept bool)) (Stream, error)
	// Cancel stops the work of a request.
	Cancel(ctx context.Context, at netip.AddrPort, requestID string) error
	// Alive asks for a sign of life on a connection that is known to work.
	Alive(ctx context.Context, at netip.AddrPort) error
}

// Services sends calls to the instances of plain services. Its errors are
// *CallError where more is known than that the call failed.
type Services interface {
	// Send sends the call; proven asks for a connection that has just shown
	// itself to work.
	Send(req *http.Request, proven bool) (*http.Response, error)
}

// CallError is a call to a target that failed before its answer began.
type CallError struct {
	// NotRun tells that the target began nothing.
	NotRun bool
	// Leaving tells that the target takes no new work.
	Leaving bool
	// Gone tells that the replica is not on the target any more.
	Gone bool
	// NoAdapter tells that the replica lacks the adapter: one that was unloaded
	// to make room, and may come back to the same replica.
	NoAdapter bool
	// Overloaded tells that the target has too much to do.
	Overloaded bool
	// Invalid tells that the target finds fault with the request itself.
	Invalid bool
	Reason  string
	Err     error
}

// Error describes the failure.
func (e *CallError) Error() string {
	text := "call failed"
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Err != nil {
		text = fmt.Sprintf("%s: %v", text, e.Err)
	}
	return text
}

// Unwrap returns the cause.
func (e *CallError) Unwrap() error {
	return e.Err
}

// Claims keeps run-once calls from running twice.
type Claims interface {
	// Claim decides what a call with a request key gets; it returns before ctx
	// ends.
	Claim(ctx context.Context, claim dedup.Claim) dedup.Decision
	// Finish records how a claimed call ended, or that it never began.
	Finish(finish dedup.Finish)
}

// Deps is what a Handler works with.
type Deps struct {
	// Config returns the configuration in force.
	Config   func() *config.Config
	Table    *route.Table
	Room     *queue.Queues
	Limits   *admit.TenantLimits
	Claims   Claims
	Engine   Engine
	Services Services
	Timer    timer.Service
	// Link is the entry's share of the link between regions; nil does not bound it.
	Link *link.Link
	// Arrive hears of each request as soon as its service and class are known, at
	// the latest when it ends; nil drops it.
	Arrive func(service string, class config.Class)
	// Observe takes the outcome of each request before the end of its answer is
	// sent, which waits for its return; nil drops it.
	Observe func(Outcome)
	// ReadIdle is how long a caller may send nothing of a body that it owes, and
	// WriteIdle how long it may accept nothing of its answer; 0 for the defaults.
	ReadIdle  time.Duration
	WriteIdle time.Duration
	// Bounds limits requests; zero fields take the defaults.
	Bounds Bounds
	// NewID makes request ids; nil makes random ones.
	NewID func() string
}

// Bounds are the limits of requests that a deployment sets.
type Bounds struct {
	// ChatBytes bounds the body of a chat completion.
	ChatBytes int64
	// OnceBytes bounds the body of a run-once call, which is held in memory to be
	// summed before it is sent.
	OnceBytes int64
	// Deadline is for requests that name none of services that name none, and
	// DeferrableDeadline the same for deferrable ones.
	Deadline           time.Duration
	DeferrableDeadline time.Duration
	// MaxDeadline is the longest that a caller may ask for.
	MaxDeadline time.Duration
	// InFlight is the number of requests above which more are refused.
	InFlight int
}

// withDefaults fills the fields that are not set.
func (b Bounds) withDefaults() Bounds {
	b.ChatBytes = cmp.Or(b.ChatBytes, defaultChatBytes)
	b.OnceBytes = cmp.Or(b.OnceBytes, defaultOnceBytes)
	b.Deadline = cmp.Or(b.Deadline, defaultDeadline)
	b.DeferrableDeadline = cmp.Or(b.DeferrableDeadline, defaultDeferrableDeadline)
	b.MaxDeadline = cmp.Or(b.MaxDeadline, defaultMaxDeadline)
	b.InFlight = cmp.Or(b.InFlight, defaultInFlight)
	return b
}

// Limits of requests and answers.
const (
	// replayBytes bounds the body of a lookup that can be sent again.
	replayBytes = 64 << 10
	// keyBytes bounds a request key and a request id.
	keyBytes = 200
	// heldBytes bounds the bodies that an entry holds in memory for its callers.
	heldBytes = 64 << 20
	// heldRetryAfter is the advice while they take up all of that.
	heldRetryAfter = time.Second
	// bodyMost bounds the time in which a body that is held has to arrive.
	bodyMost = 30 * time.Second
	// The defaults of Bounds.
	defaultChatBytes          = 4 << 20
	defaultOnceBytes          = 1 << 20
	defaultDeadline           = 30 * time.Second
	defaultDeferrableDeadline = 15 * time.Minute
	defaultMaxDeadline        = 24 * time.Hour
	defaultInFlight           = 20_000
	// inFlightRetryAfter is the advice to those refused above it.
	inFlightRetryAfter = time.Second
	// The defaults of Deps.
	defaultReadIdle  = 10 * time.Second
	defaultWriteIdle = 20 * time.Second
)
