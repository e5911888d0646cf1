package owner

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// adapter is one adapter of a replica. Like a replica it is charged from the decision to
// load it until the target's report shows that it is gone and no copy of its load order
// can still arrive. It needs no permit.
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
	// adapterRetryDelay is the delay after an adapter's load was refused.
	adapterRetryDelay = time.Second
	// adapterReportInterval is the interval of reports from a target that has been
	// ordered to load an adapter.
	adapterReportInterval = 25 * time.Millisecond
	// adapterReportPeriod is how long after such an order adapterReportInterval applies,
	// as long as adapters may take to load.
	adapterReportPeriod = time.Second
)

func (s *Shard) adoptAdapters(planned map[string]place.Adapter) map[string]*adapter {
	adapters := make(map[string]*adapter)
	for name, a := range planned {
		adapters[name] = &adapter{Adapter: a, lastUsed: s.now}
	}
	return adapters
}

// plannedAdapters returns the replica's adapters as shown in the plan.
func (r *replica) plannedAdapters() map[string]place.Adapter {
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

// servedAdapters returns the adapters that requests may be sent to.
func (r *replica) servedAdapters() []string {
	var names []string
	for _, name := range r.seen.Adapters {
		if a := r.adapters[name]; a != nil && !a.Unloading {
			names = append(names, name)
		}
	}
	return names
}

// updateAdapters applies the target's report of a replica's adapters.
func (s *Shard) updateAdapters(t *target, r *replica) {
	shown := make(map[string]bool, len(r.seen.Adapters))
	for _, name := range r.seen.Adapters {
		shown[name] = true
		if r.adapters[name] == nil {
			// An earlier owner loaded it without writing it to the plan, or its order
			// arrived late.
			c := s.adapterConfig(name)
			r.adapters[name] = &adapter{Adapter: place.Adapter{Checkpoint: c.Checkpoint, MemoryBytes: c.MemoryBytes}}
			s.markChanged()
		}
	}
	for _, name := range r.adapterNames() {
		if shown[name] {
			s.updateAdapter(t, r, name)
		} else {
			s.handleMissingAdapter(t, r, name)
		}
	}
}

func (s *Shard) updateAdapter(t *target, r *replica, name string) {
	a := r.adapters[name]
	if !a.seen {
		a.seen, a.used = true, false
		a.readyAt, a.lastUsed = s.now, s.now
		s.dequeueAdapter(r.Model, name)
	}
	s.trackAdapterUse(r, a, name)
	s.resolveSeen(t, &a.Loads, &a.delivery)
	if len(a.Unresolved) == 0 {
		// The adapter is loaded, and no copy of its order is in transit.
		a.Sends = 0
	}
}

// trackAdapterUse tracks the requests of an adapter. If the engine does not report them
// by adapter, each adapter counts as used as long as its replica is.
func (s *Shard) trackAdapterUse(r *replica, a *adapter, name string) {
	use, known := r.seen.AdapterUse[name]
	if !known {
		use = ports.AdapterUse{Running: r.seen.Running + r.seen.Queued, Served: r.seen.Served}
	}
	if use.Running > 0 || use.Served != a.use.Served {
		a.lastUsed = s.now
		a.used = a.used || known
	}
	a.use = use
}

// handleMissingAdapter handles a planned adapter that the target's report does not show.
func (s *Shard) handleMissingAdapter(t *target, r *replica, name string) {
	a := r.adapters[name]
	wasSeen := a.seen
	a.seen = false
	s.resolve(&a.Loads, s.fencedOff(t))
	s.resolveAfterTransit(t, &a.Loads, &a.delivery)
	if len(a.Unresolved) > 0 {
		s.fenceLostOrder(t, &a.Loads, &a.delivery)
		return
	}
	if !wasSeen && t.state.AdapterLoads > 0 {
		// It may be one of the adapters that are loading now.
		return
	}
	switch {
	case wasSeen || a.Unloading:
		s.removeAdapter(r, name)
	case a.sent && a.answered:
		// The load has failed.
		a.delivery, a.retryAt = delivery{}, s.now.Add(adapterRetryDelay)
	}
}

func (s *Shard) removeAdapter(r *replica, name string) {
	delete(r.adapters, name)
	s.markChangedLazily()
}

// markAdapterUnloading has an adapter unloaded once that is written.
func (s *Shard) markAdapterUnloading(a *adapter) {
	if !a.Unloading {
		a.Unloading = true
		a.seq = s.markChanged()
	}
}

// nextAdapterOrder returns the next order for a replica's adapters. Unloads go before
// loads, which may need the memory that they free.
func (s *Shard) nextAdapterOrder(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	names := r.adapterNames()
	for _, name := range names {
		a := r.adapters[name]
		if a.Unloading && a.seen && s.now.Sub(a.unloadSent) >= unloadRepeatInterval && s.canOrder(t, a.seq) {
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
			a.seq = s.recordSender(&a.Loads, &a.delivery)
		}
		if s.canOrder(t, a.seq) && s.adapterLoadsInFlight() < s.settings.AdapterLoads {
			o, after := s.adapterLoadOrder(t, r, name)
			return o, after, true
		}
	}
	return ports.Order{}, nil, false
}

func (s *Shard) adapterLoadOrder(t *target, r *replica, name string) (ports.Order, func(ports.OrderReply)) {
	a := r.adapters[name]
	a.sent, a.sentAt = true, s.now
	t.adapterLoadInFlight = true
	o := ports.Order{
		Kind:        ports.OrderLoadAdapter,
		Replica:     r.ID,
		Model:       r.Model,
		Adapter:     name,
		Checkpoint:  a.Checkpoint,
		MemoryBytes: a.MemoryBytes,
	}
	return o, func(reply ports.OrderReply) {
		t.adapterLoadInFlight = false
		if t.replicas[r.ID] == r && r.adapters[name] == a {
			s.handleAdapterReply(a, reply)
		}
	}
}

// handleAdapterReply determines from the reply whether this owner's load order can still
// arrive.
func (s *Shard) handleAdapterReply(a *adapter, reply ports.OrderReply) {
	switch reply.Status {
	case ports.OrderTaken:
		a.answered = true
		s.resolve(&a.Loads, s.isCurrentSender)
	case ports.OrderRefused:
		a.delivery, a.retryAt = delivery{}, s.now.Add(adapterRetryDelay)
		s.resolve(&a.Loads, s.isCurrentSender)
	case ports.OrderUnsent, ports.OrderFenced:
		a.sent = false
	case ports.OrderUnknown:
		a.answered = true
	}
}

// adapterLoadsInFlight counts the adapter loads in flight in the shard, including those
// ordered and not answered yet.
func (s *Shard) adapterLoadsInFlight() int {
	n := 0
	for _, t := range s.targets {
		if t.adapterLoadInFlight {
			n++
		}
		if t.state != nil {
			n += t.state.AdapterLoads
		}
	}
	return n
}

// pendingAdapters counts the adapters of a target whose load is charged and not
// confirmed, and reports whether one of them was ordered recently.
func (t *target) pendingAdapters(now time.Time) (n int, recent bool) {
	for _, r := range t.replicas {
		for _, a := range r.adapters {
			if a.seen {
				continue
			}
			n++
			recent = recent || a.sent && now.Sub(a.sentAt) < adapterReportPeriod
		}
	}
	return n, recent
}

// hasUnplannedAdapterLoads reports whether adapters are loading that the plan does not
// charge: an earlier owner ordered them without writing them to the plan, and the report
// does not show their size.
func (t *target) hasUnplannedAdapterLoads() bool {
	if t.state.AdapterLoads == 0 {
		return false
	}
	pending, _ := t.pendingAdapters(time.Time{})
	return t.state.AdapterLoads > pending
}

// unloadUnusedAdapters unloads the adapters of a ready replica after their keep-alive and
// those that were removed from or changed in the configuration, and cancels planned loads
// that nobody waits for any more.
func (s *Shard) unloadUnusedAdapters(r *replica) {
	for _, name := range r.adapterNames() {
		a := r.adapters[name]
		switch {
		case a.Unloading:
		case s.isAdapterOutdated(r, a, name):
			s.markAdapterUnloading(a)
		case !a.seen:
			s.cancelAdapterLoad(r, name)
		case s.isAdapterIdle(a) && s.adapterQueue.queued[name] == nil:
			v := s.adapterView(r.Model, name, a)
			if s.now.Sub(a.lastUsed) >= s.policies.KeepAlive.Decide(s.now, v) {
				s.markAdapterUnloading(a)
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

// cancelAdapterLoad cancels a planned load that nobody waits for, unless an order for it
// may still arrive.
func (s *Shard) cancelAdapterLoad(r *replica, name string) {
	a := r.adapters[name]
	if a.sent || s.adapterQueue.queued[name] != nil {
		return
	}
	s.resolve(&a.Loads, s.isCurrentSender)
	if len(a.Unresolved) == 0 {
		s.removeAdapter(r, name)
	}
}

func (s *Shard) isAdapterIdle(a *adapter) bool {
	return a.seen && !a.Unloading && a.use.Running == 0
}
