package gate

import (
	"errors"
	"net"
	"sync"
	"time"
)

// newConnTime is how long a connection that has carried no call counts as just opened.
const newConnTime = time.Second

var (
	errSealed  = errors.New("call is sealed")
	errRetired = errors.New("connection is retired")
)

// find returns the connection of a type among those that raw wraps, as TLS does; zero if there
// is none.
func find[T net.Conn](raw net.Conn) (none T) {
	for {
		if c, ok := raw.(T); ok {
			return c
		}
		outer, ok := raw.(interface{ NetConn() net.Conn })
		if !ok {
			return none
		}
		raw = outer.NetConn()
	}
}

// conn is a connection that is used by one call at a time.
type conn struct {
	net.Conn
	onClose func(*conn)
	opened  time.Time
	// unanswered is the connection while its end discards what has not been received, else nil.
	// Only Read uses it.
	unanswered *net.TCPConn

	mu      sync.Mutex
	call    *Call
	written bool
	sealed  bool
	retired bool
	// used reports whether a call has had a complete response over the connection.
	used bool
}

// NetConn returns the connection that was wrapped.
func (c *conn) NetConn() net.Conn { return c.Conn }

// Read reads from the connection. The first bytes show that the request has been received.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 && c.unanswered != nil {
		_ = c.unanswered.SetLinger(-1)
		c.unanswered = nil
	}
	return n, err
}

// Write calls the guard of the current call before each write. A retired connection fails
// before its first byte, and the transport then uses another.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.checkWrite(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and removes it from its dialer.
func (c *conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

func (c *conn) checkWrite() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.call == nil {
		return nil
	}
	if c.retired && !c.written {
		return errRetired
	}
	if c.call.guard != nil {
		if err := c.call.guard(); err != nil {
			return err
		}
	}
	c.written = true
	return nil
}

func (c *conn) assign(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.call = call
	c.written = false
}

func (c *conn) isHeldBy(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call == call
}

func (c *conn) seal(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call != call {
		return false
	}
	c.sealed = true
	return c.written
}

func (c *conn) hasWrittenFor(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.call == call && c.written
}

func (c *conn) wasUsed() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used
}

func (c *conn) release(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.call == call {
		c.call = nil
		c.used = true
	}
}

// retire marks the connection and reports whether no call uses it. A connection that was
// just opened is spared: it has been shown to work, and the call that it was opened for
// may be about to use it.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.used && time.Since(c.opened) < newConnTime {
		return false
	}
	c.retired = true
	return c.call == nil
}
