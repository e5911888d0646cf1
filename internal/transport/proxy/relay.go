package proxy

import (
	"errors"
	"net/http"
	"strconv"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/hops"
)

// Limits of an ordinary response.
const (
	// maxBufferedBytes is the size below which a response is read completely before it is
	// relayed, so that the request can be sent again if it breaks off.
	maxBufferedBytes = 128 << 10
	// maxUnsizedBytes limits a response without a known length.
	maxUnsizedBytes = 256 << 20
	copyBufferBytes = 32 << 10
)

var errEndless = errors.New("response exceeds the size limit")

// relay relays a response. It returns false if the request is to be sent again.
func (x *exchange) relay(a *attempt) bool {
	if !x.mayRepeat() {
		x.dropBody()
	}
	if x.route.Kind == fleet.KindStream && a.resp.StatusCode == http.StatusOK {
		x.relayStream(a)
		return true
	}
	var memory budget.Holding
	x.s.account.Open(&memory, budget.Answers, nil)
	defer memory.Close()
	body, whole, err := x.readAnswer(a.resp, &memory)
	if err != nil {
		a.err = err
		return x.handleFailed(a)
	}
	if !whole {
		x.relayLarge(a, body, &memory)
		return true
	}
	if err := x.checkBodyEnd(a); err != nil {
		a.err = err
		return x.handleFailed(a)
	}
	x.dropBody()
	a.flight.Complete()
	a.finish(true, a.reply.outcome(picker.Outcome{Failed: a.resp.StatusCode >= 500, Answered: a.resp.StatusCode < 500}))
	x.copyHeaders(a.resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.setOutcome(a.resp.StatusCode, ReasonAnswered)
	x.extendWrite()
	x.w.WriteHeader(a.resp.StatusCode)
	if e := asCallerError(x.write(body)); e != nil {
		x.reason = e.reason()
	}
	return true
}

// checkBodyEnd returns an error if a body that was read to its end may have broken off. One
// that ends with its connection looks the same if its target has ended in the middle.
func (x *exchange) checkBodyEnd(a *attempt) error {
	if x.isFramed(a.resp) {
		return nil
	}
	if x.s.hasEnded(x.ctx, a.reservation.Target) {
		return errTargetEnded
	}
	// The check may not have come to an end.
	return x.ctx.Err()
}

// isFramed reports whether a response marks the end of its body itself.
func (x *exchange) isFramed(resp *http.Response) bool {
	return resp.ContentLength >= 0 || len(resp.TransferEncoding) > 0 || x.r.Method == http.MethodHead
}

// relayLarge relays a response as it comes, after the prefix that was read. If it breaks
// off, the caller's response is cut as well, since its head has been sent.
func (x *exchange) relayLarge(a *attempt, prefix []byte, memory *budget.Holding) {
	x.dropBody()
	x.copyHeaders(a.resp)
	if a.resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	x.setOutcome(a.resp.StatusCode, ReasonAnswered)
	x.extendWrite()
	x.w.WriteHeader(a.resp.StatusCode)
	err := x.write(prefix)
	memory.Release(memory.Bytes())
	if err == nil {
		err = x.copyAnswer(a.resp, memory)
	}
	if err == nil {
		err = x.checkBodyEnd(a)
	}
	if err == nil {
		a.flight.Complete()
	}
	caller := asCallerError(err)
	blamed := caller == nil && x.ctx.Err() == nil
	failed := blamed && (err != nil || a.resp.StatusCode >= 500)
	a.finish(err == nil, a.reply.outcome(picker.Outcome{Failed: failed, Answered: err == nil && !failed}))
	if err == nil {
		return
	}
	a.err = err
	x.reason = "answerCut"
	if caller != nil {
		a.flight.End()
		x.reason = caller.reason()
	} else {
		x.checkTarget(a)
	}
	x.logDecision(a, "cut")
	x.abortStream()
}

// copyHeaders copies the target's response headers to the caller's response.
func (x *exchange) copyHeaders(resp *http.Response) {
	header := resp.Header
	hops.Drop(header)
	out := x.w.Header()
	for name, values := range header {
		out[name] = values
	}
	if _, ok := header["Date"]; !ok {
		out["Date"] = nil
	}
}
