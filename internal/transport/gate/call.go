package gate

import (
	"context"
	"net"
	"net/http/httptrace"
	"slices"
	"sync"
)

// Call tracks one HTTP/1 request over the connections that it uses.
//
// The transport may use several connections for one request: it retries by itself if a
// kept connection turns out to be closed before anything was written. All of them count.
//
// The transport would also send a request again after it was written, if it considers it
// idempotent by its method or by an Idempotency-Key. The transport must not decide
// whether a call may be repeated, so a call that was written to one connection is not
// written to another.
type Call struct {
	guard func() error

	mu    sync.Mutex
	conns []*conn
	ended bool
}

// Track returns a context that ties a request to a Call. If guard is not nil, it is
// called immediately before each write and forbids it by returning an error.
func Track(ctx context.Context, guard func() error) (context.Context, *Call) {
	c := &Call{guard: guard}
	trace := &httptrace.ClientTrace{
		GotConn: func(info httptrace.GotConnInfo) { c.addConn(info.Conn) },
	}
	return httptrace.WithClientTrace(ctx, trace), c
}

// Seal forbids further writes for the call and reports whether anything may have been
// written. It closes the connections, so that nothing that still arrives there is taken
// for a response to another call: the transport considers a connection reusable as soon
// as it has read a response.
//
// A cancelled request can still be on its way to the socket in the transport's own
// goroutine, so it is not enough to check what has been written so far. After Seal, that
// goroutine finds the connection sealed.
func (c *Call) Seal() bool {
	heldConns, written := c.seal()
	for _, h := range heldConns {
		_ = h.Close()
	}
	return written
}

func (c *Call) seal() (heldConns []*conn, written bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, h := range c.conns {
		if h.isHeldBy(c) {
			heldConns = append(heldConns, h)
		}
		if h.seal(c) {
			written = true
		}
	}
	c.conns = nil
	return heldConns, written
}

// Release makes the connections available again after a complete response.
func (c *Call) Release() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ended = true
	for _, held := range c.conns {
		held.release(c)
	}
	c.conns = nil
}

// Fresh reports whether no earlier call has had a response over the call's connection, so
// that whatever arrives there can only be meant for this call. A response comes over the
// last connection that was used, since the transport leaves a connection only when it has
// failed.
func (c *Call) Fresh() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns) > 0 && !c.conns[len(c.conns)-1].wasUsed()
}

func (c *Call) addConn(raw net.Conn) {
	held := find[*conn](raw)
	if held == nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	held.assign(c)
	if c.ended || c.hasWritten() {
		held.seal(c)
	}
	if c.ended {
		return
	}
	c.conns = append(c.conns, held)
}

func (c *Call) hasWritten() bool {
	return slices.ContainsFunc(c.conns, func(held *conn) bool { return held.hasWrittenFor(c) })
}
