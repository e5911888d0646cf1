package ports

import (
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// Tag identifies an effect in the event that reports its result. The part chooses it.
type Tag uint64

// Event is an input of a Part, such as a reply or a timer that fired.
type Event interface{ IsEvent() }

// Effect is an operation that a Part requests from its driver.
type Effect interface{ IsEffect() }

// Part is a deterministic state machine without I/O.
type Part interface {
	// Step processes one event at time now and returns the effects to execute.
	Step(now time.Time, ev Event) []Effect
}

// Env contains the interfaces through which a driver executes effects.
type Env struct {
	KV     KV
	List   List
	Engine Engine
	Peers  Peers
	Timer  timer.Service
}

// KVCall sends a request to the KV service; KVDone with the same tag returns the reply.
type KVCall struct {
	Tag Tag
	Req KVRequest
}

// KVDone is the result of a KVCall.
type KVDone struct {
	Tag   Tag
	Reply KVReply
}

// OrderCall sends an order to a target; OrderDone with the same tag returns the reply.
type OrderCall struct {
	Tag   Tag
	To    netip.AddrPort
	Order Order
}

// OrderDone is the result of an OrderCall.
type OrderDone struct {
	Tag   Tag
	Reply OrderReply
}

// PeerCall sends a message to another entry; PeerDone with the same tag returns the reply.
type PeerCall struct {
	Tag Tag
	To  netip.AddrPort
	Msg PeerMessage
}

// PeerDone is the result of a PeerCall.
type PeerDone struct {
	Tag   Tag
	Reply PeerReply
}

// ListCall reads the instance list; ListDone with the same tag returns it.
type ListCall struct{ Tag Tag }

// ListDone is the result of a ListCall.
type ListDone struct {
	Tag       Tag
	Instances []Instance
	Err       error
}

// ArmTimer starts a timer; TimerFired with the same tag follows after the given time.
type ArmTimer struct {
	Tag   Tag
	After time.Duration
}

// TimerFired reports that the time of an ArmTimer has passed.
type TimerFired struct{ Tag Tag }

// Note is a notification to the program that embeds the part, such as a change of the
// routing table. The driver passes it to its listener unchanged.
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
