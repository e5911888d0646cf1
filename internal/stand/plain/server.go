package plain

import (
	"context"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/netip"
	"strconv"
	"sync"
	"sync/atomic"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/enrol"
	"chivecroft.example/chivecroft/internal/stand/fault"
)

const (
	defaultSeed = 1
	// sizeParameter asks for an answer of that many bytes.
	sizeParameter = "size"
	copyBytes     = 32 << 10
)

// Faults are what can go wrong with a plain service.
type Faults struct{ fault.Common }

// Executions is how often the service ran each request key.
type Executions struct {
	Runs map[string]int `json:"runs"`
}

// Server is the plain service stand-in.
type Server struct {
	*fault.Host[Faults]

	row      ports.Instance
	platform string
	faults   Faults
	seed     uint64

	enrol   *enrol.Client
	leaving atomic.Bool
	active  sync.WaitGroup

	mu   sync.Mutex
	runs map[string]int
}

// Option changes a Server under construction.
type Option func(*Server)

// WithID names the instance.
func WithID(id string) Option {
	return func(s *Server) { s.row.ID = id }
}

// WithService sets the service that the instance is listed under.
func WithService(service string) Option {
	return func(s *Server) { s.row.Service = service }
}

// WithZone sets where the instance is.
func WithZone(zone, region string) Option {
	return func(s *Server) { s.row.Zone, s.row.Region = zone, region }
}

// WithPlatform sets the platform's address, such as "http://192.0.2.7:7000",
// at which the service registers.
func WithPlatform(baseURL string) Option {
	return func(s *Server) { s.platform = baseURL }
}

// WithFaults sets the faults at the start.
func WithFaults(f Faults) Option {
	return func(s *Server) { s.faults = f }
}

// WithSeed sets the seed of random faults.
func WithSeed(seed uint64) Option {
	return func(s *Server) { s.seed = seed }
}

// New returns a service that does not listen yet.
func New(opts ...Option) *Server {
	s := &Server{
		row: ports.Instance{
			ID: "service-1", Kind: ports.InstanceService, Service: "echo",
			Zone: "zone-1", Region: "region-1",
		},
		seed: defaultSeed,
		runs: make(map[string]int),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.Host = fault.NewHost(s.routes(), s.faults, s.seed, commonOf, nil)
	return s
}

// Start listens on addr, whose port may be 0, registers the service in the
// platform's list, if it knows a platform, and returns the address it got.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	got, err := s.Listen(ctx, addr)
	if err != nil {
		return got, trace.Wrap(err)
	}
	s.row.Addr = got
	if s.platform != "" {
		s.enrol = enrol.New(s.platform, s.row)
	}
	return got, nil
}

// Leave shows the service as leaving; it goes on answering.
func (s *Server) Leave() {
	if !s.leaving.Swap(true) && s.enrol != nil {
		s.enrol.Leave()
	}
}

// Drain leaves, waits for the work under way and takes the service off the list.
func (s *Server) Drain(ctx context.Context) error {
	s.Leave()
	return trace.Wrap(s.enrol.Drain(ctx, &s.active), "drain service %s", s.row.ID)
}

// Close stops at once, as if the process had died.
func (s *Server) Close() {
	if s.enrol != nil {
		s.enrol.Close()
	}
	s.Shut()
}

// Executions returns how often the service ran each request key.
func (s *Server) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{Runs: maps.Clone(s.runs)}
}

func commonOf(f *Faults) *fault.Common {
	return &f.Common
}

func (s *Server) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("/", func(w http.ResponseWriter, r *http.Request) {
		s.Panel.Wrap(http.HandlerFunc(s.serve), nil, serveDown).ServeHTTP(w, r)
	})
	mux.HandleFunc("GET /executions", func(w http.ResponseWriter, _ *http.Request) {
		fault.WriteJSON(w, http.StatusOK, s.Executions())
	})
	mux.HandleFunc("POST /leave", func(w http.ResponseWriter, _ *http.Request) {
		s.Leave()
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("/faults", func(w http.ResponseWriter, r *http.Request) { s.Panel.ServeHTTP(w, r) })
	return mux
}

func serveDown(w http.ResponseWriter, _ *http.Request) {
	fault.WriteJSON(w, http.StatusServiceUnavailable, fault.Problem{Detail: "down"})
}

// serve echoes the request line and the body as they arrive. The request has
// run once its whole body is there: a cut one has not.
func (s *Server) serve(w http.ResponseWriter, r *http.Request) {
	s.active.Add(1)
	defer s.active.Done()
	if text := r.URL.Query().Get(sizeParameter); text != "" {
		s.serveSize(w, r, text)
		return
	}
	// Without full duplex the server would read the whole body before the first
	// byte of the answer, or give it up.
	_ = http.NewResponseController(w).EnableFullDuplex()
	w.Header().Set("Content-Type", "application/octet-stream")
	fmt.Fprintf(w, "%s %s\n", r.Method, r.URL.RequestURI())
	if _, err := io.CopyBuffer(onlyWriter{w}, onlyReader{r.Body}, make([]byte, copyBytes)); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.ran(r)
}

func (s *Server) serveSize(w http.ResponseWriter, r *http.Request, text string) {
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		fault.WriteJSON(w, http.StatusBadRequest, fault.Problem{Detail: "size is no number"})
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		panic(http.ErrAbortHandler)
	}
	s.ran(r)
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", text)
	_, _ = io.CopyN(w, &pattern{}, n)
}

func (s *Server) ran(r *http.Request) {
	key := KeyOf(r.Header)
	if key == "" {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[key]++
}

// KeyOf returns the key by which a request's executions are counted.
func KeyOf(h http.Header) string {
	if key := h.Get("Idempotency-Key"); key != "" {
		return key
	}
	return h.Get("X-Request-Id")
}

// Echo returns the whole answer to a request with a short body.
func Echo(method, requestURI string, body []byte) []byte {
	return append(fmt.Appendf(nil, "%s %s\n", method, requestURI), body...)
}

// pattern is an endless text of digits.
type pattern struct{ at int }

func (p *pattern) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = '0' + byte(p.at%10)
		p.at++
	}
	return len(b), nil
}

// onlyWriter and onlyReader keep io.CopyBuffer to its buffer.
type onlyWriter struct{ io.Writer }

type onlyReader struct{ io.Reader }
