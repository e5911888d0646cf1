package entry

import (
	"context"
	"crypto/tls"
	"errors"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/transport/dayui"
	"chivecroft.example/chivecroft/internal/transport/opapi"
	"chivecroft.example/chivecroft/internal/transport/peer"
	"chivecroft.example/chivecroft/internal/transport/secure"
)

// The listeners of an entry.
const (
	ListenerCallers   = "callers"
	ListenerOperators = "operators"
	ListenerPeers     = "peers"
)

// Bounds of the HTTP servers. Bodies and answers have no bound here, since an
// answer may stream for as long as the caller's deadline lets it.
const (
	headerTimeout = 10 * time.Second
	idleTimeout   = 2 * time.Minute
	headerBytes   = 64 << 10
)

// listening is one HTTP server with its address.
type listening struct {
	name   string
	addr   netip.AddrPort
	server *http.Server
}

// Addr returns the address of a listener, once the entry has started.
func (e *Entry) Addr(listener string) netip.AddrPort {
	for _, l := range e.servers {
		if l.name == listener {
			return l.addr
		}
	}
	return netip.AddrPort{}
}

func (e *Entry) listen(ctx context.Context) error {
	path, peers := peer.NewHandler(receiver{e})
	peerMux := http.NewServeMux()
	peerMux.Handle(path, peers)
	for _, l := range []struct {
		name    string
		params  params.Listener
		handler http.Handler
	}{
		{ListenerCallers, e.settings.Callers, e.callersMux()},
		{ListenerOperators, e.settings.Operators.Listener, e.operatorsMux()},
		{ListenerPeers, e.settings.Peers, peerMux},
	} {
		if err := e.serve(ctx, l.name, l.params, l.handler); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

func (e *Entry) serve(ctx context.Context, name string, p params.Listener, handler http.Handler) error {
	raw, err := e.listener(ctx, name, p)
	if err != nil {
		return trace.Wrap(err, "listening on [%s] listen = %s", name, p.Listen)
	}
	listener := raw
	if name == ListenerPeers {
		listener = peer.CountListener(raw, e.countPeers)
	}
	if p.TLS() {
		files, err := e.files(name, p)
		if err != nil {
			return trace.Wrap(err)
		}
		listener = tls.NewListener(listener, files.Server())
	}
	l := &listening{name: name, addr: raw.Addr().(*net.TCPAddr).AddrPort(), server: &http.Server{
		Handler:           handler,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    headerBytes,
		BaseContext:       func(net.Listener) context.Context { return e.ctx },
		Protocols:         protocols(name),
	}}
	e.servers = append(e.servers, l)
	e.work.Add(1)
	go func() {
		defer e.work.Done()
		if err := l.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			e.log.Error().Err(err).Str("step", "serve").Str("listener", name).Msg("listener ended")
		}
	}()
	return nil
}

// listener returns the listener that was handed over under a name, or a new one.
func (e *Entry) listener(ctx context.Context, name string, p params.Listener) (net.Listener, error) {
	if open, ok := e.listeners[name]; ok {
		return open, nil
	}
	return (&net.ListenConfig{}).Listen(ctx, "tcp", p.Listen.String())
}

// protocols returns the HTTP versions of a listener: entries open streams to each
// other, which take HTTP/2, also without TLS.
func protocols(name string) *http.Protocols {
	p := new(http.Protocols)
	p.SetHTTP1(true)
	p.SetHTTP2(true)
	p.SetUnencryptedHTTP2(name == ListenerPeers)
	return p
}

func (e *Entry) files(name string, p params.Listener) (*secure.Files, error) {
	files, err := secure.NewFiles(p, e.timer, func(err error) {
		e.log.Error().Err(err).Str("step", "readTLS").Str("listener", name).Msg("keeping the last good TLS files")
	})
	return files, trace.Wrap(err, "[%s]", name)
}

func (e *Entry) newPeers() (*peer.Client, error) {
	if !e.settings.Peers.TLS() {
		return peer.NewClient(peer.WithCounter(e.countPeers), peer.WithWatch(e.watchLink(kindControl))), nil
	}
	files, err := e.files(ListenerPeers, e.settings.Peers)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	return peer.NewClient(peer.WithTLS(files.Client()), peer.WithCounter(e.countPeers), peer.WithWatch(e.watchLink(kindControl))), nil
}

// countPeers counts the bytes of the peer protocol.
func (e *Entry) countPeers(sent bool, n int) {
	e.meter.ControlBytes("peer", sent, n)
}

// callersMux serves callers and the balancer's checks.
func (e *Entry) callersMux() http.Handler {
	mux := http.NewServeMux()
	e.addHealth(mux)
	mux.Handle("/", e.front)
	return mux
}

func (e *Entry) operatorsMux() http.Handler {
	mux := http.NewServeMux()
	e.addHealth(mux)
	mux.Handle("GET /metrics", e.meter.Handler())
	mux.HandleFunc("GET /day", e.dayPage)
	mux.Handle("/", opapi.NewHandler(operations{e}, e.settings.Operators.KeyHashes))
	return mux
}

func (e *Entry) addHealth(mux *http.ServeMux) {
	mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintln(w, "alive")
	})
	mux.HandleFunc("GET /readyz", func(w http.ResponseWriter, _ *http.Request) {
		if !e.ready.Load() {
			http.Error(w, "draining or starting", http.StatusServiceUnavailable)
			return
		}
		fmt.Fprintln(w, "ready")
	})
}

// dayPage shows the day page to browsers, which cannot send a bearer token with
// a link: the operator key is the password of basic authentication instead.
func (e *Entry) dayPage(w http.ResponseWriter, r *http.Request) {
	_, password, _ := r.BasicAuth()
	if !opapi.Authorized("Bearer "+password, e.settings.Operators.KeyHashes) &&
		!opapi.Authorized(r.Header.Get("Authorization"), e.settings.Operators.KeyHashes) {
		w.Header().Set("WWW-Authenticate", `Basic realm="operator key as password"`)
		http.Error(w, "give an operator key as the password", http.StatusUnauthorized)
		return
	}
	date, err := e.date(r.URL.Query().Get("date"))
	if err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusBadRequest)
		return
	}
	report, err := e.day(r.Context(), date)
	if err != nil {
		http.Error(w, trace.UserMessage(err), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	if err := dayui.HTML(w, report); err != nil {
		e.log.Warn().Err(err).Str("step", "dayPage").Msg("writing the day page")
	}
}

// date reads a date, today's if it is empty.
func (e *Entry) date(text string) (daily.Date, error) {
	if text == "" {
		return e.recorder.Today(), nil
	}
	return daily.ParseDate(text)
}

// day adds up the rows of a date.
func (e *Entry) day(ctx context.Context, date daily.Date) (daily.Report, error) {
	row := e.writer.Row(e.timer.Now(), date)
	return e.parts.days.call(ctx, func(id uint64) {
		e.parts.reader.Post(daily.ReadAsked{ID: id, Date: date, Members: e.members(), Local: &row})
	})
}
