package proxy

import (
	"context"
	"errors"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// reasonBlocked is the reason of a request with a part that crashes targets.
const reasonBlocked = string(picker.ReasonBlocked)

// reasonSuspect is the reason of a request that another one with the same part is tried
// before, suspectRetryAfter the time in which that is usually decided.
const (
	reasonSuspect     = "suspectPart"
	suspectRetryAfter = time.Second
)

// errSuspect is the error of a send that was not made since another one has to be awaited.
var errSuspect = errors.New("another request with a part that may crash targets is in flight")

// errBlocked is the error of a send that was stopped, or not made, because a part of the
// prompt crashes targets.
var errBlocked = errors.New("a part of the prompt crashes targets")

// crashRequest returns what the request may have in common with others that crash
// targets.
func (x *exchange) crashRequest() crash.Request {
	return crash.Request{Service: x.service, Model: x.call.Model, Adapter: x.call.Adapter, Parts: x.call.Parts}
}

// refuseBlocked refuses the request if a part of its prompt crashes targets, and reports
// whether it did.
func (x *exchange) refuseBlocked() bool {
	r := x.crashRequest()
	b := x.s.crashes.Blocking(&r)
	if b == nil {
		return false
	}
	x.block = b
	x.endUnanswered(reasonBlocked, x.untilTrial())
	return true
}

// refuseSuspect refuses the request if another one with a part that may crash targets has
// to be awaited first, and reports whether it did.
func (x *exchange) refuseSuspect() bool {
	r := x.crashRequest()
	if !x.s.crashes.MustWait(&r) {
		return false
	}
	x.endUnanswered(reasonSuspect, suspectRetryAfter)
	return true
}

// untilTrial returns the time for which the block of the request is certain to last, or in
// which its trial is decided if that is due; 0 if only an operator can say.
func (x *exchange) untilTrial() time.Duration {
	at, ok := x.block.TrialAt()
	if !ok {
		return 0
	}
	return max(at.Sub(x.s.timer.Now()), suspectRetryAfter)
}

// admit returns errBlocked if the request has been blocked while it was queued, and
// errSuspect if another one has to be awaited.
func (x *exchange) admit(reservation *picker.Reservation) error {
	r := x.crashRequest()
	if x.s.crashes.MustWait(&r) {
		reservation.Release(picker.Outcome{})
		return errSuspect
	}
	b := x.s.crashes.Admit(&r)
	if b == nil {
		return nil
	}
	x.block = b
	reservation.Release(picker.Outcome{})
	return errBlocked
}

// startFlight registers a send, which is cancelled if the request is blocked before its
// answer has begun.
func (x *exchange) startFlight(a *attempt) {
	a.flight = x.s.crashes.Start(x.crashRequest(), a.reservation.Target.Identity, func(b crash.Block) {
		a.blocked.Store(&b)
		a.cancel()
	})
}

// checkTarget finds out whether the target of a request that broke off has crashed, and
// whether the request itself may be to blame. Then it must not be sent again.
func (x *exchange) checkTarget(a *attempt) {
	defer a.flight.End()
	if b := a.blocked.Load(); b != nil {
		x.block, x.mustNotSend = b, true
		return
	}
	if a.flight.IsProved() || x.ctx.Err() != nil || !isBroken(a.err) {
		return
	}
	a.targetEnded = x.s.hasCrashed(x.ctx, a.reservation.Target)
	if a.targetEnded {
		x.mustNotSend = !a.flight.Broke()
	}
}

// isBroken reports whether an error may mean that the connection broke, rather than that
// what came over it was wrong.
func isBroken(err error) bool {
	for _, wrong := range []error{
		gate.ErrInvalidHead, errForeignResponse, errUnclearRejection, errUnsigned, errEventTooLong, errStalled, errEndless, errInterim,
		context.Canceled, context.DeadlineExceeded,
	} {
		if errors.Is(err, wrong) {
			return false
		}
	}
	return true
}

// blockFlag tells an exchange, from another goroutine, that its request is blocked.
type blockFlag = atomic.Pointer[crash.Block]
