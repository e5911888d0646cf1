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

func smallRig(seed uint64, unfenced int) *rig {
	return newRig(rigSize{
		zones: 1, entries: 2, targets: 3, shards: 1, unfenced: unfenced,
		memoryBytes: 10 * gib, models: 4, maxReplicas: 2, latency: time.Millisecond, seed: seed,
	})
}

// mustHold fails the test if a promise was broken.
func (r *rig) mustHold(t testing.TB) {
	t.Helper()
	if r.fault != "" {
		t.Fatalf("%s\n%s", r.fault, strings.Join(r.events, "\n"))
	}
}

// ask demands a model and returns the answer once it is there.
func (r *rig) ask(model string, waiting int) ports.DemandReply {
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
		r := smallRig(1, unfenced)
		r.run(5 * time.Second)
		reply := r.ask("model-0", 1)
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
		r.mustHold(t)
	}
}

func TestTakeoverAfterKill(t *testing.T) {
	t.Parallel()
	for _, unfenced := range []int{0, 3} {
		r := smallRig(2, unfenced)
		r.run(5 * time.Second)
		r.ask("model-0", 1)
		r.ownerOf(0, 0).kill()
		r.run(20 * time.Second)
		if r.ownerOf(0, 0) == nil {
			t.Fatalf("nobody took over:\n%s", strings.Join(r.events, "\n"))
		}
		r.ask("model-1", 1)
		r.run(5 * time.Second)
		if diff := cmp.Diff(1, r.loaded("model-1")); diff != "" {
			t.Errorf("loaded (-want +got):\n%s\n%s", diff, strings.Join(r.events, "\n"))
		}
		r.mustHold(t)
	}
}
