package ports

import (
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Tag pairs an effect with the event that reports its result; parts choose it.
type Tag uint64

// Event is something that happened to a part.
type Event interface{ IsEvent() }

// Effect is something that a part wants done.
type Effect interface{ IsEffect() }

// Part is a deterministic coordination component.
type Part interface {
	// Step takes one event at time now and returns what is to be done.
	Step(now time.Time, ev Event) []Effect
}

// Env is what a driver needs to carry out effects.
type Env struct {
	KV     KV
	List   List
	Engine Engine
	Peers  Peers
	Timer  timer.Service
}

// KVCall asks the KV service; KVDone with the same tag answers.
type KVCall struct {
	Tag Tag
	Req KVRequest
}

// KVDone answers a KVCall.
type KVDone struct {
	Tag   Tag
	Reply KVReply
}

// OrderCall sends an order to a target; OrderDone with the same tag answers.
type OrderCall struct {
	Tag   Tag
	To    netip.AddrPort
	Order Order
}

// OrderDone answers an OrderCall.
type OrderDone struct {
	Tag   Tag
	Reply OrderReply
}

// PeerCall sends a message to another entry; PeerDone with the same tag answers.
type PeerCall struct {
	Tag Tag
	To  netip.AddrPort
	Msg PeerMessage
}

// PeerDone answers a PeerCall.
type PeerDone struct {
	Tag   Tag
	Reply PeerReply
}

// ListCall reads the instance list; ListDone with the same tag answers.
type ListCall struct{ Tag Tag }

// ListDone answers a ListCall.
type ListDone struct {
	Tag       Tag
	Instances []Instance
	Err       error
}

// ArmTimer asks for a TimerFired with the same tag after the given time.
type ArmTimer struct {
	Tag   Tag
	After time.Duration
}

// TimerFired reports that an armed time has passed.
type TimerFired struct{ Tag Tag }

// Note is an effect for whoever embeds the part, such as a change of the
// routing table; the driver hands it to its listener as it is.
type Note struct{ Value any }

// IsEffect marks an effect.
func (KVCall) IsEffect() {}

// IsEffect marks an effect.
func (OrderCall) IsEffect() {}

// IsEffect marks an effect.
func (PeerCall) IsEffect() {}

// IsEffect marks an effect.
func (ListCall) IsEffect() {}

// IsEffect marks an effect.
func (ArmTimer) IsEffect() {}

// IsEffect marks an effect.
func (Note) IsEffect() {}

// IsEvent marks an event.
func (KVDone) IsEvent() {}

// IsEvent marks an event.
func (OrderDone) IsEvent() {}

// IsEvent marks an event.
func (PeerDone) IsEvent() {}

// IsEvent marks an event.
func (ListDone) IsEvent() {}

// IsEvent marks an event.
func (TimerFired) IsEvent() {}
