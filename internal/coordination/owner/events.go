package owner

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event of a shard.
type Start struct{}

// ConfigChanged hands over a newly adopted configuration.
type ConfigChanged struct{ Config *config.Config }

// MembersChanged hands over the entries of all zones as gossip knows them.
type MembersChanged struct{ Members []ports.Member }

// TargetsChanged hands over the model targets of the zone from a successful
// read of the instance list.
type TargetsChanged struct{ Targets []ports.Instance }

// DemandAsked tells that callers wait for a model.
type DemandAsked struct {
	ID     uint64
	Demand ports.Demand
}

// YieldAsked asks for unused permits.
type YieldAsked struct {
	ID    uint64
	Yield ports.YieldPermit
}

// NewsArrived tells what an entry saw of a target.
type NewsArrived struct{ News ports.TargetNews }

// DrainTarget takes a target out of use, or back into use.
type DrainTarget struct {
	Target string
	Undo   bool
}

// StopAsked asks the shard to hand over; the note Stopped follows.
type StopAsked struct{}

// IsEvent marks an event.
func (Start) IsEvent() {}

// IsEvent marks an event.
func (ConfigChanged) IsEvent() {}

// IsEvent marks an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks an event.
func (TargetsChanged) IsEvent() {}

// IsEvent marks an event.
func (DemandAsked) IsEvent() {}

// IsEvent marks an event.
func (YieldAsked) IsEvent() {}

// IsEvent marks an event.
func (NewsArrived) IsEvent() {}

// IsEvent marks an event.
func (DrainTarget) IsEvent() {}

// IsEvent marks an event.
func (StopAsked) IsEvent() {}

// DemandAnswered is the note that answers DemandAsked.
type DemandAnswered struct {
	ID    uint64
	Reply ports.DemandReply
}

// YieldAnswered is the note that answers YieldAsked.
type YieldAnswered struct {
	ID    uint64
	Reply ports.YieldReply
}

// TableChanged is the note of a change of the shard's routing rows.
type TableChanged struct {
	Shard int
	// Whole means that Replicas are all rows of the shard.
	Whole    bool
	Replicas []ports.Replica
	Removed  []string
}

// OwnershipChanged is the note that the shard was taken or lost.
type OwnershipChanged struct {
	Shard int
	Owned bool
	Epoch ports.Epoch
}

// Stopped is the note that the shard has handed over.
type Stopped struct{ Shard int }

// EventKind names what Happened reports.
type EventKind string

// The kinds of happenings.
const (
	// KindTakeover means that this entry took a shard over.
	KindTakeover EventKind = "takeover"
	// KindLost means that another entry took the shard.
	KindLost EventKind = "ownershipLost"
	// KindReleased means that the shard was handed over on purpose.
	KindReleased EventKind = "ownershipReleased"
	// KindOutage means that the KV service stopped answering.
	KindOutage EventKind = "kvOutage"
	// KindOutageOver means that the KV service answers again.
	KindOutageOver EventKind = "kvOutageOver"
	// KindLoadFailed means that a load failed or was refused.
	KindLoadFailed EventKind = "loadFailed"
	// KindTargetRestarted means that a target came back empty.
	KindTargetRestarted EventKind = "targetRestarted"
	// KindLoadAcross means that a load over the link between regions was decided.
	KindLoadAcross EventKind = "loadAcross"
	// KindTargetGone means that a target left the instance list for good.
	KindTargetGone EventKind = "targetGone"
	// KindDamaged means that a KV value cannot be read and was left alone.
	KindDamaged EventKind = "valueDamaged"
)

// Happened is the note of something that operators want to know.
type Happened struct {
	Kind    EventKind
	Subject string
	Detail  string
}

// HandOverArrived tells that the shard's owner has released it for this entry.
type HandOverArrived struct{}

// IsEvent marks an event.
func (HandOverArrived) IsEvent() {}
