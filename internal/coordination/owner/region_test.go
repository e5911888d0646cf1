package owner

import (
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// TestReachOfLoads checks which loads a demand may cause in the region of the weight
// store and over the link from it. A load takes 3 s from the store and 4 s over the link,
// and 2 s are added for queueing.
func TestReachOfLoads(t *testing.T) {
	t.Parallel()
	notCached := ports.DemandReply{Status: ports.DemandElsewhere, Reason: "the checkpoint is not cached here"}
	accepted := func(in time.Duration) ports.DemandReply {
		return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: in}
	}
	for _, c := range []struct {
		name, store string
		load        ports.LoadReach
		within      time.Duration
		want        ports.DemandReply
		loaded      int
	}{
		{"near, cached only", "region", ports.LoadCached, 10 * time.Second, notCached, 0},
		{"near", "region", ports.LoadAnywhere, 10 * time.Second, accepted(3 * time.Second), 1},
		{"far, cached only", "beyond", ports.LoadCached, 10 * time.Second, notCached, 0},
		{"far, asked by an older release", "beyond", ports.LoadAnywhere, 10 * time.Second, notCached, 0},
		{"far, in time", "beyond", ports.LoadAcross, 10 * time.Second, accepted(4 * time.Second), 1},
		{"far, too late", "beyond", ports.LoadAcross, 5 * time.Second, ports.DemandReply{
			Status: ports.DemandRefused, Reason: "a load over the link between regions would take 6s", RetryAfter: linkRetryAfter,
		}, 0},
	} {
		r := newCluster(clusterConfig{
			zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 10 * gib, models: 2, maxReplicas: 1,
			latency: time.Millisecond, seed: 1, storeRegion: c.store, linkBytesPerSecond: gib,
		})
		r.run(5 * time.Second)
		id := r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: c.within, From: "caller", Load: c.load})
		r.run(2 * time.Second)
		got := r.answers[id]
		got.ReadyIn = got.ReadyIn.Round(time.Second)
		if diff := cmp.Diff(c.want, got); diff != "" {
			t.Errorf("%s (-want +got):\n%s", c.name, diff)
		}
		r.run(8 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": c.loaded})
		reported := slices.ContainsFunc(r.events, func(line string) bool { return strings.Contains(line, string(KindLoadAcross)) })
		if want := c.loaded > 0 && c.store == "beyond"; reported != want {
			t.Errorf("%s: operators were notified of a load over the link: %v, want %v", c.name, reported, want)
		}
		r.checkInvariants(t)
	}
}

// TestPressedFarModelGrowsElsewhere: a shard whose replica is overloaded, and whose
// further replicas would be loaded over the link, tells the sender to try another zone.
// In the region of the weight store it loads a further replica itself.
func TestPressedFarModelGrowsElsewhere(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		store  string
		want   ports.DemandStatus
		loaded int
	}{{"region", ports.DemandAccepted, 2}, {"beyond", ports.DemandQueued, 1}} {
		r := newCluster(clusterConfig{
			zones: 1, entries: 1, targets: 2, shards: 1, memoryBytes: 5 * gib, models: 1, maxReplicas: 2,
			latency: time.Millisecond, seed: 1, storeRegion: c.store, linkBytesPerSecond: gib,
		})
		ask := func(load ports.LoadReach) uint64 {
			return r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller", Load: load})
		}
		r.run(5 * time.Second)
		ask(ports.LoadAcross)
		r.run(8 * time.Second)
		for _, m := range r.targets {
			for _, replica := range m.engine.State().Replicas {
				for range 20 {
					m.engine.Begin(replica.Replica)
				}
			}
		}
		var id uint64
		for range 15 {
			id = ask(ports.LoadCached)
			r.run(time.Second)
		}
		if got := r.answers[id]; got.Status != c.want || (got.Reason == "") != (c.want == ports.DemandAccepted) {
			t.Errorf("store in %s: %+v, want %s", c.store, got, c.want)
		}
		r.expectLoaded(t, map[string]int{"model-0": c.loaded})
		r.checkInvariants(t)
	}
}

// TestCachedModelLoadsWithoutLink: a checkpoint that a target in a remote region has
// cached is loaded there for any demand.
func TestCachedModelLoadsWithoutLink(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 1, entries: 1, targets: 1, shards: 1, memoryBytes: 10 * gib, models: 1, maxReplicas: 1,
		latency: time.Millisecond, seed: 1, storeRegion: "beyond", linkBytesPerSecond: gib,
	})
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 10 * time.Second, From: "caller", Load: ports.LoadAcross})
	r.run(60 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 0})
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: time.Second, From: "caller", Load: ports.LoadCached})
	r.run(5 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 1})
	r.checkInvariants(t)
}
