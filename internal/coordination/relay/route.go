package relay

import (
	"net/netip"
	"time"
)

const (
	// retryDelay is how long an instance does without a relay that has failed to reply.
	retryDelay = 3 * time.Second
	// behindDelay is how long it does without one that has replied that its updates are
	// not fresh, which ends when the relay has found a new holder.
	behindDelay = 700 * time.Millisecond
)

// Failure says how a message to a relay has failed.
type Failure uint8

const (
	// Silent means that the relay has not replied.
	Silent Failure = iota
	// Behind means that the relay's updates are not fresh.
	Behind
)

// Route decides where an instance sends its messages. It is not safe for concurrent use.
type Route struct{ avoidUntil map[netip.AddrPort]time.Time }

// NewRoute returns a Route that knows of no failures.
func NewRoute() *Route { return &Route{avoidUntil: make(map[netip.AddrPort]time.Time)} }

// Next returns the relay for the next message, given the relays in the instance's order.
// It returns false if the message goes to the holder.
func (r *Route) Next(now time.Time, relays []netip.AddrPort) (netip.AddrPort, bool) {
	for addr, until := range r.avoidUntil {
		if !now.Before(until) {
			delete(r.avoidUntil, addr)
		}
	}
	for _, addr := range relays {
		if _, avoided := r.avoidUntil[addr]; !avoided {
			return addr, true
		}
	}
	return netip.AddrPort{}, false
}

// Fail records that a message to a relay has failed.
func (r *Route) Fail(now time.Time, relay netip.AddrPort, f Failure) {
	delay := retryDelay
	if f == Behind {
		delay = behindDelay
	}
	r.avoidUntil[relay] = now.Add(delay)
}

// NoteAge records the age of the updates that a relay has replied with. If it is higher
// than that of a relay which works as it should, another relay is tried. The holder is not:
// if all relays are behind, it has too much to do already.
func (r *Route) NoteAge(now time.Time, relay netip.AddrPort, age time.Duration, relays []netip.AddrPort) {
	if age <= MaxRelayAge {
		return
	}
	for _, other := range relays {
		if _, avoided := r.avoidUntil[other]; other != relay && !avoided {
			r.Fail(now, relay, Behind)
			return
		}
	}
}
