package target

import (
	"context"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/engmem"
	"chivecroft.example/chivecroft/internal/stand/enrol"
	"chivecroft.example/chivecroft/internal/stand/fault"
	"chivecroft.example/chivecroft/internal/stand/share"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	defaultMemoryBytes   = 80 << 30
	defaultLoadTime      = 2 * time.Second
	defaultTokenDelay    = 2 * time.Millisecond
	defaultFirstDelay    = 20 * time.Millisecond
	defaultConcurrency   = 8
	defaultCacheSize     = 64
	defaultEventLag      = 500 * time.Millisecond
	defaultEventLoss     = 0.05
	defaultLoadLag       = 500 * time.Millisecond
	defaultAdapterLeast  = 4 * time.Millisecond
	defaultAdapterSpread = 14 * time.Millisecond
	adapterWidth         = 30
	cachedFirstSpeedup   = 4
	defaultSeed          = 1
)

// Faults are what can go wrong with a target.
type Faults struct {
	fault.Common
	// CutNext is how many of the next answers break off after CutAfter tokens.
	CutNext  int `json:"cutNext"`
	CutAfter int `json:"cutAfter"`
	// StallNext is how many of the next answers go silent after CutAfter tokens.
	StallNext int `json:"stallNext"`
	// WrongLoad makes load reports claim idle replicas.
	WrongLoad bool `json:"wrongLoad"`
	// StaleLoad keeps the load report as it is.
	StaleLoad bool `json:"staleLoad"`
	// FailLoads makes loads of models fail.
	FailLoads bool `json:"failLoads"`
}

// Server is the model engine stand-in.
type Server struct {
	*fault.Host[Faults]

	row          ports.Instance
	boot         string
	platform     string
	memoryBytes  uint64
	checksFence  bool
	cachedAt     map[string]ports.Tier
	loadTime     func(checkpoint string) time.Duration
	tokenDelay   time.Duration
	firstDelay   time.Duration
	concurrency  int
	cacheSize    int
	eventLag     time.Duration
	eventLoss    float64
	loadLag      time.Duration
	adapterLeast time.Duration
	adapterMore  time.Duration
	faults       Faults
	seed         uint64

	engine   *engmem.Engine
	adapters *share.Pool
	cache    *cache
	enrol    *enrol.Client
	leaving  atomic.Bool
	active   sync.WaitGroup
	ctx      context.Context
	cancel   context.CancelFunc
	stopLoad timer.Cancel

	mu       sync.Mutex
	batches  map[string]*batch
	sizes    map[string]int
	loading  map[string]chan struct{}
	runs     map[string]*run
	record   Executions
	loadSeen wire.LoadReport
	loadAt   time.Time
}

// New returns a target that does not listen yet.
func New(opts ...Option) *Server {
	s := &Server{
		row:          ports.Instance{ID: "target-1", Kind: ports.InstanceTarget, Zone: "zone-1", Region: "region-1"},
		memoryBytes:  defaultMemoryBytes,
		checksFence:  true,
		loadTime:     func(string) time.Duration { return defaultLoadTime },
		tokenDelay:   defaultTokenDelay,
		firstDelay:   defaultFirstDelay,
		concurrency:  defaultConcurrency,
		cacheSize:    defaultCacheSize,
		eventLag:     defaultEventLag,
		eventLoss:    defaultEventLoss,
		loadLag:      defaultLoadLag,
		adapterLeast: defaultAdapterLeast,
		adapterMore:  defaultAdapterSpread,
		seed:         defaultSeed,
		cachedAt:     make(map[string]ports.Tier),
		batches:      make(map[string]*batch),
		sizes:        make(map[string]int),
		loading:      make(map[string]chan struct{}),
		runs:         make(map[string]*run),
		record:       Executions{Runs: make(map[string]int), Resumes: make(map[string]int)},
	}
	for _, opt := range opts {
		opt(s)
	}
	if s.boot == "" {
		s.boot = newBoot()
	}
	t := timer.NewSystem()
	s.engine = engmem.NewEngine(s.row.ID, s.boot, s.memoryBytes, s.load,
		engmem.WithFencing(s.checksFence), engmem.WithCached(s.cachedAt))
	s.adapters = share.NewPool(t, adapterWidth)
	s.cache = newCache(t, s.cacheSize, s.eventLag, s.eventLoss, s.seed)
	s.ctx, s.cancel = context.WithCancel(context.Background())
	s.Host = fault.NewHost(s.routes(), s.faults, s.seed, commonOf, nil)
	s.loadSeen = s.loadNow()
	s.loadAt = t.Now()
	return s
}

// Start listens on addr, whose port may be 0, registers the target in the
// platform's list, if it knows a platform, and returns the address it got.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	got, err := s.Listen(ctx, addr)
	if err != nil {
		return got, trace.Wrap(err)
	}
	s.row.Addr = got
	s.stopLoad = timer.Every(timer.NewSystem(), s.loadLag, s.sampleLoad)
	if s.platform != "" {
		s.enrol = enrol.New(s.platform, s.row)
	}
	return got, nil
}

// Leave shows the target as leaving; work under way goes on, new work is refused.
func (s *Server) Leave() {
	if s.leaving.Swap(true) {
		return
	}
	s.engine.SetLeaving(true)
	if s.enrol != nil {
		s.enrol.Leave()
	}
}

// Drain leaves, waits for the work under way and takes the target off the list.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	return trace.Wrap(s.enrol.Drain(ctx, &s.active), "drain target %s", s.row.ID)
}

// Close stops at once, as if the process had died.
func (s *Server) Close() {
	s.cancel()
	if s.stopLoad != nil {
		s.stopLoad()
	}
	if s.enrol != nil {
		s.enrol.Close()
	}
	s.Shut()
}

// Engine returns the engine's state, past all faults.
func (s *Server) Engine() *engmem.Engine {
	return s.engine
}

func commonOf(f *Faults) *fault.Common {
	return &f.Common
}

func (s *Server) routes() http.Handler {
	services := http.NewServeMux()
	services.HandleFunc("POST "+wire.PathOrder, s.serveOrder)
	services.HandleFunc("POST "+wire.PathGenerate, s.serveGenerate)
	services.HandleFunc("POST "+wire.PathCancel, s.serveCancel)
	services.HandleFunc("GET "+wire.PathEvents, s.serveEvents)
	services.HandleFunc("GET "+wire.PathLoad, s.serveLoad)
	services.HandleFunc("GET "+wire.PathAlive, func(http.ResponseWriter, *http.Request) {})

	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.Panel.Wrap(services, nil, serveDown).ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /executions", s.serveExecutions)
	mux.HandleFunc("GET /record", s.serveRecord)
	mux.HandleFunc("GET /state", s.serveState)
	mux.HandleFunc("POST /leave", s.serveLeave)
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { s.Panel.ServeHTTP(w, r) })
	return mux
}
