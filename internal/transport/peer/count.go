package peer

import (
	"context"
	"net"

	"chivecroft.example/chivecroft/internal/transport/gate"
)

// Counter hears of bytes that went over the peer protocol's connections, with
// all that HTTP and TLS add.
type Counter func(sent bool, n int)

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	count Counter
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

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	count Counter
}

// CountListener returns a listener that tells count of all bytes.
func CountListener(l net.Listener, count Counter) net.Listener {
	return countedListener{Listener: l, count: count}
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, count: l.count}, nil
}

// dialCounted dials connections whose bytes are counted.
func dialCounted(count Counter, watch gate.Watch) func(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return countedConn{Conn: watch.Watched(conn, address), count: count}, nil
	}
}
