package socket

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"testing"
	"time"
)

// Listen calls serve for each connection to the returned address, on a goroutine of its own,
// and then closes the connection. It listens until the test ends.
func Listen(t testing.TB, serve func(*net.TCPConn)) netip.AddrPort {
	t.Helper()
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			conn, err := l.AcceptTCP()
			if err != nil {
				return
			}
			go func() {
				serve(conn)
				_ = conn.Close()
			}()
		}
	}()
	return netip.MustParseAddrPort(l.Addr().String())
}

// Answer returns a function for Listen that reads one request completely and writes text.
func Answer(text string) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		if _, err := ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, text)
		}
	}
}

// ReadRequest reads one request with its body, which the result no longer has.
func ReadRequest(reader *bufio.Reader) (*http.Request, error) {
	req, err := http.ReadRequest(reader)
	if err != nil {
		return nil, err
	}
	_, err = io.Copy(io.Discard, req.Body)
	return req, err
}

// ReadHead reads the head of a request and leaves its body unread.
func ReadHead(conn *net.TCPConn) (*http.Request, error) {
	var head bytes.Buffer
	b := make([]byte, 1)
	for !bytes.HasSuffix(head.Bytes(), []byte("\r\n\r\n")) {
		if _, err := conn.Read(b); err != nil {
			return nil, err
		}
		head.Write(b)
	}
	return http.ReadRequest(bufio.NewReader(&head))
}

// Reset ends a connection with a reset.
func Reset(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}

// EarlyAnswer returns a function for Listen that writes text as soon as it has read the head of
// a request, and ends the connection with the body unread.
func EarlyAnswer(ctx context.Context, text string, ending Ending) func(*net.TCPConn) {
	return func(conn *net.TCPConn) {
		if _, err := ReadHead(conn); err != nil {
			return
		}
		_, _ = io.WriteString(conn, text)
		ending.End(ctx, conn)
	}
}

// Ending is a way in which a server ends its answer and its connection.
type Ending struct {
	Name string
	// End ends the connection of a request whose answer was written. It returns early when
	// the context ends.
	End func(context.Context, *net.TCPConn)
}

// Resets returns the endings of a server that does not read a request to its end: sooner or
// later after the answer the client gets a reset, with or without the end of the answer before.
func Resets() []Ending {
	out := []Ending{{"reset", func(_ context.Context, conn *net.TCPConn) { Reset(conn) }}}
	for _, pause := range []time.Duration{0, 5 * time.Millisecond, 50 * time.Millisecond, 300 * time.Millisecond} {
		out = append(out, Ending{"end, reset after " + pause.String(), func(ctx context.Context, conn *net.TCPConn) {
			_ = conn.CloseWrite()
			wait(ctx, pause)
			Reset(conn)
		}})
	}
	return out
}

// ReadOn returns the ending of a server that ends its direction after its answer, and goes on to
// read the request after a pause.
func ReadOn(pause time.Duration) Ending {
	return Ending{"end, read on after " + pause.String(), func(ctx context.Context, conn *net.TCPConn) {
		_ = conn.CloseWrite()
		wait(ctx, pause)
		_, _ = io.Copy(io.Discard, conn)
	}}
}

func wait(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}
