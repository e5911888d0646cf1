package gate

import (
	"net"
	"net/netip"
)

// Count hears of the bytes of one connection, with all that HTTP and TLS add.
type Count func(sent bool, n int)

// Watch returns what hears of the bytes of a new connection to an address, nil
// for nobody.
type Watch func(to netip.AddrPort) Count

// Watched returns a connection that was opened to an address with its bytes
// counted, if anybody wants to hear of them.
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

// Counted returns a connection that tells count of its bytes.
func Counted(c net.Conn, count Count) net.Conn {
	return countedConn{Conn: c, count: count}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	count Count
}

// Read counts what is received.
func (c countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.count(false, n)
	return n, err
}

// Write counts what is sent.
func (c countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.count(true, n)
	return n, err
}
