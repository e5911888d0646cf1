package accept

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
)

// Defaults of the limits, for a configuration that sets none.
const (
	defaultHeaderBytes   = 64 << 10
	defaultHeaderTimeout = 10 * time.Second
	defaultIdleTimeout   = 2 * time.Minute
	// MaxHeaderBytes is the largest limit on the size of a head.
	MaxHeaderBytes = 1 << 20
)

const (
	// socketBytes limits what the kernel holds of a connection in each direction, which
	// counts toward the memory of the machine. Linux doubles it for its own overhead.
	socketBytes = 64 << 10
	// reusableShare is the part of the idle timeout for which callers rely on a connection.
	reusableShare = 0.8
	// extraShare is how many connections more may be open, as a part of the limit, while
	// those whose bodies were revoked are about to close.
	extraShare = 0.125
	// connRetryAfter is the Retry-After of a connection that is refused.
	connRetryAfter = time.Second
	// unknownShare is the part of a control port's connections up to which one that has
	// sent no valid message takes the place of an idle one that has. An address with more
	// than that gives way to others, also with its requests.
	unknownShare = 0.25
	// minEnding is the smallest limit on closed connections of a control port whose
	// goroutines have not ended: on a busy machine that takes some milliseconds each.
	minEnding = 128
)

// Limits are the limits on a connection. Zero values stand for the defaults.
type Limits struct {
	// HeaderBytes limits the size of a head.
	HeaderBytes int
	// HeaderTimeout limits the time from the first byte of a head to its last.
	HeaderTimeout time.Duration
	// IdleTimeout limits the time between a response and the next request.
	IdleTimeout time.Duration
}

func (l Limits) withDefaults() Limits {
	if l.HeaderBytes <= 0 {
		l.HeaderBytes = defaultHeaderBytes
	}
	l.HeaderBytes = min(l.HeaderBytes, MaxHeaderBytes)
	if l.HeaderTimeout <= 0 {
		l.HeaderTimeout = defaultHeaderTimeout
	}
	if l.IdleTimeout <= 0 {
		l.IdleTimeout = defaultIdleTimeout
	}
	return l
}

// Reason is why a connection or a head was refused.
type Reason string

// The reasons.
const (
	ReasonConnections Reason = "connections"
	ReasonEvicted     Reason = "evicted"
	ReasonSize        Reason = "headSize"
	ReasonLines       Reason = "headLines"
	ReasonEmptyLines  Reason = "emptyLines"
	ReasonTimeout     Reason = "headTimeout"
	ReasonMemory      Reason = "headMemory"
	ReasonSlowReader  Reason = "slowReader"
)

// Listener accepts the connections of callers.
type Listener struct {
	net.Listener
	account  *budget.Account
	maxConns int
	observe  func(Reason)
	limits   atomic.Pointer[Limits]
	// pool limits the descriptors of several listeners, of which a connection uses cost.
	pool *Pool
	cost int
	// isControl reports whether the port is for others than callers. There, a request that
	// takes longer than slowRequest may be closed for a new connection.
	isControl   bool
	slowRequest time.Duration
	socketBytes int

	mu    sync.Mutex
	conns map[*Conn]struct{}
	// ending is the number of connections that were closed for new ones and whose
	// goroutines have not ended.
	ending int
}

// Option changes a Listener under construction.
type Option func(*Listener)

// WithMaxConns limits the connections that are open at a time, 0 for no limit.
func WithMaxConns(n int) Option {
	return func(l *Listener) { l.maxConns = n }
}

// WithPool has each connection use cost descriptors of a pool.
func WithPool(p *Pool, cost int) Option {
	return func(l *Listener) { l.pool, l.cost = p, cost }
}

// WithSocketBytes limits what the kernel holds of a connection in each direction.
func WithSocketBytes(n int) Option {
	return func(l *Listener) { l.socketBytes = n }
}

// WithControlRules sets the rules of ports for others than callers, who can repeat what
// they ask for. For a new connection the oldest without a request is closed, however
// short it has been idle, else one whose request takes longer than slow. Connections that
// MarkKnown has marked are closed last, and not for many that it has not marked.
func WithControlRules(slow time.Duration) Option {
	return func(l *Listener) { l.isControl, l.slowRequest = true, slow }
}

// WithObserver calls observe for each refusal. It must not block.
func WithObserver(observe func(Reason)) Option {
	return func(l *Listener) { l.observe = observe }
}

// NewListener returns a listener without connections. Its inner listener is set by Wrap.
func NewListener(account *budget.Account, opts ...Option) *Listener {
	l := &Listener{
		account: account, observe: func(Reason) {}, conns: make(map[*Conn]struct{}), pool: NewPool(0),
		socketBytes: socketBytes,
	}
	for _, opt := range opts {
		opt(l)
	}
	l.limits.Store(new(Limits{}.withDefaults()))
	return l
}

// Wrap sets the listener that the connections come from, and returns l.
func (l *Listener) Wrap(inner net.Listener) *Listener {
	l.Listener = inner
	return l
}

// SetLimits sets the limits of all connections, including those that are open.
func (l *Listener) SetLimits(limits Limits) {
	limits = limits.withDefaults()
	l.limits.Store(&limits)
	for _, c := range l.open() {
		c.rearm()
	}
}

func (l *Listener) open() []*Conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]*Conn, 0, len(l.conns))
	for c := range l.conns {
		out = append(out, c)
	}
	return out
}

// Accept returns the next connection. When there are as many as allowed, one without a
// request is closed, or else one whose body hardly arrives. If there is none, the new one is
// refused.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if tcp, ok := raw.(*net.TCPConn); ok {
			_ = tcp.SetReadBuffer(l.socketBytes)
			_ = tcp.SetWriteBuffer(l.socketBytes)
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		l.observe(ReasonConnections)
		_ = raw.SetWriteDeadline(time.Now().Add(connRetryAfter))
		_, _ = raw.Write(refusal(http.StatusServiceUnavailable, connRetryAfter))
		_ = raw.Close()
	}
}

// admit returns the connection for raw, nil if there are too many.
func (l *Listener) admit(raw net.Conn) *Conn {
	if !l.makeRoom(raw) {
		return nil
	}
	for !l.pool.take(l.cost, l.isControl) {
		if !l.evict(raw) {
			return nil
		}
	}
	c := newConn(l, raw)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c
}

// makeRoom returns false if raw may not be opened.
func (l *Listener) makeRoom(raw net.Conn) bool {
	n := l.count()
	if l.isControl && l.countEnding() >= max(l.maxConns, minEnding) {
		// Requests of closed connections use memory until they have noticed.
		return false
	}
	if l.maxConns <= 0 || n < l.maxConns || l.evict(raw) {
		return true
	}
	if float64(n) >= (1+extraShare)*float64(l.maxConns) || !l.account.RevokeBody() {
		return false
	}
	l.observe(ReasonEvicted)
	return true
}

func (l *Listener) countEnding() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ending
}

func (l *Listener) count() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.conns)
}

// candidate is a connection that may be closed for a new one.
type candidate struct {
	conn  *Conn
	rank  int
	since time.Time
	// sameAddr is the number of connections from its address.
	sameAddr int
}

// evict closes a connection for raw: that of the highest rank, the oldest first. At control
// ports it is one from the address with the most connections, and none from an address with
// fewer than that of raw has: instances have few.
func (l *Listener) evict(raw net.Conn) bool {
	var all []candidate
	unknown, byAddr := 0, make(map[netip.Addr]int)
	for _, c := range l.open() {
		if !c.known.Load() {
			unknown++
		}
		if l.isControl {
			byAddr[addrOf(c)]++
		}
		if rank, since := c.evictionRank(); rank > 0 || l.isControl {
			all = append(all, candidate{conn: c, rank: rank, since: since})
		}
	}
	if l.isControl {
		for i := range all {
			all[i].sameAddr = byAddr[addrOf(all[i].conn)]
		}
	}
	slices.SortFunc(all, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), cmp.Compare(b.sameAddr, a.sameAddr), a.since.Compare(b.since))
	})
	share := int(unknownShare * float64(l.maxConns))
	var own int
	if l.isControl {
		own = byAddr[addrOf(raw)]
	}
	for _, v := range all {
		if v.sameAddr < own || v.conn.known.Load() && unknown >= share {
			continue
		}
		if v.conn.evict(false) {
			l.observe(ReasonEvicted)
			return true
		}
	}
	for _, v := range all {
		if v.sameAddr > share && own < share && !v.conn.known.Load() && v.conn.evict(true) {
			l.observe(ReasonEvicted)
			return true
		}
	}
	return false
}

// noteEviction records that c is closed for another connection.
func (l *Listener) noteEviction(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !c.hasEnded && !c.isEvicted {
		c.isEvicted = true
		l.ending++
	}
}

// noteEnd records that the goroutine of c has ended.
func (l *Listener) noteEnd(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.isEvicted && !c.hasEnded {
		l.ending--
	}
	c.hasEnded = true
}

// addrOf returns the address of the other side.
func addrOf(c net.Conn) netip.Addr {
	if a, ok := c.RemoteAddr().(*net.TCPAddr); ok {
		return a.AddrPort().Addr().Unmap()
	}
	return netip.Addr{}
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.conns[c]; ok {
		delete(l.conns, c)
		l.pool.release(l.cost, l.isControl)
	}
}

// Counts returns the number of connections by state: new, head, busy, idle.
func (l *Listener) Counts() map[string]int {
	out := map[string]int{"new": 0, "head": 0, "busy": 0, "idle": 0}
	for _, c := range l.open() {
		if name := c.stateName(); name != "" {
			out[name]++
		}
	}
	return out
}

type connKey struct{}

// MarkKnown marks the connection of a request as one that has sent a valid message.
func MarkKnown(ctx context.Context) {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		c.known.Store(true)
	}
}

// Context adds a connection to the context of its requests.
func (l *Listener) Context(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Handler returns a handler that tells the connection when the handling of a request
// begins.
func (l *Listener) Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*Conn)
		if !ok || c.begin(r) {
			next.ServeHTTP(w, r)
			return
		}
		l.observe(ReasonMemory)
		w.Header().Set("Connection", "close")
		w.Header().Set("Retry-After", retryAfterText(connRetryAfter))
		w.WriteHeader(http.StatusServiceUnavailable)
	})
}

// OnState is to be called by the ConnState hook of the server.
func (l *Listener) OnState(conn net.Conn, state http.ConnState) {
	c, ok := conn.(*Conn)
	switch {
	case !ok:
	case state == http.StateIdle:
		c.idle()
	case state == http.StateClosed:
		l.noteEnd(c)
	}
}

// refusal returns a response that ends a connection.
func refusal(status int, retryAfter time.Duration) []byte {
	text := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\nConnection: close\r\nContent-Length: 0\r\n"
	if retryAfter > 0 {
		text += "Retry-After: " + retryAfterText(retryAfter) + "\r\n"
	}
	return []byte(text + "\r\n")
}

func retryAfterText(d time.Duration) string { return strconv.Itoa(int(d.Seconds())) }
