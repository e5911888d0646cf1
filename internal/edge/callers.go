package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/transport/accept"
)

// closePollInterval is the interval at which a stopping server checks whether its
// requests have finished.
const closePollInterval = 5 * time.Millisecond

// callerServer is the HTTP server for callers. Unlike a plain http.Server, it responds to
// requests on connections that were accepted just before it stopped listening.
type callerServer struct {
	http     http.Server
	listener *accept.Listener

	mu sync.Mutex
	// busy holds the connections that have a request, or are new and may be about to have
	// one.
	busy map[net.Conn]struct{}
}

// newCallerServer returns a server on the connections of the listener, which limits heads
// and their time; the library's own limits are above those.
func newCallerServer(handler http.Handler, l *accept.Listener) *callerServer {
	s := &callerServer{listener: l, busy: make(map[net.Conn]struct{})}
	s.http = http.Server{
		Handler: l.Handler(handler), MaxHeaderBytes: 2 * accept.MaxHeaderBytes,
		ConnState: s.trackState, ConnContext: l.Context,
	}
	return s
}

// start listens at addr. Serving ends when the server is closed.
func (s *callerServer) start(ctx context.Context, addr string, l *log.Logger) error {
	_, err := listenThrough(ctx, &s.http, addr, l, func(inner net.Listener) net.Listener { return s.listener.Wrap(inner) })
	return err
}

func (s *callerServer) trackState(c net.Conn, state http.ConnState) {
	s.listener.OnState(c, state)
	s.mu.Lock()
	defer s.mu.Unlock()
	switch state {
	case http.StateNew, http.StateActive:
		s.busy[c] = struct{}{}
	case http.StateIdle, http.StateClosed, http.StateHijacked:
		delete(s.busy, c)
	}
}

func (s *callerServer) isBusy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.busy) > 0
}

// stop stops accepting connections, waits up to timeout for requests on the existing ones
// and closes the rest. http.Server.Shutdown would close connections whose request it has
// just read.
func (s *callerServer) stop(timeout time.Duration) {
	_ = s.listener.Close()
	for end := time.Now().Add(timeout); s.isBusy() && time.Now().Before(end); {
		time.Sleep(closePollInterval)
	}
	s.close()
}

func (s *callerServer) close() {
	_ = s.http.Close()
}
