package gate_test

import (
	"errors"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/stand/socket"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// TestUnansweredConnectionIsReset guards against bytes of a request without a response that
// the kernel still delivers after the request was given up.
func TestUnansweredConnectionIsReset(t *testing.T) {
	for _, c := range []struct {
		name    string
		answer  string
		isReset bool
	}{
		{"no response", "", true},
		{"a response that has begun", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\npart", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			ended := make(chan error, 1)
			at := socket.Listen(t, func(conn *net.TCPConn) {
				if _, err := socket.ReadHead(conn); err != nil {
					ended <- err
					return
				}
				_, _ = io.WriteString(conn, c.answer)
				_, err := io.Copy(io.Discard, conn)
				ended <- err
			})
			client := http.Client{
				Transport: gate.NewDialer(gate.WithResetUnanswered()).Transport(nil), Timeout: 200 * time.Millisecond,
			}
			resp, err := client.Post("http://"+at.String(), "text/plain", strings.NewReader("order"))
			if err == nil {
				_, err = io.ReadAll(resp.Body)
				resp.Body.Close()
			}
			if err == nil {
				t.Error("the response is taken for a whole one")
			}
			if err := <-ended; errors.Is(err, syscall.ECONNRESET) != c.isReset {
				t.Errorf("the connection ended with %v at the server, reset expected: %t", err, c.isReset)
			}
		})
	}
}
