package edge

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"chivecroft.example/chivecroft/internal/state/fleet"
	"chivecroft.example/chivecroft/platform/fake"
)

// unframedBody has a target answer with a head without a length and a body, and end with
// its connection once release is closed.
func unframedBody(r *rig, f *fake.Target, body string) (began <-chan struct{}, release chan<- struct{}) {
	begin, end := make(chan struct{}), make(chan struct{})
	f.Behave(func(w http.ResponseWriter, req *http.Request) {
		f.Sign(w, req)
		conn, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			r.t.Error(err)
			return
		}
		defer conn.Close()
		var head strings.Builder
		_ = w.Header().Write(&head)
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\n"+head.String()+"\r\n"+body)
		close(begin)
		<-end
		f.Crash()
	})
	return begin, end
}

// TestTargetEndsBeforeItsBody guards against a body without a length that looks complete
// although its target has ended before it was, as a leaving target does when its time is
// over.
func TestTargetEndsBeforeItsBody(t *testing.T) {
	for _, c := range []struct {
		name, target, service, path, model, body string
		isLeaving                                bool
	}{
		{"stream", "e1", "llm", "/chat/", "m1", fake.Event(1), false},
		{"stream of a leaving target", "e1", "llm", "/chat/", "m1", fake.Event(1), true},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newRig(t, 1)
			e, f := r.edges[0], r.targets[c.target]
			began, release := unframedBody(r, f, c.body)
			got := make(chan int, 1)
			go func() {
				status, _ := r.call(e, c.path, c.model)
				got <- status
			}()
			<-began
			if c.isLeaving {
				r.store.List(t, f, c.service, "draining")
				r.eventually("the target is known to be leaving", func() bool {
					return e.picker.IsLeaving(fleet.Identity{ID: f.ID, Born: f.Born})
				})
			}
			close(release)
			if status := <-got; status == http.StatusOK {
				t.Error("the caller got a complete answer")
			}
		})
	}
}

// TestPlannedEndAccusesNobody guards against requests that are blamed for the end of a
// target that was leaving.
func TestPlannedEndAccusesNobody(t *testing.T) {
	for _, isLeaving := range []bool{false, true} {
		f := fake.NewTarget(t, "e1", "a1", 0)
		target := fleet.Target{Identity: fleet.Identity{ID: f.ID, Born: f.Born}, Addr: f.Addr()}
		f.Stop()
		unplanned := 0
		c := newEndChecker(func(fleet.Identity) bool { return isLeaving }, func(fleet.Target) { unplanned++ })
		for range 2 {
			if !c.hasEnded(t.Context(), target) || c.hasCrashed(t.Context(), target) == isLeaving {
				t.Errorf("leaving %t: ended %t, crashed %t", isLeaving, c.hasEnded(t.Context(), target), c.hasCrashed(t.Context(), target))
			}
		}
		if want := map[bool]int{false: 1, true: 0}[isLeaving]; unplanned != want {
			t.Errorf("leaving %t: %d unplanned ends, want %d", isLeaving, unplanned, want)
		}
	}
}
