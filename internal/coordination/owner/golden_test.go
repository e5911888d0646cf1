package owner

import (
	"encoding/json"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

var update = flag.Bool("update", false, "rewrite the golden files")

// sessionLog records a control session: KV writes, orders and notifications.
type sessionLog struct {
	r     *cluster
	lines []string
}

func (s *sessionLog) add(format string, args ...any) {
	s.lines = append(s.lines, s.r.clock.Now().Format("04:05.000 ")+fmt.Sprintf(format, args...))
}

// recordSession records every KV write and every order except reports.
func recordSession(r *cluster) *sessionLog {
	s := &sessionLog{r: r}
	r.onWrite = func(e *entry, req ports.KVRequest) { s.add("%s %s", e.member.ID, describeWrite(req)) }
	r.onOrder = func(e *entry, o ports.Order) {
		if o.Kind != ports.OrderReport {
			data, _ := json.Marshal(o)
			s.add("%s order %s", e.member.ID, data)
		}
	}
	r.onNote = func(e *entry, note any) {
		switch n := note.(type) {
		case TableChanged:
			for _, row := range n.Replicas {
				s.add("%s", strings.Join(append([]string{e.member.ID, "table", row.ID, row.Target, string(row.Phase)}, row.Adapters...), " "))
			}
			for _, id := range n.Removed {
				s.add("%s table %s removed", e.member.ID, id)
			}
		case DemandAnswered:
			s.add("%s answers %s in %v", e.member.ID, n.Reply.Status, n.Reply.ReadyIn)
		case Happened:
			s.add("%s %s %s: %s", e.member.ID, n.Kind, n.Subject, n.Detail)
		}
	}
	return s
}

func describeWrite(req ports.KVRequest) string {
	switch q := req.(type) {
	case ports.KVPut:
		return fmt.Sprintf("put %s if %d: %s", q.Key, q.Expect, q.Value)
	case ports.KVGrant:
		return fmt.Sprintf("grant %v", q.TTL)
	case ports.KVRevoke:
		return fmt.Sprintf("revoke %d", q.Lease)
	case ports.KVRenew:
		return fmt.Sprintf("renew %d", q.Lease)
	}
	return fmt.Sprintf("%T", req)
}

// TestGoldenSession records a cold load, an eviction, a kill of the owner during a load
// whose reply is lost, a takeover and a planned stop.
func TestGoldenSession(t *testing.T) {
	r := newCluster(clusterConfig{
		zones: 1, entries: 2, targets: 2, shards: 1, unfenced: 1, memoryBytes: 5 * gib,
		models: 3, maxReplicas: 1, latency: time.Millisecond, seed: 11,
	})
	s := recordSession(r)
	r.run(2 * time.Second)
	step := func(name string, d time.Duration) {
		s.lines = append(s.lines, "-- "+name)
		r.run(d)
	}
	demand := func(model string) {
		r.demand(0, 0, ports.Demand{Model: model, Waiting: 1, Within: 5 * time.Second, From: "caller"})
	}
	demand("model-0")
	step("a cold load", 4*time.Second)
	demand("model-1")
	step("a second one", 4*time.Second)
	demand("model-2")
	step("a third one, which evicts", 5*time.Second)
	demand("model-0")
	r.run(20 * time.Millisecond)
	r.ownerOf(0, 0).kill()
	step("the owner dies during a load", 15*time.Second)
	demand("model-0")
	step("its successor goes on", 5*time.Second)
	r.ownerOf(0, 0).post(StopAsked{})
	step("a planned stop", 2*time.Second)
	r.checkInvariants(t)
	s.compare(t, "session.txt")
}

// TestGoldenAdapters records loads of adapters, one of which evicts another, and a kill
// of the owner during an adapter's load.
func TestGoldenAdapters(t *testing.T) {
	r := newAdapterCluster(1, 2)
	s := recordSession(r)
	step := func(name string, d time.Duration) {
		s.lines = append(s.lines, "-- "+name)
		r.run(d)
	}
	r.demandAdapter("lora")
	step("a first adapter", time.Second)
	r.demandAdapter("lora-1")
	step("a second one", time.Second)
	r.demandAdapter("lora-2")
	step("a third one, for which the first goes", time.Second)
	r.demandAdapter("lora")
	r.run(12 * time.Millisecond)
	r.ownerOf(0, 0).kill()
	step("the owner dies while an adapter goes", 15*time.Second)
	r.demandAdapter("lora")
	step("its successor goes on", time.Second)
	r.checkInvariants(t)
	s.compare(t, "adapters.txt")
}

// compare compares the session with a golden file.
func (s *sessionLog) compare(t *testing.T, name string) {
	t.Helper()
	got := strings.Join(s.lines, "\n") + "\n"
	file := filepath.Join("testdata", name)
	if *update {
		if err := os.MkdirAll("testdata", 0o755); err != nil {
			t.Fatal(err)
		}
		if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	if diff := cmp.Diff(string(want), got); diff != "" {
		t.Errorf("session (-want +got), rewrite with -update:\n%s", diff)
	}
}
