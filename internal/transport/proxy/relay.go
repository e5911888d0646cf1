package proxy

import (
	"errors"
	"io"
	"net/http"
	"strconv"

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
	if x.route.Kind == fleet.KindStream && a.resp.StatusCode == http.StatusOK {
		x.relayStream(a)
		return true
	}
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, maxBufferedBytes))
	if err != nil {
		a.err = err
		return x.handleFailed(a)
	}
	if len(body) == maxBufferedBytes {
		x.relayLarge(a, body)
		return true
	}
	if err := x.checkBodyEnd(a); err != nil {
		a.err = err
		return x.handleFailed(a)
	}
	a.flight.Complete()
	a.finish(true, a.reply.outcome(picker.Outcome{Failed: a.resp.StatusCode >= 500, Answered: a.resp.StatusCode < 500}))
	x.copyHeaders(a.resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.setOutcome(a.resp.StatusCode, ReasonAnswered)
	x.w.WriteHeader(a.resp.StatusCode)
	_, _ = x.w.Write(body)
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
func (x *exchange) relayLarge(a *attempt, prefix []byte) {
	x.copyHeaders(a.resp)
	if a.resp.ContentLength >= 0 {
		x.w.Header().Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	x.setOutcome(a.resp.StatusCode, ReasonAnswered)
	x.w.WriteHeader(a.resp.StatusCode)
	err := x.copyRest(a, prefix)
	if err == nil {
		err = x.checkBodyEnd(a)
	}
	if err == nil {
		a.flight.Complete()
	}
	expired := x.ctx.Err() != nil
	failed := !expired && (err != nil || a.resp.StatusCode >= 500)
	a.finish(err == nil, a.reply.outcome(picker.Outcome{Failed: failed, Answered: err == nil && !failed}))
	if err == nil {
		return
	}
	a.err = err
	x.checkTarget(a)
	x.reason = "answerCut"
	x.logDecision(a, "cut")
	x.abortStream()
}

func (x *exchange) copyRest(a *attempt, prefix []byte) error {
	if _, err := x.w.Write(prefix); err != nil {
		return err
	}
	rest := io.Reader(a.resp.Body)
	if a.resp.ContentLength < 0 {
		rest = io.LimitReader(rest, maxUnsizedBytes)
	}
	// The copy has its own buffer, since the caller's connection would allocate a larger
	// one.
	n, err := io.CopyBuffer(struct{ io.Writer }{x.w}, rest, make([]byte, copyBufferBytes))
	if err == nil && a.resp.ContentLength < 0 && n == maxUnsizedBytes {
		return errEndless
	}
	return err
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
