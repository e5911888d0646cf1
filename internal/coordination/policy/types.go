package policy

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Policy makes one kind of decision: it returns Out for the input and the current time.
type Policy[In, Out any] interface {
	Decide(now time.Time, in In) Out
}

// Func implements Policy by a function.
type Func[In, Out any] func(now time.Time, in In) Out

// Decide calls the function.
func (f Func[In, Out]) Decide(now time.Time, in In) Out {
	return f(now, in)
}

// ModelView is a snapshot of a model: its size and load times, its use, its replicas and
// the callers who wait for it.
type ModelView struct {
	Model       string
	MemoryBytes uint64
	// LoadTime is the expected duration of a load from the weight store.
	LoadTime time.Duration
	// ReloadTime is the expected duration of the next load from where the checkpoint is
	// cached now; 0 means LoadTime.
	ReloadTime time.Duration
	// LastUsed is the time of the latest request, zero if there was none.
	LastUsed time.Time
	// LastPreload is the time at which the model was last preloaded, zero if never.
	LastPreload time.Time
	// Gaps are the latest gaps between requests, oldest first; KeepGap adds one.
	Gaps []time.Duration
	// KeepAlive is the fixed keep-alive that the operators have set; 0 lets the policy
	// decide.
	KeepAlive time.Duration
	// Ready is the number of loaded replicas, Running and Queued the requests at them.
	Ready, Running, Queued int
	// Waiting is the number of callers who wait for a replica, and FirstDeadline the
	// time at which the first of them gives up.
	Waiting       int
	FirstDeadline time.Time
	// PressedFor is the time for which the work has exceeded what the ready replicas
	// batch, 0 if it does not. Pressure.Observe returns it.
	PressedFor time.Duration
	// Max and Min limit the number of replicas.
	Max, Min int
	// Concurrency is the number of requests that one replica batches, 0 if unknown.
	Concurrency int
}

// ReplicaView is a replica that a placement may evict unless it is busy.
type ReplicaView struct {
	Replica string
	Target  string
	Model   ModelView
	// LoadedAt is the time at which the replica became ready.
	LoadedAt time.Time
	// ReloadTime is the expected duration of loading it again on this target.
	ReloadTime time.Duration
	Busy       bool
}

// TargetView is a target that may be chosen for a load.
type TargetView struct {
	Target     string
	FreeBytes  uint64
	TotalBytes uint64
	// Tier is the tier from which the target can load the checkpoint.
	Tier ports.Tier
	// Loading is the number of loads in progress on the target.
	Loading int
	// Running is the number of requests that the target processes.
	Running int
	// Evictable are the replicas whose memory may be freed.
	Evictable []ReplicaView
}

// PlaceInput is a model to load and the targets to choose from.
type PlaceInput struct {
	Model   ModelView
	Targets []TargetView
}

// Placement is the target chosen for a load and the replicas to evict there first.
type Placement struct {
	Target string
	Evict  []string
	// Refused is the reason why no target was chosen, empty if one was.
	Refused string
}

// ScaleInput is a model whose number of replicas is to be decided.
type ScaleInput struct{ Model ModelView }

// LoadRequest is a load that waits for a slot of the weight store since the time Since.
type LoadRequest struct {
	Model ModelView
	Since time.Time
	Tier  ports.Tier
}

// Set contains the policies of a deployment.
type Set struct {
	// KeepAlive returns how long an idle replica stays after its last use.
	KeepAlive Policy[ModelView, time.Duration]
	// Place chooses the target of a load.
	Place Policy[PlaceInput, Placement]
	// Scale returns the number of replicas wanted.
	Scale Policy[ScaleInput, int]
	// Order returns the indexes of the waiting loads in the order in which they start.
	Order Policy[[]LoadRequest, []int]
	// Preload returns the names of the models to preload, the largest saving first.
	Preload Policy[[]ModelView, []string]
}
