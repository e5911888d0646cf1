package front

import (
	"context"
	"errors"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/state/config"
)

// drainRetryAfter is the advice to callers of an entry that stops: another one
// takes them as soon as the balancer has noticed.
const drainRetryAfter = time.Second

// Paths of the callers' interface.
const (
	pathChat     = "/v1/chat/completions"
	pathModels   = "/v1/models"
	pathServices = "/services/"
)

// Handler serves callers.
type Handler struct {
	Deps
	directories directories
	budgets     *budgets
	delays      *delays
	draining    atomic.Bool
	flying      atomic.Int64
	held        atomic.Int64
}

// New returns a handler over its dependencies.
func New(deps Deps) *Handler {
	if deps.Arrive == nil {
		deps.Arrive = func(string, config.Class) {}
	}
	if deps.Observe == nil {
		deps.Observe = func(Outcome) {}
	}
	if deps.ReadIdle <= 0 {
		deps.ReadIdle = defaultReadIdle
	}
	if deps.WriteIdle <= 0 {
		deps.WriteIdle = defaultWriteIdle
	}
	deps.Bounds = deps.Bounds.withDefaults()
	if deps.NewID == nil {
		deps.NewID = newID
	}
	return &Handler{Deps: deps, budgets: newBudgets(), delays: newDelays()}
}

// Drain refuses new requests from now on; those that are here are finished.
func (h *Handler) Drain() {
	h.draining.Store(true)
	h.Room.Drain()
}

// InFlight returns the number of requests that have not been answered.
func (h *Handler) InFlight() int {
	return int(h.flying.Load())
}

// ServeHTTP answers one request.
func (h *Handler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h.flying.Add(1)
	defer h.flying.Add(-1)
	c := h.begin(w, r)
	defer func() { h.held.Add(-c.held) }()
	problem := c.serve()
	c.end(problem)
}

func (h *Handler) begin(w http.ResponseWriter, r *http.Request) *call {
	now := h.Timer.Now()
	c := &call{h: h, r: r, ctx: r.Context(), start: now, dir: h.directories.of(h.Config())}
	c.out.StartedAt = now
	c.out.RequestID = requestID(r, h.NewID)
	c.w = newAnswer(w, &c.out, h.WriteIdle)
	w.Header().Set(headerRequestID, c.out.RequestID)
	return c
}

// serve returns nil once the caller has its answer, and else what to tell it.
func (c *call) serve() *Problem {
	if c.h.draining.Load() {
		c.w.Header().Set("Connection", "close")
		return refuse(http.StatusServiceUnavailable, admit.ReasonDraining, "the entry is stopping").after(drainRetryAfter)
	}
	if c.h.InFlight() > c.h.Bounds.InFlight {
		return refuse(http.StatusServiceUnavailable, admit.ReasonOverload, "the entry has too many requests in flight").after(inFlightRetryAfter)
	}
	if problem := c.identify(); problem != nil {
		return problem
	}
	path := c.r.URL.Path
	switch {
	case path == pathChat:
		return c.only(http.MethodPost, c.serveChat)
	case path == pathModels:
		return c.only(http.MethodGet, c.serveModels)
	case strings.HasPrefix(path, pathServices):
		c.streamBothWays()
		return c.serveService()
	}
	return refuse(http.StatusNotFound, reasonUnknownPath, "nothing is served at "+quote(path))
}

func (c *call) only(method string, serve func() *Problem) *Problem {
	if c.r.Method == method {
		return serve()
	}
	c.w.Header().Set("Allow", method)
	return refuse(http.StatusMethodNotAllowed, reasonMethod, "use "+method)
}

// limited runs a request under its tenant's limits and its deadline.
func (c *call) limited(serve func() *Problem) *Problem {
	release, refused := c.h.Limits.Admit(c.tenant, c.dir.config.Tenants[c.tenant], c.start)
	if refused != nil {
		return refusal(refused)
	}
	defer release()
	c.h.budgets.earn(c.tenant)
	ctx, cancel := context.WithDeadline(c.ctx, c.cutoff())
	defer cancel()
	c.ctx = ctx
	return serve()
}

// conclude reports the outcome, once. It is called before the end of the answer
// is sent, so that nobody can know of an outcome that is not counted; should the
// end then not reach the caller, the outcome stands.
func (c *call) conclude(problem *Problem) {
	if c.concluded {
		return
	}
	c.concluded = true
	c.out.Elapsed = c.elapsed()
	switch {
	case problem == nil:
		c.out.Status = StatusServed
	case problem.Reason == admit.ReasonCancelled, c.gone() && !problem.callerFault():
		c.out.Status = StatusCancelled
		c.out.Reason = admit.ReasonCancelled
	default:
		c.report(problem)
	}
	c.arrive()
	c.h.Observe(c.out)
}

// end reports the outcome and writes the problem, if there is one.
func (c *call) end(problem *Problem) {
	c.conclude(problem)
	a := c.w.(*answerWriter)
	switch {
	case problem == nil || c.closed:
	case !a.begun:
		problem.write(a, c.out.RequestID)
	default:
		// What the caller has is not the whole answer; a connection that is cut
		// is the only way left to tell.
		panic(http.ErrAbortHandler)
	}
}

func (c *call) report(problem *Problem) {
	c.out.Status = StatusFailed
	if problem.NotRun {
		c.out.Status = StatusRefused
	}
	c.out.Reason = problem.Reason
	c.out.NotRun = problem.NotRun
	c.out.Code = problem.Status
}

// gone tells whether the caller has left.
func (c *call) gone() bool {
	return errors.Is(c.r.Context().Err(), context.Canceled)
}

func (c *call) elapsed() time.Duration {
	return c.h.Timer.Now().Sub(c.start)
}

// cutoff is when work on the answer ends, so that word of it reaches the caller
// before its deadline.
func (c *call) cutoff() time.Time {
	const share, most = 20, 100 * time.Millisecond
	return c.deadline.Add(-min(c.deadline.Sub(c.start)/share, most))
}

func (c *call) left() time.Duration {
	return c.deadline.Sub(c.h.Timer.Now())
}

// streamBothWays lets an answer begin before the request has ended. Without it
// the HTTP/1 server reads up to 256 KB of the request by itself when the answer
// begins and drops them, so that a service which answers while it reads would
// get a body with a hole. Other protocol versions need no permission and say so
// with an error.
func (c *call) streamBothWays() {
	_ = http.NewResponseController(c.w).EnableFullDuplex()
}
