package policy

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Policy decides Out from what is known at a time.
type Policy[In, Out any] interface {
	Decide(now time.Time, in In) Out
}

// Func makes a Policy of a function.
type Func[In, Out any] func(now time.Time, in In) Out

// Decide calls the function.
func (f Func[In, Out]) Decide(now time.Time, in In) Out {
	return f(now, in)
}

// ModelView is what is known of a model's use.
type ModelView struct {
	Model       string
	MemoryBytes uint64
	// LoadTime is the expected time of a load from the weight store.
	LoadTime time.Duration
	// ReloadTime is the expected time of the next load from where the
	// checkpoint is cached now, 0 for as long as LoadTime.
	ReloadTime time.Duration
	// LastUsed is when a request was last seen, zero for never.
	LastUsed time.Time
	// LastPreload is when the model was last loaded ahead of use, zero for never.
	LastPreload time.Time
	// Gaps are the latest gaps between requests, oldest first.
	Gaps []time.Duration
	// KeepAlive is the operators' fixed limit, 0 to let the policy decide.
	KeepAlive time.Duration
	// Ready is the number of replicas loaded, Running and Queued the work they have.
	Ready, Running, Queued int
	// Waiting is the number of callers who wait for a replica, and FirstDeadline
	// when the first of them gives up.
	Waiting       int
	FirstDeadline time.Time
	// PressedFor is how long the work has been more than the ready replicas
	// batch, 0 if it is not; a Pressure measures it.
	PressedFor time.Duration
	// Max and Min bound the replicas.
	Max, Min    int
	Concurrency int
}

// ReplicaView is a replica that might be evicted.
type ReplicaView struct {
	Replica string
	Target  string
	Model   ModelView
	// LoadedAt is when the replica became ready.
	LoadedAt time.Time
	// ReloadTime is how long it would take to load it again on this target.
	ReloadTime time.Duration
	Busy       bool
}

// TargetView is a target on which a load might go.
type TargetView struct {
	Target     string
	FreeBytes  uint64
	TotalBytes uint64
	// Tier is where the checkpoint is cached on the target.
	Tier ports.Tier
	// Loading is the number of loads under way on the target.
	Loading int
	// Running is the number of requests on the target.
	Running int
	// Evictable are idle replicas, whose memory could be freed.
	Evictable []ReplicaView
}

// PlaceInput asks where to load a model.
type PlaceInput struct {
	Model   ModelView
	Targets []TargetView
}

// Placement is where a load goes and what has to be unloaded first.
type Placement struct {
	Target string
	Evict  []string
	// Refused says why no place was found, empty if one was.
	Refused string
}

// ScaleInput asks how many replicas a model should have now.
type ScaleInput struct{ Model ModelView }

// LoadRequest is a load that waits for its turn at the weight store.
type LoadRequest struct {
	Model ModelView
	Since time.Time
	Tier  ports.Tier
}

// Set is the policies of a deployment.
type Set struct {
	// KeepAlive returns how long an idle replica stays after its last use.
	KeepAlive Policy[ModelView, time.Duration]
	// Place chooses the target of a load.
	Place Policy[PlaceInput, Placement]
	// Scale returns the number of replicas wanted.
	Scale Policy[ScaleInput, int]
	// Order returns the indexes of waiting loads, the first to go first.
	Order Policy[[]LoadRequest, []int]
	// Preload returns the models to load ahead of use, most wanted first.
	Preload Policy[[]ModelView, []string]
}
