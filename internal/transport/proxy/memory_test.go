package proxy_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/budget"
	"chivecroft.example/chivecroft/internal/transport/proxy"
	"chivecroft.example/chivecroft/platform/fake"
)

const (
	testMemory = 1 << 20
	// largeBody is more than half of what large bodies may hold together.
	largeBody = 400 << 10
)

// newMeteredRig returns a rig whose proxy has a budget of testMemory.
func newMeteredRig(t *testing.T, targets ...*fake.Target) (*rig, *budget.Account) {
	r := newRig(t, targets...)
	account := budget.NewAccount(testMemory, time.Now)
	r.serve(proxy.WithAccount(account))
	return r, account
}

// send sends the head of a request and part of its body.
func (r *rig) send(path string, length, sent int, lines ...string) net.Conn {
	r.t.Helper()
	c := r.dial()
	_ = c.SetDeadline(time.Now().Add(15 * time.Second))
	_, _ = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: x.example\r\nChivecroft-Attempt-Id: raw-%d\r\nContent-Length: %d\r\n%s\r\n%s",
		path, r.ids.Add(1), length, strings.Join(append(lines, ""), "\r\n"), strings.Repeat("b", sent))
	return c
}

// status returns the status of the response on a connection, 0 if there is none.
func status(c net.Conn) int {
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	resp.Body.Close()
	return resp.StatusCode
}

// expectEmpty waits until the account holds nothing.
func expectEmpty(t *testing.T, a *budget.Account) {
	t.Helper()
	var held int64
	for range 200 {
		held = 0
		for _, u := range budget.Uses() {
			held += a.Held(u)
		}
		if held == 0 {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Errorf("%d bytes are held after all have gone", held)
}

// awaitHeld waits until bodies hold n bytes.
func awaitHeld(t *testing.T, a *budget.Account, n int64) {
	t.Helper()
	for range 200 {
		if a.Held(budget.Bodies) >= n {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("bodies hold %d bytes, not %d", a.Held(budget.Bodies), n)
}

// TestBodiesShareMemory guards against a body that stops short and keeps others out, and
// against a status that promises wrongly that a request has not run.
func TestBodiesShareMemory(t *testing.T) {
	target := fake.NewTarget(t, "near", "a1", 0)
	r, account := newMeteredRig(t, target)
	short := r.send("/unsafe/", largeBody, largeBody-1)
	awaitHeld(t, account, largeBody-1)
	r.expect("/unsafe/", answer{http.StatusOK, "answer of near", "sig-near", false})
	// Once the first has stopped, its bytes go to one that arrives.
	time.Sleep(600 * time.Millisecond)
	whole := r.send("/unsafe/", largeBody, largeBody)
	if got := status(whole); got != http.StatusOK {
		t.Errorf("the body that arrived whole got %d", got)
	}
	if got := status(short); got != http.StatusRequestTimeout {
		t.Errorf("the body that stopped short got %d", got)
	}
	if got := status(r.send("/unsafe/", testMemory, testMemory)); got != http.StatusServiceUnavailable {
		t.Errorf("a body that does not fit got %d", got)
	}
	if n := len(target.Runs()); n != 2 {
		t.Errorf("%d requests have run, want 2", n)
	}
	expectEmpty(t, account)
}

// TestBodyEnds guards against a body that never ends, against one that is cut off, and
// against bytes that are held after that.
func TestBodyEnds(t *testing.T) {
	target := fake.NewTarget(t, "near", "a1", 0)
	r, account := newMeteredRig(t, target)
	if got := status(r.send("/unsafe/", 1000, 999, "Chivecroft-Deadline-Ms: 200")); got != http.StatusRequestTimeout {
		t.Errorf("a body that is not complete at its deadline got %d", got)
	}
	cut := r.send("/unsafe/", largeBody, 1000)
	awaitHeld(t, account, 1000)
	cut.Close()
	if n := len(target.Runs()); n != 0 {
		t.Errorf("%d requests have run", n)
	}
	expectEmpty(t, account)
}

// TestSlowReader guards against a caller that does not read its stream and holds memory and
// its target until its deadline, delays others, or has the stream resumed elsewhere.
func TestSlowReader(t *testing.T) {
	near, far := newTwoTargets(t)
	r, account := newMeteredRig(t, near, far)
	event := "data: " + strings.Repeat("x", 100<<10) + "\n\n"
	var ended atomic.Int64
	for _, f := range r.targets {
		f.Behave(func(w http.ResponseWriter, req *http.Request) {
			f.Run(req)
			f.Sign(w, req)
			if strings.HasPrefix(req.URL.Path, "/unsafe/") {
				return
			}
			for req.Context().Err() == nil {
				if _, err := io.WriteString(w, event); err != nil {
					break
				}
			}
			ended.Add(1)
		})
	}
	slow := r.send("/resumable/", 0, 0)
	for began := time.Now(); ended.Load() == 0; time.Sleep(50 * time.Millisecond) {
		if time.Since(began) > 14*time.Second {
			t.Fatal("the stream has not ended")
		}
		if got, _ := r.call("/unsafe/"); got.Status != http.StatusOK {
			t.Fatalf("another request got %+v", got)
		}
	}
	if n, err := io.Copy(io.Discard, slow); err == nil && n == 0 {
		t.Error("the caller got nothing")
	}
	if n := r.runs()["raw-1"]; n != 1 {
		t.Errorf("the stream has run %d times", n)
	}
	expectEmpty(t, account)
}
