package owner

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event of a shard.
type Start struct{}

// ConfigChanged delivers a newly adopted configuration.
type ConfigChanged struct{ Config *config.Config }

// MembersChanged delivers the entries of all zones as known from gossip.
type MembersChanged struct{ Members []ports.Member }

// TargetsChanged delivers the model targets of the zone from a successful read of the
// instance list.
type TargetsChanged struct{ Targets []ports.Instance }

// DemandAsked reports that callers wait for a model. It is answered by DemandAnswered.
type DemandAsked struct {
	ID     uint64
	Demand ports.Demand
}

// YieldAsked asks for unused permits. It is answered by YieldAnswered.
type YieldAsked struct {
	ID    uint64
	Yield ports.YieldPermit
}

// NewsArrived reports what another entry observed of a target.
type NewsArrived struct{ News ports.TargetNews }

// DrainTarget takes a target out of use, or back into use.
type DrainTarget struct {
	Target string
	Undo   bool
}

// StopAsked asks the shard to hand over its ownership. The notification Stopped follows.
type StopAsked struct{}

// IsEvent implements ports.Event.
func (Start) IsEvent() {}

// IsEvent implements ports.Event.
func (ConfigChanged) IsEvent() {}

// IsEvent implements ports.Event.
func (MembersChanged) IsEvent() {}

// IsEvent implements ports.Event.
func (TargetsChanged) IsEvent() {}

// IsEvent implements ports.Event.
func (DemandAsked) IsEvent() {}

// IsEvent implements ports.Event.
func (YieldAsked) IsEvent() {}

// IsEvent implements ports.Event.
func (NewsArrived) IsEvent() {}

// IsEvent implements ports.Event.
func (DrainTarget) IsEvent() {}

// IsEvent implements ports.Event.
func (StopAsked) IsEvent() {}

// DemandAnswered is the notification that answers DemandAsked.
type DemandAnswered struct {
	ID    uint64
	Reply ports.DemandReply
}

// YieldAnswered is the notification that answers YieldAsked.
type YieldAnswered struct {
	ID    uint64
	Reply ports.YieldReply
}

// TableChanged is the notification that rows of the routing table have changed.
type TableChanged struct {
	Shard int
	// Whole means that Replicas are all rows of the shard.
	Whole    bool
	Replicas []ports.Replica
	Removed  []string
}

// OwnershipChanged is the notification that this entry took over or gave up the shard.
type OwnershipChanged struct {
	Shard int
	Owned bool
	Epoch ports.Epoch
}

// Stopped is the notification that the shard has handed over its ownership.
type Stopped struct{ Shard int }

// EventKind is the kind of a Happened notification.
type EventKind string

// The kinds of Happened notifications.
const (
	// KindTakeover means that this entry took over a shard.
	KindTakeover EventKind = "takeover"
	// KindLost means that another entry took over the shard.
	KindLost EventKind = "ownershipLost"
	// KindReleased means that the shard was handed over on purpose.
	KindReleased EventKind = "ownershipReleased"
	// KindOutage means that the KV service stopped answering.
	KindOutage EventKind = "kvOutage"
	// KindOutageOver means that the KV service answers again.
	KindOutageOver EventKind = "kvOutageOver"
	// KindLoadFailed means that a load failed or was refused.
	KindLoadFailed EventKind = "loadFailed"
	// KindTargetRestarted means that the engine of a target restarted without its
	// replicas.
	KindTargetRestarted EventKind = "targetRestarted"
	// KindLoadAcross means that a load over the link between regions was planned.
	KindLoadAcross EventKind = "loadAcross"
	// KindTargetGone means that a target has left the instance list for good.
	KindTargetGone EventKind = "targetGone"
	// KindDamaged means that a KV value cannot be read or written and was left unchanged.
	KindDamaged EventKind = "valueDamaged"
)

// Happened is the notification of an event that operators should know about.
type Happened struct {
	Kind    EventKind
	Subject string
	Detail  string
}

// HandOverArrived reports that the former owner has released the shard for this entry.
type HandOverArrived struct{}

// IsEvent implements ports.Event.
func (HandOverArrived) IsEvent() {}
