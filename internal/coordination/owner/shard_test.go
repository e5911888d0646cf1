package owner

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

func modelName(m int) string { return fmt.Sprintf("model-%d", m) }

func newSmallCluster(seed uint64, unfenced int) *cluster {
	return newCluster(clusterConfig{
		zones: 1, entries: 2, targets: 3, shards: 1, unfenced: unfenced,
		memoryBytes: 10 * gib, models: 4, maxReplicas: 2, latency: time.Millisecond, seed: seed,
	})
}

// checkInvariants fails the test if an invariant was violated.
func (r *cluster) checkInvariants(t testing.TB) {
	t.Helper()
	if r.violation != "" {
		t.Fatalf("%s\n%s", r.violation, strings.Join(r.events, "\n"))
	}
}

// demandAndWait demands a model and returns the answer, waiting up to 3 s for it.
func (r *cluster) demandAndWait(model string, waiting int) ports.DemandReply {
	id := r.demand(0, 0, ports.Demand{Model: model, Waiting: waiting, Within: 20 * time.Second, From: "caller"})
	for range 30 {
		if reply, ok := r.answers[id]; ok {
			return reply
		}
		r.run(100 * time.Millisecond)
	}
	return ports.DemandReply{}
}

func TestColdLoad(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []int{0, 3} {
		r := newSmallCluster(1, unfenced)
		r.run(5 * time.Second)
		reply := r.demandAndWait("model-0", 1)
		if diff := cmp.Diff(ports.DemandAccepted, reply.Status); diff != "" {
			t.Fatalf("answer (-want +got):\n%s%+v\n%s", diff, reply, strings.Join(r.events, "\n"))
		}
		r.run(5 * time.Second)
		if diff := cmp.Diff(1, r.loaded("model-0")); diff != "" {
			t.Errorf("loaded (-want +got):\n%s", diff)
		}
		r.run(40 * time.Second)
		if diff := cmp.Diff(0, r.loaded("model-0")); diff != "" {
			t.Errorf("loaded after the keep-alive (-want +got):\n%s", diff)
		}
		r.checkInvariants(t)
	}
}

func TestTakeoverAfterKill(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []int{0, 3} {
		r := newSmallCluster(2, unfenced)
		r.run(5 * time.Second)
		r.demandAndWait("model-0", 1)
		r.ownerOf(0, 0).kill()
		r.run(20 * time.Second)
		if r.ownerOf(0, 0) == nil {
			t.Fatalf("nobody took over:\n%s", strings.Join(r.events, "\n"))
		}
		r.demandAndWait("model-1", 1)
		r.run(5 * time.Second)
		if diff := cmp.Diff(1, r.loaded("model-1")); diff != "" {
			t.Errorf("loaded (-want +got):\n%s\n%s", diff, strings.Join(r.events, "\n"))
		}
		r.checkInvariants(t)
	}
}
