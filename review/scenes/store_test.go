package scenes

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as it is sent.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Removed  bool   `json:"removed,omitempty"`
}

// store is the platform's metadata store. It loses nothing and keeps its whole history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	leases   map[int64]*lease
	// lastLease is the number of the latest lease.
	lastLease int64
}

// lease is a lease; it ends at until unless it is renewed.
type lease struct {
	ttl   time.Duration
	until time.Time
}

func newStore() *store {
	s := &store{revision: 100, items: make(map[string]item), changed: make(chan struct{}), leases: make(map[int64]*lease)}
	go s.expire()
	return s
}

// storePort is where one machine reaches the store, with the machine's connections.
type storePort struct {
	addr string
	// onGrant is called when the machine asks for a lease. It may be nil.
	onGrant func()

	mu sync.Mutex
	// conns holds the machine's connections and whether a watch waits on each.
	conns map[net.Conn]bool
}

// connKey is the key of the connection in the context of a call.
type connKey struct{}

// listen answers the calls of one machine until the process ends.
func (s *store) listen(ctx context.Context, addr string) (*storePort, error) {
	var lc net.ListenConfig
	l, err := lc.Listen(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	p := &storePort{addr: l.Addr().String(), conns: make(map[net.Conn]bool)}
	server := &http.Server{
		Handler:           http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.call(p, w, r) }),
		ReadHeaderTimeout: time.Minute, ConnState: p.note,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
	}
	go func() { _ = server.Serve(l) }()
	return p, nil
}

func (p *storePort) note(c net.Conn, state http.ConnState) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch state {
	case http.StateNew:
		p.conns[c] = false
	case http.StateClosed, http.StateHijacked:
		delete(p.conns, c)
	case http.StateActive, http.StateIdle:
	}
}

// setWatching notes whether a watch waits on the connection of a call.
func (p *storePort) setWatching(r *http.Request, isWatching bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
		if _, isOpen := p.conns[c]; isOpen {
			p.conns[c] = isWatching
		}
	}
}

// resetShare is the largest share of a machine's connections that are reset.
const resetShare = 0.55

// resetWatches resets connections on which a watch waits, up to resetShare of all. It returns
// how many were reset, of how many.
func (p *storePort) resetWatches() (reset, all int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	all = len(p.conns)
	for c, isWatching := range p.conns {
		if tcp, ok := c.(*net.TCPConn); ok && isWatching && float64(reset+1) <= max(resetShare*float64(all), 1) {
			_ = tcp.SetLinger(0)
			_ = tcp.Close()
			reset++
		}
	}
	return reset, all
}

// expire removes the keys of leases that have ended.
func (s *store) expire() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.until) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.remove(key)
		}
	}
}

// put writes a key as the operator or a replica does.
func (s *store) put(key string, value any) {
	data, ok := value.([]byte)
	if !ok {
		data, _ = json.Marshal(value)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, data, 0)
	s.wake()
}

// drop removes a key as the platform does when a replica has left.
func (s *store) drop(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(key)
}

// get returns the value of a key.
func (s *store) get(key string) ([]byte, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it.Value, ok
}

func (s *store) set(key string, value []byte, lease int64) {
	created := s.items[key].Created
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, Created: created, Lease: lease}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *store) remove(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.history = append(s.history, item{Key: key, Revision: s.revision, Removed: true})
	s.wake()
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) call(p *storePort, w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	last, _ := strconv.ParseInt(r.URL.Path[strings.LastIndexByte(r.URL.Path, '/')+1:], 10, 64)
	switch path := r.URL.Path; {
	case path == "/api/kv-key":
		s.readKey(w, q.Get("key"))
	case path == "/api/kv-range":
		s.readRange(w, q.Get("path_prefix"), q.Get("after"))
	case path == "/api/kv-watch":
		after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
		wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
		p.setWatching(r, true)
		s.watch(w, r, q.Get("path_prefix"), after, time.Duration(wait)*time.Millisecond)
		p.setWatching(r, false)
	case path == "/api/kv-txn":
		s.txn(w, r)
	case path == "/api/kv-lease":
		s.grant(w, r)
		p.mu.Lock()
		onGrant := p.onGrant
		p.mu.Unlock()
		if onGrant != nil {
			go onGrant()
		}
	case strings.HasPrefix(path, "/api/kv-keep/"):
		s.keep(w, last)
	case strings.HasPrefix(path, "/api/kv-lease-end/"):
		s.mu.Lock()
		s.endLease(last)
		s.mu.Unlock()
		reply(w, http.StatusOK, map[string]any{})
	default:
		reply(w, http.StatusBadRequest, map[string]any{})
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) readKey(w http.ResponseWriter, key string) {
	s.mu.Lock()
	it, ok := s.items[key]
	revision := s.revision
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, map[string]any{"store_revision": revision})
		return
	}
	reply(w, http.StatusOK, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{it, revision})
}

func (s *store) readRange(w http.ResponseWriter, prefix, after string) {
	s.mu.Lock()
	rows := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, it)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	reply(w, http.StatusOK, map[string]any{"items": rows, "more_pages": false, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request, prefix string, after int64, wait time.Duration) {
	timeout := time.NewTimer(wait)
	defer timeout.Stop()
	for {
		s.mu.Lock()
		rows := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				rows = append(rows, it)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			reply(w, http.StatusOK, map[string]any{"events": rows, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			reply(w, http.StatusOK, map[string]any{"events": rows, "store_revision": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// txnBody is the body of a change under conditions.
type txnBody struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected"`
	SetKeys []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"set_keys"`
	Remove []string `json:"remove"`
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body txnBody
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, http.StatusBadRequest, map[string]any{})
		return
	}
	status, out := s.apply(body)
	reply(w, status, out)
}

func (s *store) apply(body txnBody) (int, map[string]any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, e := range body.Expected {
		it := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if it.Key != "" {
			current = append(current, it)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, map[string]any{"items": current}
	}
	for _, k := range body.SetKeys {
		if k.Lease != 0 && s.leases[k.Lease] == nil {
			return http.StatusNotFound, map[string]any{}
		}
	}
	if len(body.SetKeys) > 0 {
		s.revision++
	}
	for _, k := range body.SetKeys {
		s.set(k.Key, k.Value, k.Lease)
	}
	for _, key := range body.Remove {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.mu.Lock()
	s.lastLease++
	id := s.lastLease
	s.leases[id] = &lease{ttl: ttl, until: time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, http.StatusOK, map[string]any{"lease": id, "ttl_ms": body.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, id int64) {
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.until = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		reply(w, http.StatusNotFound, map[string]any{})
		return
	}
	reply(w, http.StatusOK, map[string]any{"ttl_ms": l.ttl.Milliseconds()})
}
