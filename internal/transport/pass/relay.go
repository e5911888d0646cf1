package pass

import (
	"io"
	"net/http"
	"strconv"

	"chivecroft.example/chivecroft/internal/coordination/seat"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/transport/hops"
)

// wholeBytes bounds an answer that is read whole before it is passed on.
const wholeBytes = 16 << 20

// relay passes an answer on; it returns false if the request is to be sent again.
func (x *exchange) relay(a *sent) bool {
	if x.route.Kind == fleet.KindStream && a.resp.StatusCode == http.StatusOK {
		x.stream(a)
		return true
	}
	body, err := io.ReadAll(io.LimitReader(a.resp.Body, wholeBytes))
	if err != nil {
		a.err = err
		return x.broken(a)
	}
	a.resp.Body.Close()
	a.call.Release()
	a.stop()
	failed := a.resp.StatusCode >= 500
	a.seat.Done(seat.Outcome{
		Failed: failed, LoadKnown: a.reply.LoadKnown, Running: a.reply.Running, Waiting: a.reply.Waiting,
	})
	x.head(a.resp)
	x.w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	x.note(a.resp.StatusCode, ReasonAnswered)
	x.w.WriteHeader(a.resp.StatusCode)
	_, _ = x.w.Write(body)
	return true
}

// head copies the target's headers to the caller.
func (x *exchange) head(resp *http.Response) {
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
