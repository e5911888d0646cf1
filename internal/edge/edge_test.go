package edge

import (
	"context"
	"fmt"
	"io"
	stdlog "log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

// discardLogger returns a logger that discards its output.
func discardLogger() *log.Logger {
	return &log.Logger{Level: log.ErrorLevel, Writer: &log.IOWriter{Writer: io.Discard}}
}

// rig is a fake store, fake targets and instances of the system on loopback.
type rig struct {
	t       *testing.T
	store   *fake.Store
	targets map[string]*fake.Target
	edges   []*Edge
	// cut makes an instance's calls to the store fail.
	cut map[string]*atomic.Bool
	// links holds the instances' links to the store.
	links map[string]*storeLink
	// apart makes an instance's calls to other instances fail.
	apart map[string]*atomic.Bool
	// teams are those of configurations written from now on, and revocation the bound of
	// instances started from now on.
	teams      []fake.Team
	revocation time.Duration
	// heartbeat is that of targets which instances started from now on are told of.
	heartbeat time.Duration
	// relayZoneSize replaces the size of zones without relays, if it is not 0, for
	// instances started from now on.
	relayZoneSize int
}

func newRig(t *testing.T, instances int, opts ...func(*rig)) *rig {
	r := &rig{t: t, store: fake.NewStore(t), targets: make(map[string]*fake.Target), cut: make(map[string]*atomic.Bool), links: make(map[string]*storeLink), apart: make(map[string]*atomic.Bool)}
	for _, opt := range opts {
		opt(r)
	}
	r.config(1, "/app/")
	r.target("llm", fake.NewTarget(t, "e1", "a1", 50*time.Millisecond, "m1", "m2"))
	r.target("llm", fake.NewTarget(t, "e2", "a1", 50*time.Millisecond, "m3", "m4"))
	r.target("desk", fake.NewTarget(t, "d1", "a1", 0))
	for range instances {
		r.start()
	}
	return r
}

func (r *rig) target(service string, f *fake.Target) {
	r.targets[f.ID] = f
	r.store.Write(r.t, "servers/"+f.ID, f.Entry(service, "ready"))
}

// config writes a configuration whose plain route has the given prefix.
func (r *rig) config(version int, prefix string) {
	r.store.WriteConfig(r.t, fake.Config{
		Version: version, Host: "x.example", Plain: []string{"desk"}, Teams: r.teams,
		Engines: map[string]fake.Models{"llm": {Names: []string{"m1", "m2", "m3", "m4", "m5"}, Places: 2, Load: 200 * time.Millisecond}},
		Routes: []fake.Route{
			{Name: "chat", Prefix: "/chat/", Kind: "streaming", Service: "llm", Timeout: 8 * time.Second, Attempts: 1},
			{Name: "draft", Prefix: "/draft/", Kind: "streaming", Service: "llm", Timeout: 4 * time.Second, Attempts: 2, Resumable: true},
			{Name: "app", Prefix: prefix, Kind: "unsafe", Service: "desk", Timeout: 2 * time.Second, Attempts: 1},
			{Name: "open", Prefix: "/open/", Kind: "unsafe", Service: "desk", Timeout: 2 * time.Second, Attempts: 1, Public: true},
		},
	})
}

func (r *rig) start(opts ...Option) *Edge {
	loopback := netip.MustParseAddr("127.0.0.1")
	port := fake.FreePorts(r.t, 3)
	name := "i" + string(rune('1'+len(r.edges)))
	boot := &platform.Boot{
		Instance: name, Addr: loopback, Zone: "a1",
		Regions: map[string]string{"a1": "a"}, Store: r.linkToStore(name),
		Callers: netip.AddrPortFrom(loopback, port), Ready: netip.AddrPortFrom(loopback, port+1),
		Peer:        netip.AddrPortFrom(loopback, port+2),
		StoreTTLMin: time.Second, Heartbeat: r.heartbeat,
		Bounds: platform.Bounds{
			StopGrace: 8 * time.Second, OrderHandover: 3 * time.Second, RetryRatio: 0.2, RetryExtra: 50,
			RetryWindow: 10 * time.Second, LoadWindow: 5 * time.Second, Revocation: r.revocation,
		},
	}
	e := New(boot, discardLogger(), opts...)
	r.apart[name] = new(atomic.Bool)
	e.peerClient.http.Transport = cuttable{e.peerClient.http.Transport, r.apart[name]}
	if r.relayZoneSize > 0 {
		e.coordinator.relayZoneSize = r.relayZoneSize
	}
	if err := e.Start(r.t.Context()); err != nil {
		r.t.Fatal(err)
	}
	r.t.Cleanup(e.kill)
	r.edges = append(r.edges, e)
	r.eventually("the instance is ready", func() bool { return r.isReady(e) })
	return e
}

// linkToStore starts a proxy to the store for one instance and returns its address.
func (r *rig) linkToStore(instance string) netip.AddrPort {
	cut := new(atomic.Bool)
	r.cut[instance] = cut
	proxy := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: r.store.Addr().String()})
	// A call that its instance cancels is expected and not logged.
	proxy.ErrorLog = stdlog.New(io.Discard, "", 0)
	link := &storeLink{proxy: proxy, cut: cut, watches: make(map[*http.Request]context.CancelFunc), silent: make(map[*http.Request]bool)}
	r.links[instance] = link
	server := httptest.NewServer(link)
	r.t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

// storeLink passes the calls of one instance on to the store.
type storeLink struct {
	proxy http.Handler
	// cut makes calls fail.
	cut *atomic.Bool
	// onGrant, if set, is called when the instance asks for a lease.
	onGrant atomic.Pointer[func()]

	mu sync.Mutex
	// watches holds the watches that wait, silent those whose reply never comes. The next watch
	// of silentPrefix is one of these, unless that is empty.
	watches      map[*http.Request]context.CancelFunc
	silent       map[*http.Request]bool
	silentPrefix string
}

func (l *storeLink) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	if l.cut.Load() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch req.URL.Path {
	case "/api/kv-lease":
		if f := l.onGrant.Load(); f != nil {
			(*f)()
		}
	case "/api/kv-watch":
		l.watch(w, req)
		return
	}
	l.proxy.ServeHTTP(w, req)
}

func (l *storeLink) watch(w http.ResponseWriter, req *http.Request) {
	ctx, cancel := context.WithCancel(req.Context())
	defer cancel()
	l.mu.Lock()
	l.watches[req] = cancel
	if l.silentPrefix != "" && req.URL.Query().Get("path_prefix") == l.silentPrefix {
		l.silent[req], l.silentPrefix = true, ""
	}
	l.mu.Unlock()
	l.proxy.ServeHTTP(watchWriter{w, l, req}, req.WithContext(ctx))
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.watches[req] == nil {
		panic(http.ErrAbortHandler)
	}
	delete(l.watches, req)
}

// watchWriter writes the reply to a watch unless it is silent.
type watchWriter struct {
	http.ResponseWriter
	link *storeLink
	req  *http.Request
}

func (w watchWriter) WriteHeader(status int) {
	w.link.mu.Lock()
	isSilent := w.link.silent[w.req]
	w.link.mu.Unlock()
	if isSilent {
		<-w.req.Context().Done()
	}
	w.ResponseWriter.WriteHeader(status)
}

// silenceNextWatch has no reply come to the next watch of keys with a prefix.
func (l *storeLink) silenceNextWatch(prefix string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.silentPrefix = prefix
}

// hasSilentWatch reports whether that watch has begun.
func (l *storeLink) hasSilentWatch() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.silent) > 0
}

// resetWatches ends the connections on which watches wait.
func (l *storeLink) resetWatches() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, cancel := range l.watches {
		cancel()
	}
	clear(l.watches)
}

func (r *rig) isReady(e *Edge) bool {
	resp, err := r.get("http://" + e.boot.Ready.String() + platform.ReadyPath)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (r *rig) get(url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return http.DefaultClient.Do(req)
}

func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("condition not met within ten seconds: %s", what)
}

// holdsForAll tells whether a condition holds for all of some instances.
func holdsForAll(edges []*Edge, holds func(*Edge) bool) bool {
	return !slices.ContainsFunc(edges, func(e *Edge) bool { return !holds(e) })
}

func (r *rig) call(e *Edge, path, model string) (int, string) {
	return r.callWithKey(e, path, model, "")
}

// callWithKey calls with an API key, unless that is empty.
func (r *rig) callWithKey(e *Edge, path, model, key string) (int, string) {
	status, _, body := r.send(r.t.Context(), e, fake.Call{ID: "call", Path: path, Model: model, Key: key, Body: "body"})
	return status, body
}

// send sends a call and returns its answer, or status 0 and the error.
func (r *rig) send(ctx context.Context, e *Edge, c fake.Call) (status int, header http.Header, body string) {
	ctx, cancel := context.WithTimeout(ctx, 10*time.Second)
	defer cancel()
	c.Host = "x.example"
	req, err := c.Request(ctx, e.boot.Callers)
	if err != nil {
		r.t.Error(err)
		return 0, nil, err.Error()
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil, err.Error()
	}
	return resp.StatusCode, resp.Header, string(data)
}

// TestColdModelIsServed asks each of two instances for a model that no target has loaded.
// The holder must order a target to make room for it and load it.
func TestColdModelIsServed(t *testing.T) {
	r := newRig(t, 2)
	for _, e := range r.edges {
		if status, body := r.call(e, "/chat/", "m5"); status != http.StatusOK {
			t.Errorf("%s: %d %s", e.boot.Instance, status, body)
		}
	}
	if status, body := r.call(r.edges[1], "/app/", ""); status != http.StatusOK || body != "answer of d1" {
		t.Errorf("plain service: %d %s", status, body)
	}
}

// TestIdleInstancesMakeFewStoreCalls counts the store calls of two idle seconds: only the
// holder renews its lease and watches.
func TestIdleInstancesMakeFewStoreCalls(t *testing.T) {
	r := newRig(t, 4)
	time.Sleep(time.Second)
	before := r.store.Calls()
	time.Sleep(2 * time.Second)
	if n := r.store.Calls() - before; n > 30 {
		t.Errorf("four instances made %d store calls in two idle seconds", n)
	}
}

// TestConfigurationReachesAll changes a route and calls it at every instance. An older
// version that is written later must not take effect.
func TestConfigurationReachesAll(t *testing.T) {
	r := newRig(t, 3)
	r.config(4, "/new/")
	time.Sleep(1500 * time.Millisecond)
	for _, e := range r.edges {
		if status, _ := r.call(e, "/new/", ""); status != http.StatusOK {
			t.Errorf("%s answers %d on the new route", e.boot.Instance, status)
		}
		if status, _ := r.call(e, "/app/", ""); status != http.StatusNotFound {
			t.Errorf("%s answers %d on the old route", e.boot.Instance, status)
		}
	}
	r.config(3, "/older/")
	time.Sleep(time.Second)
	if status, _ := r.call(r.edges[0], "/new/", ""); status != http.StatusOK {
		t.Errorf("an older version took effect: %d", status)
	}
}

// TestForeignEntries writes entries that are not descriptions of targets. The other
// targets must still be used.
func TestForeignEntries(t *testing.T) {
	r := newRig(t, 1)
	for key, value := range map[string]string{"servers/x1": "{", "servers/x2": `{"service":7}`, "servers/x3": "\xff\x00"} {
		r.store.Write(t, key, []byte(value))
	}
	time.Sleep(500 * time.Millisecond)
	if status, _ := r.call(r.edges[0], "/app/", ""); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// TestKnownTargetTurnsOdd has another writer replace a known target's entry by an odd one, and
// leave a large number of them. The target is used no more, the others are, and later
// changes are followed by all instances.
func TestKnownTargetTurnsOdd(t *testing.T) {
	r := newRig(t, 3)
	r.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	deep := strings.Repeat("[", 10_001) + strings.Repeat("]", 10_001)
	const rest = `"version":"v1","cold_remaining_ms":0,"sequence":7,"born":1}`
	for _, odd := range []string{
		deep, `{"service":` + deep + `}`, `{"slots":1e400}`,
		`{"service":"desk","address":"127.0.0.1:65536","zone":"a1","slots":4,"state":"ready",` + rest,
		`{"service":"desk","address":"127.0.0.1:0","zone":"a1","slots":4,"state":"ready",` + rest,
		`{"service":"desk","address":"127.0.0.1:9","zone":"` + strings.Repeat("z", 900_000) + `","slots":4,"state":"ready",` + rest,
		`{"service":"desk","address":"` + r.targets["d1"].Addr().String() + `","zone":"a1","slots":8,"state":"ready"}`,
	} {
		r.store.Write(t, "servers/d1", []byte(odd))
		for i := range 6 {
			r.store.Write(t, fmt.Sprintf("servers/odd%d", i), []byte(odd))
		}
		time.Sleep(2*exchangeInterval + targetBatchDelay)
		for _, e := range r.edges {
			if status, body := r.call(e, "/app/", ""); status != http.StatusOK || body != "answer of d2" {
				t.Errorf("%s beside %.60s: %d %s", e.boot.Instance, odd, status, body)
			}
		}
	}
	r.store.List(t, r.targets["d1"], "desk", "ready")
	r.store.Unlist("d2")
	r.eventually("all instances follow later changes", func() bool {
		return holdsForAll(r.edges, func(e *Edge) bool {
			_, body := r.call(e, "/app/", "")
			return body == "answer of d1"
		})
	})
}

// TestLeavingWordReachesAll has a target tell one instance that it is leaving, long
// before the store says so. No instance may use it any more.
func TestLeavingWordReachesAll(t *testing.T) {
	r := newRig(t, 3)
	r.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	leaver := r.targets["d1"]
	leaver.Leave()
	r.eventually("one instance knows that the target is leaving", func() bool {
		for _, e := range r.edges {
			if _, body := r.call(e, "/app/", ""); body == "answer of d1" {
				return true
			}
		}
		return false
	})
	time.Sleep(2*exchangeInterval + 300*time.Millisecond)
	for range 10 {
		for _, e := range r.edges {
			if status, body := r.call(e, "/app/", ""); status != http.StatusOK || body != "answer of d2" {
				t.Errorf("%s: %d %s", e.boot.Instance, status, body)
			}
		}
	}
}

// TestStoreAway takes the store away: requests must still be served.
func TestStoreAway(t *testing.T) {
	r := newRig(t, 2)
	r.store.Refuse.Store(http.StatusServiceUnavailable)
	time.Sleep(2 * time.Second)
	for _, e := range r.edges {
		if status, _ := r.call(e, "/app/", ""); status != http.StatusOK {
			t.Errorf("%s answers %d without the store", e.boot.Instance, status)
		}
		if !r.isReady(e) {
			t.Errorf("%s is not ready without the store", e.boot.Instance)
		}
	}
}

// TestPlannedStop stops an instance during a request, with new ones arriving. The first
// must get its full response; the later ones must be served or refused.
func TestPlannedStop(t *testing.T) {
	r := newRig(t, 1)
	e := r.edges[0]
	began := make(chan struct{})
	d := r.targets["d1"]
	d.Behave(func(w http.ResponseWriter, req *http.Request) {
		d.Sign(w, req)
		if fake.CallID(req) == "slow" {
			close(began)
			time.Sleep(1500 * time.Millisecond)
		}
		_, _ = io.WriteString(w, "whole")
	})
	slow := make(chan string, 1)
	go func() {
		_, _, body := r.send(t.Context(), e, fake.Call{ID: "slow", Path: "/app/"})
		slow <- body
	}()
	select {
	case <-began:
	case body := <-slow:
		t.Fatalf("the request ended before it reached its target: %s", body)
	}
	stopped := make(chan struct{})
	stopStart := time.Now()
	go func() {
		e.Stop()
		close(stopped)
	}()
	for range 30 {
		time.Sleep(100 * time.Millisecond)
		status, text := r.call(e, "/app/", "")
		if status == 0 && time.Since(stopStart) >= minStopTime {
			// The listener closes after minStopTime, which a slow machine reaches within
			// fewer requests.
			break
		}
		if status != http.StatusOK && status != http.StatusServiceUnavailable {
			t.Errorf("request while stopping: %d %s", status, text)
		}
	}
	if body := <-slow; body != "whole" {
		t.Errorf("request that began before the stop: %s", body)
	}
	<-stopped
}
