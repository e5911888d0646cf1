package ports

import (
	"net/netip"
	"time"
)

// Engine sends orders to the model engines of targets.
type Engine interface {
	// Order sends one order and calls done exactly once, on any goroutine; it
	// never blocks.
	Order(to netip.AddrPort, order Order, done func(OrderReply))
}

// Epoch is the fencing number of a shard's owner.
type Epoch uint64

// OrderKind says what an order wants done.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads a model as a replica.
	OrderLoad OrderKind = "load"
	// OrderUnload removes a replica, or stops its load, once it has nothing to do.
	OrderUnload OrderKind = "unload"
	// OrderLoadAdapter adds an adapter to a replica.
	OrderLoadAdapter OrderKind = "loadAdapter"
	// OrderUnloadAdapter removes an adapter from a replica once no request uses
	// it; requests that come after the order are refused.
	OrderUnloadAdapter OrderKind = "unloadAdapter"
	// OrderFence raises the target's fence to the order's epoch.
	OrderFence OrderKind = "fence"
	// OrderReport only asks for the target's state.
	OrderReport OrderKind = "report"
	// OrderRole changes what the target is for.
	OrderRole OrderKind = "role"
)

// Order is an instruction to the engine of one target.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Epoch is the fencing number; a target that checks fencing refuses an
	// order whose epoch is below its fence.
	Epoch Epoch `json:"epoch"`
	// Boot is the engine's incarnation that the order is meant for; an engine
	// started anew refuses it. Empty means any.
	Boot string `json:"boot,omitempty"`
	// Replica names the replica, unique for all time.
	Replica     string `json:"replica,omitempty"`
	Model       string `json:"model,omitempty"`
	Revision    string `json:"revision,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	MemoryBytes uint64 `json:"memoryBytes,omitempty"`
	Concurrency int    `json:"concurrency,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Role        string `json:"role,omitempty"`
	// NotAfter is checked by the sender immediately before the write; the zero
	// time means no limit. It is not sent.
	NotAfter time.Time `json:"-"`
}

// OrderStatus says how an order ended.
type OrderStatus string

// The ends of an order.
const (
	// OrderTaken means done, or for a load begun.
	OrderTaken OrderStatus = "taken"
	// OrderFenced means refused because of an old epoch.
	OrderFenced OrderStatus = "fenced"
	// OrderRefused means refused for another reason, such as lack of memory.
	OrderRefused OrderStatus = "refused"
	// OrderUnsent means that nothing was written to the target.
	OrderUnsent OrderStatus = "unsent"
	// OrderUnknown means that the answer was lost.
	OrderUnknown OrderStatus = "unknown"
)

// OrderReply is the end of an order, with the target's state if it answered.
type OrderReply struct {
	Status OrderStatus  `json:"status"`
	Reason string       `json:"reason,omitempty"`
	State  *TargetState `json:"state,omitempty"`
	Err    error        `json:"-"`
}

// ReplicaPhase is where a replica stands on its target.
type ReplicaPhase string

// The phases of a replica.
const (
	// PhaseLoading means that memory is taken but requests are not.
	PhaseLoading ReplicaPhase = "loading"
	// PhaseReady means that the replica takes requests.
	PhaseReady ReplicaPhase = "ready"
	// PhaseUnloading means that the replica finishes its work before it goes.
	PhaseUnloading ReplicaPhase = "unloading"
	// PhaseFailed means that the load failed and memory is free again.
	PhaseFailed ReplicaPhase = "failed"
)

// ReplicaState is one replica as its target reports it.
type ReplicaState struct {
	Replica     string       `json:"replica"`
	Model       string       `json:"model"`
	Revision    string       `json:"revision,omitempty"`
	Phase       ReplicaPhase `json:"phase"`
	MemoryBytes uint64       `json:"memoryBytes"`
	// Adapters are those in memory, also the ones that are to go.
	Adapters []string `json:"adapters,omitempty"`
	// AdapterUse tells what each adapter is used for; an engine that does not
	// know leaves it out.
	AdapterUse map[string]AdapterUse `json:"adapterUse,omitempty"`
	Running    int                   `json:"running"`
	Queued     int                   `json:"queued"`
	// Served counts the requests finished since the replica was loaded.
	Served uint64 `json:"served"`
	Reason string `json:"reason,omitempty"`
}

// AdapterUse is the use of one adapter of a replica.
type AdapterUse struct {
	// Running counts the requests that use the adapter, queued ones included.
	Running int `json:"running"`
	// Served counts the requests finished since the adapter was loaded.
	Served uint64 `json:"served"`
}

// Tier is where a target has a checkpoint cached.
type Tier string

// The tiers of cached checkpoints, fastest first.
const (
	// TierMemory is host memory.
	TierMemory Tier = "memory"
	// TierDisk is the target's disk.
	TierDisk Tier = "disk"
	// TierRemote is the weight store.
	TierRemote Tier = "remote"
)

// TargetState is what a target reports of itself.
type TargetState struct {
	ID string `json:"id"`
	// Boot is the engine's incarnation.
	Boot        string          `json:"boot"`
	ChecksFence bool            `json:"checksFence"`
	Fence       Epoch           `json:"fence"`
	MemoryBytes uint64          `json:"memoryBytes"`
	Replicas    []ReplicaState  `json:"replicas"`
	Cached      map[string]Tier `json:"cached,omitempty"`
	Leaving     bool            `json:"leaving"`
	// Role is what the latest order of that kind made of the target.
	Role         string `json:"role,omitempty"`
	AdapterLoads int    `json:"adapterLoads"`
}
