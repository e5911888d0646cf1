package pass

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/retry"
	"chivecroft.example/chivecroft/internal/coordination/seat"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Bounds of requests.
const (
	// defaultWithin is the time of a request whose caller and route name none.
	defaultWithin = 30 * time.Second
	// defaultBodyBytes bounds a body while no configuration says otherwise.
	defaultBodyBytes = 4 << 20
	// answerReserve is the time that a waiting request keeps for its answer, as a
	// share of its whole time and at most answerReserveMost.
	answerReserve     = 0.1
	answerReserveMost = time.Second
	// targetSilence is how long a target's machine may leave bytes unacknowledged.
	targetSilence = 2 * time.Second
	// startRetryAfter is the advice of an instance without a configuration.
	startRetryAfter = time.Second
	// stopRetryAfter is the advice of an instance that stops.
	stopRetryAfter = 100 * time.Millisecond
)

// Server takes callers' requests; it is an http.Handler.
type Server struct {
	codec     Codec
	board     *seat.Board
	budget    *retry.Budget
	timer     timer.Service
	log       *log.Logger
	transport http.RoundTripper
	ended     func(Ended)

	config atomic.Pointer[fleet.Config]
	// closing makes answers close their connections, refusing turns new requests away.
	closing  atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64
}

// Option changes a Server under construction.
type Option func(*Server)

// WithLogger sets where decisions on requests are logged.
func WithLogger(l *log.Logger) Option {
	return func(s *Server) { s.log = l }
}

// WithObserver hands the end of each request to ended, which must not block.
func WithObserver(ended func(Ended)) Option {
	return func(s *Server) { s.ended = ended }
}

// WithTransport replaces the connections to targets.
func WithTransport(t http.RoundTripper) Option {
	return func(s *Server) { s.transport = t }
}

// NewServer returns a server without a configuration; it refuses all requests
// until SetConfig is called.
func NewServer(codec Codec, board *seat.Board, budget *retry.Budget, t timer.Service, opts ...Option) *Server {
	s := &Server{
		codec: codec, board: board, budget: budget, timer: t,
		log:       &log.Logger{Level: log.ErrorLevel},
		transport: gate.NewDialer(gate.WithSilence(targetSilence)).Transport(nil),
		ended:     func(Ended) {},
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetConfig puts a configuration in force for the requests that come from now on.
func (s *Server) SetConfig(c *fleet.Config) { s.config.Store(c) }

// CloseConnections makes each answer the last on its connection.
func (s *Server) CloseConnections() { s.closing.Store(true) }

// Refuse turns requests away from now on.
func (s *Server) Refuse() { s.refusing.Store(true) }

// Active returns the number of requests under way.
func (s *Server) Active() int { return int(s.active.Load()) }

// ServeHTTP carries one request to its end.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Add(-1)
	x := &exchange{s: s, w: w, r: r, arrived: s.timer.Now()}
	if s.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	defer x.conclude()
	if !x.open() {
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), x.deadline)
	defer cancel()
	x.ctx = ctx
	x.run()
}

// open reads the request and finds its route; it answers and returns false if
// there is nothing to be sent.
func (x *exchange) open() bool {
	s := x.s
	cfg := s.config.Load()
	if cfg == nil {
		x.refuse(http.StatusServiceUnavailable, "noConfig", startRetryAfter)
		return false
	}
	x.version = cfg.Version
	x.route = cfg.Match(x.r.Host, x.r.URL.Path)
	if x.route == nil {
		x.answer(http.StatusNotFound, "noRoute")
		return false
	}
	call, err := s.codec.Decode(x.r)
	x.call = call
	if err != nil {
		x.answer(http.StatusBadRequest, "malformed")
		return false
	}
	x.service = x.route.Pick(rand.Float64())
	x.engine = cfg.Services[x.service].Engine != nil && call.Model != ""
	x.setDeadline()
	if s.refusing.Load() {
		x.refuse(http.StatusServiceUnavailable, string(seat.ReasonStopping), stopRetryAfter)
		return false
	}
	return x.readBody(cfg.Limits.BodyBytes)
}

func (x *exchange) setDeadline() {
	within := defaultWithin
	if x.call.Within > 0 {
		within = x.call.Within
	}
	if x.route.Timeout > 0 {
		within = min(within, x.route.Timeout)
	}
	x.within = within
	x.deadline = x.arrived.Add(within)
}

func (x *exchange) readBody(limit int64) bool {
	if limit <= 0 {
		limit = defaultBodyBytes
	}
	if x.r.ContentLength > limit {
		x.answer(http.StatusRequestEntityTooLarge, "tooLarge")
		return false
	}
	body, err := io.ReadAll(io.LimitReader(x.r.Body, limit+1))
	switch {
	case err != nil:
		// Nothing can be answered to a request that was cut off.
		x.note(0, "bodyCut")
		panic(http.ErrAbortHandler)
	case int64(len(body)) > limit:
		x.answer(http.StatusRequestEntityTooLarge, "tooLarge")
		return false
	}
	x.body = body
	return true
}

// answer ends the request with a status of the system's own.
func (x *exchange) answer(status int, reason string) {
	x.note(status, reason)
	x.w.Header().Set("Content-Length", "0")
	x.w.WriteHeader(status)
}

// refuse ends a request that has not run and never will.
func (x *exchange) refuse(status int, reason string, retryAfter time.Duration) {
	name, value := x.s.codec.RetryAfter(retryAfter)
	x.w.Header().Set(name, value)
	x.answer(status, reason)
}
