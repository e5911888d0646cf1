package edge

import (
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/elect"
)

// logTerm logs and counts what a change of the election status means for this instance's
// term: its start, the start of its orders, and its end.
func (k *coordinator) logTerm(was, s elect.Status) {
	now := k.clock.Now()
	if s.Restores > was.Restores {
		k.storeRestored(was, s)
	}
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

// storeRestored logs and counts that the store has come back from an older copy. What this
// instance knew of the holder is dropped, and its own term ends.
func (k *coordinator) storeRestored(was, s elect.Status) {
	k.log.Warn().Str("instance", k.self).Uint64("era", s.Era).Uint64("eraBefore", was.Era).Bool("mine", was.IsHolder).
		Str("holder", addrText(was.Holder)).Uint64("token", was.Token).Msg("store back from an older copy")
	k.metrics.storeRestored()
}

// addrText returns an address as it is written in log lines, empty for none.
func addrText(at netip.AddrPort) string {
	if !at.IsValid() {
		return ""
	}
	return at.String()
}

// orderStop describes how the orders of a holder stop.
type orderStop struct {
	began    time.Time
	isHolder bool
	token    uint64
	// inFlight is how many orders had passed their check and had no answer at the beginning,
	// unread how many targets may not have read all orders at the end.
	inFlight, unread int
}

func (k *coordinator) newOrderStop() orderStop {
	return orderStop{
		began: k.clock.Now(), isHolder: k.status.IsHolder, token: k.status.Token, inFlight: k.termOrders.inFlight,
	}
}

// logStop logs that the orders of a holder have stopped. The lease is given up from then on.
func (k *coordinator) logStop(s orderStop) {
	if !s.isHolder {
		return
	}
	k.log.Info().Str("instance", k.self).Uint64("token", s.token).Int("inFlight", s.inFlight).Int("unread", s.unread).
		Dur("took", max(k.clock.Now().Sub(s.began), 0)).Msg("orders stopped")
}

// minLateTarget is how much later than those to others orders to a target begin that are worth
// a line; the first responses of a large fleet take part of it.
const minLateTarget = time.Second

// logLateTarget logs that the orders to a target begin later than the term allows, since the
// target has responded late to the new holder.
func (k *coordinator) logLateTarget(id string, respondedAt time.Time) {
	from := respondedAt.Add(k.status.Handover)
	late := from.Sub(k.status.OrderFrom)
	if !k.status.IsHolder || late < minLateTarget {
		return
	}
	k.log.Info().Str("instance", k.self).Str("target", id).Uint64("token", k.status.Token).Dur("late", late).
		Dur("ordersIn", max(from.Sub(k.clock.Now()), 0)).Msg("orders wait for a target")
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
