package fault

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
)

// listener remembers the open connections, so that they can be frozen.
type listener struct {
	net.Listener

	mu    sync.Mutex
	conns map[*conn]struct{}
}

func newListener(inner net.Listener) *listener {
	return &listener{Listener: inner, conns: make(map[*conn]struct{})}
}

// Accept waits for a connection.
func (l *listener) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := &conn{Conn: raw, owner: l, over: make(chan struct{})}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.conns[c] = struct{}{}
	return c, nil
}

// freeze silences all connections open now but one and returns their number.
func (l *listener) freeze(but net.Conn) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if c == but || c.frozen.Load() {
			continue
		}
		c.frozen.Store(true)
		n++
	}
	return n
}

// closeAll ends all connections, frozen ones too.
func (l *listener) closeAll() {
	l.mu.Lock()
	open := l.conns
	l.conns = make(map[*conn]struct{})
	l.mu.Unlock()
	for c := range open {
		c.end()
	}
}

func (l *listener) forget(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.conns, c)
}

// conn is a connection that can fall silent for good: what is written to it
// vanishes, what arrives is not read, and the other end sees neither a reset
// nor an end, as after a middlebox has lost track of it.
type conn struct {
	net.Conn
	owner  *listener
	frozen atomic.Bool
	once   sync.Once
	over   chan struct{}
}

// Read blocks for good once the connection is frozen.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if !c.frozen.Load() {
		return n, err
	}
	<-c.over
	return 0, net.ErrClosed
}

// Write claims success once the connection is frozen.
func (c *conn) Write(b []byte) (int, error) {
	if c.frozen.Load() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Close leaves a frozen connection open.
func (c *conn) Close() error {
	if c.frozen.Load() {
		return nil
	}
	c.end()
	return nil
}

func (c *conn) end() {
	c.owner.forget(c)
	c.once.Do(func() { close(c.over) })
	_ = c.Conn.Close()
}

type connKey struct{}

func keepConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

func connOf(r *http.Request) net.Conn {
	c, _ := r.Context().Value(connKey{}).(net.Conn)
	return c
}
