package edge

import (
	"context"
	"errors"
	"net"
	"net/netip"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/state/eras"
)

const (
	pathRelay = "/relay"
	// relayTimeout limits the time until a relay's reply begins. Another one or the holder
	// must reply before the updates are too old.
	relayTimeout = 2 * relay.MaxMessageDelay
	// relayZoneSize is the number of instances up to which the instances of a zone send
	// their messages to the holder. In such a zone these cost less than the delay of the
	// detour over a relay.
	relayZoneSize = 24
	// zoneSettleTime is the time from the first message of a term until the holder knows
	// the sizes of the zones. Until then instances keep to what the former holder has said:
	// all of a large fleet at once would each get the full list from the new one.
	zoneSettleTime = 3 * time.Second
	// holderName stands for the holder, whoever that is, as the receiver of arrivals.
	holderName = "holder"
)

// errNotFresh is returned if the other instance is not the holder, or is a relay whose
// updates are not fresh.
var errNotFresh = errors.New("the instance has no fresh updates")

// errFormerUpdates is returned if the other instance's updates are of the store's history before it came back from
// an older copy. An instance that has nothing else reads the store itself.
var errFormerUpdates = errors.New("the updates are of a former history of the store")

// sender is the state of the exchange loop.
type sender struct {
	route  *relay.Route
	outbox *relay.Outbox
	// introducedTo is the instance that knows this one's zone, address and cores.
	introducedTo netip.AddrPort
	// usesRelay reports whether the last message went to a relay.
	usesRelay bool
	// redirectedAt is when the holder has first told this instance to ask its relays for the
	// full list, zero if it has it.
	redirectedAt time.Time
	// demandAt is when demand was last collected.
	demandAt time.Time
}

func newSender() *sender {
	return &sender{route: relay.NewRoute(), outbox: relay.NewOutbox(time.Now())}
}

// redirectTimeout is how long an instance that the holder has told to ask its relays for
// the full list tries to. They get it from the holder at the same time.
const redirectTimeout = 500 * time.Millisecond

// needsFull reports whether the holder is to send the full list itself.
func (s *sender) needsFull(now time.Time) bool {
	return !s.redirectedAt.IsZero() && now.Sub(s.redirectedAt) > redirectTimeout
}

// noteReply records whether a reply of the holder was a redirect.
func (s *sender) noteReply(now time.Time, r *exchangeReply) {
	switch {
	case !r.IsRedirect:
		s.redirectedAt = time.Time{}
	case s.redirectedAt.IsZero():
		s.redirectedAt = now
	}
}

// message is what one round of the exchange loop has to say.
type message struct {
	exchangeRequest
	crashes crash.Report
	// blocks is the version of the blocked parts that this instance has.
	blocks uint64
	wants  []quota.Want
	limits []quota.Report
	// load is the load report, nil in a message without demand.
	load *load.Report
}

// newMessage collects what this instance and its children have to say.
func (e *Edge) newMessage() *message {
	now := e.clock.Now()
	at := e.held.position()
	out := &message{crashes: e.crashes.Report()}
	out.blocks = out.crashes.Version
	out.From, out.Term, out.Version = e.boot.Instance, at.Term, at.Version
	out.HadRelays = e.hasRelays.Load()
	if _, hasReturned := e.history.Age(now); hasReturned {
		out.ConfigVersion = e.configFollower.localVersion.Load()
		out.HistoryFrom, out.Left = e.history.First(), e.tracker.heldBackUpdates()
	}
	if e.isDemandDue(now) {
		out.Demand = e.children.Take(now, e.picker.Demand())
		out.load = e.loadReport()
		e.sender.demandAt = now
	} else {
		out.IsWithoutDemand = true
	}
	out.Leaving = e.picker.AnnouncedLeaving()
	for _, id := range e.children.Leaving(now) {
		if !slices.Contains(out.Leaving, id) {
			out.Leaving = append(out.Leaving, id)
		}
	}
	out.limits, out.wants = e.picker.LimitDemand()
	return out
}

// isDemandDue reports whether the next message contains demand. A relay asks for updates
// more often than its report, which is large, needs to be sent.
func (e *Edge) isDemandDue(now time.Time) bool {
	return !e.children.HasChildren(now) || e.picker.HasQueued() || e.children.HasQueued(now) ||
		now.Sub(e.sender.demandAt) >= relay.Interval-relay.ReportInterval/2
}

// needsHolder reports whether the message has something for the holder alone.
func (m *message) needsHolder() bool {
	c := &m.crashes
	return len(m.limits)+len(m.wants)+len(c.Accusations)+len(c.Proofs)+len(c.Blocks)+len(c.Wanted) > 0
}

// withDirect returns a request with what is for the holder alone.
func (m *message) withDirect(r exchangeRequest) exchangeRequest {
	r.Limits, r.Wants = m.limits, m.wants
	if !m.crashes.IsEmpty() {
		r.Crashes = &m.crashes
	}
	return r
}

// address completes a request for a receiver: its number, the arrivals that the receiver
// has not replied to, and who this instance is if the receiver may not know.
func (e *Edge) address(m *message, name string, to netip.AddrPort) exchangeRequest {
	r := m.exchangeRequest
	r.Load = m.load
	if !m.IsWithoutDemand {
		r.Demand, r.Seq, r.Resent = e.sender.outbox.Pack(e.clock.Now(), name, m.Demand)
		m.Demand = relay.WithoutArrivals(m.Demand)
	}
	if e.sender.introducedTo != to || e.held.wasFull() {
		r.Zone, r.Peer, r.Cores = e.boot.Zone, e.boot.Peer, e.boot.Cores
	}
	return r
}

// settle records the end of an exchange with a part of the message.
func (e *Edge) settle(m *message, r exchangeRequest, name string, to netip.AddrPort, err error) {
	if err == nil {
		e.sender.outbox.Ack(name, r.Seq)
		e.sender.introducedTo = to
		return
	}
	// The next message introduces this instance again, so that it is told again what the
	// lost reply may have said of readers.
	e.sender.introducedTo = netip.AddrPort{}
	if isUnheard(err) {
		e.sender.outbox.Release(name, r.Seq)
	} else if m.load != nil {
		// The receiver may have counted it.
		rest := m.load.WithoutIncrements()
		m.load = &rest
	}
}

// relaysToAsk returns the relays to which this instance may send its messages, in its
// order. There are none in small zones.
func (e *Edge) relaysToAsk() []netip.AddrPort {
	if !e.hasRelays.Load() {
		return nil
	}
	return e.readersToAsk()
}

// isUnheard reports whether the receiver of a message has certainly not taken it.
func isUnheard(err error) bool {
	var op *net.OpError
	return errors.Is(err, errNotFresh) || errors.As(err, &op) && op.Op == "dial"
}

// exchangeWithSelf applies this instance's message as the holder.
func (e *Edge) exchangeWithSelf(m *message) {
	sentAt, asOf := e.timer.Now(), e.clock.Now()
	r := m.withDirect(e.address(m, holderName, e.boot.Peer))
	reply, steady := e.handleExchange(r)
	if !steady {
		return
	}
	e.settle(m, r, holderName, e.boot.Peer, nil)
	e.applyDirect(m, r, reply, sentAt, asOf)
	e.coordinator.sendDueOrders()
}

// exchangeWithHolder sends the whole message to the holder.
func (e *Edge) exchangeWithHolder(ctx context.Context, holder netip.AddrPort, m *message) error {
	e.sender.usesRelay = false
	r := m.withDirect(e.address(m, holderName, holder))
	r.Children = relay.NameChildren(e.children.Live(e.clock.Now()), e.held.childrenKnown())
	reply, err := e.sendToHolder(ctx, holder, m, r)
	e.settle(m, r, holderName, holder, err)
	if err != nil {
		return err
	}
	e.held.setChildrenKnown(reply.ChildrenKnown)
	if reply.IsRedirect && e.sender.redirectedAt.IsZero() {
		e.sender.route = relay.NewRoute()
		e.signalDemand()
	}
	e.sender.noteReply(e.clock.Now(), &reply)
	return nil
}

// exchangeAside sends the holder only what it alone may decide.
func (e *Edge) exchangeAside(ctx context.Context, holder netip.AddrPort, m *message) error {
	r := m.withDirect(exchangeRequest{From: m.From, Term: m.Term, Version: m.Version, HadRelays: m.HadRelays, IsAside: true})
	if _, err := e.sendToHolder(ctx, holder, m, r); err != nil {
		return err
	}
	at := e.held.position()
	m.Term, m.Version = at.Term, at.Version
	m.limits, m.wants, m.crashes = nil, nil, crash.Report{}
	return nil
}

// sendToHolder sends a request and applies the reply.
func (e *Edge) sendToHolder(ctx context.Context, holder netip.AddrPort, m *message, r exchangeRequest) (exchangeReply, error) {
	sentAt, asOf := e.timer.Now(), e.clock.Now()
	reply, err := e.peerClient.exchange(ctx, holder, pathExchange, r, exchangeTimeout)
	if errors.Is(err, syscall.ECONNREFUSED) {
		e.refusedBy.Store(&holder)
	}
	if err != nil {
		return exchangeReply{}, err
	}
	e.refusedBy.Store(nil)
	if !e.noteHistory(&reply) {
		return exchangeReply{}, trace.Wrap(errFormerUpdates, "exchange with %s", holder)
	}
	e.acceptProof(asOf, reply.Proof)
	e.applyDirect(m, r, reply, sentAt, asOf)
	if !reply.IsRedirect {
		e.noteUpdatedAt(asOf)
	}
	return reply, nil
}

// applyDirect applies the holder's reply. The permits come first: what they say of the
// holder's term decides what the limits in the updates mean. The blocks come before their
// version, which this instance tells others as a relay.
func (e *Edge) applyDirect(m *message, r exchangeRequest, reply exchangeReply, sentAt, asOf time.Time) {
	e.applyPermits(r, reply, sentAt)
	e.crashes.Apply(reply.Term, &m.crashes, &reply.Crashes)
	if reply.IsRedirect {
		e.readers.Store(&reply.Readers)
		e.hasRelays.Store(reply.HasRelays)
	} else if merged, ok := e.held.adopt(reply, asOf); ok {
		e.applyUpdates(merged, originHolder, asOf)
	}
	e.applyLoad(&reply, sentAt, asOf)
}

// exchangeWithRelays sends the message to the first relay that replies. It returns false
// if none does.
func (e *Edge) exchangeWithRelays(ctx context.Context, relays []netip.AddrPort, m *message) bool {
	for {
		to, ok := e.sender.route.Next(e.clock.Now(), relays)
		if !ok {
			return false
		}
		age, err := e.exchangeWithRelay(ctx, to, m)
		if err == nil {
			e.sender.usesRelay, e.sender.redirectedAt = true, time.Time{}
			e.sender.route.NoteAge(e.clock.Now(), to, age, relays)
			return true
		}
		failure := relay.Silent
		if errors.Is(err, errNotFresh) {
			failure = relay.Behind
		}
		e.sender.route.Fail(e.clock.Now(), to, failure)
		e.log.Info().Err(err).Str("relay", to.String()).Dur("updateAge", e.updateAge()).Msg("relay failed")
	}
}

// exchangeWithRelay sends the message to a relay and applies the reply. The updates are as
// old as the relay says, counted from the sending of the message.
func (e *Edge) exchangeWithRelay(ctx context.Context, to netip.AddrPort, m *message) (time.Duration, error) {
	r := e.address(m, to.String(), to)
	r.Blocks = m.blocks
	sentAt, asOf := e.timer.Now(), e.clock.Now()
	reply, err := e.peerClient.exchange(ctx, to, pathRelay, r, relayTimeout)
	if err == nil && !e.noteHistory(&reply) {
		err = trace.Wrap(errFormerUpdates, "exchange with %s", to)
	}
	e.settle(m, r, to.String(), to, err)
	if err != nil {
		return 0, err
	}
	e.acceptProof(asOf, reply.Proof)
	age := time.Duration(reply.AgeMS) * time.Millisecond
	merged, ok := e.held.adopt(reply, asOf.Add(-age))
	if !ok {
		// This instance knows more already, but the holder's replies to messages aside do not
		// contain the load.
		e.applyLoad(&reply, sentAt, asOf)
		return age, nil
	}
	if reply.Holder.IsValid() {
		// What is for the holder alone goes there.
		e.election.Post(elect.SetHolder{Holder: reply.Holder})
	}
	e.applyPermits(exchangeRequest{}, reply, sentAt.Add(-age))
	e.applyUpdates(merged, originRelay, asOf.Add(-age))
	e.applyLoad(&reply, sentAt, asOf)
	e.crashes.Apply(reply.Term, &crash.Report{}, &reply.Crashes)
	e.noteUpdatedAt(asOf.Add(-age))
	return age, nil
}

// noteUpdatedAt records that the holder has sent updates at a time or later.
func (e *Edge) noteUpdatedAt(at time.Time) {
	e.updatedAt.Store(max(e.updatedAt.Load(), at.UnixNano()))
}

// exchangeIntervals returns the interval of messages and that while requests wait. Only
// those of messages to the holder grow with the number of their senders.
func (e *Edge) exchangeIntervals() (idle, urgent time.Duration) {
	idle, urgent = relay.Interval, relay.UrgentInterval
	if e.children.HasChildren(e.clock.Now()) {
		idle = relay.ReportInterval
	}
	if e.sender.usesRelay {
		return idle, urgent
	}
	spread := relay.Spread(e.held.senders())
	return idle + spread, urgent + spread
}

// relayExchange replies to an instance of the zone as its relay, from the updates that
// this instance has itself. It returns false if these are not fresh, or if this instance
// is no relay.
func (e *Edge) relayExchange(m exchangeRequest) (exchangeReply, bool) {
	if e.isHolder() {
		return e.handleExchange(m)
	}
	if !e.hasFreshUpdates() || e.stopping.Load() || len(e.readersToAsk()) > 0 {
		return exchangeReply{}, false
	}
	isUrgent := !m.IsWithoutDemand && e.children.Put(e.clock.Now(), relay.Message{
		Child: relay.Child{Name: m.From, Zone: m.Zone, Peer: m.Peer, Cores: m.Cores},
		Seq:   m.Seq, Demand: m.Demand, Resent: m.Resent, Leaving: m.Leaving,
	})
	if isUrgent {
		e.signalDemand()
	}
	out := e.held.reply(e.clock.Now(), relay.Position{Term: m.Term, Version: m.Version})
	if e.proofs.HasGap() {
		// This instance may lack a configuration. Its children would not look for it either.
		out.ConfigThrough = eras.Revision{}
	}
	out.Proof = e.proofNote()
	out.Load = e.relayLoad(&m, out.Term)
	out.Holder = e.coordinator.holderStatus().Holder
	if list := e.readers.Load(); list != nil {
		out.Readers = *list
	}
	if out.Crashes.Version != m.Blocks || out.Term != m.Term {
		out.Crashes.Blocks = e.crashes.Blocks()
	}
	return out, true
}

// heldUpdates is what an instance knows from the holder's updates, in the form that it
// passes on as a relay. It is safe for concurrent use.
type heldUpdates struct {
	mu   sync.Mutex
	copy *relay.Copy
	// last is the last reply without its updates.
	last exchangeReply
	// known is the hash of this instance's children that the holder knows.
	known uint64
}

func newHeldUpdates() *heldUpdates { return &heldUpdates{copy: relay.NewCopy()} }

// position returns the state that the updates have reached.
func (h *heldUpdates) position() relay.Position {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.copy.State().Position
}

// wasFull reports whether the last reply was full, so that its sender may not know this
// instance.
func (h *heldUpdates) wasFull() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last.Full
}

// senders returns the number of instances that send messages to the holder.
func (h *heldUpdates) senders() int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.last.Senders
}

func (h *heldUpdates) childrenKnown() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.known
}

func (h *heldUpdates) setChildrenKnown(hash uint64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.known = hash
}

// adopt records a reply that says what the holder knew at asOf or later, and returns it
// with the newest revisions of its term. It returns false if more is known already.
func (h *heldUpdates) adopt(r exchangeReply, asOf time.Time) (exchangeReply, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	state := relay.State{
		Position: relay.Position{Term: r.Term, Version: r.Version},
		Config:   r.ConfigRevision, ConfigVersion: r.ConfigVersion, ConfigThrough: r.ConfigThrough, TargetsThrough: r.TargetsThrough,
	}
	if !h.copy.Adopt(state, asOf, r.Full, r.Updates) {
		return r, false
	}
	state = h.copy.State()
	r.ConfigRevision, r.ConfigVersion = state.Config, state.ConfigVersion
	r.ConfigThrough, r.TargetsThrough = state.ConfigThrough, state.TargetsThrough
	h.last = r
	h.last.Updates, h.last.Grants, h.last.Readers = nil, nil, nil
	h.last.Load, h.last.Proof = nil, nil
	h.last.Crashes = crash.Reply{Version: r.Crashes.Version, Suspects: r.Crashes.Suspects}
	return r, true
}

// reply returns a relay's reply to an instance whose updates have reached a position.
func (h *heldUpdates) reply(now time.Time, have relay.Position) exchangeReply {
	h.mu.Lock()
	defer h.mu.Unlock()
	out := h.last
	out.Updates, out.Full = h.copy.After(have)
	out.ChildrenKnown, out.Senders = 0, 0
	// The age is rounded up, so that nothing seems newer than it is.
	out.AgeMS = h.copy.Age(now).Milliseconds() + 1
	return out
}
