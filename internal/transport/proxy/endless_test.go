package proxy_test

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// head returns the head of a valid response to a request.
func head(id string, lines ...string) string {
	return "HTTP/1.1 200 OK\r\nChivecroft-Attempt-Id: " + id + "\r\nChivecroft-Response-Signature: sig-raw\r\n" +
		strings.Join(append(lines, "\r\n"), "\r\n")
}

// flood writes text repeatedly, with a pause after each write, until the other side
// closes.
func flood(conn net.Conn, text string, pause time.Duration) {
	for {
		if _, err := io.WriteString(conn, text); err != nil {
			return
		}
		time.Sleep(pause)
	}
}

// within sets how long the caller waits.
func within(d time.Duration) func(*http.Request) {
	return func(req *http.Request) {
		req.Header.Set("Chivecroft-Deadline-Ms", strconv.FormatInt(d.Milliseconds(), 10))
	}
}

// TestBytesWithoutEnd has targets respond with endless bytes that are no valid response.
// The caller must never get what looks like a complete response, and the connection must
// be closed long before the caller's deadline.
func TestBytesWithoutEnd(t *testing.T) {
	const soon = 6 * time.Second
	chunk := "fff\r\n" + strings.Repeat("x", 0xfff) + "\r\n"
	for _, c := range []struct {
		name, path string
		answer     func(id string, conn net.Conn)
	}{
		{"before any head", "/unsafe/", func(_ string, conn net.Conn) { flood(conn, strings.Repeat("x", 4096), 0) }},
		{"head lines", "/unsafe/", func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n")
			flood(conn, "X-More: "+strings.Repeat("x", 100)+"\r\n", 0)
		}},
		{"a head that trickles", "/unsafe/", func(_ string, conn net.Conn) {
			_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nX-More: ")
			flood(conn, "x", 50*time.Millisecond)
		}},
		{"interim answers", "/unsafe/", func(_ string, conn net.Conn) {
			flood(conn, "HTTP/1.1 102 Processing\r\n\r\n", 10*time.Millisecond)
		}},
		{"a stream without events", "/stream/", func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Transfer-Encoding: chunked"))
			flood(conn, chunk, 0)
		}},
		{"a stream of short lines", "/stream/", func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Connection: close"))
			flood(conn, strings.Repeat("data: x\n", 512), 0)
		}},
		{"comments for events", "/stream/", func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Connection: close")+fake.Event(1))
			flood(conn, ": alive\n\n", 50*time.Millisecond)
		}},
		{"an event that trickles", "/stream/", func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Connection: close")+fake.Event(1)+"id: 2\ndata: ")
			flood(conn, "x", 50*time.Millisecond)
		}},
		{"the same event again and again", "/stream/", func(id string, conn net.Conn) {
			_, _ = io.WriteString(conn, head(id, "Connection: close"))
			flood(conn, fake.Event(1), 50*time.Millisecond)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			r := newRig(t)
			r.setGoals(100*time.Millisecond, 250*time.Millisecond)
			closed := r.rawTarget(c.answer)
			began := time.Now()
			got, _ := r.call(c.path, within(20*time.Second))
			if took := time.Since(began); took > soon {
				t.Errorf("ended after %v", took)
			}
			if !got.Cut && got.Status < 500 {
				t.Errorf("relayed as complete: status %d, %d bytes", got.Status, len(got.Body))
			}
			select {
			case <-closed:
			case <-time.After(time.Second):
				t.Error("the connection to the target is still open")
			}
		})
	}
}

// TestStalledStreamGoesOn has a target send bytes of a resumable stream but no events.
// The stream must continue at another target.
func TestStalledStreamGoesOn(t *testing.T) {
	far := fake.NewTarget(t, "far", "a2", 0)
	far.Behave(stream(far, 1, 4, true))
	r := newRig(t, far)
	r.setGoals(100*time.Millisecond, 250*time.Millisecond)
	r.rawTarget(func(id string, conn net.Conn) {
		_, _ = io.WriteString(conn, head(id, "Connection: close")+fake.Event(1))
		flood(conn, ": alive\n\n", 50*time.Millisecond)
	})
	got, _ := r.call("/resumable/", within(20*time.Second))
	var b strings.Builder
	for _, event := range strings.SplitAfter(got.Body, "\n\n") {
		if !strings.HasPrefix(event, ":") {
			b.WriteString(event)
		}
	}
	if got.Cut || b.String() != events(1, 4) {
		t.Errorf("cut %v, events %q", got.Cut, b.String())
	}
}

// TestSlowStreamsAreSound relays a stream that is silent for longer than a stalled stream
// may send bytes without an event. It must reach the caller completely.
func TestSlowStreamsAreSound(t *testing.T) {
	t.Parallel()
	near, _ := newTwoTargets(t)
	r := newRig(t, near)
	r.setGoals(100*time.Millisecond, 100*time.Millisecond)
	near.Behave(func(w http.ResponseWriter, req *http.Request) {
		near.Sign(w, req)
		for id := 1; id <= 2; id++ {
			_, _ = io.WriteString(w, fake.Event(id)[:5])
			w.(http.Flusher).Flush()
			time.Sleep(20 * time.Millisecond)
			_, _ = io.WriteString(w, fake.Event(id)[5:])
			w.(http.Flusher).Flush()
			time.Sleep(2500 * time.Millisecond)
		}
	})
	got, _ := r.call("/stream/", within(20*time.Second))
	if got.Cut || got.Body != events(1, 2) {
		t.Errorf("%+v", got)
	}
}

// TestLargeAnswers relays responses larger than the buffer, with and without a length.
// One that breaks off must not look complete.
func TestLargeAnswers(t *testing.T) {
	const size = 20 << 20
	piece := strings.Repeat("x", 64<<10)
	for _, c := range []struct {
		name          string
		length, whole bool
	}{{"with a length", true, true}, {"in chunks", false, true}, {"broken, with a length", true, false}, {"broken, in chunks", false, false}} {
		t.Run(c.name, func(t *testing.T) {
			near, _ := newTwoTargets(t)
			r := newRig(t, near)
			near.Behave(func(w http.ResponseWriter, req *http.Request) {
				near.Sign(w, req)
				if c.length {
					w.Header().Set("Content-Length", strconv.Itoa(size))
				}
				for sent := 0; sent < size; sent += len(piece) {
					if !c.whole && sent > size/2 {
						panic(http.ErrAbortHandler)
					}
					_, _ = io.WriteString(w, piece)
				}
			})
			got, _ := r.call("/safe/", within(20*time.Second))
			if got.Cut == c.whole || c.whole && len(got.Body) != size {
				t.Errorf("cut: %v, %d bytes", got.Cut, len(got.Body))
			}
		})
	}
}

// TestMemoryOfEndlessAnswers relays many endless responses at once to callers that read
// slowly. Memory use must stay far below that of a small machine.
func TestMemoryOfEndlessAnswers(t *testing.T) {
	const answers, most = 100, 90 << 20
	chunk := "fff\r\n" + strings.Repeat("x", 0xfff) + "\r\n"
	for _, path := range []string{"/unsafe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			r := newRig(t)
			r.rawTarget(func(id string, conn net.Conn) {
				_, _ = io.WriteString(conn, head(id, "Transfer-Encoding: chunked"))
				flood(conn, chunk, 0)
			})
			var callers sync.WaitGroup
			for i := range answers {
				callers.Go(func() { r.readSlowly(path, fmt.Sprintf("slow-%d", i)) })
			}
			time.Sleep(time.Second)
			var m runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&m)
			if m.HeapAlloc > most {
				t.Errorf("%d MB in use", m.HeapAlloc>>20)
			}
			callers.Wait()
		})
	}
}

// readSlowly sends a request, reads a little of the response for a while and then the
// rest.
func (r *rig) readSlowly(path, id string) {
	req, err := http.NewRequestWithContext(r.t.Context(), http.MethodPost, r.front.URL+path, nil)
	if err != nil {
		r.t.Error(err)
		return
	}
	req.Host = "x.example"
	req.Header.Set("Chivecroft-Attempt-Id", id)
	within(2 * time.Second)(req)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return
	}
	defer resp.Body.Close()
	piece := make([]byte, 1024)
	for until := time.Now().Add(1500 * time.Millisecond); err == nil && time.Now().Before(until); {
		_, err = resp.Body.Read(piece)
		time.Sleep(50 * time.Millisecond)
	}
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
	}
	if (err == nil || errors.Is(err, io.EOF)) && resp.StatusCode < 300 {
		r.t.Errorf("an endless response ended without an error")
	}
}
