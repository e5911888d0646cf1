package fault

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/gravitational/trace"
)

const readHeaderTimeout = 5 * time.Second

// Server serves one stand-in.
type Server struct {
	http     *http.Server
	mu       sync.Mutex
	listener *listener
}

// NewServer returns a server for handler that does not listen yet.
func NewServer(handler http.Handler) *Server {
	return &Server{http: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: readHeaderTimeout,
		ConnContext:       keepConn,
	}}
}

// Start listens on addr, whose port may be 0, and returns the address it got.
func (s *Server) Start(ctx context.Context, addr netip.AddrPort) (netip.AddrPort, error) {
	var config net.ListenConfig
	inner, err := config.Listen(ctx, "tcp", addr.String())
	if err != nil {
		return netip.AddrPort{}, trace.Wrap(err, "listen on %s", addr)
	}
	l := newListener(inner)
	s.mu.Lock()
	s.listener = l
	s.mu.Unlock()
	// Serve ends when the listener is closed, and that is no failure.
	go func() { _ = s.http.Serve(l) }()
	return netip.ParseAddrPort(inner.Addr().String())
}

// URL returns where the server listens, empty before Start.
func (s *Server) URL() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener == nil {
		return ""
	}
	return "http://" + s.listener.Addr().String()
}

// Freeze silences the open connections, all but that of the request r if it is
// not nil, and returns their number.
func (s *Server) Freeze(r *http.Request) int {
	s.mu.Lock()
	l := s.listener
	s.mu.Unlock()
	if l == nil {
		return 0
	}
	var but net.Conn
	if r != nil {
		but = connOf(r)
	}
	return l.freeze(but)
}

// Close stops at once, cutting what is under way.
func (s *Server) Close() {
	s.http.Close()
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.listener != nil {
		s.listener.closeAll()
	}
}

// Shutdown stops listening and waits for the requests under way.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.http.Shutdown(ctx)
	s.Close()
	return err
}
