package member

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event of a part.
type Start struct{}

// ListChanged hands over the entries of all zones in the instance list.
type ListChanged struct{ Instances []ports.Instance }

// GossipArrived is another entry's message; GossipAnswered with the same ID
// answers it.
type GossipArrived struct {
	ID     uint64
	Gossip ports.Gossip
}

// SelfChanged tells what the others shall know of this entry.
type SelfChanged struct {
	ConfigVersion config.Version
	Shards        []int
	// Phase is MemberAlive, MemberLeaving or, at the very end, MemberGone.
	Phase ports.MemberPhase
}

// GossipAnswered is a note with the answer to a GossipArrived.
type GossipAnswered struct {
	ID     uint64
	Gossip ports.Gossip
}

// Changed is a note with the whole view, in order of IDs, this entry included.
type Changed struct{ Members []ports.Member }

// Happened is a note of something that belongs into the log.
type Happened struct{ Kind, Subject, Detail string }

// KindSuperseded is the Kind of Happened when another process runs under this
// entry's ID with a higher incarnation.
const KindSuperseded = "superseded"

// IsEvent marks an event.
func (Start) IsEvent() {}

// IsEvent marks an event.
func (ListChanged) IsEvent() {}

// IsEvent marks an event.
func (GossipArrived) IsEvent() {}

// IsEvent marks an event.
func (SelfChanged) IsEvent() {}
