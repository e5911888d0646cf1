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
	"chivecroft.example/chivecroft/internal/state/eras"
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
	history    *eras.History
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
	configRevision eras.Revision
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
	// one, also after they were given up; none is added once hasStoppedOrders is set.
	ordersInFlight   sync.WaitGroup
	hasStoppedOrders bool
	// unread holds the targets that have not responded since an order to them was given up or
	// since their entry has left the store, and when that was.
	unread map[fleet.Identity]time.Time
	// hasToldRead means that in the present term the handover has passed since each target has
	// responded.
	hasToldRead bool
	termOrders  termOrders

	members map[string]member
	// tree knows the instances whose messages go to relays.
	tree    *relay.Tree
	readers readerSelection
	// relayZoneSize is the number of instances up to which a zone has no relays.
	relayZoneSize int
	// termID identifies the term. It is the time at which orders were to begin, which may
	// be put off later, or above the one before.
	termID int64
	// formerMembers are the peer addresses of the other instances at the end of this
	// instance's latest term.
	formerMembers []netip.AddrPort
}

func newCoordinator(ctx context.Context, boot *platform.Boot, clock *timer.Boot, l *log.Logger, m *instanceMetrics, h *eras.History) *coordinator {
	k := &coordinator{
		ctx: ctx, self: boot.Instance, engines: platform.NewEngines(), clock: clock, log: l, metrics: m,
		loadWindow: boot.Bounds.LoadWindow, targets: make(map[string]fleet.Target), departures: depart.NewLog(h, entryLease(boot.Heartbeat)), history: h,
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
	k.hasToldRead = false
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
		// A term that is lost and won again in the wait for a former holder has the same OrderFrom.
		k.termID = max(k.termID+1, s.OrderFrom.UnixNano())
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
		u.Revision = d.Revision
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

func (k *coordinator) setConfig(c *fleet.Config, revision eras.Revision) {
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
