package peer

import (
	"context"
	"net"

	"chivecroft.example/chivecroft/internal/transport/gate"
)

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	count gate.Count
}

// CountListener returns a listener that tells count of all bytes.
func CountListener(l net.Listener, count gate.Count) net.Listener {
	return countedListener{Listener: l, count: count}
}

// Accept waits for the next connection.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return gate.Counted(conn, l.count), nil
}

// dialCounted dials connections whose bytes are counted.
func dialCounted(count gate.Count, watch gate.Watch) func(ctx context.Context, network, address string) (net.Conn, error) {
	var dialer net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := dialer.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return gate.Counted(watch.Watched(conn, address), count), nil
	}
}
