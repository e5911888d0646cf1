package edge

import (
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/platform"
)

// checkResult is the result of the check immediately before an order is written.
type checkResult uint8

const (
	// checkMissing means that the order was not checked, since there was no connection.
	checkMissing checkResult = iota
	checkPassed
	// checkOtherTerm means that the order is from a term that is over.
	checkOtherTerm
	// checkTooEarly means that the first order of the term has been put off.
	checkTooEarly
	// checkTooLate means that the term was no longer certain.
	checkTooLate
	// checkStopped means that this instance has stopped its orders for a planned stop.
	checkStopped
)

// String returns the result as it is written in log lines.
func (r checkResult) String() string {
	return [...]string{"none", "passed", "otherTerm", "tooEarly", "tooLate", "stopped"}[r]
}

// orderCheck describes the check of an order.
type orderCheck struct {
	result checkResult
	at     time.Time
	// termLeft is the time from the check to the end of the term, as it was known then.
	termLeft time.Duration
}

var errNotHolder = trace.CompareFailed("this instance is no longer the holder and may not send orders")

// err returns nil if the order may be written.
func (c orderCheck) err() error {
	if c.result == checkPassed {
		return nil
	}
	return errNotHolder
}

// checkOrder is called immediately before an order is written.
func (k *coordinator) checkOrder(token uint64) orderCheck {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	c := orderCheck{result: checkStatus(k.status, now, token), at: now, termLeft: k.status.OrderUntil.Sub(now)}
	if c.result == checkPassed && k.hasStoppedOrders {
		c.result = checkStopped
	}
	if c.result == checkPassed {
		k.termOrders.pass(now)
	}
	return c
}

// checkStatus returns whether an order with a token may be sent now.
func checkStatus(s elect.Status, now time.Time, token uint64) checkResult {
	switch {
	case !s.IsHolder || s.Token != token:
		return checkOtherTerm
	case now.Before(s.OrderFrom):
		return checkTooEarly
	case !s.CanOrder(now):
		return checkTooLate
	}
	return checkPassed
}

// termOrders counts the orders that have passed their check.
type termOrders struct {
	// passed is how many have passed it in the current term, lastAt when the latest did.
	passed int
	lastAt time.Time
	// inFlight is how many of any term have not ended.
	inFlight int
}

func (o *termOrders) pass(now time.Time) {
	o.passed++
	o.inFlight++
	o.lastAt = now
}

// start begins a new term. Orders of the former one may be in flight.
func (o *termOrders) start() { o.passed, o.lastAt = 0, time.Time{} }

// orderEnded logs and counts an order that has ended.
func (k *coordinator) orderEnded(a sched.Action, token uint64, began time.Time, c orderCheck, result platform.OrderResult, err error) {
	now := k.clock.Now()
	line := k.log.Info().Str("instance", k.self).Str("target", a.To.ID).Str("operation", a.Operation.String()).Str("model", a.Model).
		Str("adapter", a.Adapter).Int64("expected", a.Expected).Str("tier", a.Tier.String()).
		Str("why", a.Reason).Str("result", result.String()).Uint64("token", token).
		Dur("took", max(now.Sub(began), 0)).Str("check", c.result.String())
	switch c.result {
	case checkPassed, checkTooLate:
		line = line.Dur("sinceCheck", max(now.Sub(c.at), 0)).Dur("termLeft", c.termLeft)
	case checkMissing, checkOtherTerm, checkTooEarly, checkStopped:
	}
	line.Err(err).Msg("order finished")
	k.metrics.orderEnded(a, result, c)
}
