package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// minOrderRetryDelay is the delay after a target did not answer; it doubles with each
	// further failure.
	minOrderRetryDelay = 250 * time.Millisecond
	// maxOrderRetryDelay is the maximum delay before the next order.
	maxOrderRetryDelay = 5 * time.Second
	// unloadRepeatInterval is the interval at which an unload is repeated until it is
	// confirmed.
	unloadRepeatInterval = time.Second
)

// sendOrders sends the next order to every target without one in flight. A target has at
// most one order in flight, so that each reply shows a state that no earlier order can
// still change, except one whose reply was lost.
func (s *Shard) sendOrders() {
	for _, id := range s.targetsToReview() {
		t := s.targets[id]
		if t.orderInFlight || s.now.Before(t.retryAt) || !t.instance.Addr.IsValid() {
			continue
		}
		if o, after, ok := s.nextOrder(t); ok {
			s.sendOrder(t, o, after)
		}
	}
}

// nextOrder derives the target's next order from the state, with a handler for its reply.
func (s *Shard) nextOrder(t *target) (ports.Order, func(ports.OrderReply), bool) {
	if s.needsFence(t) {
		return ports.Order{Kind: ports.OrderFence}, nil, true
	}
	for _, id := range t.replicaIDs() {
		r := t.replicas[id]
		if o, after, ok := s.nextReplicaOrder(t, r); ok {
			return o, after, true
		}
	}
	if len(t.failedReplicas) > 0 && s.canOrder(t, 0) {
		return ports.Order{Kind: ports.OrderUnload, Replica: t.failedReplicas[0]}, nil, true
	}
	every := s.settings.ReportEvery
	if t.isBusy() {
		every = s.settings.BusyReportInterval
	}
	if _, recent := t.pendingAdapters(s.now); recent {
		every = adapterReportInterval
	}
	if s.now.Sub(t.lastOrderAt) >= every {
		return ports.Order{Kind: ports.OrderReport}, nil, true
	}
	return ports.Order{}, nil, false
}

// needsFence reports whether the target's fence must be raised: at the beginning of an
// ownership term, after a restart of the engine, and to fence off an order of this owner
// whose reply was lost, for which the epoch was raised.
func (s *Shard) needsFence(t *target) bool {
	if !t.fenceRaised {
		return true
	}
	if t.ignoresFence || t.state == nil || t.state.Fence >= s.ownership.epoch {
		return false
	}
	for _, r := range t.replicas {
		if r.seen == nil && r.isUnresolved(&r.Loads) {
			return true
		}
		for _, a := range r.adapters {
			if !a.seen && a.isUnresolved(&a.Loads) {
				return true
			}
		}
	}
	return false
}

func (s *Shard) nextReplicaOrder(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	switch {
	case r.Phase == place.PhaseUnloading:
		return s.nextUnloadOrder(t, r)
	case r.Phase == place.PhaseDecided && !r.sent && r.seen == nil:
		return s.nextLoadOrder(t, r)
	case r.isReady():
		return s.nextAdapterOrder(t, r)
	}
	return ports.Order{}, nil, false
}

func (s *Shard) nextUnloadOrder(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	if s.now.Sub(r.unloadSent) < unloadRepeatInterval || !s.canOrder(t, r.seq) {
		return ports.Order{}, nil, false
	}
	r.unloadSent = s.now
	return ports.Order{Kind: ports.OrderUnload, Replica: r.ID, Model: r.Model}, nil, true
}

func (s *Shard) nextLoadOrder(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	if !r.Names(s.sender()) {
		r.seq = s.recordSender(&r.Loads, &r.delivery)
	}
	if !s.canOrder(t, r.seq) || (!s.isWritten(r.seq) && !s.canLoadUnwritten(t, r)) {
		return ports.Order{}, nil, false
	}
	r.sent = true
	o := ports.Order{
		Kind:        ports.OrderLoad,
		Replica:     r.ID,
		Model:       r.Model,
		Revision:    r.Revision,
		Checkpoint:  r.Checkpoint,
		MemoryBytes: r.MemoryBytes,
		Concurrency: r.Concurrency,
	}
	return o, func(reply ports.OrderReply) { s.handleLoadReply(t, r, reply) }, true
}

// isUnresolved reports whether the reply to this term's order was lost and the order may
// still arrive.
func (d *delivery) isUnresolved(l *place.Loads) bool {
	return d.sent && d.answered && len(l.Unresolved) > 0
}

// recordSender records this owner as a sender before it sends, so that a successor knows
// whose order may still arrive. It returns the change that has to be written first. A
// record of this owner with an earlier epoch was not used and is replaced.
func (s *Shard) recordSender(l *place.Loads, d *delivery) uint64 {
	if !d.sent {
		l.Resolve(s.isCurrentSender)
	}
	l.Unresolved = append(l.Unresolved, s.sender())
	l.Sends++
	return s.markChanged()
}

func (s *Shard) sender() place.Sender {
	self := s.settings.Self
	return place.Sender{Instance: self.ID, Incarnation: self.Incarnation, Epoch: s.ownership.epoch}
}

// canOrder reports whether an order that depends on a change may be sent. In an outage it
// may be sent before the change is written to targets that check fencing; to the others
// it may be sent only while the lease is safe.
func (s *Shard) canOrder(t *target, seq uint64) bool {
	if s.ownership.superseded {
		return false
	}
	if t.ignoresFence {
		return s.isLeaseSafe() && s.isWritten(seq)
	}
	return t.fenceRaised && s.isWritten(t.bootSeq) && (s.isWritten(seq) || s.canOrderUnwritten())
}

func (s *Shard) sendOrder(t *target, o ports.Order, after func(ports.OrderReply)) {
	o.Epoch = s.ownership.epoch
	if o.Kind != ports.OrderFence && o.Kind != ports.OrderReport {
		o.Boot = t.boot
		if t.ignoresFence {
			o.NotAfter = s.leaseSafeUntil()
		}
	}
	t.orderInFlight = true
	t.lastOrderAt = s.now
	term := s.term
	tag := s.registerReply(func(ev ports.Event) {
		if s.term == term {
			t.orderInFlight = false
			s.answeredTarget = t.id
			s.handleOrderReply(t, o, ev.(ports.OrderDone).Reply, after)
		}
	})
	s.emit(ports.OrderCall{Tag: tag, To: t.instance.Addr, Order: o})
}

func (s *Shard) handleOrderReply(t *target, o ports.Order, reply ports.OrderReply, after func(ports.OrderReply)) {
	if s.targets[t.id] != t {
		s.answeredTarget = ""
		return
	}
	if after != nil {
		after(reply)
	}
	if reply.State == nil || reply.State.ID != t.id {
		s.handleNoReply(t, reply.Status)
		return
	}
	t.failures = 0
	t.lastReplyAt = s.now
	if t.answeringSince.IsZero() {
		t.answeringSince = s.now
	}
	if t.failingHint && t.hintAt.Before(t.lastOrderAt) {
		t.failingHint = false
	}
	s.applyReport(t, o, *reply.State)
	if _, recent := t.pendingAdapters(s.now); recent {
		s.after(adapterReportInterval, func() {})
	}
	if reply.State.ChecksFence && reply.State.Fence > s.ownership.epoch {
		s.handleSuperseded(reply.State.Fence)
	}
}

func (s *Shard) handleNoReply(t *target, status ports.OrderStatus) {
	if status == ports.OrderUnsent {
		t.retryAt = s.now.Add(minOrderRetryDelay)
		return
	}
	t.failures++
	t.answeringSince = time.Time{}
	wait := min(minOrderRetryDelay<<min(t.failures-1, 8), maxOrderRetryDelay)
	t.retryAt = s.now.Add(wait/2 + s.jitter(wait/2))
}

// handleLoadReply determines from the reply whether this owner's load order can still
// arrive.
func (s *Shard) handleLoadReply(t *target, r *replica, reply ports.OrderReply) {
	if t.replicas[r.ID] != r {
		return
	}
	switch reply.Status {
	case ports.OrderTaken:
		r.answered = true
		s.resolve(&r.Loads, s.isCurrentSender)
	case ports.OrderRefused:
		s.resolve(&r.Loads, s.isCurrentSender)
		r.answered = true
		if reply.State != nil && reply.State.Boot == t.boot {
			s.handleLoadFailure(t, r, reply.Reason)
		}
	case ports.OrderUnsent, ports.OrderFenced:
		r.sent = false
	case ports.OrderUnknown:
		r.answered = true
	}
}

func (s *Shard) isSelf(sender place.Sender) bool {
	return sender.Instance == s.settings.Self.ID && sender.Incarnation == s.settings.Self.Incarnation
}

// isCurrentSender reports whether the sender is this owner in this ownership term.
func (s *Shard) isCurrentSender(sender place.Sender) bool {
	return s.isSelf(sender) && sender.Epoch >= s.ownership.firstEpoch
}

// resolve removes the unresolved senders whose order can no longer arrive.
func (s *Shard) resolve(l *place.Loads, which func(place.Sender) bool) {
	if l.Resolve(which) {
		s.markChangedLazily()
	}
}

// replicaID returns an ID that is never reused: an epoch belongs to one owner, and an
// owner counts its replicas.
func (s *Shard) replicaID() string {
	return fmt.Sprintf("%s-%d-%d-%d", s.settings.Zone, s.settings.Shard, s.ownership.epoch, s.lastReplica)
}
