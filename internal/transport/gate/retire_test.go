package gate

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// TestRetireSparesNewConnections retires the connections to a server at the two moments
// at which one has just been opened for a call: before the call uses it and before it
// writes. The call must continue. A connection that was kept, or left unused for long,
// must not be used any more.
func TestRetireSparesNewConnections(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer server.Close()
	d := NewDialer()
	address := server.Listener.Addr().String()
	dial := func() *conn {
		raw, err := d.Dial(t.Context(), "tcp", address)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { raw.Close() })
		return raw.(*conn)
	}
	write := func(c net.Conn) error {
		_, err := c.Write([]byte("GET"))
		return err
	}
	c := dial()
	d.Retire(address)
	_, call := Track(t.Context(), nil)
	call.addConn(c)
	d.Retire(address)
	if err := write(c); err != nil {
		t.Errorf("new connection: %v", err)
	}
	call.Release()
	_, next := Track(t.Context(), nil)
	next.addConn(c)
	d.Retire(address)
	if err := write(c); err == nil {
		t.Error("a kept connection was used after it was retired")
	}
	old := dial()
	old.opened = time.Now().Add(-time.Minute)
	d.Retire(address)
	if err := write(old); err == nil {
		t.Error("an old unused connection was not closed")
	}
}
