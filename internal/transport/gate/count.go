package gate

import (
	"net"
	"net/netip"
)

// Count is called with the bytes sent or received on one connection, including those of
// HTTP and TLS.
type Count func(sent bool, n int)

// Watch returns the Count for a new connection to an address, nil for none.
type Watch func(to netip.AddrPort) Count

// Watched wraps a connection that was opened to an address, if its bytes are to be
// counted.
func (w Watch) Watched(c net.Conn, address string) net.Conn {
	if w == nil {
		return c
	}
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return c
	}
	count := w(to)
	if count == nil {
		return c
	}
	return Counted(c, count)
}

// Counted returns a connection that calls count with its bytes.
func Counted(c net.Conn, count Count) net.Conn {
	return countedConn{Conn: c, count: count}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	count Count
}

// NetConn returns the connection that was wrapped.
func (c countedConn) NetConn() net.Conn { return c.Conn }

// Read reads and counts the bytes received.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(false, n)
	return n, err
}

// Write writes and counts the bytes sent.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(true, n)
	return n, err
}
