package edge

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/coordination/elect"
	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

// callerPool is a group of callers that send requests one after the other, some on kept
// connections and some on new ones, until the instance no longer listens.
type callerPool struct {
	r  *rig
	to *Edge

	wait        sync.WaitGroup
	mu          sync.Mutex
	cut         []string
	notAccepted []string
	answers     int
}

func (c *callerPool) caller(n int, keep bool) {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: !keep}, Timeout: 10 * time.Second}
	for i := 0; ; i++ {
		id := fmt.Sprintf("%d-%d", n, i)
		call := fake.Call{ID: id, Host: "x.example", Path: "/app/", Within: 2 * time.Second, Body: strings.Repeat("x", 2000)}
		req, err := call.Request(context.Background(), c.to.boot.Callers)
		if err != nil {
			c.r.t.Error(err)
			return
		}
		resp, err := client.Do(req)
		if errors.Is(err, syscall.ECONNREFUSED) {
			return
		}
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
			resp.Body.Close()
		}
		c.record(id, err)
	}
}

func (c *callerPool) record(id string, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answers++
	switch {
	case errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE):
		// The kernel had accepted the connection, but the instance had not before it
		// stopped listening.
		c.notAccepted = append(c.notAccepted, id)
	case err != nil:
		c.cut = append(c.cut, fmt.Sprintf("%s: %v", id, err))
	}
}

// TestPlannedStopUnderLoad stops an instance while many callers send requests on kept and
// new connections. No request that has reached a target may end without its response.
func TestPlannedStopUnderLoad(t *testing.T) {
	r := newRig(t, 1)
	e := r.edges[0]
	d := r.targets["d1"]
	d.Behave(func(w http.ResponseWriter, req *http.Request) {
		d.Run(req)
		time.Sleep(80 * time.Millisecond)
		d.Sign(w, req)
		_, _ = io.WriteString(w, "whole")
	})
	c := &callerPool{r: r, to: e}
	for n := range 12 {
		c.wait.Go(func() { c.caller(n, n%2 == 0) })
	}
	time.Sleep(300 * time.Millisecond)
	e.Stop()
	c.wait.Wait()
	if c.answers < 100 {
		t.Errorf("only %d requests", c.answers)
	}
	if len(c.cut) > 0 {
		t.Errorf("%d of %d requests were cut: %v", len(c.cut), c.answers, c.cut)
	}
	runs := d.Runs()
	for _, id := range c.notAccepted {
		if runs[id] > 0 {
			t.Errorf("request %s ran but was cut", id)
		}
	}
}

// TestVanishedTargetKeepsItsWork removes the store entry of a target while it sends a
// stream. The stream must continue there and run nowhere else.
func TestVanishedTargetKeepsItsWork(t *testing.T) {
	r := newRig(t, 1)
	e1 := r.targets["e1"]
	began, more := make(chan struct{}), make(chan struct{})
	e1.Behave(func(w http.ResponseWriter, req *http.Request) {
		e1.Run(req)
		e1.Sign(w, req)
		_, _ = io.WriteString(w, fake.Event(1))
		w.(http.Flusher).Flush()
		close(began)
		<-more
		_, _ = io.WriteString(w, fake.Event(2))
	})
	got := make(chan string, 1)
	go func() {
		_, body := r.call(r.edges[0], "/chat/", "m1")
		got <- body
	}()
	<-began
	r.store.Unlist("e1")
	time.Sleep(leaseRecoveryTime + 500*time.Millisecond)
	close(more)
	if body := <-got; body != fake.Event(1)+fake.Event(2) {
		t.Errorf("stream: %q", body)
	}
	if runs := r.targets["e2"].Runs(); len(runs) != 0 {
		t.Errorf("the request also ran elsewhere: %v", runs)
	}
}

// TestRestartKeepsWhatHasLeft restarts all instances after a target was listed as
// draining, with an outdated copy of the configuration in the store. The target must not
// be used again, and the newest configuration must be active.
func TestRestartKeepsWhatHasLeft(t *testing.T) {
	r := newRig(t, 2)
	r.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	r.store.List(t, r.targets["d1"], "desk", "draining")
	r.config(5, "/fifth/")
	r.eventually("the configuration is copied", r.copied)
	r.eventually("the configuration is active", func() bool { status, _ := r.call(r.edges[0], "/fifth/", ""); return status == http.StatusOK })
	old, _ := r.item(configCopyKey)
	r.config(6, "/sixth/")
	for _, e := range r.edges {
		e.kill()
	}
	r.store.Write(t, configCopyKey, old.Value)
	late := r.start()
	for range 10 {
		if status, body := r.call(late, "/sixth/", ""); status != http.StatusOK || body != "answer of d2" {
			t.Errorf("%d %s", status, body)
		}
		if status, _ := r.call(late, "/fifth/", ""); status != http.StatusNotFound {
			t.Errorf("status %d on a removed route", status)
		}
	}
	if item, _ := r.item(platform.ConfigKey); rev(item.Revision) != late.configFollower.localRevision.Load() {
		t.Errorf("configuration of revision %s active, want %d", late.configFollower.localRevision.Load(), item.Revision)
	}
}

// TestRaisedHandoverAtReload raises the time between the orders of two holders at a reload
// and has the holder release its key. It guards against a next holder that orders earlier.
func TestRaisedHandoverAtReload(t *testing.T) {
	const raised = 20 * time.Second
	r := newRig(t, 2)
	for _, e := range r.edges {
		boot := *e.boot
		boot.Bounds.OrderHandover = raised
		e.Reload(&boot)
	}
	first, next := r.edges[0], r.edges[1]
	if next.isHolder() {
		first, next = next, first
	}
	released := next.clock.Now()
	first.election.Post(elect.Release{})
	r.eventually("the other instance is the holder", next.isHolder)
	if wait := next.coordinator.holderStatus().OrderFrom.Sub(released); wait < raised {
		t.Errorf("the next holder orders %v after the release, want at least %v", wait, raised)
	}
}

// TestStopReadsTheBootFile changes the boot file without a signal. It guards against a stop
// that takes the grace period of the start and is killed with requests in progress, and
// against bounds that are lost with a file that cannot be read.
func TestStopReadsTheBootFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "boot.yaml")
	r := newRig(t, 0)
	e := r.start(WithBootFile(path))
	write := func(text string) {
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
	}
	before := *e.bounds.Load()
	write("node: [")
	e.ReloadFile()
	if diff := cmp.Diff(before, *e.bounds.Load()); diff != "" {
		t.Errorf("bounds after an invalid file (-want +got):\n%s", diff)
	}
	const grace = 4 * time.Second
	write(fake.Boot{
		Instance: e.boot.Instance, Zone: e.boot.Zone, Zones: e.boot.Regions, Store: e.boot.Store,
		Callers: e.boot.Callers.Port(), Ready: e.boot.Ready.Port(), Peer: e.boot.Peer.Port(),
		Bounds: fake.Bounds{Grace: grace, Handover: time.Second, RetryWindow: time.Second},
	}.YAML())
	busy := make(chan struct{})
	r.targets["e1"].Behave(func(_ http.ResponseWriter, req *http.Request) {
		close(busy)
		<-req.Context().Done()
	})
	go func() { _, _ = r.call(e, "/chat/", "m1") }()
	<-busy
	began := time.Now()
	e.Stop()
	if took := time.Since(began); took > grace {
		t.Errorf("the stop took %v of a grace period of %v", took, grace)
	}
}

// TestStopHandsOverAccusations guards against evidence about parts of prompts that is lost
// with the instance that has it, as in planned stops of all instances in turn.
func TestStopHandsOverAccusations(t *testing.T) {
	for _, isHolder := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder %t", isHolder), func(t *testing.T) {
			t.Parallel()
			r := newRig(t, 2)
			first, other := r.edges[0], r.edges[1]
			r.eventually("the holder knows both", func() bool {
				e := r.holder(nil)
				if e == nil {
					return false
				}
				e.coordinator.mu.Lock()
				defer e.coordinator.mu.Unlock()
				return len(e.coordinator.memberPeers()) == 1
			})
			if first.isHolder() != isHolder {
				first, other = other, first
			}
			first.crashes.Start(crash.Request{Service: "llm", Model: "m1", Parts: []crash.Part{"p"}},
				fleet.Identity{ID: "e1", Born: 1}, func(crash.Block) {}).Broke()
			first.Stop()
			parts := 0
			for _, k := range other.crashes.HandOver() {
				for _, a := range k.Accusations {
					parts += len(a.Requests)
				}
			}
			if parts != 1 {
				t.Errorf("the other instance keeps %d accused requests, want 1", parts)
			}
		})
	}
}
