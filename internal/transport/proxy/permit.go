package proxy

import (
	"context"
	"net/http"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/usage"
)

const (
	// reasonNoPermit is the reason of a request for which no holder issued a permit in time,
	// noPermitRetryAfter the time in which there usually is another holder.
	reasonNoPermit     = "noPermit"
	noPermitRetryAfter = time.Second
	// maxPermitWait limits how long a request waits for a permit. A longer line would make
	// all answers of the team late and admit no more requests.
	maxPermitWait = time.Second
	// retryAfterResolution is the resolution of Retry-After.
	retryAfterResolution = 10 * time.Millisecond
	// permitGoalShare is the part of a route's goal that may be spent on the wait.
	permitGoalShare = 0.5
)

// Permits issues the permits of teams with quotas.
type Permits interface {
	// Acquire waits for a permit whose start has come, at most for patience.
	Acquire(ctx context.Context, d usage.Demand, patience time.Duration) (usage.Outcome, error)
	// IsValid reports whether a permit has not expired.
	IsValid(p usage.Permit) bool
	// Return takes back a permit whose request has not run and will not.
	Return(p usage.Permit)
}

// WithPermits sets what issues the permits of teams with quotas.
func WithPermits(p Permits) Option {
	return func(s *Server) { s.permits = p }
}

// quotaUse is what a request has of its team's quota.
type quotaUse struct {
	amount  float64
	outcome usage.Outcome
	waited  time.Duration
	// isHeld means that outcome has a permit, isSent that the request has reached a target
	// under it.
	isHeld, isSent bool
}

// quotaError is the error of a request that got no permit.
type quotaError struct{ outcome usage.Outcome }

func (e *quotaError) Error() string { return "no permit: " + e.outcome.Status.String() }

// acquirePermit waits for a permit if the request needs one and has none. Repeats of a
// request need no further permit.
func (x *exchange) acquirePermit() error {
	if x.s.permits == nil || !x.team.HasQuota() || x.quota.isHeld {
		return nil
	}
	x.quota.amount = x.team.Amount(x.call.PromptTokens + x.call.MaxTokens)
	began := x.s.timer.Now()
	out, err := x.s.permits.Acquire(x.ctx, usage.Demand{
		Team: x.team.Name, Amount: x.quota.amount, Priority: x.priority(),
	}, x.permitPatience(began))
	x.quota.waited += x.s.timer.Now().Sub(began)
	if err != nil {
		return err
	}
	x.quota.outcome = out
	if out.Status != usage.Granted {
		return &quotaError{out}
	}
	x.quota.isHeld = true
	return nil
}

// renewPermit replaces a permit that has expired while the request was queued for a target.
func (x *exchange) renewPermit(reservation *picker.Reservation) error {
	if !x.quota.isHeld || x.quota.isSent || x.s.permits.IsValid(x.quota.outcome.Permit) {
		return nil
	}
	x.returnPermit()
	err := x.acquirePermit()
	if err != nil {
		reservation.Release(picker.Outcome{})
	}
	return err
}

// returnPermit returns the permit of a request that has not run and will not.
func (x *exchange) returnPermit() {
	if !x.quota.isHeld || x.possibleRuns > 0 {
		return
	}
	x.quota.isHeld = false
	x.s.permits.Return(x.quota.outcome.Permit)
}

// permitPatience returns how long the request may wait for a permit.
func (x *exchange) permitPatience(now time.Time) time.Duration {
	patience := min(x.pickerRequest().Deadline.Sub(now), maxPermitWait)
	if x.route.Goal > 0 {
		patience = min(patience, time.Duration(permitGoalShare*float64(x.route.Goal)))
	}
	return max(patience, 0)
}

// refuseQuota refuses a request without a permit.
func (x *exchange) refuseQuota(e *quotaError) {
	switch {
	case x.possibleRuns > 0 || e.outcome.Status == usage.NoHolder:
		x.endUnanswered(reasonNoPermit, noPermitRetryAfter)
	case e.outcome.Status == usage.OverBurst:
		x.refuse(http.StatusTooManyRequests, e.outcome.Status.String(), 0)
	default:
		// Rounded up, so that a caller does not come too early.
		retryAfter := e.outcome.RetryAfter.Truncate(retryAfterResolution) + retryAfterResolution
		x.refuse(http.StatusTooManyRequests, e.outcome.Status.String(), retryAfter)
	}
}

// logQuota adds the use of the team's quota to the request's last log line.
func (x *exchange) logQuota(line *log.Entry) *log.Entry {
	if x.quota.amount == 0 {
		return line
	}
	out := &x.quota.outcome
	return line.Float64("amount", x.quota.amount).Dur("quotaWait", x.quota.waited).
		Float64("share", out.Share).Str("quota", out.Status.String()).Bool("alone", out.IsAlone).
		Dur("quotaRetryAfter", out.RetryAfter)
}
