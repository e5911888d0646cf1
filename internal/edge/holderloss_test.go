package edge

import (
	"net/http"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// kill ends an instance without a planned stop, as a crash does.
func (e *Edge) kill() {
	e.stopLoops()
	e.election.Stop()
	e.callers.close()
	for _, s := range e.controlServers() {
		_ = s.Close()
	}
}

// holder returns the holder, or nil if there is none other than lost.
func (r *rig) holder(lost *Edge) *Edge {
	for _, e := range r.edges {
		if e != lost && e.coordinator.holderStatus().IsHolder {
			return e
		}
	}
	return nil
}

// TestLostHolder kills the holder. The others must follow the store from where its
// updates ended, and only the successor may list all targets. Lists for all instances at
// once would block everything else on narrow links.
func TestLostHolder(t *testing.T) {
	r := newRig(t, 5)
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	// The store is idle for longer than one watch, so that the updates cover its latest
	// revision.
	time.Sleep(2 * time.Second)
	lost := r.holder(nil)
	before := r.store.Lists()
	lost.kill()
	// The service has only this target, so a call shows whether it is known.
	r.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	r.store.Delete("servers/d1")
	time.Sleep(maxUpdateAge + 600*time.Millisecond)
	for _, e := range r.edges {
		if e == lost {
			continue
		}
		if status, body := r.call(e, "/app/", ""); status != http.StatusOK || body != "answer of d2" {
			t.Errorf("%s without a holder: %d %s", e.boot.Instance, status, body)
		}
	}
	r.eventually("a new holder is elected", func() bool { return r.holder(lost) != nil })
	time.Sleep(time.Second)
	if n := r.store.Lists() - before; n > 1 {
		t.Errorf("%d list pages were read after the holder was lost", n)
	}
}
