package proxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/retry"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Limits and defaults of requests.
const (
	// defaultTimeout applies to a request if neither caller nor route has a timeout.
	defaultTimeout = 30 * time.Second
	// defaultMaxBodyBytes limits a body unless the configuration sets a limit.
	defaultMaxBodyBytes = 4 << 20
	// responseReserveShare is the part of its timeout that a queued request keeps for the
	// response.
	responseReserveShare = 0.1
	// maxResponseReserve limits that part.
	maxResponseReserve = time.Second
	// targetSilenceTimeout is how long a target's machine may leave bytes unacknowledged.
	targetSilenceTimeout = 2 * time.Second
	// targetBufferBytes limits what the kernel holds of a target's response that is not
	// read because its caller reads slowly. Linux doubles it for its own overhead.
	targetBufferBytes = 128 << 10
	// noConfigRetryAfter is the Retry-After of an instance without a configuration.
	noConfigRetryAfter = time.Second
	// behindRetryAfter is the Retry-After of an instance without the newest configuration.
	behindRetryAfter = time.Second
	// stopRetryAfter is the Retry-After of an instance that is stopping.
	stopRetryAfter = 100 * time.Millisecond
)

// Server is the http.Handler for callers' requests.
type Server struct {
	codec     Codec
	picker    *picker.Picker
	budget    *retry.Budget
	account   *budget.Account
	timer     timer.Service
	log       *log.Logger
	transport http.RoundTripper
	onEnded   func(Ended)
	// crashes knows which requests crash targets. hasCrashed reports whether a target at
	// which a request broke off has ended unplanned, hasEnded whether it has ended at all.
	crashes              *crash.Monitor
	hasCrashed, hasEnded func(context.Context, fleet.Target) bool
	// keysProven reports whether API keys of the configuration may be accepted.
	keysProven func() bool
	// permits issues the permits of teams with quotas, nil for none.
	permits Permits

	config atomic.Pointer[fleet.Config]
	// isBehind reports whether there is a newer configuration.
	isBehind func() bool
	// closing makes responses close their connections. refusing refuses new requests.
	closing  atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64
	// running ends with Cut.
	running context.Context //nolint:containedctx // ends all requests
	cut     context.CancelFunc
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLogger sets the logger for requests.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.log = l }
}

// WithObserver calls ended at the end of each request. It must not block.
func WithObserver(ended func(Ended)) Option {
	return func(s *Server) { s.onEnded = ended }
}

// WithCrashes sets what knows which requests crash targets, and what finds out whether a
// target at which a request broke off has ended unplanned. The latter waits for no longer
// than a request may be held up.
func WithCrashes(m *crash.Monitor, hasCrashed func(context.Context, fleet.Target) bool) Option {
	return func(s *Server) { s.crashes, s.hasCrashed = m, hasCrashed }
}

// WithEndCheck sets what finds out whether a target has ended, planned or not. It waits for
// no longer than a request may be held up.
func WithEndCheck(hasEnded func(context.Context, fleet.Target) bool) Option {
	return func(s *Server) { s.hasEnded = hasEnded }
}

// WithKeyProof sets what reports whether the API keys of the configuration that was last
// set may be accepted. It is called before each check of a key.
func WithKeyProof(proven func() bool) Option {
	return func(s *Server) { s.keysProven = proven }
}

// WithAccount sets the account of the bytes that requests and answers hold. By default they
// are not limited.
func WithAccount(a *budget.Account) Option {
	return func(s *Server) { s.account = a }
}

// WithBehind sets what reports whether there is a newer configuration than the last one
// of SetConfig. A request without a route or with an unknown API key is then refused for
// the time being, since the newer one may have them.
func WithBehind(isBehind func() bool) Option {
	return func(s *Server) { s.isBehind = isBehind }
}

// WithTransport replaces the HTTP transport to targets.
func WithTransport(t http.RoundTripper) Option {
	return func(s *Server) { s.transport = t }
}

// WithIdleConnections limits the idle connections to all targets together, 0 for the default.
func WithIdleConnections(n int) Option {
	return func(s *Server) {
		if t, ok := s.transport.(*gate.Transport); ok && n > 0 {
			t.MaxIdleConns = n
		}
	}
}

// NewServer returns a server without a configuration. It refuses all requests until
// SetConfig is called.
func NewServer(codec Codec, p *picker.Picker, retries *retry.Budget, t timer.Service, opts ...Option) *Server {
	s := &Server{
		codec: codec, picker: p, budget: retries, timer: t,
		account:    budget.NewAccount(0, time.Now),
		log:        &log.Logger{Level: log.ErrorLevel},
		transport:  gate.NewDialer(gate.WithSilence(targetSilenceTimeout), gate.WithReceiveBuffer(targetBufferBytes)).Transport(nil),
		onEnded:    func(Ended) {},
		isBehind:   func() bool { return false },
		crashes:    crash.NewMonitor(t),
		hasCrashed: func(context.Context, fleet.Target) bool { return false },
		hasEnded:   func(context.Context, fleet.Target) bool { return false },
		keysProven: func() bool { return true },
	}
	s.running, s.cut = context.WithCancel(context.Background())
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetConfig sets the configuration for subsequent requests.
func (s *Server) SetConfig(c *fleet.Config) { s.config.Store(c) }

// CloseConnections makes the server close each connection after its next response.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// Refuse makes the server refuse new requests.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Cut ends the requests in progress. Those without a response get one, which promises that the
// request has not run only if it was not sent. Streams that have begun are cut.
func (s *Server) Cut() { s.cut() }

// Active returns the number of requests in progress.
func (s *Server) Active() int { return int(s.active.Load()) }

// ServeHTTP handles one request.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{s: s, w: w, r: r, conn: http.NewResponseController(w), arrived: s.timer.Now()}
	defer x.dropBody()
	x.extendWrite()
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.logEnd()
	defer x.returnPermit()
	if !x.prepare() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	defer context.AfterFunc(s.running, cancel)()
	x.ctx = ctx
	x.run()
}

// mayLackRoutes reports whether a newer configuration may have routes that this one lacks:
// one is known to exist, or this one was not known to be the newest for so long that not
// even its keys are accepted.
func (s *Server) mayLackRoutes(cfg *fleet.Config) bool {
	return s.isBehind() || cfg.HasTeams() && !s.keysProven()
}

// prepare reads the request and finds its route. If there is nothing to send, it responds
// and returns false.
func (x *exchange) prepare() bool {
	s := x.s
	cfg := s.config.Load()
	if cfg == nil {
		x.refuse(http.StatusServiceUnavailable, "noConfig", noConfigRetryAfter)
		return false
	}
	x.version = cfg.Version
	x.route = matchRoute(cfg, x.r)
	if x.route == nil && s.mayLackRoutes(cfg) {
		x.refuse(http.StatusServiceUnavailable, "configBehind", behindRetryAfter)
		return false
	}
	if x.route == nil {
		x.respond(http.StatusNotFound, "noRoute")
		return false
	}
	call, err := s.codec.Decode(x.r)
	x.call = call
	x.service = x.route.Pick(rand.Float64())
	if keyErr := x.authenticate(); keyErr != nil {
		x.endUnauthenticated(keyErr)
		return false
	}
	if err == nil {
		x.url, err = targetURL(x.r)
	}
	if err != nil {
		x.respond(http.StatusBadRequest, "malformed")
		return false
	}
	x.engine = namesModel(cfg, x.service, call.Model)
	x.setDeadline()
	// The body may take long to arrive.
	return !x.refuseStopping() && x.readBody(cfg.Limits.BodyBytes) && !x.refuseStopping() &&
		!x.refuseBlocked() && !x.refuseSuspect()
}

// refuseStopping refuses the request if the server refuses new requests, and reports whether it
// did.
func (x *exchange) refuseStopping() bool {
	if !x.s.refusing.Load() {
		return false
	}
	x.refuse(http.StatusServiceUnavailable, string(picker.ReasonStopping), stopRetryAfter)
	return true
}

func (x *exchange) setDeadline() {
	x.timeout = timeoutOf(x.route, x.call.Within)
	x.deadline = x.arrived.Add(x.timeout)
}

// respond ends the request with an empty response of this server.
func (x *exchange) respond(status int, reason string) {
	x.setOutcome(status, reason)
	x.extendWrite()
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
	x.discardRest()
}

// refuse ends a request that has not run and never will. A retryAfter of 0 tells the
// caller nothing about when to come back; a shorter time than the resolution would be 0 in
// the header.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	if retryAfter > 0 {
		name, value := x.s.codec.RetryAfter(max(retryAfter, retryAfterResolution))
		x.w.Header().Set(name, value)
	}
	x.respond(status, reason)
}
