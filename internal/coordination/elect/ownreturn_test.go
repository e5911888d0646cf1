package elect

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// TestOwnReturnAwaitsTargets restarts a holder that has taken over from another instance, before
// it has said that all targets have responded. It guards against orders to a target that has not read those
// of the instance before.
func TestOwnReturnAwaitsTargets(t *testing.T) {
	r := newFixture(3, 1)
	r.advance(time.Second)
	first := r.holder
	r.kill(first)
	r.advance(afterLoss + calls)
	second := r.holder
	if second == first || r.nodes[second].status.Handover != testHandover {
		t.Fatalf("holder %d after %d, status %+v", second, first, r.nodes[second].status)
	}
	r.restart(second)
	r.advance(500 * time.Millisecond)
	if diff := cmp.Diff(testHandover, r.nodes[second].status.Handover); diff != "" {
		t.Errorf("handover that targets without a response are waited for (-want +got):\n%s", diff)
	}
}
