package gate

import (
	"errors"
	"net"
	"sync"
)

var (
	errSealed  = errors.New("the call was given up")
	errRetired = errors.New("the connection was retired")
)

// conn is a connection that one call at a time holds.
type conn struct {
	net.Conn
	forget func(*conn)

	mu      sync.Mutex
	holder  *Call
	written bool
	sealed  bool
	retired bool
}

// Write asks the holder's guard before each write. A retired connection fails
// before its first byte, upon which the transport takes another.
func (c *conn) Write(b []byte) (int, error) {
	if err := c.admit(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.forget(c)
	return c.Conn.Close()
}

func (c *conn) admit() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return errSealed
	}
	if c.holder == nil {
		return nil
	}
	if c.retired && !c.written {
		return errRetired
	}
	if c.holder.guard != nil {
		if err := c.holder.guard(); err != nil {
			return err
		}
	}
	c.written = true
	return nil
}

func (c *conn) take(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.holder = call
	c.written = false
}

func (c *conn) seal(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder != call {
		return false
	}
	c.sealed = true
	return c.written
}

func (c *conn) wrote(call *Call) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.holder == call && c.written
}

func (c *conn) release(call *Call) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.holder == call {
		c.holder = nil
	}
}

// retire marks the connection and reports whether no call holds it.
func (c *conn) retire() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.retired = true
	return c.holder == nil
}
