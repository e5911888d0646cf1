package edge

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/depart"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/coordination/sched"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/recent"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/platform"
)

// memberTimeout is how long an instance counts as a member after its last message.
const memberTimeout = 5 * time.Second

// coordinator runs the planners while this instance is the holder, and tells the other
// instances about targets.
type coordinator struct {
	ctx        context.Context //nolint:containedctx // ends the orders at Stop
	self       string
	engines    *platform.Engines
	clock      *timer.Boot
	log        *log.Logger
	metrics    *instanceMetrics
	loadWindow time.Duration

	mu      sync.Mutex
	status  elect.Status
	targets map[string]fleet.Target
	// departures holds the targets that have left the store. Those that are among targets all
	// the same may be alive, and are removed later.
	departures *depart.Log
	// leaving holds the incarnations of targets that have announced that they are
	// leaving. Descriptions of these incarnations that say otherwise are outdated.
	leaving *recent.Set[fleet.Identity]
	// hasFullList reports whether targets come from a full list.
	hasFullList bool
	config      *fleet.Config
	// configRead reports whether the store has been asked for a configuration, whether or
	// not it had one.
	configRead bool
	// configRevision is the store revision of config.
	configRevision uint64
	planners       map[string]*sched.Planner
	// storeLoads is how many loads from the weight store run in parallel at most, by
	// service, as the holder has last told.
	storeLoads map[string]int
	// lostLoads are the loads whose replies the holder has lost, by service, as it told them at
	// lostLoadsAt.
	lostLoads   map[string][]sched.LostLoad
	lostLoadsAt time.Time
	updates     *updateLog
	// permits issues the permits for targets that have named rate limits.
	permits *quota.Ledger
	// teamQuotas issues the permits of teams.
	teamQuotas *teamQuotas
	// crashes finds the parts of prompts that crash targets.
	crashes *crash.Detector
	// load sums the load that the instances report; nil before the first report.
	load *load.Sums
	// withoutSlowStart means that targets get no limits after a start or recovery.
	withoutSlowStart bool
	// ordersInFlight counts the orders that may be on their way, those of a former process as
	// one; none is added once hasStoppedOrders is set.
	ordersInFlight   sync.WaitGroup
	hasStoppedOrders bool
	// unread holds the targets that have not responded since an order to them was given up or
	// since their entry has left the store, and when that was.
	unread     map[fleet.Identity]time.Time
	termOrders termOrders

	members map[string]member
	// tree knows the instances whose messages go to relays.
	tree    *relay.Tree
	readers readerSelection
	// relayZoneSize is the number of instances up to which a zone has no relays.
	relayZoneSize int
	// termID identifies the term. It is the time at which orders were to begin, which may
	// be put off later.
	termID int64
	// formerMembers are the peer addresses of the other instances at the end of this
	// instance's latest term.
	formerMembers []netip.AddrPort
}

func newCoordinator(ctx context.Context, boot *platform.Boot, clock *timer.Boot, l *log.Logger, m *instanceMetrics) *coordinator {
	k := &coordinator{
		ctx: ctx, self: boot.Instance, engines: platform.NewEngines(), clock: clock, log: l, metrics: m,
		loadWindow: boot.Bounds.LoadWindow, targets: make(map[string]fleet.Target), departures: depart.NewLog(),
		leaving: picker.NewLeavingSet(), updates: newUpdateLog(), permits: quota.NewLedger(), crashes: crash.NewDetector(),
		unread:   make(map[fleet.Identity]time.Time),
		planners: make(map[string]*sched.Planner), members: make(map[string]member), tree: relay.NewTree(),
		teamQuotas: newTeamQuotas(), relayZoneSize: relayZoneSize,
	}
	k.awaitFormerProcess()
	return k
}

// setStatus sets the election status. A new term starts without the state of an earlier
// one.
func (k *coordinator) setStatus(s elect.Status) {
	k.mu.Lock()
	defer k.mu.Unlock()
	was := k.status
	k.status = s
	if was.IsHolder != s.IsHolder || was.Holder != s.Holder || was.Token != s.Token {
		k.log.Info().Str("holder", s.Holder.String()).Bool("mine", s.IsHolder).Uint64("token", s.Token).
			Dur("ordersIn", max(s.OrderFrom.Sub(k.clock.Now()), 0)).Msg("holder changed")
	}
	k.logTerm(was, s)
	if s.Holder.IsValid() && !s.IsHolder {
		k.teamQuotas.noteSuccessor()
	}
	if was.IsHolder == s.IsHolder {
		k.setHandovers()
		return
	}
	if was.IsHolder {
		k.formerMembers = k.memberPeers()
	}
	k.planners = make(map[string]*sched.Planner)
	k.members = make(map[string]member)
	k.tree = relay.NewTree()
	k.readers = readerSelection{}
	k.updates = newUpdateLog()
	k.permits = quota.NewLedger()
	k.crashes = crash.NewDetector()
	k.load = nil
	if was.IsHolder {
		k.teamQuotas.endTerm(k.clock.Now(), was.SteadyUntil())
	}
	if s.IsHolder {
		k.termID = s.OrderFrom.UnixNano()
		isOwn := s.Former == s.Holder
		k.teamQuotas.startTerm(k.termID, k.clock.Now(), isOwn, s.Former.IsValid() && !isOwn)
		k.startTerm()
	}
}

// startTerm fills the update log and creates the planners of a new holder.
func (k *coordinator) startTerm() {
	for _, r := range k.targets {
		k.publish(&r)
	}
	k.makePlanners()
}

// publish has the other instances told of a target: where it is, what it serves as far as
// the planner knows, and its rate limit.
func (k *coordinator) publish(r *fleet.Target) {
	models, limit := r.Models, k.permits.Limit(r.Identity)
	if p := k.planners[r.Service]; p != nil {
		p.SetLimited(r.ID, limit > 0)
		models = p.Serving(r.ID)
	}
	u := picker.NewUpdate(r, models)
	u.Limit = limit
	d, hasLeft := k.departures.Find(r.ID)
	if hasLeft {
		u.Revision = uint64(d.Revision)
	}
	k.updates.set(u, d.UsableUntil)
}

// memberPeers returns the peer addresses of the other instances that exchange messages with
// the holder, the one heard from last first.
func (k *coordinator) memberPeers() []netip.AddrPort {
	var others []member
	for name, m := range k.members {
		if name != k.self && m.peer.IsValid() {
			others = append(others, m)
		}
	}
	slices.SortFunc(others, func(x, y member) int { return y.seenAt.Compare(x.seenAt) })
	out := make([]netip.AddrPort, len(others))
	for i, m := range others {
		out[i] = m.peer
	}
	return out
}

// lastMembers returns the peer addresses of the other instances as this instance knew them
// at the end of its latest term, if it has been the holder.
func (k *coordinator) lastMembers() []netip.AddrPort {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.formerMembers
}

func (k *coordinator) holderStatus() elect.Status {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.status
}

func (k *coordinator) setConfig(c *fleet.Config, revision uint64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.config = c
	k.configRevision = revision
	if k.status.IsHolder {
		k.makePlanners()
	}
}

// makePlanners creates a planner with its targets for each service that has engines, or
// updates the existing planner's engine.
func (k *coordinator) makePlanners() {
	if k.config == nil {
		return
	}
	for name, s := range k.config.Services {
		if s.Engine == nil {
			continue
		}
		if p := k.planners[name]; p != nil {
			p.SetEngine(s.Engine)
			continue
		}
		opts := []sched.Option{
			sched.WithStoreLoads(k.storeLoads[name]), sched.WithLostLoads(k.lostLoadsAt, k.lostLoads[name]),
		}
		if k.status.Former.IsValid() {
			opts = append(opts, sched.WithFormerHolder())
		}
		p := sched.NewPlanner(name, s.Engine, k.loadWindow, rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), opts...)
		k.planners[name] = p
		k.setHandover(p)
		for _, r := range k.targets {
			if r.Service == name {
				p.SetTarget(k.clock.Now(), r)
			}
		}
	}
}

// setHandovers has all planners wait for targets that may have unread orders of a former holder.
func (k *coordinator) setHandovers() {
	for _, p := range k.planners {
		k.setHandover(p)
	}
}

func (k *coordinator) setHandover(p *sched.Planner) {
	end := k.status.OrderFrom.Add(k.status.Handover)
	p.SetHandover(k.status.Handover, end, time.Now().Add(end.Sub(k.clock.Now())))
}

func (k *coordinator) setTarget(r fleet.Target) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.setTargetLocked(r)
}

func (k *coordinator) setTargetLocked(r fleet.Target) {
	if r.Draining {
		k.leaving.Add(r.Identity)
	}
	r.Draining = k.leaving.Has(r.Identity)
	was, isKnown := k.targets[r.ID]
	k.targets[r.ID] = r
	if !k.status.IsHolder {
		return
	}
	if p := k.planners[r.Service]; p != nil {
		p.SetTarget(k.clock.Now(), r)
	}
	k.publish(&r)
	if !isKnown || was.Identity != r.Identity {
		k.startRamp(&r)
	}
}

// markLeaving records that a target has announced that it is leaving, which is known
// sooner than its description in the store changes.
func (k *coordinator) markLeaving(id fleet.Identity) {
	r, listed := k.targets[id.ID]
	if !listed || r.Identity != id || !k.leaving.Add(id) {
		return
	}
	k.log.Info().Str("target", id.ID).Msg("target announced that it is leaving")
	k.setTargetLocked(r)
}

// noteDraining records that the holder has said that a target is draining. This instance may
// become the holder before it reads that itself.
func (k *coordinator) noteDraining(id fleet.Identity) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.leaving.Add(id)
	if r, isKnown := k.targets[id.ID]; isKnown && r.Identity == id {
		r.Draining = true
		k.targets[id.ID] = r
	}
}

func (k *coordinator) removeTarget(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if p := k.planners[k.targets[id].Service]; p != nil {
		p.Remove(id)
	}
	if r, isListed := k.targets[id]; isListed {
		k.noteRemoved(r)
	}
	delete(k.targets, id)
	d, _ := k.departures.Find(id)
	k.sums().Ramps().Stop(k.updates.remove(id, uint64(d.Revision)))
}

// announceRemoval has the other instances told until when a target that has left may be used.
func (k *coordinator) announceRemoval(id string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if r, isKnown := k.targets[id]; isKnown && k.status.IsHolder {
		k.publish(&r)
	}
}

// missingFrom returns the ids of known targets that are missing from a full list. This
// instance may have read its own list long ago, when it was last the holder or had no updates.
func (k *coordinator) missingFrom(listed map[string]bool) []string {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []string
	for id := range k.targets {
		if !listed[id] {
			out = append(out, id)
		}
	}
	return out
}

// toldRevision returns the revision that this instance has told the others of a target as the
// holder, or that of its description if there is none. The holder misses no change between two
// revisions of an entry.
func (k *coordinator) toldRevision(r *fleet.Target) uint64 {
	k.mu.Lock()
	defer k.mu.Unlock()
	if have, isKnown := k.targets[r.ID]; isKnown && k.status.IsHolder && have.Identity == r.Identity {
		return have.Revision
	}
	return r.Revision
}

// setHasFullList sets whether the targets come from a full list.
func (k *coordinator) setHasFullList(listed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.hasFullList = listed
}

// setConfigRead records that the store has been asked for a configuration.
func (k *coordinator) setConfigRead() {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.configRead = true
}

// handleExchange records an instance's demand and returns the updates it lacks. It
// returns false if this instance is not the holder, is not sure that it still is, or has
// not read the targets and the configuration yet.
func (k *coordinator) handleExchange(m exchangeRequest) (exchangeReply, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock.Now()
	if !k.status.IsSteady(now) || !k.hasFullList || k.config == nil && !k.configRead {
		return exchangeReply{}, false
	}
	readers, known := k.recordSender(m, now)
	for _, id := range m.Leaving {
		k.markLeaving(id)
	}
	k.setLimits(now, m.Limits)
	k.refreshUpdates()
	after := m.Version
	if m.Term != k.term() {
		after = 0
	}
	members, senders := k.pruneMembers(now)
	out := exchangeReply{
		Term: k.term(), Version: k.updates.version, Full: after == 0, Updates: k.updates.after(after, now),
		Members: members, Senders: senders, ChildrenKnown: known, Readers: readers, ConfigRevision: k.configRevision, ReadyInMS: make(map[string]int64),
	}
	out.HasRelays = k.hasRelays(&m, now)
	if out.HasRelays && k.shouldRedirect(&m, out.Full) {
		out.IsRedirect, out.Updates = true, nil
		out.Readers = k.readers.byZone[k.members[m.From].zone]
	}
	out.Load = k.exchangeLoad(now, &m)
	out.Grants = k.permits.Ask(now, m.From, m.Wants)
	out.Crashes = k.judgeCrashes(now, m, senders)
	if k.status.CanOrder(now) {
		out.StoreLoads = make(map[string]int, len(k.planners))
		out.LostLoads = make(map[string][]sched.LostLoad)
		for service, p := range k.planners {
			out.StoreLoads[service] = p.StoreLoads()
			if lost := p.LostLoads(now); len(lost) > 0 {
				out.LostLoads[service] = lost
			}
			for model, in := range p.Expected(now) {
				out.ReadyInMS[model] = in.Milliseconds()
			}
		}
	}
	return out, true
}

// setLoads records what the holder has told of the weight store and of loads whose replies it
// has lost, so that a later term of this instance begins with it. A holder that may not order
// tells neither.
func (k *coordinator) setLoads(storeLoads map[string]int, lost map[string][]sched.LostLoad) {
	if len(storeLoads) == 0 {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	k.storeLoads = storeLoads
	k.lostLoads, k.lostLoadsAt = lost, k.clock.Now()
}

// setLimits records the rate limits that an instance has heard of and has the other
// instances told of what has changed.
func (k *coordinator) setLimits(now time.Time, reports []quota.Report) {
	k.permits.Retain(func(id fleet.Identity) bool { return k.targets[id.ID].Identity == id }, now)
	for _, id := range k.permits.Report(now, reports) {
		k.log.Info().Str("target", id.ID).Float64("limit", k.permits.Limit(id)).Msg("limit of all instances")
		if r, ok := k.targets[id.ID]; ok && r.Identity == id {
			k.publish(&r)
		}
	}
}

// minRedirectTargets is the number of targets from which on instances get the full list
// from relays. With 4,000 targets it is 380 KB, for each instance that starts and, after a
// change of the holder, for all.
const minRedirectTargets = 200

// hasRelays reports whether the readers of an instance's zone are relays for the others.
func (k *coordinator) hasRelays(m *exchangeRequest, now time.Time) bool {
	return k.readers.sizes[k.members[m.From].zone] > k.relayZoneSize ||
		m.HadRelays && now.Sub(k.readers.firstAt) < zoneSettleTime
}

// shouldRedirect reports whether an instance that lacks the full list is to ask the relays
// of its zone for it.
func (k *coordinator) shouldRedirect(m *exchangeRequest, isFull bool) bool {
	if !isFull || m.IsAside || m.NeedsFull || m.From == k.self || len(k.targets) < minRedirectTargets {
		return false
	}
	have := k.members[m.From]
	relays := k.readers.byZone[have.zone]
	return len(relays) > 0 && have.peer.IsValid() && !slices.Contains(relays, have.peer)
}

// recordSender records an instance's message: that it and its children are alive, and
// their demand. It returns the readers of the instance's zone, or nil if the instance
// knows them already, and the hash of the children that are known.
func (k *coordinator) recordSender(m exchangeRequest, now time.Time) (readers []netip.AddrPort, children uint64) {
	if m.IsAside {
		return nil, 0
	}
	readers = k.recordMember(m, now)
	alive, children := k.tree.Put(m.From, m.Children)
	for _, c := range alive {
		k.recordChild(c, now)
	}
	k.recordDemand(m, now)
	return readers, children
}

// recordMember records that an instance is alive. It returns the readers of the
// instance's zone, or nil if the instance knows them already.
func (k *coordinator) recordMember(m exchangeRequest, now time.Time) []netip.AddrPort {
	have := k.members[m.From]
	have.seenAt, have.sentAt = now, now
	if m.Peer.IsValid() {
		have.zone, have.peer, have.cores = m.Zone, m.Peer, m.Cores
		have.knownReaders = nil
	}
	readers := k.readers.forZone(have.zone, now, k.members, k.self)
	known := slices.Equal(readers, have.knownReaders)
	have.knownReaders = readers
	k.members[m.From] = have
	if known {
		return nil
	}
	return readers
}

// recordChild records that a child of a relay is alive. Its demand is part of the relay's
// from now on.
func (k *coordinator) recordChild(c relay.Child, now time.Time) {
	have := k.members[c.Name]
	have.seenAt = now
	if c.Peer.IsValid() {
		have.zone, have.peer, have.cores = c.Zone, c.Peer, c.Cores
	}
	if !have.sentAt.IsZero() {
		have.sentAt = time.Time{}
		k.sums().Forget(c.Name)
		for _, p := range k.planners {
			p.SetDemand(now, c.Name, nil)
		}
	}
	k.members[c.Name] = have
}

// recordDemand records an instance's demand, unless a later message of it has come.
func (k *coordinator) recordDemand(m exchangeRequest, now time.Time) {
	if m.IsWithoutDemand {
		return
	}
	have := k.members[m.From]
	demand, isLatest := have.counter.CountInto(m.Seq, m.Demand, m.Resent)
	if !isLatest {
		return
	}
	k.members[m.From] = have
	k.addArrivals(now, demand)
	for _, p := range k.planners {
		p.SetDemand(now, m.From, demand)
	}
}

// term identifies this term of the holder, so that update versions of another term are
// not taken for its own.
func (k *coordinator) term() int64 { return k.termID }

// refreshUpdates adds the targets that the planners have changed to the update log.
func (k *coordinator) refreshUpdates() {
	for _, p := range k.planners {
		for _, id := range p.TakeChanged() {
			if r, ok := k.targets[id]; ok {
				k.publish(&r)
			}
		}
	}
}

// pruneMembers forgets the instances that are gone. It returns the number of instances,
// and of those that send messages to the holder.
func (k *coordinator) pruneMembers(now time.Time) (members, senders int) {
	for name, m := range k.members {
		if now.Sub(m.seenAt) > memberTimeout {
			delete(k.members, name)
			k.tree.Remove(name)
			continue
		}
		if now.Sub(m.sentAt) <= memberTimeout {
			senders++
		}
	}
	return len(k.members), senders
}
