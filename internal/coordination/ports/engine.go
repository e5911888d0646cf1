package ports

import (
	"net/netip"
	"time"
)

// Engine sends orders to the model engines of targets.
type Engine interface {
	// Order sends one order and calls done exactly once, on any goroutine. It does not
	// block.
	Order(to netip.AddrPort, order Order, done func(OrderReply))
}

// Epoch is the fencing token of a shard's owner; a later owner has a higher one.
type Epoch uint64

// OrderKind is the operation that an order requests.
type OrderKind string

// The kinds of orders.
const (
	// OrderLoad loads a model as a replica.
	OrderLoad OrderKind = "load"
	// OrderUnload removes a replica, or cancels its load, once it has no requests left.
	OrderUnload OrderKind = "unload"
	// OrderLoadAdapter adds an adapter to a replica.
	OrderLoadAdapter OrderKind = "loadAdapter"
	// OrderUnloadAdapter removes an adapter from a replica once no request uses it.
	// Requests for it that arrive after the order are rejected.
	OrderUnloadAdapter OrderKind = "unloadAdapter"
	// OrderFence raises the target's fence to the order's epoch.
	OrderFence OrderKind = "fence"
	// OrderReport only requests the target's state.
	OrderReport OrderKind = "report"
	// OrderRole changes the target's role.
	OrderRole OrderKind = "role"
)

// Order is an instruction to the engine of one target.
type Order struct {
	Kind OrderKind `json:"kind"`
	// Epoch is the fencing token. A target that checks fencing rejects an order whose
	// epoch is below its fence.
	Epoch Epoch `json:"epoch"`
	// Boot identifies the run of the engine for which the order is meant. An engine that
	// was restarted since rejects the order. Empty means any run.
	Boot string `json:"boot,omitempty"`
	// Replica is the ID of the replica, which is never reused.
	Replica     string `json:"replica,omitempty"`
	Model       string `json:"model,omitempty"`
	Revision    string `json:"revision,omitempty"`
	Checkpoint  string `json:"checkpoint,omitempty"`
	MemoryBytes uint64 `json:"memoryBytes,omitempty"`
	Concurrency int    `json:"concurrency,omitempty"`
	Adapter     string `json:"adapter,omitempty"`
	Role        string `json:"role,omitempty"`
	// NotAfter is the time after which the order must not be sent. The sender checks it
	// immediately before the write and does not transmit it. Zero means no limit.
	NotAfter time.Time `json:"-"`
}

// OrderStatus is the outcome of an order.
type OrderStatus string

// The outcomes of an order.
const (
	// OrderTaken means that the order was executed, or that a load has begun.
	OrderTaken OrderStatus = "taken"
	// OrderFenced means that the target rejected the order because of an old epoch.
	OrderFenced OrderStatus = "fenced"
	// OrderRefused means that the target rejected the order for another reason, such as
	// insufficient memory.
	OrderRefused OrderStatus = "refused"
	// OrderUnsent means that nothing was written to the target.
	OrderUnsent OrderStatus = "unsent"
	// OrderUnknown means that the reply was lost: the order may have been executed.
	OrderUnknown OrderStatus = "unknown"
)

// OrderReply is the outcome of an order, with the target's state if the target replied.
type OrderReply struct {
	Status OrderStatus  `json:"status"`
	Reason string       `json:"reason,omitempty"`
	State  *TargetState `json:"state,omitempty"`
	Err    error        `json:"-"`
}

// ReplicaPhase is the state of a replica at its target.
type ReplicaPhase string

// The phases of a replica.
const (
	// PhaseLoading means that the replica occupies memory but accepts no requests yet.
	PhaseLoading ReplicaPhase = "loading"
	// PhaseReady means that the replica accepts requests.
	PhaseReady ReplicaPhase = "ready"
	// PhaseUnloading means that the replica finishes its requests before it is removed.
	PhaseUnloading ReplicaPhase = "unloading"
	// PhaseFailed means that the load failed and its memory is free again.
	PhaseFailed ReplicaPhase = "failed"
)

// ReplicaState is one replica as its target reports it.
type ReplicaState struct {
	Replica     string       `json:"replica"`
	Model       string       `json:"model"`
	Revision    string       `json:"revision,omitempty"`
	Phase       ReplicaPhase `json:"phase"`
	MemoryBytes uint64       `json:"memoryBytes"`
	// Adapters are the adapters in memory, including those that are being unloaded.
	Adapters []string `json:"adapters,omitempty"`
	// AdapterUse contains the request counts of each adapter. It is absent if the engine
	// does not count them.
	AdapterUse map[string]AdapterUse `json:"adapterUse,omitempty"`
	Running    int                   `json:"running"`
	Queued     int                   `json:"queued"`
	// Served is the number of requests finished since the replica was loaded.
	Served uint64 `json:"served"`
	Reason string `json:"reason,omitempty"`
}

// AdapterUse contains the request counts of one adapter of a replica.
type AdapterUse struct {
	// Running is the number of requests that use the adapter, including queued ones.
	Running int `json:"running"`
	// Served is the number of requests finished since the adapter was loaded.
	Served uint64 `json:"served"`
}

// Tier is the place from which a target can load a checkpoint.
type Tier string

// The tiers, fastest first.
const (
	// TierMemory is host memory.
	TierMemory Tier = "memory"
	// TierDisk is the target's disk.
	TierDisk Tier = "disk"
	// TierRemote is the weight store: the target has no copy of the checkpoint.
	TierRemote Tier = "remote"
)

// TargetState is a target's report on itself.
type TargetState struct {
	ID string `json:"id"`
	// Boot identifies the run of the engine; it changes with each restart.
	Boot        string          `json:"boot"`
	ChecksFence bool            `json:"checksFence"`
	Fence       Epoch           `json:"fence"`
	MemoryBytes uint64          `json:"memoryBytes"`
	Replicas    []ReplicaState  `json:"replicas"`
	Cached      map[string]Tier `json:"cached,omitempty"`
	Leaving     bool            `json:"leaving"`
	// Role is the role that the latest OrderRole set.
	Role         string `json:"role,omitempty"`
	AdapterLoads int    `json:"adapterLoads"`
}
