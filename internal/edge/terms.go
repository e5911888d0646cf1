package edge

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/elect"
)

// logTerm logs and counts what a change of the election status means for this instance's
// term: its start, the start of its orders, and its end.
func (k *coordinator) logTerm(was, s elect.Status) {
	now := k.clock.Now()
	switch {
	case s.IsHolder && !was.IsHolder:
		k.termOrders.start()
		k.termBegan(now, s)
	case was.IsHolder && !s.IsHolder:
		k.termEnded(now, was, s.Ended)
	case s.IsHolder && !s.OrderFrom.Equal(was.OrderFrom):
		k.log.Info().Str("instance", k.self).Dur("by", s.OrderFrom.Sub(was.OrderFrom)).
			Dur("ordersIn", max(s.OrderFrom.Sub(now), 0)).Msg("orders put off")
	case s.IsHolder && s.Token != was.Token:
		k.log.Info().Str("instance", k.self).Uint64("token", s.Token).Str("wait", s.Start.Wait.String()).
			Dur("waited", max(now.Sub(s.Start.CountedFrom), 0)).Msg("orders may begin")
	}
}

// termBegan logs the wait at the start of a term. The key may have been found missing
// before, which counts for the wait.
func (k *coordinator) termBegan(now time.Time, s elect.Status) {
	line := k.log.Info().Str("instance", k.self).Str("wait", s.Start.Wait.String()).
		Dur("waited", max(now.Sub(s.Start.CountedFrom), 0)).Dur("ordersIn", max(s.OrderFrom.Sub(now), 0))
	if s.Former.IsValid() {
		line = line.Str("former", s.Former.String()).Uint64("formerRecord", uint64(s.Start.Record))
	}
	line.Msg("term began")
}

// termEnded logs and counts the end of a term. Orders in flight have passed their check and
// may still arrive.
func (k *coordinator) termEnded(now time.Time, was elect.Status, why elect.EndReason) {
	line := k.log.Info().Str("instance", k.self).Uint64("token", was.Token).Str("reason", why.String()).
		Int("orders", k.termOrders.passed).Int("inFlight", k.termOrders.inFlight)
	if !was.OrderUntil.IsZero() {
		line = line.Dur("termLeft", was.OrderUntil.Sub(now))
	}
	if k.termOrders.passed > 0 {
		line = line.Dur("sinceLastOrder", max(now.Sub(k.termOrders.lastAt), 0))
	}
	line.Msg("term ended")
	k.metrics.termEnded(why)
}

// logHandover logs a change of the minimum time between the orders of two holders.
func (k *coordinator) logHandover(was, handover time.Duration) {
	if was == handover {
		return
	}
	s := k.holderStatus()
	k.log.Info().Str("instance", k.self).Dur("was", was).Dur("handover", handover).Bool("mine", s.IsHolder).
		Uint64("token", s.Token).Msg("handover changed")
}
