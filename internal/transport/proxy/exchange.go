package proxy

import (
	"context"
	"errors"
	"io"
	"net/http"
	"net/url"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/gate"
	"chivecroft.example/chivecroft/internal/transport/hops"
)

// maxSends limits the sends of one request, including those that did not run.
const maxSends = 6

// fullRetryAfter is the Retry-After when targets were full.
const fullRetryAfter = 500 * time.Millisecond

// exchange is the handling of one caller's request.
type exchange struct {
	s   *Server
	w   http.ResponseWriter
	r   *http.Request
	ctx context.Context //nolint:containedctx // the context of the request
	// conn sets deadlines of the caller's connection, writeUntil is the one for writes.
	conn       *http.ResponseController
	writeUntil time.Time
	arrived    time.Time
	version    int64

	route *fleet.Route
	credentials
	service string
	engine  bool
	call    Call
	// url has the path and query of the request and no host.
	url      url.URL
	timeout  time.Duration
	deadline time.Time

	body       payload
	bodyMemory budget.Holding
	// bodyRead reports whether the whole body has been read. revoked is set when its bytes
	// are needed elsewhere, stalled if it had stopped to arrive.
	bodyRead         bool
	revoked, stalled atomic.Bool

	sends int
	// possibleRuns counts the sends after which the request may have run.
	possibleRuns int
	tried        []fleet.Identity
	target       string
	sentAt       time.Time
	queueTime    time.Duration

	status      int
	reason      string
	timeToFirst time.Duration
	// lastEventAt is when the latest event came, maxEventGap the longest time between
	// two.
	lastEventAt time.Time
	maxEventGap time.Duration
	// load is the estimated number of requests at the target when it was chosen.
	load float64
	// block is the block that the request was refused or stopped for, mustNotSend means
	// that the request may have crashed its target and must not be sent to another one.
	block       *crash.Block
	mustNotSend bool
	// limit is the rate limit that decided where the request went or that it was refused.
	limit picker.Limit
	// quota is what the request has of its team's quota.
	quota quotaUse
}

// attempt is one send to a target with its response or error.
type attempt struct {
	reservation *picker.Reservation
	call        *gate.Call
	cancel      context.CancelFunc
	resp        *http.Response
	reply       Reply
	// notRun reports that the request has not run at the target and never will.
	notRun bool
	err    error
	// flight is the request's entry among those that may crash targets, nil if it has no
	// parts. blocked is set when the request is stopped.
	flight  *crash.Flight
	blocked blockFlag
	// keyLost is set when the send is stopped because its key may no longer be used.
	keyLost atomic.Bool
	// targetEnded reports that the target has ended before the answer was complete.
	targetEnded bool
}

// run sends the request until a target responds, and relays the response.
func (x *exchange) run() {
	x.s.budget.Earn(x.service, x.s.timer.Now())
	for {
		a, err := x.sendNext("")
		if err != nil {
			x.fail(err)
			return
		}
		if x.handle(a) {
			return
		}
	}
}

// sendNext waits for a reservation and sends the request to its target.
func (x *exchange) sendNext(lastEvent string) (*attempt, error) {
	if err := x.acquirePermit(); err != nil {
		return nil, err
	}
	reservation, err := x.s.picker.Acquire(x.ctx, x.pickerRequest())
	if err != nil {
		return nil, err
	}
	if err := x.authenticate(); err != nil {
		reservation.Release(picker.Outcome{})
		return nil, err
	}
	if err := x.admit(reservation); err != nil {
		return nil, err
	}
	if err := x.renewPermit(reservation); err != nil {
		return nil, err
	}
	x.queueTime += reservation.Waited
	x.sends++
	return x.send(reservation, lastEvent), nil
}

func (x *exchange) pickerRequest() picker.Request {
	q := picker.Request{
		Service: x.service, Team: x.teamName(), Priority: x.priority(), Goal: x.route.Goal, Arrived: x.arrived,
		Deadline: queueDeadline(x.deadline, x.timeout), Exclude: x.tried,
	}
	if x.engine {
		q.Model, q.Adapter = x.call.Model, x.call.Adapter
	}
	q.Parts = x.call.Parts
	q.WaitUntil = waitUntil(x.route, x.arrived, x.lastEventAt)
	if x.team != nil {
		q.Amount, q.Weight = x.team.Amount(x.call.PromptTokens+x.call.MaxTokens), x.team.Rate
	}
	return q
}

func (x *exchange) send(reservation *picker.Reservation, lastEvent string) *attempt {
	ctx, cancel := context.WithCancel(x.ctx)
	a := &attempt{reservation: reservation, cancel: cancel}
	ctx, call := gate.Track(ctx, x.guardKey(a))
	a.call = call
	ctx, head := watchHead(ctx, x.s.timer, cancel)
	defer head.close()
	x.startFlight(a)
	x.target = reservation.Target.ID
	x.sentAt = x.s.timer.Now()
	x.load = reservation.Load
	x.limit = reservation.Limit
	resp, err := x.s.transport.RoundTrip(x.newRequest(ctx, reservation, lastEvent)) //nolint:bodyclose // closed when the response is relayed or abandoned
	if err != nil {
		a.notRun = !call.Seal()
		a.err = err
	} else {
		a.resp = resp
		a.reply = x.s.codec.Incoming(resp)
		x.checkResponse(a)
		x.applyNotices(a)
	}
	if !a.notRun {
		x.possibleRuns++
	}
	x.quota.isSent = x.quota.isSent || a.resp != nil || !a.notRun
	return a
}

// applyNotices applies what the target announces about itself at once, since other
// requests may be about to be sent there.
func (x *exchange) applyNotices(a *attempt) {
	if a.reply.Elsewhere {
		return
	}
	signal := picker.Signal{Leaving: a.reply.Leaving, Backoff: a.reply.Rest}
	if !errors.Is(a.err, errForeignResponse) {
		signal.Limit, signal.Ran, signal.SentAt = &a.reply.Limit, a.reply.Signed, x.sentAt
	}
	if a.reservation.ApplySignal(signal) {
		x.s.log.Info().Str("request", x.call.ID).Str("target", a.reservation.Target.ID).
			Bool("leaving", a.reply.Leaving).Dur("rest", a.reply.Rest).Msg("target notice")
	}
}

var errForeignResponse = errors.New("response belongs to another request")

var errUnclearRejection = errors.New("status promises that the request has not run, but the response has no header that says so")

var errUnsigned = errors.New("response has no signature or is encoded")

// checkResponse sets the error or notRun of a response that cannot be relayed.
func (x *exchange) checkResponse(a *attempt) {
	success := a.resp.StatusCode >= 200 && a.resp.StatusCode < 300
	// A rejection may lack the ID; then it must not be a late copy of an earlier one.
	own := a.reply.ID == x.call.ID || a.reply.NotRun && a.reply.ID == "" && a.call.Fresh()
	switch {
	case !own:
		a.err = errForeignResponse
	case a.reply.NotRun:
		a.notRun = true
	case success && (!a.reply.Signed || a.resp.Header.Get("Content-Encoding") != ""):
		a.err = errUnsigned
	case promisesNotRun(a.resp.StatusCode) && !a.reply.Signed:
		a.err = errUnclearRejection
	}
}

// promisesNotRun reports whether a status promises a caller that the request has not run.
func promisesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest,
		http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

func (x *exchange) newRequest(ctx context.Context, reservation *picker.Reservation, lastEvent string) *http.Request {
	// A caller's Connection header may name any header, so that it must have no effect on
	// those that are set here.
	in := x.r.Header.Clone()
	hops.Drop(in)
	header := x.s.codec.Outgoing(in, Send{
		Target: reservation.Target.ID, Within: x.deadline.Sub(x.s.timer.Now()),
		Engine: x.engine, Priority: x.priority(), LastEvent: lastEvent,
		HasTeams: x.hasTeams, Team: x.teamName(),
	})
	header.Del("Expect")
	if _, ok := header["User-Agent"]; !ok {
		// An empty value keeps the client from adding its own.
		header.Set("User-Agent", "")
	}
	to := x.url
	to.Host = reservation.Target.Addr.String()
	req := &http.Request{
		Method: x.r.Method, Host: x.r.Host, Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		URL: &to, Header: header, ContentLength: x.body.size,
	}
	if x.body.size > 0 {
		req.Body = x.body.reader()
		// The transport asks for the body again if a kept connection fails before
		// anything was written. Otherwise it reports the failure.
		req.GetBody = func() (io.ReadCloser, error) { return x.body.reader(), nil }
	} else if x.r.Method != http.MethodGet {
		req.Body = http.NoBody
	}
	return req.WithContext(ctx)
}

// handle relays a response or decides whether the request is sent again. It returns true
// once the caller has a response.
func (x *exchange) handle(a *attempt) bool {
	switch {
	case a.notRun && a.keyLost.Load():
		return x.handleKeyLost(a)
	case a.notRun:
		return x.handleRejected(a)
	case a.err != nil:
		return x.handleFailed(a)
	case a.resp.StatusCode >= 500 && x.route.Kind == fleet.KindSafe && x.spendRetry():
		a.flight.End()
		x.abandon(a, picker.Outcome{})
		x.exclude(a)
		return false
	}
	return x.relay(a)
}

// handleRejected handles a request that has not run at its target. It needs no retry
// budget if nothing was written, since then it never reached the target.
func (x *exchange) handleRejected(a *attempt) bool {
	a.flight.End()
	unreachable := a.err != nil && x.ctx.Err() == nil
	x.abandon(a, picker.Outcome{Unreachable: unreachable, Failed: unreachable, Rejected: a.resp != nil})
	if a.reply.Elsewhere || unreachable {
		x.exclude(a)
	}
	if x.ctx.Err() != nil {
		x.fail(x.ctx.Err())
		return true
	}
	if x.sends < maxSends && (a.resp == nil || x.s.budget.Spend(x.service, x.s.timer.Now())) {
		x.logDecision(a, "sendElsewhere")
		return false
	}
	x.endUnanswered("full", fullRetryAfter)
	return true
}

// handleFailed handles a request that may have run and has no valid response.
func (x *exchange) handleFailed(a *attempt) bool {
	expired := x.ctx.Err() != nil
	x.abandon(a, picker.Outcome{Failed: !expired})
	x.exclude(a)
	x.checkTarget(a)
	if expired {
		x.fail(x.ctx.Err())
		return true
	}
	if x.spendRetry() {
		x.logDecision(a, "repeat")
		return false
	}
	x.logDecision(a, "lost")
	reason := "lostAnswer"
	if x.block != nil {
		reason = reasonBlocked
	}
	x.endUnanswered(reason, 0)
	return true
}

// spendRetry reports whether a request that may have run is sent again, and takes the
// retry from the budget.
func (x *exchange) spendRetry() bool {
	now := x.s.timer.Now()
	if x.mustNotSend || !x.route.Repeatable() || x.possibleRuns >= x.route.MaxAttempts || x.sends >= maxSends {
		return false
	}
	// A retry with less time than the previous send took would hardly finish.
	if x.route.Kind != fleet.KindStream && x.deadline.Sub(now) < now.Sub(x.sentAt) {
		return false
	}
	return x.s.budget.Spend(x.service, now)
}

func (x *exchange) exclude(a *attempt) {
	x.tried = append(x.tried, a.reservation.Target.Identity)
}

// abandon ends a send whose response is not used.
func (x *exchange) abandon(a *attempt, out picker.Outcome) {
	if a.resp != nil {
		x.discardBody(a)
	}
	a.cancel()
	a.reservation.Release(a.reply.outcome(out))
}

// discardBody ends a response that is not used, and its connection. Even after a rejection
// that was read completely the connection is not reused: if the request came over it once
// more, a late copy of the rejection would be taken for its response.
func (x *exchange) discardBody(a *attempt) {
	a.resp.Body.Close()
	a.call.Seal()
}

// finish ends a send whose response was relayed. Its connection can be reused only after
// a complete response.
func (a *attempt) finish(whole bool, out picker.Outcome) {
	a.resp.Body.Close()
	if whole {
		a.call.Release()
	}
	a.cancel()
	a.reservation.Release(out)
}

// fail ends a request that got no reservation, or whose deadline is over.
func (x *exchange) fail(err error) {
	var refusal *picker.Refusal
	var denial *quotaError
	switch {
	case x.r.Context().Err() != nil:
		x.setOutcome(0, reasonCallerLeft)
		panic(http.ErrAbortHandler)
	case errors.As(err, &refusal):
		x.limit = refusal.Limit
		if refusal.Reason == picker.ReasonBlocked && x.refuseBlocked() {
			return
		}
		x.endUnanswered(string(refusal.Reason), refusal.RetryAfter)
	case errors.As(err, &denial):
		x.refuseQuota(denial)
	case errors.Is(err, errBlocked):
		x.endUnanswered(reasonBlocked, x.untilTrial())
	case errors.Is(err, errStaleKeys), errors.Is(err, errUnknownKey):
		x.endUnauthenticated(err)
	case errors.Is(err, errSuspect):
		x.endUnanswered(reasonSuspect, suspectRetryAfter)
	default:
		x.endUnanswered(x.expiryReason(), fullRetryAfter)
	}
}

// expiryReason is the reason of a request that has ended with its context, but whose caller has
// not left.
func (x *exchange) expiryReason() string {
	if x.s.running.Err() != nil {
		return string(picker.ReasonStopping)
	}
	return string(picker.ReasonDeadline)
}

// endUnanswered ends a request without a target's response. Only a request that cannot
// have run anywhere is refused with 503; any other status makes no promise about that.
func (x *exchange) endUnanswered(reason string, retryAfter time.Duration) {
	switch {
	case x.possibleRuns == 0:
		x.refuse(http.StatusServiceUnavailable, reason, retryAfter)
	case x.ctx.Err() != nil:
		x.respond(http.StatusGatewayTimeout, reason)
	default:
		x.respond(http.StatusBadGateway, reason)
	}
}
