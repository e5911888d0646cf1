package owner

import (
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// orderRetryFirst and orderRetryLimit bound the wait after a target did not answer.
	orderRetryFirst = 250 * time.Millisecond
	orderRetryLimit = 5 * time.Second
	// unloadRepeat is the period at which an unload is repeated until it is confirmed.
	unloadRepeat = time.Second
)

// sendOrders gives every idle target its next order. A target has one order
// under way at a time, so that each reply shows a state that no earlier order
// can still change, except one whose answer was lost.
func (s *Shard) sendOrders() {
	for _, id := range s.scope() {
		t := s.targets[id]
		if t.busy || s.now.Before(t.nextTry) || !t.instance.Addr.IsValid() {
			continue
		}
		if o, after, ok := s.nextOrder(t); ok {
			s.send(t, o, after)
		}
	}
}

// nextOrder derives the next order from the state, and what to do with its reply.
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
	if len(t.remnants) > 0 && s.mayOrder(t, 0) {
		return ports.Order{Kind: ports.OrderUnload, Replica: t.remnants[0]}, nil, true
	}
	every := s.settings.ReportEvery
	if t.isBusy() {
		every = s.settings.ReportFast
	}
	if _, fresh := t.pendingAdapters(s.now); fresh {
		every = adapterPoll
	}
	if s.now.Sub(t.lastAsk) >= every {
		return ports.Order{Kind: ports.OrderReport}, nil, true
	}
	return ports.Order{}, nil, false
}

// needsFence tells whether the target's fence must go up: at the start of a
// tenure, after a restart of the engine, and to fence off an own order whose
// answer was lost, for which the epoch was raised.
func (s *Shard) needsFence(t *target) bool {
	if !t.raised {
		return true
	}
	if t.ignoresFence || t.state == nil || t.state.Fence >= s.session.epoch {
		return false
	}
	for _, r := range t.replicas {
		if r.seen == nil && r.isLost(&r.Loads) {
			return true
		}
		for _, a := range r.adapters {
			if !a.seen && a.isLost(&a.Loads) {
				return true
			}
		}
	}
	return false
}

func (s *Shard) nextReplicaOrder(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	switch {
	case r.Phase == place.PhaseUnloading:
		return s.nextUnload(t, r)
	case r.Phase == place.PhaseDecided && !r.sent && r.seen == nil:
		return s.nextLoad(t, r)
	case r.isReady():
		return s.nextAdapter(t, r)
	}
	return ports.Order{}, nil, false
}

func (s *Shard) nextUnload(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	if s.now.Sub(r.unloadSent) < unloadRepeat || !s.mayOrder(t, r.seq) {
		return ports.Order{}, nil, false
	}
	r.unloadSent = s.now
	return ports.Order{Kind: ports.OrderUnload, Replica: r.ID, Model: r.Model}, nil, true
}

func (s *Shard) nextLoad(t *target, r *replica) (ports.Order, func(ports.OrderReply), bool) {
	if !r.Names(s.sender()) {
		r.seq = s.stamp(&r.Loads, &r.delivery)
	}
	if !s.mayOrder(t, r.seq) || (!s.isWritten(r.seq) && !s.mayLoadOffPlan(t, r)) {
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
	return o, func(reply ports.OrderReply) { s.loadAnswered(t, r, reply) }, true
}

// isLost tells whether the answer to this tenure's order was lost and the order
// may still arrive.
func (d *delivery) isLost(l *place.Loads) bool {
	return d.sent && d.answered && len(l.Unresolved) > 0
}

// stamp names this owner as a sender before it sends, so that a successor knows
// whose order may still arrive, and returns the change that has to be written
// for that. An own stamp of an earlier epoch was not used.
func (s *Shard) stamp(l *place.Loads, d *delivery) uint64 {
	if !d.sent {
		l.Resolve(s.isOwnNow)
	}
	l.Unresolved = append(l.Unresolved, s.sender())
	l.Sends++
	return s.changed()
}

func (s *Shard) sender() place.Sender {
	self := s.settings.Self
	return place.Sender{Instance: self.ID, Incarnation: self.Incarnation, Epoch: s.session.epoch}
}

// mayOrder tells whether an order that rests on a change may go out. To targets
// that check fencing it may go ahead of the change's write in an outage; to the
// others it may go only while the lease stands.
func (s *Shard) mayOrder(t *target, seq uint64) bool {
	if s.session.superseded {
		return false
	}
	if t.ignoresFence {
		return s.isSafe() && s.isWritten(seq)
	}
	return t.raised && s.isWritten(t.bootSeq) && (s.isWritten(seq) || s.isOffPlan())
}

func (s *Shard) send(t *target, o ports.Order, after func(ports.OrderReply)) {
	o.Epoch = s.session.epoch
	if o.Kind != ports.OrderFence && o.Kind != ports.OrderReport {
		o.Boot = t.boot
		if t.ignoresFence {
			o.NotAfter = s.safeEnd()
		}
	}
	t.busy = true
	t.lastAsk = s.now
	tenure := s.tenure
	tag := s.expect(func(ev ports.Event) {
		if s.tenure == tenure {
			t.busy = false
			s.answered = t.id
			s.orderDone(t, o, ev.(ports.OrderDone).Reply, after)
		}
	})
	s.emit(ports.OrderCall{Tag: tag, To: t.instance.Addr, Order: o})
}

func (s *Shard) orderDone(t *target, o ports.Order, reply ports.OrderReply, after func(ports.OrderReply)) {
	if s.targets[t.id] != t {
		s.answered = ""
		return
	}
	if after != nil {
		after(reply)
	}
	if reply.State == nil || reply.State.ID != t.id {
		s.unanswered(t, reply.Status)
		return
	}
	t.failures = 0
	t.lastOK = s.now
	if t.answering.IsZero() {
		t.answering = s.now
	}
	if t.failing && t.newsAt.Before(t.lastAsk) {
		t.failing = false
	}
	s.observe(t, o, *reply.State)
	if _, fresh := t.pendingAdapters(s.now); fresh {
		s.after(adapterPoll, func() {})
	}
	if reply.State.ChecksFence && reply.State.Fence > s.session.epoch {
		s.superseded(reply.State.Fence)
	}
}

func (s *Shard) unanswered(t *target, status ports.OrderStatus) {
	if status == ports.OrderUnsent {
		t.nextTry = s.now.Add(orderRetryFirst)
		return
	}
	t.failures++
	t.answering = time.Time{}
	wait := min(orderRetryFirst<<min(t.failures-1, 8), orderRetryLimit)
	t.nextTry = s.now.Add(wait/2 + s.jitter(wait/2))
}

// loadAnswered settles whether this owner's load order can still arrive.
func (s *Shard) loadAnswered(t *target, r *replica, reply ports.OrderReply) {
	if t.replicas[r.ID] != r {
		return
	}
	switch reply.Status {
	case ports.OrderTaken:
		r.answered = true
		s.resolve(&r.Loads, s.isOwnNow)
	case ports.OrderRefused:
		s.resolve(&r.Loads, s.isOwnNow)
		r.answered = true
		if reply.State != nil && reply.State.Boot == t.boot {
			s.loadFailed(t, r, reply.Reason)
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

// isOwnNow tells whether the sender is this owner in this tenure.
func (s *Shard) isOwnNow(sender place.Sender) bool {
	return s.isSelf(sender) && sender.Epoch >= s.session.first
}

// resolve strikes out the senders whose order cannot arrive any more.
func (s *Shard) resolve(l *place.Loads, which func(place.Sender) bool) {
	if l.Resolve(which) {
		s.changedLazily()
	}
}

// replicaID is unique for all time: an epoch belongs to one owner, and an
// owner counts up.
func (s *Shard) replicaID() string {
	return fmt.Sprintf("%s-%d-%d-%d", s.settings.Zone, s.settings.Shard, s.session.epoch, s.lastReplica)
}
