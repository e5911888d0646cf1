package edge

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/deltas"
	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/proof"
	"chivecroft.example/chivecroft/internal/coordination/quota"
	"chivecroft.example/chivecroft/internal/coordination/relay"
	"chivecroft.example/chivecroft/internal/coordination/retry"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/accept"
	"chivecroft.example/chivecroft/internal/transport/proxy"
	"chivecroft.example/chivecroft/platform"
)

// Bounds of the daemon.
const (
	// targetBatchDelay is the delay between watches of the targets, so that one watch
	// returns several changes.
	targetBatchDelay = 150 * time.Millisecond
	// reloadLead is how long before its first order a new holder reads the boot file again.
	reloadLead = 100 * time.Millisecond
	// maxElectionDelay is how long a machine with hardly any processor time waits before
	// it tries to become the holder.
	maxElectionDelay = 300 * time.Millisecond
)

// Edge is one instance of the system.
type Edge struct {
	boot   *platform.Boot
	log    *log.Logger
	timer  timer.Service
	store  *eraStore
	health *storeHealth
	picker *picker.Picker
	budget *retry.Budget
	proxy  *proxy.Server

	config atomic.Pointer[fleet.Config]
	// snapshot is the active configuration in the form that is sent to other instances.
	snapshot atomic.Pointer[configSnapshot]
	// received is the configuration that another instance or the copy in the store has last sent; it
	// becomes the snapshot once it is active.
	received atomic.Pointer[configSnapshot]
	// isFetchingConfig is set while the configuration of a member is asked for.
	isFetchingConfig atomic.Bool
	// history is that of the store.
	history *eras.History
	// readers holds the peer addresses of the readers of this instance's zone, as the
	// holder last sent them.
	readers atomic.Pointer[[]netip.AddrPort]
	// hasRelays reports whether the readers are relays, as the holder last said.
	hasRelays      atomic.Bool
	configFollower *follower
	targetFollower *follower
	// tracker applies what this instance learns of targets.
	tracker *targetTracker
	// targetsKnown reports whether a list of targets or an update has been received.
	targetsKnown atomic.Bool
	stopping     atomic.Bool

	clock       *timer.Boot
	coordinator *coordinator
	election    *drive.Loop
	peerClient  *peerClient
	// updatedAt is when the holder sent its last update or later, in nanoseconds of clock.
	updatedAt atomic.Int64
	// sender is what the exchange loop sends and where; held is what the replies have
	// said, and children what this instance knows of others as a relay.
	sender   *sender
	held     *heldUpdates
	children *relay.Table
	// collector sums the load reports of this instance and its children.
	collector *load.Collector
	// readerRepliedAt is when a reader last replied to a request for changes, in
	// nanoseconds of clock.
	readerRepliedAt atomic.Int64
	// refusedBy is the holder whose address has last refused a connection, nil if it has not.
	refusedBy atomic.Pointer[netip.AddrPort]
	// readerTurn counts the requests to readers.
	readerTurn atomic.Int64
	// members is the number of instances, as the holder last said.
	members atomic.Int64
	// demandSignal receives a value when a request begins to wait for a model.
	demandSignal chan struct{}
	// crashes knows which parts of prompts crash targets, ends finds out whether targets
	// have ended at which requests broke off.
	crashes *crash.Monitor
	ends    *endChecker
	// proofs keeps until when the active configuration was the newest, wasProven whether
	// keys were accepted at the last check.
	proofs    *proof.Tracker
	wasProven atomic.Bool
	// activeItem is used by the follower of the configuration alone.
	activeItem activeItem

	// permits obtains the permits of teams with quotas.
	permits *permitClient

	loopCtx   context.Context //nolint:containedctx // ends the loops at Stop
	stopLoops context.CancelFunc
	callers   *callerServer
	// account is the account of the bytes that callers and targets make this process hold,
	// listener accepts callers' connections, refusals counts those that were refused.
	account *budget.Account
	// pool limits the descriptors of all ports.
	listener *accept.Listener
	refusals *refusalLog
	pool     *accept.Pool
	// readyServer serves the platform's readiness checks, peerServer other instances, and
	// metricsServer, which may not listen, operators.
	readyServer, peerServer, metricsServer *controlServer

	// bounds are those of the most recently read boot file, bootFile is its path, empty if
	// it is not read again.
	bounds   atomic.Pointer[platform.Bounds]
	bootFile string
	// reloading is held while the boot file is read and applied, so that the latest
	// contents are applied last.
	reloading sync.Mutex

	metrics *instanceMetrics
	// metricsPort is the port on which metrics are served, 0 for none.
	metricsPort uint16
	// withoutSlowStart means that targets get no limits after a start or recovery.
	withoutSlowStart bool
}

// Option changes an Edge under construction.
type Option func(*Edge)

// WithMetrics serves metrics on a port of the instance's address.
func WithMetrics(port uint16) Option {
	return func(e *Edge) { e.metricsPort = port }
}

// WithBootFile has the instance read the boot file again when bounds matter that may have
// changed without a signal: at the beginning of a stop and of a term as the holder.
func WithBootFile(path string) Option {
	return func(e *Edge) { e.bootFile = path }
}

// WithSlowStart says whether the requests at targets that have just started or recovered
// are limited, as they are by default.
func WithSlowStart(isOn bool) Option {
	return func(e *Edge) { e.withoutSlowStart = !isOn }
}

// New returns an instance that is not started.
func New(boot *platform.Boot, l *log.Logger, opts ...Option) *Edge {
	e := &Edge{boot: boot, log: l, timer: timer.NewSystem()}
	for _, opt := range opts {
		opt(e)
	}
	e.health = newStoreHealth(e.timer, l, boot.Heartbeat)
	e.bounds.Store(&boot.Bounds)
	e.loopCtx, e.stopLoops = context.WithCancel(context.Background())
	e.metrics = &instanceMetrics{log: l}
	e.clock = timer.NewBoot()
	e.history = eras.NewHistory(e.onReturn)
	e.store = &eraStore{
		client:  platform.NewStore(e.loopCtx, boot.Store, platform.WithStoreObserver(e.onStoreCall)),
		history: e.history, now: e.clock.Now, onOutdated: func() { e.metrics.outdatedIgnored("reply", 1) },
	}
	e.demandSignal = make(chan struct{}, 1)
	pickerOptions := []picker.Option{
		picker.WithName(boot.Instance), picker.WithDemand(e.signalDemand), picker.WithHoldObserver(e.onHoldChange),
		picker.WithLimitObserver(e.onLimitChange), picker.WithLoadObserver(e.onLoadChange),
	}
	if e.withoutSlowStart {
		pickerOptions = append(pickerOptions, picker.WithoutStartLimits())
	}
	e.picker = picker.New(e.timer, boot.Zone, boot.Regions, pickerOptions...)
	e.coordinator = newCoordinator(e.loopCtx, boot, e.clock, l, e.metrics, e.history)
	e.coordinator.withoutSlowStart = e.withoutSlowStart
	e.tracker = newTargetTracker(e.picker, e.coordinator, l)
	e.proofs = proof.NewTracker()
	e.peerClient = newPeerClient()
	e.peerClient.now, e.peerClient.onProof = e.clock.Now, e.acceptProofHeader
	e.sender, e.held, e.children = newSender(), newHeldUpdates(), relay.NewTable()
	e.collector = load.NewCollector()
	e.configFollower = e.newConfigFollower()
	e.targetFollower = e.newTargetFollower()
	e.tracker.onOutdated = func() { e.metrics.outdatedIgnored(e.targetFollower.name, 1) }
	if boot.Bootstrap {
		e.configFollower.updateWait, e.targetFollower.updateWait = bootstrapTimeout, bootstrapTimeout
	}
	electOptions := []elect.Option{
		elect.WithAcquireDelay(electionDelay(boot.Cores)), elect.WithOrderTime(platform.OrderTimeout),
	}
	if boot.Bootstrap {
		electOptions = append(electOptions, elect.WithFirstStart())
	}
	part := elect.NewPart(boot.Peer, boot.StoreTTLMin, boot.Bounds.OrderHandover,
		rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())), electOptions...)
	e.election = drive.NewLoop(part, ports.Env{KV: e.store, Timer: e.clock}, drive.WithListener(func(v any) {
		e.onHolderStatus(v.(elect.Status))
	}))
	e.budget = retry.NewBudget(retryLimits(boot.Bounds))
	e.crashes = crash.NewMonitor(e.timer, crash.WithUrgency(e.signalDemand), crash.WithObserver(e.onBlockChange))
	e.ends = newEndChecker(e.picker.IsLeaving, e.onTargetEnd)
	e.permits = newPermitClient(e)
	e.account = budget.NewAccount(memoryBudget(boot.MemoryBytes), time.Now)
	e.refusals = newRefusalLog(l, "callers")
	e.pool = accept.NewPool(sharedDescriptors(boot))
	e.pool.SetReserve(reservedConns(boot, 0))
	e.listener = accept.NewListener(e.account, accept.WithMaxConns(maxCallerConns(boot)), accept.WithPool(e.pool, callerCost),
		accept.WithObserver(e.refusals.add))
	e.readyServer = newControlServer(readyLimits(boot), e.pool, l)
	e.peerServer = newControlServer(peerLimits(boot), e.pool, l)
	e.metricsServer = newControlServer(metricsLimits(boot), e.pool, l)
	e.proxy = proxy.NewServer(platform.Codec{}, e.picker, e.budget, e.timer, proxy.WithLogger(l),
		proxy.WithAccount(e.account), proxy.WithIdleConnections(maxIdleTargetConns(boot)),
		proxy.WithObserver(e.metrics.requestEnded), proxy.WithCrashes(e.crashes, e.ends.hasCrashed),
		proxy.WithEndCheck(e.ends.hasEnded), proxy.WithKeyProof(e.keysProven), proxy.WithPermits(e.permits),
		proxy.WithBehind(e.configFollower.isBehind))
	return e
}

// onStoreCall counts a finished call to the store and notes whether the store has answered.
func (e *Edge) onStoreCall(kind, key string, status ports.KVStatus) {
	e.metrics.storeCallEnded(kind, key, status)
	e.health.hear(status)
}

// onReturn handles that the store has come back from an older copy.
func (e *Edge) onReturn(r eras.Return) {
	e.health.recordReturn()
	e.log.Info().Uint64("era", r.Era).Uint64("eraBefore", r.EraBefore).Int("dropped", r.Dropped).Stringer("first", e.history.First()).
		Msg("store history begins anew")
}

// onHolderStatus handles a change of the election status. A new holder is asked for
// updates at once.
func (e *Edge) onHolderStatus(s elect.Status) {
	was := e.coordinator.holderStatus()
	if s.IsHolder && !was.IsHolder || s.Holder != was.Holder {
		e.coordinator.teamQuotas.setDead(e.permits.noteHolder(s))
	}
	e.coordinator.setStatus(s)
	if wait := s.OrderFrom.Sub(e.clock.Now()) - reloadLead; s.IsHolder && s.OrderFrom != was.OrderFrom && wait > 0 {
		// The file may change without a signal while the orders of a former holder settle.
		e.clock.After(wait, e.ReloadFile)
	}
	if s.IsHolder && !was.IsHolder {
		// The listener must wait neither for a file nor for another instance.
		go e.ReloadFile()
		if s.Former.IsValid() && s.Former != s.Holder {
			go e.takeOverLedger(e.loopCtx, s, e.coordinator.presentTerm())
		}
	}
	if s.Holder.IsValid() && s.Holder != was.Holder {
		e.signalDemand()
	}
}

// onLimitChange logs and counts a change of a target's rate limit. The holder hears at
// once of one that a response has brought.
func (e *Edge) onLimitChange(c quota.Change) {
	e.metrics.limitsChanged(c.InForce)
	if c.Source == quota.SourceResponse {
		e.signalDemand()
	}
	if c.Unreadable != "" {
		e.log.Warn().Str("target", c.Target.ID).Str("limit", c.Unreadable).Msg("unreadable limit ignored")
		return
	}
	e.log.Info().Str("target", c.Target.ID).Float64("limit", c.PerSecond).Str("source", string(c.Source)).
		Int("inForce", c.InForce).Msg("target limit")
}

// onTargetEnd logs and counts that a target has ended unplanned while requests were in
// flight there.
func (e *Edge) onTargetEnd(r fleet.Target) {
	e.metrics.targetEnded(r.Service)
	e.log.Info().Str("target", r.ID).Int64("born", r.Born).Str("service", r.Service).Msg("target ended")
}

// onBlockChange logs and counts a change of the parts that are blocked, and refuses the
// queued requests that have one.
func (e *Edge) onBlockChange(c crash.Change) {
	b := c.Block
	e.metrics.blocksChanged(c.Active)
	e.log.Warn().Str("parts", b.Parts).Str("service", b.Service).Str("scope", string(b.Scope)).Bool("lifted", b.Lifted).
		Int("ends", b.Ends).Int("trials", b.Trials).Int64("ageMs", b.AgeMS).Int("inForce", c.Active).Msg("prompt part blocked")
	e.picker.RefuseBlocked(func(q *picker.Request) bool {
		return e.crashes.Blocking(&crash.Request{Service: q.Service, Model: q.Model, Adapter: q.Adapter, Parts: q.Parts}) != nil
	})
}

// electionDelay returns the delay before an instance tries to become the holder. Machines
// with more processor time get a shorter delay.
func electionDelay(cores float64) time.Duration {
	return time.Duration((1 - min(max(cores, 0), 1)) * float64(maxElectionDelay))
}

func retryLimits(b platform.Bounds) retry.Limits {
	return retry.Limits{RetriesPerRequest: b.RetryRatio, RetriesPerWindow: b.RetryExtra, Window: b.RetryWindow}
}

// signalDemand makes the next message to the holder due.
func (e *Edge) signalDemand() {
	select {
	case e.demandSignal <- struct{}{}:
	default:
	}
}

// Start opens the listeners and begins to follow the store. It returns once callers, the
// platform and other instances can connect.
func (e *Edge) Start(ctx context.Context) error {
	e.callers = newCallerServer(e.proxy, e.listener)
	limitRuntime(e.boot.MemoryBytes)
	go e.memoryLoop(e.loopCtx)
	if err := e.callers.start(ctx, e.boot.Callers.String(), e.log); err != nil {
		return err
	}
	if err := e.readyServer.start(ctx, e.boot.Ready.String(), http.HandlerFunc(e.serveReady), e.log); err != nil {
		return err
	}
	if err := e.peerServer.start(ctx, e.boot.Peer.String(), http.HandlerFunc(e.servePeer), e.log); err != nil {
		return err
	}
	e.election.Post(elect.Start{})
	go e.exchangeLoop(e.loopCtx)
	go e.planLoop(e.loopCtx)
	go e.configFollower.run(e.loopCtx)
	go e.targetFollower.run(e.loopCtx)
	go e.copyLoop(e.loopCtx)
	go e.proofLoop(e.loopCtx)
	go e.permits.run(e.loopCtx)
	if e.metricsPort != 0 {
		handlers := map[string]http.HandlerFunc{BlocksPath: e.serveBlocks, LiftPath: e.serveLift, WherePath: e.serveWhere}
		at := netip.AddrPortFrom(e.boot.Addr, e.metricsPort)
		if err := e.metrics.start(ctx, e.boot.Instance, e.boot.Zone, e.metricsServer, at, handlers); err != nil {
			return err
		}
	}
	e.log.Info().Str("instance", e.boot.Instance).Str("zone", e.boot.Zone).
		Str("callers", e.boot.Callers.String()).Str("store", e.boot.Store.String()).Msg("started")
	return nil
}

// listenThrough serves s at addr, on the connections of a listener that wraps the one of
// addr, until the server or the listener is closed.
func listenThrough(ctx context.Context, s *http.Server, addr string, lg *log.Logger, wrap func(net.Listener) net.Listener) (net.Listener, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, trace.Wrap(err, "listen on %s", addr)
	}
	l = wrap(l)
	go func() {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) && !errors.Is(err, net.ErrClosed) {
			lg.Error().Err(err).Str("address", addr).Msg("server stopped unexpectedly")
		}
	}()
	return l, nil
}

// controlServers returns the servers for others than callers.
func (e *Edge) controlServers() []*controlServer {
	return []*controlServer{e.readyServer, e.peerServer, e.metricsServer}
}

// serveReady responds to the platform's readiness check: 200 if new callers should be
// sent here, else 503.
func (e *Edge) serveReady(w http.ResponseWriter, r *http.Request) {
	switch {
	case r.URL.Path != platform.ReadyPath:
		w.WriteHeader(http.StatusNotFound)
	case e.isReady():
		w.WriteHeader(http.StatusOK)
	default:
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (e *Edge) isReady() bool {
	return e.config.Load() != nil && e.targetsKnown.Load() && !e.stopping.Load()
}

func (e *Edge) newConfigFollower() *follower {
	apply := func(previous eras.Revision, item storeItem, from origin) {
		switch {
		case item.Key != platform.ConfigKey:
		case item.Deleted:
			e.skipConfig(previous, item)
		default:
			e.applyConfig(previous, item, from)
		}
	}
	return &follower{
		name: "config", prefix: platform.ConfigKey, store: e.store, health: e.health, history: e.history, log: e.log,
		applyList: func(list itemList) {
			for _, item := range list.items {
				apply(eras.Revision{}, item, list.from)
			}
			e.coordinator.setConfigRead()
		},
		applyChange: func(previous eras.Revision, item storeItem) { apply(previous, item, e.configFollower.from) },
		onOutdated:  e.metrics.outdatedIgnored, watchTime: e.configWatchTimeout, onRead: e.noteConfigRead,
		hasFreshUpdates: e.hasFreshUpdates, onIdle: func() {}, fetchFromHolder: e.fetchNewestConfig,
		canAskReaders: e.canAskReaders, fetchItems: e.fetchConfigFromReaders, isHolder: e.isHolder,
		clock: e.clock, updateAge: e.updateAge,
		needsList: func() bool { return false }, readCopy: e.readCopy,
	}
}

// isHolder reports whether this instance is the holder, which sends updates to the
// others.
func (e *Edge) isHolder() bool { return e.coordinator.holderStatus().IsHolder }

// applyConfig makes a configuration active unless the active one is as new. previous is
// the revision that was read before it, unknown if others may be in between.
func (e *Edge) applyConfig(previous eras.Revision, item storeItem, from origin) {
	c, err := platform.DecodeConfig(item.Value)
	if err != nil {
		e.log.Error().Err(err).Stringer("revision", item.at).Str("from", string(from)).Msg("configuration rejected")
		e.skipConfig(previous, item)
		return
	}
	e.configFollower.localVersion.Store(max(e.configFollower.localVersion.Load(), c.Version))
	if have := e.config.Load(); have != nil && have.Version >= c.Version && !e.activeItem.isRewrittenAs(item) {
		e.log.Info().Int64("version", c.Version).Int64("active", have.Version).Stringer("revision", item.at).
			Stringer("activeRevision", e.activeItem.revision).Str("from", string(from)).Msg("configuration not newer than the active one")
		e.metrics.outdatedIgnored(e.configFollower.name, 1)
		e.skipConfig(previous, item)
		return
	}
	e.proxy.SetConfig(c)
	e.listener.SetLimits(accept.Limits{
		HeaderBytes: c.Limits.HeaderBytes, HeaderTimeout: c.Limits.HeaderTimeout, IdleTimeout: c.Limits.IdleTimeout,
	})
	e.coordinator.setConfig(c, item.at)
	e.setQuotas(c)
	// The instance may report that it is ready only from here on.
	e.config.Store(c)
	e.updateSnapshot(item, c.Version)
	e.activeItem = newActiveItem(item)
	e.proofs.Activate(item.at)
	e.log.Info().Int64("version", c.Version).Stringer("revision", item.at).
		Str("from", string(from)).Int("routes", len(c.Routes)).Int("bytes", len(item.Value)).Msg("configuration active")
	e.metrics.configActivated(c.Version, from)
}

// updateSnapshot keeps the active configuration for other instances, in the form in which it came
// from one if it did.
func (e *Edge) updateSnapshot(item storeItem, version int64) {
	s := e.received.Swap(nil)
	if s == nil || s.revision != item.at {
		s = newConfigSnapshot(item, version)
	}
	s.version = version
	e.snapshot.Store(s)
}

func (e *Edge) newTargetFollower() *follower {
	return &follower{
		name: "targets", prefix: platform.TargetPrefix, store: e.store, health: e.health, history: e.history, log: e.log,
		batchDelay: targetBatchDelay, applyList: e.applyTargetList,
		applyChange: func(_ eras.Revision, item storeItem) {
			e.tracker.applyChange(item, e.targetFollower.from, e.health.removalDelay())
		},
		onOutdated:    e.metrics.outdatedIgnored,
		canAskReaders: e.canAskReaders, isHolder: e.isHolder, fetchChanges: e.fetchChanges, changelog: deltas.New(maxKeptChanges),
		clock: e.clock, updateAge: e.updateAge, updateWait: startTimeout, expectsUpdates: e.expectsUpdates,
		hasFreshUpdates: e.hasFreshUpdates, onIdle: func() { e.coordinator.setHasFullList(false) },
		// The holder's planners need to know which models targets have copies of, which
		// the holder's updates do not contain.
		needsList: e.isHolder,
	}
}

func (e *Edge) applyTargetList(list itemList) {
	e.tracker.applyList(list, e.health.removalDelay())
	e.targetsKnown.Store(true)
	e.coordinator.setHasFullList(true)
}
