package accept

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/budget"
)

// served is a server on a listener, which answers with the size of the body.
type served struct {
	l       *Listener
	account *budget.Account
	addr    string
	release chan struct{}

	mu      sync.Mutex
	refused []Reason
}

func serve(t testing.TB, memory int64, limits Limits, opts ...Option) *served {
	t.Helper()
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &served{account: budget.NewAccount(memory, time.Now), addr: inner.Addr().String(), release: make(chan struct{})}
	opts = append(opts, WithObserver(func(r Reason) {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.refused = append(s.refused, r)
	}))
	s.l = NewListener(s.account, opts...).Wrap(inner)
	s.l.SetLimits(limits)
	server := &http.Server{
		Handler: s.l.Handler(http.HandlerFunc(s.answer)), MaxHeaderBytes: 2 * MaxHeaderBytes,
		ConnState: s.l.OnState, ConnContext: s.l.Context,
	}
	go func() { _ = server.Serve(s.l) }()
	t.Cleanup(func() { _ = server.Close() })
	return s
}

func (s *served) answer(w http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/hold":
		<-s.release
	case "/known":
		MarkKnown(r.Context())
	}
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	_, _ = fmt.Fprintf(w, "%d", n)
}

// dial opens a connection from a loopback address, which is closed when the test ends.
func (s *served) dial(t testing.TB, from string) net.Conn {
	t.Helper()
	c, err := (&net.Dialer{LocalAddr: &net.TCPAddr{IP: net.ParseIP(from)}}).Dial("tcp", s.addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	_ = c.SetDeadline(time.Now().Add(5 * time.Second))
	return c
}

// exchange sends text on one connection and returns the statuses and bodies of up to
// answers responses.
func (s *served) exchange(t testing.TB, text string, answers int) []string {
	t.Helper()
	c := s.dial(t, "127.0.0.1")
	defer c.Close()
	go func() { _, _ = io.WriteString(c, text) }()
	var out []string
	for r := bufio.NewReader(c); len(out) < answers; {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return append(out, "end")
		}
		body, _ := io.ReadAll(resp.Body)
		out = append(out, fmt.Sprintf("%d %s", resp.StatusCode, body))
	}
	return out
}

const (
	hold    = "GET /hold HTTP/1.1\r\nHost: h\r\n\r\n"
	get     = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	post    = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
	chunked = "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n"
)

// TestHeads guards against heads that are answered wrongly: ordinary and pipelined ones
// must be served, others refused with the status that fits.
func TestHeads(t *testing.T) {
	limits := Limits{HeaderBytes: 16 << 10, HeaderTimeout: 300 * time.Millisecond, IdleTimeout: time.Second}
	lines := func(n int, line string) string {
		return "GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat(line, n) + "\r\n"
	}
	for _, c := range []struct {
		name, text string
		memory     int64
		want       []string
	}{
		{"ordinary", get, 0, []string{"200 0"}},
		{"pipelined", get + post + chunked + post + get, 0, []string{"200 0", "200 5", "200 5", "200 5", "200 0"}},
		{"bare line feeds", "GET / HTTP/1.1\nHost: h\n\n" + get, 0, []string{"200 0", "200 0"}},
		{"limit", lines(1, "X: "+strings.Repeat("x", 16<<10)+"\r\n"), 0, []string{"200 0"}},
		{"over the limit", lines(1, "X: "+strings.Repeat("x", 21<<10)+"\r\n"), 0, []string{"431 ", "end"}},
		{"second over the limit", post + lines(1, "X: "+strings.Repeat("x", 21<<10)+"\r\n"), 0, []string{"200 5", "431 ", "end"}},
		{"short lines", lines(4000, "x:\r\n"), 0, []string{"200 0"}},
		{"too many lines", lines(5000, "x:\n"), 0, []string{"431 ", "end"}},
		{"short lines without memory", lines(4000, "x:\r\n"), 1 << 20, []string{"503 ", "end"}},
		{"hidden behind chunks", chunked + lines(900, "x:\n"), 256 << 10, []string{"200 5", "503 ", "end"}},
		{"empty lines", strings.Repeat("\r\n", 100) + get, 0, []string{"400 ", "end"}},
		{"incomplete", "GET / HTTP/1.1\r\nHost:", 0, []string{"408 ", "end"}},
		{"silent", "", 0, []string{"end"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := serve(t, c.memory, limits)
			if diff := cmp.Diff(c.want, s.exchange(t, c.text, len(c.want))); diff != "" {
				t.Errorf("answers (-want +got):\n%s", diff)
			}
			s.checkEmpty(t)
		})
	}
}

// checkEmpty waits until no connection and no byte is left.
func (s *served) checkEmpty(t testing.TB) {
	t.Helper()
	for range 100 {
		if s.account.Held(budget.Heads) == 0 && s.l.count() == 0 {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Errorf("%d bytes of heads and %d connections are left", s.account.Held(budget.Heads), s.l.count())
}

// status returns that of the next response, "end" if there is none.
func status(c net.Conn) string {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "end"
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.Status
}

// TestConnectionLimit guards against connections without a request that keep others out,
// and against one with a request that is closed for a new one.
func TestConnectionLimit(t *testing.T) {
	s := serve(t, 0, Limits{}, WithMaxConns(2))
	dial := func(text string) net.Conn {
		c := s.dial(t, "127.0.0.1")
		_, _ = io.WriteString(c, text)
		time.Sleep(50 * time.Millisecond)
		return c
	}
	busy := dial(hold)
	partial := dial("GET /hold HTTP/1.1\r\n")
	second := dial(hold)
	if got := status(partial); got != "end" {
		t.Errorf("the incomplete head got %s", got)
	}
	if got := status(dial("")); got != "503 Service Unavailable" {
		t.Errorf("one connection too many got %s", got)
	}
	close(s.release)
	for _, c := range []net.Conn{busy, second} {
		if got := status(c); got != "200 OK" {
			t.Errorf("a request got %s", got)
		}
	}
}

// TestControlRules guards against connections at a control port that keep others out: for a
// new one the oldest without a request must go, those with a valid message last, and a
// listener must not use the descriptors of others.
func TestControlRules(t *testing.T) {
	const slowRequest = time.Second
	pool := NewPool(5)
	s := serve(t, 0, Limits{}, WithMaxConns(4), WithPool(pool, 1), WithControlRules(slowRequest))
	dial := func() net.Conn { return s.dial(t, "127.0.0.1") }
	ask := func(c net.Conn, path string) string {
		_, _ = io.WriteString(c, "GET "+path+" HTTP/1.1\r\nHost: h\r\n\r\n")
		return status(c)
	}
	expect := func(c net.Conn, path, want, what string) {
		t.Helper()
		if got := ask(c, path); got != want {
			t.Errorf("%s got %s", what, got)
		}
	}
	known := dial()
	if got := ask(known, "/known"); got != "200 OK" {
		t.Fatalf("the first got %s", got)
	}
	other := s.dial(t, "127.0.0.2")
	// Each of these has been answered, or is silent, and gives way to a later one.
	for n := range 20 {
		c := dial()
		if n%2 == 0 {
			if got := ask(c, "/"); got != "200 OK" {
				t.Fatalf("connection %d got %s", n, got)
			}
		}
	}
	expect(known, "/known", "200 OK", "the connection with a valid message")
	expect(other, "/", "200 OK", "the only connection from another address")
	other.Close()
	time.Sleep(50 * time.Millisecond)
	// Requests in progress are not closed, nor is the known connection for many unknown.
	var busy []net.Conn
	for range 3 {
		c := dial()
		_, _ = io.WriteString(c, hold)
		busy = append(busy, c)
		time.Sleep(50 * time.Millisecond)
	}
	if got := ask(dial(), "/"); got != "503 Service Unavailable" && got != "end" {
		t.Errorf("one connection too many got %s", got)
	}
	expect(known, "/known", "200 OK", "beside busy ones the connection with a valid message")
	// After slowRequest they may be closed.
	time.Sleep(slowRequest)
	expect(dial(), "/", "200 OK", "beside slow requests a new connection")
	expect(busy[0], "/", "end", "the oldest slow request")
	close(s.release)
	if got := s.l.count(); got > 4 || got != pool.control {
		t.Errorf("%d connections use %d descriptors", got, pool.control)
	}
	pool.SetReserve(5)
	if pool.take(1, false) {
		t.Error("a caller got a descriptor that is reserved")
	}
	pool.SetReserve(0)
	if !pool.take(5-pool.control, false) || pool.take(1, false) || pool.take(1, true) {
		t.Error("the pool of 5 does not end there")
	}
	expect(dial(), "/", "200 OK", "with an empty pool a new connection")
}

// TestIdleTimeoutChange guards against an idle timeout that does not apply to connections
// that are idle when it changes.
func TestIdleTimeoutChange(t *testing.T) {
	s := serve(t, 0, Limits{IdleTimeout: time.Minute})
	c := s.dial(t, "127.0.0.1")
	_, _ = io.WriteString(c, get)
	r := bufio.NewReader(c)
	if _, err := http.ReadResponse(r, nil); err != nil {
		t.Fatal(err)
	}
	s.l.SetLimits(Limits{IdleTimeout: 50 * time.Millisecond})
	if _, err := io.Copy(io.Discard, r); err != nil {
		t.Errorf("the connection stays open: %v", err)
	}
}

// FuzzConn feeds arbitrary bytes to a connection in two pieces. Whatever they are, the
// server must not panic or hang, and all bytes must be given back.
func FuzzConn(f *testing.F) {
	for _, seed := range []string{get, post, chunked + get, "\r\n\r\n" + get, "GET / HTTP/1.1\r\n \r\n\r\n", post + "\r"} {
		f.Add([]byte(seed), 7)
	}
	s := serve(f, 1<<20, Limits{HeaderBytes: 1 << 10, HeaderTimeout: 50 * time.Millisecond, IdleTimeout: 50 * time.Millisecond})
	f.Fuzz(func(t *testing.T, data []byte, split int) {
		c, err := net.Dial("tcp", s.addr)
		if err != nil {
			t.Skip(err)
		}
		split = min(max(split, 0), len(data))
		_ = c.SetDeadline(time.Now().Add(5 * time.Second))
		_, _ = c.Write(data[:split])
		_, _ = c.Write(data[split:])
		_ = c.(*net.TCPConn).CloseWrite()
		if _, err := io.Copy(io.Discard, c); err != nil && strings.Contains(err.Error(), "timeout") {
			t.Errorf("no end within 5 s: %v", err)
		}
		c.Close()
		s.checkEmpty(t)
	})
}

// headConn is a connection over which the same head comes again and again.
type headConn struct {
	net.Conn
	head []byte
}

func (c *headConn) Read(p []byte) (int, error)      { return copy(p, c.head), nil }
func (c *headConn) SetReadDeadline(time.Time) error { return nil }

// BenchmarkHead measures what a request with an ordinary head costs here.
func BenchmarkHead(b *testing.B) {
	l := NewListener(budget.NewAccount(1<<20, time.Now))
	text := "GET /v1/x HTTP/1.1\r\nHost: h.example\r\n" + strings.Repeat("X-Header-Name: some value of it\r\n", 12) + "\r\n"
	c := newConn(l, &headConn{head: []byte(text)})
	r, p := new(http.Request), make([]byte, 4<<10)
	for b.Loop() {
		if _, err := c.Read(p); err != nil {
			b.Fatal(err)
		}
		c.begin(r)
		c.idle()
	}
}
