package entry

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"
	"golang.org/x/sync/singleflight"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/feed"
	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/front"
	"chivecroft.example/chivecroft/internal/transport/kvhttp"
	"chivecroft.example/chivecroft/internal/transport/meter"
	"chivecroft.example/chivecroft/internal/transport/peer"
	"chivecroft.example/chivecroft/internal/transport/probe"
)

// Entry is one running instance of the system.
type Entry struct {
	settings params.Settings
	self     ports.Member
	timer    timer.Service
	log      *log.Logger

	kv       *kvhttp.Client
	engines  *engine.Client
	used     *usedTargets
	peers    *peer.Client
	probes   *probe.Engines
	services *probe.Services
	meter    *meter.Meter

	table  *route.Table
	queues *queue.Queues
	limits *admit.TenantLimits
	link   *link.Link
	// contact is that with the region of the weight store.
	contact  link.Reachability
	claims   *dedup.Driver
	recorder *daily.Recorder
	writer   *daily.Writer
	telling  *daily.Telling
	front    *front.Handler
	parts    *parts
	own      *feed.Feed
	zone     *feed.ZoneFeed
	view     view
	warmup   warmup
	// announced holds the targets whose leaving this entry has announced to its zone.
	announced seenNames
	pulls     pulls
	doubts    *doubts
	// signs are the questions to other zones for a sign of life, one for each zone.
	signs singleflight.Group
	// membersNews holds one signal while a change of the members has not been
	// looked at by followTables.
	membersNews chan struct{}

	// listeners are those that were handed over, by name.
	listeners map[string]net.Listener
	servers   []*listening

	stopping atomic.Bool
	ready    atomic.Bool
	ctx      context.Context
	cancel   context.CancelFunc
	work     sync.WaitGroup
	drained  chan struct{}
	drain    sync.Once
}

// view is what the parts last noted, for readers on other goroutines.
type view struct {
	config  atomic.Pointer[config.Config]
	members atomic.Pointer[[]ports.Member]
	// entries are the listed entries of all zones.
	entries atomic.Pointer[[]ports.Instance]
	// targets are the listed model targets of the own zone.
	targets atomic.Pointer[[]ports.Instance]
	// regions are those of all instances by address.
	regions atomic.Pointer[regions]
	// abroad are the zones of the listed model targets of other zones.
	abroad atomic.Pointer[map[netip.AddrPort]string]
}

// Option changes an Entry under construction.
type Option func(*Entry)

// WithLogger sets where the entry logs.
func WithLogger(l *log.Logger) Option {
	return func(e *Entry) { e.log = l }
}

// WithTimer sets the timer service.
func WithTimer(t timer.Service) Option {
	return func(e *Entry) { e.timer = t }
}

// WithListener hands over a listener that is open already, such as
// ListenerPeers, for an address that had to be known before the entry was made.
func WithListener(name string, l net.Listener) Option {
	return func(e *Entry) { e.listeners[name] = l }
}

// New returns an entry that does not listen yet.
func New(settings params.Settings, opts ...Option) (*Entry, error) {
	ctx, cancel := context.WithCancel(context.Background())
	e := &Entry{
		settings: settings,
		timer:    timer.NewSystem(),
		log:      &log.Logger{Level: log.InfoLevel},
		ctx:      ctx,
		cancel:   cancel,
		drained:  make(chan struct{}),

		listeners:   make(map[string]net.Listener),
		membersNews: make(chan struct{}, 1),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.self = ports.Member{
		ID:          settings.Entry.ID,
		Incarnation: uint64(e.timer.Now().UnixNano()),
		Zone:        settings.Entry.Zone,
		Region:      settings.Entry.Region,
		Addr:        settings.Peers.Advertise,
		Phase:       ports.MemberAlive,
	}
	if err := e.build(); err != nil {
		cancel()
		return nil, trace.Wrap(err, "building entry %s", settings.Entry.ID)
	}
	return e, nil
}

func (e *Entry) build() error {
	var err error
	if e.meter, err = meter.New(e.self.ID, e.self.Zone); err != nil {
		return trace.Wrap(err)
	}
	e.link = link.New(e.linkSettings(), e.timer)
	if e.peers, err = e.newPeers(); err != nil {
		return trace.Wrap(err)
	}
	random := rand.New(rand.NewPCG(e.self.Incarnation, 1))
	e.kv = kvhttp.New(e.settings.Platform.URL, kvhttp.WithTimeout(e.settings.Platform.Timeout), kvhttp.WithTimer(e.timer),
		kvhttp.WithWatch(e.watchPlatform))
	e.engines = engine.New(engine.WithTimer(e.timer), engine.WithWatch(e.watchLink(kindModel)))
	e.used = newUsedTargets()
	e.doubts = newDoubts(e.timer)
	e.probes = probe.NewEngines(e.engines, e.timer, nil)
	e.services = probe.NewServices(probe.WithWatch(e.watchLink(kindService)))
	e.own = feed.New(e.self.Incarnation, e.timer)
	e.zone = feed.NewZoneFeed(feed.New(e.self.Incarnation, e.timer))
	e.recorder = daily.NewRecorder(e.timer, e.settings.Entry.Location)
	e.view.config.Store(&config.Config{})
	e.view.members.Store(&[]ports.Member{e.self})
	e.view.targets.Store(&[]ports.Instance{})
	e.table = route.NewTable(e.self.Zone, e.self.Region, e.timer, random.Uint64(), route.WithLinkGate(e.link))
	e.link.OnOpen(e.table.LinkOpened)
	e.view.abroad.Store(&map[netip.AddrPort]string{})
	e.queues = queue.New(e.table, queue.DemandFunc(e.demand), e.timer, queue.WithLimits(queue.Limits{
		MaxCount:    int64(e.settings.Requests.QueueCount),
		MaxBytes:    e.settings.Requests.QueueBytes,
		MaxPerQueue: e.settings.Requests.QueueCount,
	}))
	e.table.OnChange(e.queues.Process)
	e.table.SetUnreachable(e.isCutOff)
	e.limits = admit.NewTenantLimits()
	if e.parts, err = e.newParts(random); err != nil {
		return trace.Wrap(err)
	}
	e.front = front.New(e.frontDeps())
	return nil
}

// Start listens and begins to work; the addresses are known from then on.
func (e *Entry) Start(ctx context.Context) error {
	if err := e.listen(ctx); err != nil {
		e.Close()
		return trace.Wrap(err, "starting entry %s", e.self.ID)
	}
	e.parts.start()
	e.telling.Start()
	e.spawn(e.followList)
	e.spawn(e.followTables)
	e.spawn(e.countIdle)
	e.spawn(e.meetSeeds)
	e.spawn(e.followTargets)
	e.spawn(e.probes.Run)
	e.spawn(e.becomeReady)
	e.log.Info().Str("entry", e.self.ID).Str("zone", e.self.Zone).
		Str("callers", e.Addr(ListenerCallers).String()).
		Str("operators", e.Addr(ListenerOperators).String()).
		Str("peers", e.Addr(ListenerPeers).String()).Msg("listening")
	return nil
}

// spawn runs a loop that ends with the entry.
func (e *Entry) spawn(loop func(context.Context)) {
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		loop(e.ctx)
	}()
}

// Close stops at once, as a crash would, without handing anything over.
func (e *Entry) Close() {
	e.ready.Store(false)
	e.cancel()
	for _, l := range e.servers {
		l.server.Close()
	}
	e.parts.stop()
	e.telling.Stop()
	e.work.Wait()
	e.kv.Close()
	e.engines.Close()
	e.peers.Close()
	e.services.Close()
	if err := e.meter.Close(context.Background()); err != nil {
		e.log.Warn().Err(err).Str("step", "closeMeter").Msg("closing")
	}
}

// members returns the entries known, this one included.
func (e *Entry) members() []ports.Member {
	return *e.view.members.Load()
}

// config returns the configuration in force.
func (e *Entry) config() *config.Config {
	return e.view.config.Load()
}

// sleep waits for d or the end of ctx, and tells whether ctx still stands.
func (e *Entry) sleep(ctx context.Context, d time.Duration) bool {
	return e.sleepOr(ctx, d, nil)
}

// sleepOr waits as sleep does, but no longer than until there is news.
func (e *Entry) sleepOr(ctx context.Context, d time.Duration, news <-chan struct{}) bool {
	passed := make(chan struct{})
	cancel := e.timer.After(d, func() { close(passed) })
	defer cancel()
	select {
	case <-passed:
		return true
	case <-news:
		return true
	case <-ctx.Done():
		return false
	}
}

// ID returns the instance's name.
func (e *Entry) ID() string {
	return e.self.ID
}
