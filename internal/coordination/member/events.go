package member

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event that a Part receives.
type Start struct{}

// ListChanged is the event that the instance list changed. It has the entries of all
// zones.
type ListChanged struct{ Instances []ports.Instance }

// GossipReceived is the event that another entry sent a message; GossipAnswered with the
// same ID answers it.
type GossipReceived struct {
	ID     uint64
	Gossip ports.Gossip
}

// SelfChanged is the event that the state of this entry, which it sends to the others,
// has changed.
type SelfChanged struct {
	ConfigVersion config.Version
	Shards        []int
	// Phase is MemberAlive, MemberLeaving or, just before the process ends, MemberGone.
	// Empty leaves the phase as it is.
	Phase ports.MemberPhase
}

// GossipAnswered is the note that answers a GossipReceived.
type GossipAnswered struct {
	ID     uint64
	Gossip ports.Gossip
}

// ViewChanged is the note with the whole view, ordered by ID and including this entry.
type ViewChanged struct{ Members []ports.Member }

// LogEvent is the note of an occurrence that is to be written to the program's log.
type LogEvent struct{ Kind, Subject, Detail string }

// KindSuperseded is the Kind of a LogEvent note that another process runs under this
// entry's ID with a higher incarnation.
const KindSuperseded = "superseded"

// IsEvent marks Start as an event.
func (Start) IsEvent() {}

// IsEvent marks ListChanged as an event.
func (ListChanged) IsEvent() {}

// IsEvent marks GossipReceived as an event.
func (GossipReceived) IsEvent() {}

// IsEvent marks SelfChanged as an event.
func (SelfChanged) IsEvent() {}
