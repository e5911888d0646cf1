package daily

import (
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// TestPrunerKeepsRecentDates runs three pruners beside each other, with lost
// answers: old rows go, the others and what is no row stay.
func TestPrunerKeepsRecentDates(t *testing.T) {
	clock := timer.NewVirtual(time.Date(2026, 3, 28, 12, 0, 0, 0, time.UTC))
	store := kvmem.NewStore(clock)
	random := rand.New(rand.NewPCG(1, 1))
	keys := []string{"day/notes", "day/2026-03-28/e1-1", "day/2026-03-27/e1-1", "config/head"}
	for _, date := range []string{"2025-12-31", "2026-02-28", "2026-03-25"} {
		for _, instance := range strings.Split("e1-1 e2-1 e3-1 e4-1 e5-1 e6-1 e7-1", " ") {
			keys = append(keys, "day/"+date+"/"+instance)
		}
	}
	for _, key := range keys {
		store.Call(ports.KVPut{Key: key, Value: []byte("{}")}, func(ports.KVReply) {})
	}
	for range 3 {
		kv := world.NewKV(store, clock, random)
		kv.SetFaults(world.KVFaults{Latency: 10 * time.Millisecond, LoseAnswers: 0.2})
		drive.NewLoop(NewPruner(time.UTC, 2, random), ports.Env{KV: kv, Timer: clock}).Post(Start{})
	}
	clock.Advance(23 * time.Hour)
	var left []string
	for _, item := range store.Dump() {
		left = append(left, item.Key)
	}
	want := []string{"config/head", "day/2026-03-27/e1-1", "day/2026-03-28/e1-1", "day/notes"}
	if diff := cmp.Diff(want, left); diff != "" {
		t.Errorf("keys left (-want +got):\n%s", diff)
	}
}
