package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"chivecroft.example/chivecroft/platform/fake"
)

// framing is how a target marks the end of a body.
type framing string

const (
	isChunked framing = "chunked"
	// untilClose is a body that ends with its connection.
	untilClose framing = "until close"
)

// writeBody writes the head of a proper answer and a body that is complete or broken off.
func (f framing) writeBody(conn net.Conn, id, text string, isComplete bool) {
	more := "Content-Type: text/event-stream"
	if f == isChunked {
		more += "\r\nTransfer-Encoding: chunked"
		text = fmt.Sprintf("%x\r\n%s\r\n", len(text), text)
		if isComplete {
			text += "0\r\n\r\n"
		}
	}
	_, _ = io.WriteString(conn, head(id, more)+text)
}

// callRaw sends a request in a version of HTTP and returns the body, and whether its end was
// that of a complete answer.
func (r *rig) callRaw(version, path, id string) (body string, isComplete bool) {
	r.t.Helper()
	conn := r.dial()
	fmt.Fprintf(conn, "POST %s HTTP/%s\r\nHost: x.example\r\nChivecroft-Attempt-Id: %s\r\nContent-Length: 0\r\n\r\n", path, version, id)
	resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return "", false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return string(text), err == nil && resp.StatusCode == http.StatusOK
}

// TestBrokenStreamShowsNothingElse guards against the answer of the next target, or anything
// but events, in the middle of a stream that has begun and broke off, and against a broken
// stream that looks complete to its caller.
func TestBrokenStreamShowsNothingElse(t *testing.T) {
	rejection := "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\nContent-Length: 5\r\n\r\nerror"
	for _, c := range []struct {
		name string
		// text is what the first target sends before it breaks off, next how the second
		// target answers.
		text string
		next func(w http.ResponseWriter, req *http.Request, f *fake.Target)
		// want is the complete body, empty if the stream must be seen to be broken.
		want string
		// framings are those in which the text is broken off.
		framings []framing
	}{
		{
			"next answers 500", events(1, 2) + "id: 3\nda",
			func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
				f.Sign(w, req)
				w.WriteHeader(http.StatusInternalServerError)
				_, _ = io.WriteString(w, "id: 3\ndata: error\n\n")
			}, "",
			[]framing{isChunked, untilClose},
		},
		{
			"next answers 200 unsigned", events(1, 2) + "id: 3\nda",
			func(w http.ResponseWriter, req *http.Request, _ *fake.Target) {
				w.Header().Set("Chivecroft-Attempt-Id", fake.CallID(req))
				_, _ = io.WriteString(w, events(3, 4))
			}, "",
			[]framing{isChunked, untilClose},
		},
		{
			"next answers with a page", events(1, 2) + "id: 3\nda",
			func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
				f.Sign(w, req)
				w.Header().Set("Content-Type", "text/html")
				_, _ = io.WriteString(w, "<p>error</p>\n\n")
			}, "",
			[]framing{isChunked, untilClose},
		},
		{
			"next goes back", events(1, 2) + "id: 3\nda",
			func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
				f.Sign(w, req)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, events(1, 4))
			}, events(1, 4),
			[]framing{isChunked, untilClose},
		},
		{
			"a response's head where an event is due", events(1, 2) + rejection,
			func(w http.ResponseWriter, req *http.Request, f *fake.Target) {
				f.Sign(w, req)
				w.Header().Set("Content-Type", "text/event-stream")
				_, _ = io.WriteString(w, events(3, 4))
			}, events(1, 4),
			[]framing{isChunked, untilClose},
		},
		{"no event at all", "", nil, "", []framing{untilClose}},
	} {
		for _, f := range c.framings {
			for _, version := range []string{"1.0", "1.1"} {
				for _, path := range []string{"/stream/", "/resumable/"} {
					t.Run(fmt.Sprintf("%s, %s, HTTP/%s %s", c.name, f, version, path), func(t *testing.T) {
						t.Parallel()
						_, far := newTwoTargets(t)
						far.Zone = "a2"
						r := newRig(t, far)
						r.rawTarget(func(id string, conn net.Conn) { f.writeBody(conn, id, c.text, false) })
						far.Behave(func(w http.ResponseWriter, req *http.Request) {
							if c.next == nil {
								fake.Refuse(w, req)
								return
							}
							c.next(w, req, far)
						})
						body, isComplete := r.callRaw(version, path, "broken")
						if strings.Contains(strings.ToLower(body), "error") {
							t.Errorf("the caller got %q", body)
						}
						want := c.want
						if path == "/stream/" {
							want = ""
						}
						if isComplete != (want != "") || isComplete && body != want {
							t.Errorf("complete %t: %q, want %q", isComplete, body, want)
						}
					})
				}
			}
		}
	}
}

// TestEndOfAnUnframedAnswer guards against half an answer without a length that looks
// complete since its target has ended. A request that may run twice is sent again unless
// the head of the answer has been relayed.
func TestEndOfAnUnframedAnswer(t *testing.T) {
	small, large := strings.Repeat("x", 400), strings.Repeat("x", 200_000)
	for _, c := range []struct {
		name, path, body string
		hasEnded         bool
		want             answer
	}{
		{"whole", "/unsafe/", small, false, answer{Status: http.StatusOK, Body: small, Signed: "sig-near"}},
		{"whole and large", "/unsafe/", large, false, answer{Status: http.StatusOK, Body: large, Signed: "sig-near"}},
		{"broken", "/unsafe/", small, true, answer{Status: http.StatusBadGateway}},
		{"broken, empty", "/unsafe/", "", true, answer{Status: http.StatusBadGateway}},
		{"broken, may run twice", "/safe/", small, true, answer{Status: http.StatusOK, Body: "answer of far", Signed: "sig-far"}},
		{"broken and large", "/unsafe/", large, true, answer{Status: http.StatusOK, Body: large, Signed: "sig-near", Cut: true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			near, far := newTwoTargets(t)
			r := newRig(t, near, far)
			r.nearEnded.Store(c.hasEnded)
			near.Behave(func(w http.ResponseWriter, req *http.Request) {
				near.Sign(w, req)
				conn, _, err := http.NewResponseController(w).Hijack()
				if err != nil {
					t.Error(err)
					return
				}
				defer conn.Close()
				_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
				_ = w.Header().Write(conn)
				_, _ = io.WriteString(conn, "\r\n"+c.body)
			})
			r.expect(c.path, c.want)
		})
	}
}
