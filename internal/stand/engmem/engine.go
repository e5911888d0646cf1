package engmem

import (
	"fmt"
	"maps"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Loader fetches a checkpoint and calls done exactly once.
type Loader func(checkpoint string, tier ports.Tier, done func(error))

// Engine is the state of one target's engine.
type Engine struct {
	loader Loader

	mu       sync.Mutex
	state    ports.TargetState
	replicas map[string]*replica
	cached   map[string]ports.Tier
	record   Record
}

type replica struct {
	ports.ReplicaState
	checkpoint string
}

// Record is what an oracle wants to know of an engine's past.
type Record struct {
	// Overcommitted counts the orders that would have overcommitted memory.
	Overcommitted int
	// PeakBytes is the most memory that was ever taken.
	PeakBytes uint64
	// Loads counts the loads begun, by model.
	Loads map[string]int
	// Fenced counts the orders refused because of their epoch.
	Fenced int
}

// Option changes an Engine under construction.
type Option func(*Engine)

// WithFencing tells whether the engine refuses orders with an old epoch.
func WithFencing(checks bool) Option {
	return func(e *Engine) { e.state.ChecksFence = checks }
}

// WithCached sets the tiers at which checkpoints are cached at the start.
func WithCached(cached map[string]ports.Tier) Option {
	return func(e *Engine) { e.cached = maps.Clone(cached) }
}

// NewEngine returns an engine with nothing loaded.
func NewEngine(id, boot string, memoryBytes uint64, loader Loader, opts ...Option) *Engine {
	e := &Engine{
		loader:   loader,
		state:    ports.TargetState{ID: id, Boot: boot, ChecksFence: true, MemoryBytes: memoryBytes},
		replicas: make(map[string]*replica),
		cached:   make(map[string]ports.Tier),
		record:   Record{Loads: make(map[string]int)},
	}
	for _, opt := range opts {
		opt(e)
	}
	return e
}

// Order carries out one order.
func (e *Engine) Order(o ports.Order) ports.OrderReply {
	e.mu.Lock()
	status, reason, load := e.take(o)
	state := e.snapshot()
	e.mu.Unlock()
	if load != nil {
		load()
	}
	return ports.OrderReply{Status: status, Reason: reason, State: &state}
}

// State returns what the engine reports of itself.
func (e *Engine) State() ports.TargetState {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.snapshot()
}

// Replica returns what the engine reports of one replica, and false if it has
// none of that name.
func (e *Engine) Replica(id string) (ports.ReplicaState, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[id]
	if r == nil {
		return ports.ReplicaState{}, false
	}
	state := r.ReplicaState
	state.Adapters = slices.Clone(state.Adapters)
	return state, true
}

// Record returns what happened so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Loads = maps.Clone(r.Loads)
	return r
}

// SetLeaving changes whether the engine says that it leaves.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Leaving = leaving
}

// Begin starts a request on a replica and returns what ends it, or false if no
// such replica is ready.
func (e *Engine) Begin(id string) (func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[id]
	if r == nil || r.Phase != ports.PhaseReady {
		return nil, false
	}
	r.Running++
	return sync.OnceFunc(func() { e.end(id) }), true
}

func (e *Engine) end(id string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[id]
	if r == nil {
		return
	}
	r.Running--
	r.Served++
	if r.Phase == ports.PhaseUnloading && r.Running == 0 {
		delete(e.replicas, id)
	}
}

func (e *Engine) take(o ports.Order) (ports.OrderStatus, string, func()) {
	if o.Kind == ports.OrderReport {
		return ports.OrderTaken, "", nil
	}
	if e.state.ChecksFence && o.Epoch < e.state.Fence {
		e.record.Fenced++
		return ports.OrderFenced, fmt.Sprintf("epoch %d is below fence %d", o.Epoch, e.state.Fence), nil
	}
	if o.Boot != "" && o.Boot != e.state.Boot {
		return ports.OrderRefused, fmt.Sprintf("order is for boot %s, this is %s", o.Boot, e.state.Boot), nil
	}
	if e.state.ChecksFence {
		e.state.Fence = o.Epoch
	}
	switch o.Kind {
	case ports.OrderLoad:
		return e.load(o)
	case ports.OrderUnload:
		e.unload(o.Replica)
	case ports.OrderLoadAdapter:
		return e.loadAdapter(o)
	case ports.OrderUnloadAdapter:
		e.unloadAdapter(o)
	case ports.OrderRole:
		e.state.Role = o.Role
	case ports.OrderFence, ports.OrderReport:
	default:
		return ports.OrderRefused, fmt.Sprintf("unknown kind %q of order", o.Kind), nil
	}
	return ports.OrderTaken, "", nil
}

func (e *Engine) load(o ports.Order) (ports.OrderStatus, string, func()) {
	if r := e.replicas[o.Replica]; r != nil && r.Phase != ports.PhaseFailed {
		return ports.OrderTaken, "", nil
	}
	if e.used()+o.MemoryBytes > e.state.MemoryBytes {
		e.record.Overcommitted++
		return ports.OrderRefused, "not enough accelerator memory", nil
	}
	r := &replica{checkpoint: o.Checkpoint}
	r.ReplicaState = ports.ReplicaState{
		Replica: o.Replica, Model: o.Model, Revision: o.Revision,
		Phase: ports.PhaseLoading, MemoryBytes: o.MemoryBytes,
	}
	e.replicas[o.Replica] = r
	e.record.Loads[o.Model]++
	e.record.PeakBytes = max(e.record.PeakBytes, e.used())
	tier := e.tier(o.Checkpoint)
	return ports.OrderTaken, "", func() {
		e.loader(o.Checkpoint, tier, func(err error) { e.loaded(r, err) })
	}
}

func (e *Engine) loaded(r *replica, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.replicas[r.Replica] != r || r.Phase != ports.PhaseLoading {
		return
	}
	if err != nil {
		r.Phase = ports.PhaseFailed
		r.Reason = err.Error()
		r.MemoryBytes = 0
		return
	}
	r.Phase = ports.PhaseReady
	e.cached[r.checkpoint] = ports.TierMemory
}

func (e *Engine) unload(id string) {
	r := e.replicas[id]
	if r == nil {
		return
	}
	if r.Running > 0 {
		r.Phase = ports.PhaseUnloading
		return
	}
	delete(e.replicas, id)
}

func (e *Engine) loadAdapter(o ports.Order) (ports.OrderStatus, string, func()) {
	r := e.replicas[o.Replica]
	if r == nil || r.Phase != ports.PhaseReady {
		return ports.OrderRefused, "replica is not ready", nil
	}
	if slices.Contains(r.Adapters, o.Adapter) {
		return ports.OrderTaken, "", nil
	}
	if e.used()+o.MemoryBytes > e.state.MemoryBytes {
		e.record.Overcommitted++
		return ports.OrderRefused, "not enough accelerator memory", nil
	}
	e.state.AdapterLoads++
	return ports.OrderTaken, "", func() {
		e.loader(o.Checkpoint, ports.TierMemory, func(err error) { e.adapterLoaded(r, o, err) })
	}
}

func (e *Engine) adapterLoaded(r *replica, o ports.Order, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.AdapterLoads--
	if err != nil || slices.Contains(r.Adapters, o.Adapter) {
		return
	}
	r.Adapters = append(r.Adapters, o.Adapter)
	r.MemoryBytes += o.MemoryBytes
	e.record.PeakBytes = max(e.record.PeakBytes, e.used())
}

func (e *Engine) unloadAdapter(o ports.Order) {
	r := e.replicas[o.Replica]
	if r == nil {
		return
	}
	i := slices.Index(r.Adapters, o.Adapter)
	if i < 0 {
		return
	}
	r.Adapters = slices.Delete(r.Adapters, i, i+1)
	r.MemoryBytes -= min(o.MemoryBytes, r.MemoryBytes)
}

func (e *Engine) used() uint64 {
	var sum uint64
	for _, r := range e.replicas {
		sum += r.MemoryBytes
	}
	return sum
}

func (e *Engine) tier(checkpoint string) ports.Tier {
	if tier, ok := e.cached[checkpoint]; ok {
		return tier
	}
	return ports.TierRemote
}

func (e *Engine) snapshot() ports.TargetState {
	state := e.state
	state.Cached = maps.Clone(e.cached)
	for _, id := range slices.Sorted(maps.Keys(e.replicas)) {
		r := e.replicas[id].ReplicaState
		r.Adapters = slices.Clone(r.Adapters)
		state.Replicas = append(state.Replicas, r)
	}
	return state
}

// LoadTime returns how long a load takes from a tier, given its time from the
// weight store.
func LoadTime(tier ports.Tier, remote time.Duration) time.Duration {
	switch tier {
	case ports.TierMemory:
		return remote / memorySpeedup
	case ports.TierDisk:
		return remote / diskSpeedup
	default:
		return remote
	}
}

// Speedups of loads from cached tiers against the weight store.
const (
	memorySpeedup = 20
	diskSpeedup   = 4
)
