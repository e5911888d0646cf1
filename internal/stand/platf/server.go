package platf

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/fault"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/share"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	defaultListLag    = 500 * time.Millisecond
	defaultStoreRate  = 4
	defaultStoreWidth = 4
	defaultSeed       = 1
)

// Faults are what can go wrong with the platform.
type Faults struct {
	fault.Common
	// WritesOnly keeps the dropping of answers to writes.
	WritesOnly bool `json:"writesOnly"`
	// StoreSlowdown divides the speed of the weight store; 0 and 1 leave it.
	StoreSlowdown float64 `json:"storeSlowdown"`
	// StoreFailRate is the share of reads of the weight store that fail.
	StoreFailRate float64 `json:"storeFailRate"`
}

// Server is the platform stand-in.
type Server struct {
	*fault.Host[Faults]

	faults  Faults
	seed    uint64
	listLag time.Duration
	perSec  float64
	width   int

	store  *kvmem.Store
	rows   *instances
	pool   *share.Pool
	starts *rate.Limiter
	counts counters
}

// Option changes a Server under construction.
type Option func(*Server)

// WithFaults sets the faults at the start.
func WithFaults(f Faults) Option {
	return func(s *Server) { s.faults = f }
}

// WithSeed sets the seed of random faults.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.seed = seed }
}

// WithListLag sets how late the instance list shows a change.
func WithListLag(d time.Duration) Option {
	return func(s *Server) { s.listLag = d }
}

// WithStoreRate sets how many reads of the weight store may begin a second and
// how many go at full speed side by side.
func WithStoreRate(perSecond float64, width int) Option {
	return func(s *Server) { s.perSec, s.width = perSecond, width }
}

// New returns a platform that does not listen yet.
func New(opts ...Option) *Server {
	s := &Server{listLag: defaultListLag, perSec: defaultStoreRate, width: defaultStoreWidth, seed: defaultSeed}
	for _, opt := range opts {
		opt(s)
	}
	t := timer.NewSystem()
	s.store = kvmem.NewStore(t)
	s.rows = newInstances(t, s.listLag)
	s.pool = share.NewPool(t, s.width)
	s.starts = rate.NewLimiter(rate.Limit(s.perSec), s.width)
	s.Host = fault.NewHost(s.routes(), s.faults, s.seed, commonOf, s.slow)
	return s
}

// Start listens on addr, whose port may be 0, and returns the address it got.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	return s.Listen(ctx, addr)
}

// Close stops at once.
func (s *Server) Close() {
	s.Shut()
}

// KV returns the key-value service's state, past all faults.
func (s *Server) KV() *kvmem.Store {
	return s.store
}

func commonOf(f *Faults) *fault.Common {
	return &f.Common
}

func (s *Server) slow(f Faults) {
	s.pool.Slow(f.StoreSlowdown)
}

// routes puts the faults before the platform's services and not before the
// paths that control the stand-in.
func (s *Server) routes() http.Handler {
	services := http.NewServeMux()
	services.HandleFunc("POST /kv/{call}", s.serveKV)
	services.HandleFunc("GET "+wire.PathInstances, s.serveInstances)
	services.HandleFunc("POST "+wire.PathFetch, s.serveFetch)

	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.Panel.Wrap(services, s.droppable, serveDown).ServeHTTP(w, r)
	})
	mux.HandleFunc("PUT "+wire.PathInstances+"/{id}", s.putInstance)
	mux.HandleFunc("DELETE "+wire.PathInstances+"/{id}", s.deleteInstance)
	mux.HandleFunc("GET /counts", s.serveCounts)
	mux.HandleFunc("DELETE /counts", s.resetCounts)
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { s.Panel.ServeHTTP(w, r) })
	return mux
}

func (s *Server) droppable(r *http.Request) bool {
	if !s.Panel.Get().WritesOnly {
		return true
	}
	switch r.URL.Path {
	case wire.PathKVGet, wire.PathKVList, wire.PathKVWatch, wire.PathInstances, wire.PathFetch:
		return false
	}
	return true
}
