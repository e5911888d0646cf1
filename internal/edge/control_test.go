package edge

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/transport/accept"
)

// TestControlServer guards against misuse of a control port that is not ended, or that is
// neither logged nor counted. Each client gets the given status, 0 for none, and the server
// still answers a message afterwards.
func TestControlServer(t *testing.T) {
	post := func(headers, body string) string {
		return fmt.Sprintf("POST /message HTTP/1.1\r\nHost: h\r\n%s\r\n%s", headers, body)
	}
	sized := func(size int) string { return fmt.Sprintf("Content-Length: %d\r\n", size) }
	bomb := string(compress(make([]byte, 400<<10)))
	for name, c := range map[string]struct {
		sent   string
		status int
		reason accept.Reason
	}{
		"slow head":       {"GET /me", http.StatusRequestTimeout, accept.ReasonTimeout},
		"long head":       {"GET /" + strings.Repeat("x", 30<<10), http.StatusRequestHeaderFieldsTooLarge, accept.ReasonSize},
		"slow body":       {post(sized(10), "{"), http.StatusRequestTimeout, reasonMessageTimeout},
		"body over limit": {post(sized(50<<10), strings.Repeat("x", 50<<10)), http.StatusBadRequest, reasonInvalidMessage},
		"large body":      {post(sized(400<<10), strings.Repeat("x", 400<<10)), http.StatusServiceUnavailable, reasonMessageMemory},
		"large unpacked":  {post("Content-Encoding: gzip\r\n"+sized(len(bomb)), bomb), http.StatusServiceUnavailable, reasonMessageMemory},
		"invalid":         {post(sized(1), "x"), http.StatusBadRequest, reasonInvalidMessage},
		"large answer":    {"GET /large HTTP/1.1\r\nHost: h\r\n\r\n", http.StatusServiceUnavailable, reasonAnswerMemory},
		"slow reader":     {"GET /endless HTTP/1.1\r\nHost: h\r\n\r\n", 0, accept.ReasonSlowReader},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			bodyBytes := int64(450 << 10)
			if c.reason == reasonInvalidMessage {
				bodyBytes = 40 << 10
			}
			s := newControlServer(controlLimits{
				port: "test", conns: 8, memory: 1 << 20, bodyBytes: bodyBytes, socketBytes: 64 << 10,
				header: 200 * time.Millisecond, body: 400 * time.Millisecond, write: 800 * time.Millisecond, idle: time.Second,
			}, accept.NewPool(0), &log.Logger{Writer: log.IOWriter{Writer: io.Discard}})
			handler := func(w http.ResponseWriter, r *http.Request) {
				switch r.URL.Path {
				case "/large":
					writeBody(w, r, []byte(strings.Repeat("x", 2<<20)))
				case "/endless":
					for err := error(nil); err == nil; {
						_, err = w.Write(make([]byte, 64<<10))
					}
				default:
					if _, err := readExchange(r); err != nil {
						rejectMessage(w, r, err)
					}
				}
			}
			addr := listenOnce(t, s, handler)
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer conn.Close()
			_ = conn.SetDeadline(time.Now().Add(5 * time.Second))
			go func() { _, _ = io.WriteString(conn, c.sent) }()
			if c.status == 0 {
				time.Sleep(1200 * time.Millisecond)
			} else if resp, err := http.ReadResponse(bufio.NewReader(conn), nil); err != nil || resp.StatusCode != c.status {
				t.Errorf("response %v, %v; want %d", resp, err, c.status)
			}
			var refused map[string]int64
			for end := time.Now().Add(2 * time.Second); len(refused) == 0 && time.Now().Before(end); {
				time.Sleep(10 * time.Millisecond)
				_, _, refused = s.observe()
			}
			if diff := cmp.Diff(map[string]int64{string(c.reason): 1}, refused); diff != "" {
				t.Errorf("refusals (-want +got):\n%s", diff)
			}
			message, err := encodeExchange(exchangeRequest{From: "i1"})
			if err != nil {
				t.Fatal(err)
			}
			resp, err := http.Post("http://"+addr+"/message", "", strings.NewReader(string(message)))
			if err != nil || resp.StatusCode != http.StatusOK {
				t.Fatalf("message afterwards: %v, %v", resp, err)
			}
			resp.Body.Close()
		})
	}
}

// listenOnce serves requests on a free port until the test ends.
func listenOnce(t *testing.T, s *controlServer, handler http.HandlerFunc) string {
	t.Helper()
	if err := s.start(t.Context(), "127.0.0.1:0", handler, s.refusals.log); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = s.Close() })
	return s.listener.Addr().String()
}
