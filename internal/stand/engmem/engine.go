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
	// hidesUse means that reports do not tell the use of adapters.
	hidesUse bool
	// forgets means that checkpoints are not cached.
	forgets bool
}

type replica struct {
	ports.ReplicaState
	checkpoint string
	adapters   map[string]*adapter
}

// adapter is one adapter of a replica. Its memory is taken from when its load
// begins and reported from when it has ended.
type adapter struct {
	memoryBytes uint64
	loaded      bool
	// going means that it is removed with the end of the last request that uses it.
	going bool
	use   ports.AdapterUse
}

// Record is what an oracle wants to know of an engine's past.
type Record struct {
	// Overcommitted counts the orders that would have overcommitted memory.
	Overcommitted int
	// UsedBytes is the memory taken now, by adapters that are loading as well.
	UsedBytes uint64
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

// WithoutAdapterUse has the engine not tell what its adapters are used for.
func WithoutAdapterUse() Option {
	return func(e *Engine) { e.hidesUse = true }
}

// WithoutCache has every load of a model read the weight store.
func WithoutCache() Option {
	return func(e *Engine) { e.forgets = true }
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
	return e.report(r), true
}

// Record returns what happened so far.
func (e *Engine) Record() Record {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.record
	r.Loads = maps.Clone(r.Loads)
	r.UsedBytes = e.used()
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
	return e.BeginWith(id, "")
}

// BeginWith starts a request that uses an adapter, or none if its name is empty;
// it returns false if the replica or the adapter takes no requests.
func (e *Engine) BeginWith(id, name string) (func(), bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r := e.replicas[id]
	if r == nil || r.Phase != ports.PhaseReady {
		return nil, false
	}
	var a *adapter
	if name != "" {
		if a = r.adapters[name]; a == nil || !a.loaded || a.going {
			return nil, false
		}
		a.use.Running++
	}
	r.Running++
	return sync.OnceFunc(func() { e.end(r, name, a) }), true
}

func (e *Engine) end(r *replica, name string, a *adapter) {
	e.mu.Lock()
	defer e.mu.Unlock()
	r.Running--
	r.Served++
	if a != nil {
		a.use.Running--
		a.use.Served++
		r.dropIfGone(name, a)
	}
	if r.Phase == ports.PhaseUnloading && r.Running == 0 && e.replicas[r.Replica] == r {
		delete(e.replicas, r.Replica)
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
	r := &replica{checkpoint: o.Checkpoint, adapters: make(map[string]*adapter)}
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
	if !e.forgets {
		e.cached[r.checkpoint] = ports.TierMemory
	}
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
	if a := r.adapters[o.Adapter]; a != nil {
		a.going = false
		return ports.OrderTaken, "", nil
	}
	if e.used()+o.MemoryBytes > e.state.MemoryBytes {
		e.record.Overcommitted++
		return ports.OrderRefused, "not enough accelerator memory", nil
	}
	a := &adapter{memoryBytes: o.MemoryBytes}
	r.adapters[o.Adapter] = a
	e.state.AdapterLoads++
	e.record.PeakBytes = max(e.record.PeakBytes, e.used())
	return ports.OrderTaken, "", func() {
		e.loader(o.Checkpoint, ports.TierMemory, func(err error) { e.adapterLoaded(r, o.Adapter, a, err) })
	}
}

func (e *Engine) adapterLoaded(r *replica, name string, a *adapter, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.AdapterLoads--
	a.loaded = err == nil
	if err != nil {
		a.going = true
	}
	r.dropIfGone(name, a)
}

func (e *Engine) unloadAdapter(o ports.Order) {
	r := e.replicas[o.Replica]
	if r == nil {
		return
	}
	if a := r.adapters[o.Adapter]; a != nil {
		a.going = true
		if a.loaded {
			r.dropIfGone(o.Adapter, a)
		}
	}
}

// dropIfGone removes an adapter that is to go and that no request uses.
func (r *replica) dropIfGone(name string, a *adapter) {
	if a.going && a.use.Running == 0 && r.adapters[name] == a {
		delete(r.adapters, name)
	}
}

// report is the replica's state with its adapters in order.
func (e *Engine) report(r *replica) ports.ReplicaState {
	state := r.ReplicaState
	for _, name := range slices.Sorted(maps.Keys(r.adapters)) {
		if !r.adapters[name].loaded {
			continue
		}
		state.Adapters = append(state.Adapters, name)
		state.MemoryBytes += r.adapters[name].memoryBytes
		if e.hidesUse {
			continue
		}
		if state.AdapterUse == nil {
			state.AdapterUse = make(map[string]ports.AdapterUse)
		}
		state.AdapterUse[name] = r.adapters[name].use
	}
	return state
}

func (e *Engine) used() uint64 {
	var sum uint64
	for _, r := range e.replicas {
		sum += r.MemoryBytes
		for _, a := range r.adapters {
			sum += a.memoryBytes
		}
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
		state.Replicas = append(state.Replicas, e.report(e.replicas[id]))
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
