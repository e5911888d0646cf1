package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// relayStream relays a stream of events. Only complete events are relayed, so that a
// stream that breaks off can continue at another target between two events.
func (x *exchange) relayStream(a *attempt) {
	x.copyHeaders(a.resp)
	x.w.Header().Del("Content-Length")
	x.setOutcome(http.StatusOK, "streaming")
	x.extendWrite()
	x.w.WriteHeader(http.StatusOK)
	_ = x.flush()
	x.timeToFirst = x.s.timer.Now().Sub(x.arrived)
	last := x.call.LastEvent
	var memory budget.Holding
	x.s.account.Open(&memory, budget.Streams, nil)
	defer memory.Close()
	for {
		var err error
		last, err = x.relayEvents(a, last, &memory)
		if err == nil {
			x.reason = ReasonAnswered
			a.flight.Complete()
			a.finish(true, picker.Outcome{})
			return
		}
		if reason := localFailure(err); reason != "" {
			x.endLocally(a, err, reason)
			return
		}
		next := x.resume(a, last, err)
		if next == nil {
			x.abortStream()
			return
		}
		a = next
	}
}

// localFailure returns the reason of a stream that ends for no fault of its target: the
// caller does not read it, or there is no memory for its next event.
func localFailure(err error) string {
	if e := asCallerError(err); e != nil {
		return e.reason()
	}
	if errors.Is(err, errNoMemory) {
		return reasonMemory
	}
	return ""
}

// endLocally cuts a stream. Nothing is held against its target, whose request is cancelled.
func (x *exchange) endLocally(a *attempt, err error, reason string) {
	a.err = err
	a.call.Seal()
	a.flight.End()
	a.finish(false, picker.Outcome{})
	x.reason = reason
	x.logDecision(a, "cut")
	x.abortStream()
}

// relayEvents relays complete events until the stream ends, and returns the ID of the
// last one. The buffer is charged to memory.
func (x *exchange) relayEvents(a *attempt, last string, memory *budget.Holding) (string, error) {
	a.reservation.ResponseBegan()
	if a.reply.LoadKnown {
		a.reservation.SetReportedLoad(a.reply.Running, a.reply.Waiting)
		a.reservation.SetReportedPace(a.reply.Pace)
	}
	// What was relayed must reach the caller however the stream ends.
	defer func() { _ = x.flush() }()
	relayed := false
	if !x.awaitMemory(memory, initialBufferBytes) {
		return last, errNoMemory
	}
	defer func() { memory.Release(memory.Bytes()) }()
	reader := newEventReader(a.resp.Body, x.s.timer, stallTimeout(x.route))
	reader.reserve = func(n int64) bool { return x.awaitMemory(memory, n) }
	reader.release = memory.Release
	for {
		event, err := reader.next()
		if errors.Is(err, io.EOF) {
			return last, x.checkStreamEnd(a, relayed)
		}
		if err != nil {
			return last, err
		}
		if isResponseHead(event) {
			return last, errNotEvent
		}
		id := eventID(event)
		if id != "" && !follows(last, id) {
			continue
		}
		if id != "" || hasData(event) {
			x.recordEventGap()
			reader.markProgress()
			a.flight.Progress()
		}
		if err := x.write(event); err != nil {
			return last, err
		}
		relayed = true
		if id != "" {
			last = id
		}
		if reader.hasNext() {
			continue
		}
		if err := x.flush(); err != nil {
			return last, err
		}
	}
}

// checkStreamEnd returns an error if a stream that has ended between two events may have
// broken off.
func (x *exchange) checkStreamEnd(a *attempt, relayed bool) error {
	if !relayed && !x.isFramed(a.resp) {
		return errNoEvents
	}
	return x.checkBodyEnd(a)
}

// recordEventGap records the longest time between two events.
func (x *exchange) recordEventGap() {
	now := x.s.timer.Now()
	if !x.lastEventAt.IsZero() {
		x.maxEventGap = max(x.maxEventGap, now.Sub(x.lastEventAt))
	}
	x.lastEventAt = now
}

// follows reports whether an event comes after the last one that was relayed.
func follows(last, id string) bool {
	have, err1 := strconv.ParseInt(last, 10, 64)
	next, err2 := strconv.ParseInt(id, 10, 64)
	return err1 != nil || err2 != nil || next > have
}

// resume sends a broken stream's request to another target, which continues after the
// last event. It returns nil if that is not possible.
func (x *exchange) resume(a *attempt, last string, cause error) *attempt {
	a.err = cause
	expired := x.ctx.Err() != nil
	a.call.Seal()
	a.finish(false, picker.Outcome{Failed: !expired})
	x.exclude(a)
	x.checkTarget(a)
	if expired {
		x.reason = reasonCallerLeft
		if x.r.Context().Err() == nil {
			x.reason = x.expiryReason()
		}
		return nil
	}
	for x.spendRetry() {
		x.logDecision(a, "resume")
		next, err := x.sendNext(last)
		if err != nil {
			break
		}
		if x.isContinuation(next) {
			return next
		}
		next.flight.End()
		keyLost := next.keyLost.Load()
		x.abandon(next, picker.Outcome{Failed: next.err != nil && !keyLost, Rejected: next.notRun && !keyLost})
		x.exclude(next)
	}
	x.logDecision(a, "cut")
	x.reason = "streamCut"
	if x.block != nil {
		x.reason = reasonBlocked
	}
	return nil
}

// isContinuation reports whether a response goes on with the stream that has begun. Of any
// other nothing may reach the caller, who is in the middle of a body.
func (x *exchange) isContinuation(a *attempt) bool {
	began := mediaType(x.w.Header())
	return a.err == nil && !a.notRun && a.resp.StatusCode == http.StatusOK &&
		(began == "" || began == mediaType(a.resp.Header))
}

// mediaType returns the media type of a body in lower case, without parameters.
func mediaType(h http.Header) string {
	media, _, _ := strings.Cut(h.Get("Content-Type"), ";")
	return strings.ToLower(strings.TrimSpace(media))
}

// abortStream ends a stream that has begun so that the caller sees that it is not
// complete. A caller without chunked encoding would take the end of the connection for the
// end of the body, so the connection is reset.
func (x *exchange) abortStream() {
	if x.r.ProtoAtLeast(1, 1) {
		panic(http.ErrAbortHandler)
	}
	conn, _, err := http.NewResponseController(x.w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	if tcp, ok := conn.(interface{ SetLinger(sec int) error }); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
