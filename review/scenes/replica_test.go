package scenes

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// replica is one replica of a service: a plain one, or one with models.
type replica struct {
	w       *world
	id      string
	service string
	zone    string
	addr    string
	slots   int
	// run answers a request that is run.
	run http.HandlerFunc
	// before is called with each request for the service before it is run; it returns true if
	// it has answered the request. It may be nil.
	before func(http.ResponseWriter, *http.Request) bool
	// onOrder is called with each order before it is carried out; it returns true if the order
	// gets no answer now. It may be nil.
	onOrder func(order) bool

	mu     sync.Mutex
	born   int64
	state  string
	silent bool
	server *http.Server
	// arrivals holds the requests in the order in which they came.
	arrivals []arrival
	engine   engine
}

// arrival is a request that reached a replica.
type arrival struct {
	at     time.Time
	id     string
	header http.Header
	path   string
	// rejected reports whether it was answered 421.
	rejected bool
}

// newReplica starts a replica and its heartbeats.
func (w *world) newReplica(id, service, zone string, slots int, run http.HandlerFunc) (*replica, error) {
	r := &replica{w: w, id: id, service: service, zone: zone, slots: slots, run: run, state: "ready", addr: w.nextAddr()}
	if err := r.start(); err != nil {
		return nil, err
	}
	go r.beat()
	return r, nil
}

// start starts a new incarnation at the replica's address.
func (r *replica) start() error {
	var lc net.ListenConfig
	l, err := lc.Listen(r.w.ctx, "tcp", r.addr)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: http.HandlerFunc(r.serve), ReadHeaderTimeout: time.Minute}
	r.mu.Lock()
	r.addr = l.Addr().String()
	r.born = time.Now().UnixMilli()
	r.server = server
	r.mu.Unlock()
	r.w.rec.add("%s runs at %s, born %d", r.id, r.addr, r.born)
	go func() { _ = server.Serve(l) }()
	r.announce()
	return nil
}

// crash ends the incarnation at once, with all its connections.
func (r *replica) crash() {
	r.mu.Lock()
	server := r.server
	r.server = nil
	r.mu.Unlock()
	if server != nil {
		r.w.rec.add("%s ends", r.id)
		_ = server.Close()
	}
}

// beat writes the replica's description at each heartbeat.
func (r *replica) beat() {
	for range time.Tick(heartbeat) {
		r.announce()
	}
}

// announce writes the replica's description unless it is down or cut off from the store.
func (r *replica) announce() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.server == nil || r.silent {
		return
	}
	r.w.store.put("servers/"+r.id, r.entry())
}

// entry returns the replica's description.
func (r *replica) entry() map[string]any {
	e := map[string]any{
		"service": r.service, "address": r.addr, "zone": r.zone, "version": "v1", "slots": r.slots,
		"state": r.state, "cold_remaining_ms": 0, "sequence": r.engine.sequence, "born": r.born,
	}
	if r.engine.models != nil {
		e["stage"], e["models"] = "both", r.engine.rows()
		e["available"] = map[string]any{"in_memory": []string{}, "on_disk": r.engine.disk}
	}
	return e
}

// setSilent cuts the replica off from the store.
func (r *replica) setSilent(silent bool) {
	r.mu.Lock()
	r.silent = silent
	r.mu.Unlock()
	if !silent {
		r.announce()
	}
}

func (r *replica) serve(w http.ResponseWriter, req *http.Request) {
	if expect := req.Header.Get("Chivecroft-Expect-Instance"); expect != "" && expect != r.id {
		w.Header().Set("Chivecroft-Instance-Id", r.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	switch req.URL.Path {
	case "/api/report":
		r.report(w)
	case "/api/order":
		r.order(w, req)
	case "/health":
		w.Header().Set("Chivecroft-Instance-Id", r.id)
	default:
		r.request(w, req)
	}
}

func (r *replica) request(w http.ResponseWriter, req *http.Request) {
	id := req.Header.Get("Chivecroft-Attempt-Id")
	if id == "" {
		w.Header().Set("Chivecroft-Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Chivecroft-Attempt-Id", id)
	a := arrival{at: time.Now(), id: id, header: req.Header.Clone(), path: req.RequestURI, rejected: !r.serves(req)}
	r.mu.Lock()
	r.arrivals = append(r.arrivals, a)
	before := r.before
	r.mu.Unlock()
	r.w.rec.add("%s is sent %s %s %s", r.id, req.Method, req.RequestURI, id)
	if a.rejected {
		w.Header().Set("Chivecroft-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if before != nil && before(w, req) {
		return
	}
	r.run(w, req)
}

// sign sets the headers of an answer to a request that has run.
func (r *replica) sign(w http.ResponseWriter) {
	w.Header().Set("Chivecroft-Response-Signature", "sig-"+r.id)
	w.Header().Set("Chivecroft-Server-Load", "1,0,"+strconv.Itoa(r.slots))
}

// arrivedAfter returns the requests that came after a time, without those that got 421.
func (r *replica) arrivedAfter(from time.Time) []arrival {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []arrival
	for _, a := range r.arrivals {
		if a.at.After(from) && !a.rejected {
			out = append(out, a)
		}
	}
	return slices.Clip(out)
}
