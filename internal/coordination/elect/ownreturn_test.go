package elect

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOwnReturnAwaitsTargets restarts a holder that has taken over from another instance. It guards
// against orders to a target that has just read those of the instance before or has not read
// them yet, and against a wait once the handover has passed since all targets have responded.
func TestOwnReturnAwaitsTargets(t *testing.T) {
	for _, c := range []struct {
		name             string
		areTargetsSilent bool
		want             time.Duration
	}{
		{"before all targets have responded", true, testHandover},
		{"after all targets have responded", false, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(3, 1)
			r.areTargetsSilent = c.areTargetsSilent
			r.advance(time.Second)
			first := r.holder
			r.kill(first)
			second := r.successor()
			if handover := r.nodes[second].status.Handover; handover != testHandover {
				t.Fatalf("the successor waits %v after a response, want %v", handover, testHandover)
			}
			r.advance(afterLoss)
			r.restart(second)
			r.advance(500 * time.Millisecond)
			s := r.nodes[second].status
			if diff := cmp.Diff(c.want, s.Handover); diff != "" || !s.CanOrder(r.timer.Now()) {
				t.Errorf("wait after a response of a target, in the status %+v (-want +got):\n%s", s, diff)
			}
		})
	}
}
