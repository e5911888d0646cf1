package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// adapter is one adapter of a replica. Like a replica it is charged from the
// decision to load it until the target's account shows that it is gone and no
// copy of its load order can still arrive; permits it needs none.
type adapter struct {
	place.Adapter
	delivery
	// seq is the change that must be written before the adapter is ordered.
	seq uint64
	// seen means that the target's latest report shows the adapter.
	seen bool
	// used means that it has served a request since it was loaded.
	used       bool
	use        ports.AdapterUse
	readyAt    time.Time
	lastUsed   time.Time
	sentAt     time.Time
	retryAt    time.Time
	unloadSent time.Time
}

const (
	// adapterRetry is the wait after an adapter's load was refused.
	adapterRetry = time.Second
	// adapterPoll is the period of reports from a target that has begun to load
	// an adapter, for as long as adapters take, and adapterPollFor their time.
	adapterPoll    = 25 * time.Millisecond
	adapterPollFor = time.Second
)

func (s *Shard) adoptAdapters(planned map[string]place.Adapter) map[string]*adapter {
	adapters := make(map[string]*adapter)
	for name, a := range planned {
		adapters[name] = &adapter{Adapter: a, lastUsed: s.now}
	}
	return adapters
}

// planAdapters is what the plan shows of the replica's adapters.
func (r *replica) planAdapters() map[string]place.Adapter {
	if len(r.adapters) == 0 {
		return nil
	}
	planned := make(map[string]place.Adapter, len(r.adapters))
	for name, a := range r.adapters {
		planned[name] = a.Adapter
	}
	return planned
}

func (r *replica) adapterNames() []string {
	return slices.Sorted(maps.Keys(r.adapters))
}

// servedAdapters are those that requests may be sent to.
func (r *replica) servedAdapters() []string {
	var names []string
	for _, name := range r.seen.Adapters {
		if a := r.adapters[name]; a != nil && !a.Unloading {
			names = append(names, name)
		}
	}
	return names
}

// seeAdapters takes the target's account of a replica's adapters.
func (s *Shard) seeAdapters(t *target, r *replica) {
	shown := make(map[string]bool, len(r.seen.Adapters))
	for _, name := range r.seen.Adapters {
		shown[name] = true
		if r.adapters[name] == nil {
			// An earlier owner loaded it off the plan, or its late order came.
			c := s.adapterConfig(name)
			r.adapters[name] = &adapter{Adapter: place.Adapter{Checkpoint: c.Checkpoint, MemoryBytes: c.MemoryBytes}}
			s.changed()
		}
	}
	for _, name := range r.adapterNames() {
		if shown[name] {
			s.seeAdapter(t, r, name)
		} else {
			s.missAdapter(t, r, name)
		}
	}
}

func (s *Shard) seeAdapter(t *target, r *replica, name string) {
	a := r.adapters[name]
	if !a.seen {
		a.seen, a.used = true, false
		a.readyAt, a.lastUsed = s.now, s.now
		s.adapterReady(r.Model, name)
	}
	s.noteUse(r, a, name)
	s.settleSeen(t, &a.Loads, &a.delivery)
	if len(a.Unresolved) == 0 {
		// What is there is there, and no copy of its order is under way.
		a.Sends = 0
	}
}

// noteUse follows the requests of an adapter. Where the engine does not tell
// them apart, each may be in use as long as its replica is.
func (s *Shard) noteUse(r *replica, a *adapter, name string) {
	use, told := r.seen.AdapterUse[name]
	if !told {
		use = ports.AdapterUse{Running: r.seen.Running + r.seen.Queued, Served: r.seen.Served}
	}
	if use.Running > 0 || use.Served != a.use.Served {
		a.lastUsed = s.now
		a.used = a.used || told
	}
	a.use = use
}

// missAdapter handles a planned adapter that the target does not show.
func (s *Shard) missAdapter(t *target, r *replica, name string) {
	a := r.adapters[name]
	wasSeen := a.seen
	a.seen = false
	s.resolve(&a.Loads, s.isFencedOff(t))
	s.settleQuiet(t, &a.Loads, &a.delivery)
	if len(a.Unresolved) > 0 {
		s.pursue(t, &a.Loads, &a.delivery)
		return
	}
	if !wasSeen && t.state.AdapterLoads > 0 {
		// It may be one of those that are loading now.
		return
	}
	switch {
	case wasSeen || a.Unloading:
		s.dropAdapter(r, name)
	case a.sent && a.answered:
		// The load has failed.
		a.delivery, a.retryAt = delivery{}, s.now.Add(adapterRetry)
	}
}

func (s *Shard) dropAdapter(r *replica, name string) {
	delete(r.adapters, name)
	s.changedLazily()
}

// unloadAdapter has an adapter go, once that is written.
func (s *Shard) unloadAdapter(a *adapter) {
	if !a.Unloading {
		a.Unloading = true
		a.seq = s.changed()
	}
}

// nextAdapter is the next order for a replica's adapters: removals before loads,
// which may wait for their room.
func (s *Shard) nextAdapter(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	names := r.adapterNames()
	for _, name := range names {
		a := r.adapters[name]
		if a.Unloading && a.seen && s.now.Sub(a.unloadSent) >= unloadRepeat && s.mayOrder(t, a.seq) {
			a.unloadSent = s.now
			return ports.Order{Kind: ports.OrderUnloadAdapter, Replica: r.ID, Model: r.Model, Adapter: name, MemoryBytes: a.MemoryBytes}, nil, true
		}
	}
	for _, name := range names {
		a := r.adapters[name]
		if a.Unloading || a.seen || a.sent || s.now.Before(a.retryAt) {
			continue
		}
		if !a.Names(s.sender()) {
			a.seq = s.stamp(&a.Loads, &a.delivery)
		}
		if s.mayOrder(t, a.seq) && s.adapterLoads() < s.settings.AdapterLoads {
			o, after := s.adapterLoad(t, r, name)
			return o, after, true
		}
	}
	return ports.Order{}, nil, false
}

func (s *Shard) adapterLoad(t *target, r *replica, name string) (ports.Order, func(ports.OrderReply)) {
	a := r.adapters[name]
	a.sent, a.sentAt = true, s.now
	t.loadsAdapter = true
	o := ports.Order{
		Kind:        ports.OrderLoadAdapter,
		Replica:     r.ID,
		Model:       r.Model,
		Adapter:     name,
		Checkpoint:  a.Checkpoint,
		MemoryBytes: a.MemoryBytes,
	}
	return o, func(reply ports.OrderReply) {
		t.loadsAdapter = false
		if t.replicas[r.ID] == r && r.adapters[name] == a {
			s.adapterAnswered(a, reply)
		}
	}
}

// adapterAnswered settles whether this owner's load order can still arrive.
func (s *Shard) adapterAnswered(a *adapter, reply ports.OrderReply) {
	switch reply.Status {
	case ports.OrderTaken:
		a.answered = true
		s.resolve(&a.Loads, s.isOwnNow)
	case ports.OrderRefused:
		a.delivery, a.retryAt = delivery{}, s.now.Add(adapterRetry)
		s.resolve(&a.Loads, s.isOwnNow)
	case ports.OrderUnsent, ports.OrderFenced:
		a.sent = false
	case ports.OrderUnknown:
		a.answered = true
	}
}

// adapterLoads counts the adapter loads in flight in the shard, those ordered
// and not answered yet included.
func (s *Shard) adapterLoads() int {
	n := 0
	for _, t := range s.targets {
		if t.loadsAdapter {
			n++
		}
		if t.state != nil {
			n += t.state.AdapterLoads
		}
	}
	return n
}

// pendingAdapters counts the adapters of a target whose load is charged and not
// confirmed, and tells whether one of them was just ordered.
func (t *target) pendingAdapters(now time.Time) (n int, fresh bool) {
	for _, r := range t.replicas {
		for _, a := range r.adapters {
			if a.seen {
				continue
			}
			n++
			fresh = fresh || a.sent && now.Sub(a.sentAt) < adapterPollFor
		}
	}
	return n, fresh
}

// hasStrangeLoads tells whether adapters load that the plan does not charge:
// an earlier owner has ordered them off the plan, and the account does not say
// how large they are.
func (t *target) hasStrangeLoads() bool {
	if t.state.AdapterLoads == 0 {
		return false
	}
	pending, _ := t.pendingAdapters(time.Time{})
	return t.state.AdapterLoads > pending
}

// retireAdapters unloads the adapters of a ready replica after their keep-alive,
// and those that the configuration has no longer or has otherwise, and forgets
// the decided ones that nobody waits for any more.
func (s *Shard) retireAdapters(r *replica) {
	for _, name := range r.adapterNames() {
		a := r.adapters[name]
		switch {
		case a.Unloading:
		case s.isAdapterOutdated(r, a, name):
			s.unloadAdapter(a)
		case !a.seen:
			s.forgetAdapter(r, name)
		case s.isAdapterIdle(a) && s.awaited.byName[name] == nil:
			v := s.adapterView(r.Model, name, a)
			if s.now.Sub(a.lastUsed) >= s.policies.KeepAlive.Decide(s.now, v) {
				s.unloadAdapter(a)
			}
		}
	}
}

func (s *Shard) isAdapterOutdated(r *replica, a *adapter, name string) bool {
	c, known := s.config.Adapters[name]
	if !known || c.Model != r.Model || c.MemoryBytes != a.MemoryBytes {
		return true
	}
	return a.Checkpoint != "" && a.Checkpoint != c.Checkpoint
}

// forgetAdapter gives up a decided load that nobody waits for, unless an order
// for it may still arrive.
func (s *Shard) forgetAdapter(r *replica, name string) {
	a := r.adapters[name]
	if a.sent || s.awaited.byName[name] != nil {
		return
	}
	s.resolve(&a.Loads, s.isOwnNow)
	if len(a.Unresolved) == 0 {
		s.dropAdapter(r, name)
	}
}

func (s *Shard) isAdapterIdle(a *adapter) bool {
	return a.seen && !a.Unloading && a.use.Running == 0
}
