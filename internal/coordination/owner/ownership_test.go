package owner

import (
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/sums"
)

func TestOwnerFrozenPastItsLease(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		old := r.ownerOf(0, 0)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(6 * time.Millisecond)
		old.freeze()
		r.run(25 * time.Second)
		r.demandUntilLoaded("model-1", 10*time.Second)
		old.resume()
		r.run(10 * time.Second)
		if r.ownerOf(0, 0) == old {
			t.Errorf("the frozen owner still considers itself the owner of the shard")
		}
		r.expectLoaded(t, map[string]int{"model-1": 1})
	})
}

func TestEveryWriteLosesItsAnswer(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.setKVFaults(world.KVFaults{Latency: 4 * time.Millisecond, LoseAnswers: 0.6})
		r.demandUntilLoaded("model-0", 60*time.Second)
		r.demandUntilLoaded("model-1", 60*time.Second)
		r.setKVFaults(healthyKV())
		r.run(8 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
	})
}

// TestOutage: in an outage of the KV service an owner continues to load within its
// permits on targets that check fencing. On targets that ignore it, it stops when its
// lease may have expired.
func TestOutage(t *testing.T) {
	t.Parallel()
	for _, period := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		forEachFencing(t, func(t *testing.T, r *cluster) {
			r.demandUntilLoaded("model-0", 10*time.Second)
			r.run(60 * time.Second)
			r.expectLoaded(t, map[string]int{"model-0": 0})
			r.setKVFaults(world.KVFaults{Down: true})
			r.run(period)
			took := r.demandUntilLoaded("model-0", 10*time.Second)
			fenced := r.targets[0].fenced
			if loads := took < 10*time.Second; loads != fenced {
				t.Errorf("loads during the outage: %v, targets check fencing: %v\n%s", loads, fenced, r.dumpState())
			}
			// The permit of a model that was never loaded has been prefetched.
			r.demandUntilLoaded("model-3", 10*time.Second)
			r.expectLoaded(t, map[string]int{"model-3": map[bool]int{true: 1}[fenced]})
			r.setKVFaults(healthyKV())
			r.demandUntilLoaded("model-3", 10*time.Second)
			r.expectLoaded(t, map[string]int{"model-3": 1})
		})
	}
}

// TestOutageWithoutPermit: the only permit of a model is in use in another zone when the
// outage begins, and stays there.
func TestOutageWithoutPermit(t *testing.T) {
	t.Parallel()
	for unfenced := range 2 {
		r := newCluster(clusterConfig{
			zones: 2, entries: 2, targets: 1, shards: 1, unfenced: unfenced, memoryBytes: 10 * gib,
			models: 4, maxReplicas: 1, latency: time.Millisecond, seed: 7,
		})
		r.run(60 * time.Second)
		for spent := range 2 {
			model := modelName(spent)
			r.demand(spent, 0, ports.Demand{Model: model, Waiting: 1, Within: 5 * time.Second, From: "caller"})
			r.run(5 * time.Second)
			r.expectLoaded(t, map[string]int{model: 1})
		}
		r.run(20 * time.Second)
		r.setKVFaults(world.KVFaults{Down: true})
		r.run(30 * time.Second)
		for spent := range 2 {
			for range 10 {
				r.demand(1-spent, 0, ports.Demand{Model: modelName(spent), Waiting: 1, Within: 5 * time.Second, From: "caller"})
				r.run(time.Second)
			}
			if m := r.targetWith(modelName(spent)); m != nil && m.row.Zone != zoneName(spent) {
				t.Errorf("%s was loaded without a permit", modelName(spent))
			}
		}
		r.checkInvariants(t)
	}
}

// TestPermitsAheadMove: a prefetched permit moves to a shard that needs it.
func TestPermitsAheadMove(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 2, entries: 2, targets: 1, shards: 1, memoryBytes: 10 * gib,
		models: 4, maxReplicas: 1, latency: time.Millisecond, seed: 7,
	})
	r.run(60 * time.Second)
	for m := range r.size.models {
		if diff := cmp.Diff(1, r.ledger()[modelName(m)].Granted()); diff != "" {
			t.Errorf("permits of %s held ahead of use (-want +got):\n%s", modelName(m), diff)
		}
	}
	for m := range r.size.models {
		model, away := modelName(m), 0
		if r.ledger()[model].Grants["zone-a/0"] > 0 {
			away = 1
		}
		r.demand(away, 0, ports.Demand{Model: model, Waiting: 1, Within: 5 * time.Second, From: "caller"})
		r.run(6 * time.Second)
		r.expectLoaded(t, map[string]int{model: 1})
	}
	// The home shards do not request the permits again.
	moved := r.ledger()
	r.run(25 * time.Minute)
	for m := range r.size.models {
		if diff := cmp.Diff(moved[modelName(m)].Grants, r.ledger()[modelName(m)].Grants); diff != "" {
			t.Errorf("grants of %s (-after use +25 min later):\n%s", modelName(m), diff)
		}
	}
	r.checkInvariants(t)
}

func TestSlowKV(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.setKVFaults(world.KVFaults{Latency: 2 * time.Second})
		owner := r.ownerOf(0, 0)
		took := r.demandUntilLoaded("model-0", 30*time.Second)
		if took > 15*time.Second {
			t.Errorf("a load took %v", took)
		}
		r.run(60 * time.Second)
		if r.ownerOf(0, 0) != owner {
			t.Errorf("a slow KV service cost the ownership:\n%s", strings.Join(r.events, "\n"))
		}
	})
}

// TestCutOffOwner: an owner that is partitioned from the KV service and its peers, but
// not from its targets, goes on sending orders. After the takeover its loads must not add
// to those of its successor.
func TestCutOffOwner(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(60 * time.Second)
		old := r.ownerOf(0, 0)
		old.kv.SetFaults(world.KVFaults{Down: true})
		old.silentSince = r.clock.Now()
		old.gossipIsolated = true
		for range 30 {
			for _, e := range r.entries {
				r.nextDemandID++
				e.loops[0].Post(DemandAsked{ID: r.nextDemandID, Demand: ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"}})
			}
			r.run(time.Second)
		}
		if r.ownerOf(0, 0) == nil || !r.entries[0].owned[0] || !r.entries[1].owned[0] {
			t.Errorf("there were never two entries that considered themselves the owner")
		}
		old.kv.SetFaults(healthyKV())
		old.gossipIsolated = false
		r.run(30 * time.Second)
		if old.owned[0] {
			t.Errorf("the partitioned owner still considers itself the owner of the shard")
		}
	})
}

// TestTwoOwners: a partitioned owner and its successor load at about the same time. The
// fence that the successor raised first stops the former owner.
func TestTwoOwners(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, first *cluster) {
		unfenced := 3
		if first.targets[0].fenced {
			unfenced = 0
		}
		for lead := 800 * time.Millisecond; lead <= 1400*time.Millisecond; lead += 20 * time.Millisecond {
			r := newSmallCluster(7, unfenced)
			old := r.makeTwoOwners(t)
			r.demandAt(old, "model-0", 9)
			r.run(lead)
			r.demandAt(r.otherEntry(old), "model-0", 9)
			r.run(10 * time.Second)
			r.expectLoaded(t, map[string]int{"model-0": 2})
			id := r.demandAt(old, "model-0", 9)
			r.run(2 * time.Second)
			if status := r.answers[id].Status; r.targets[0].fenced && status != ports.DemandElsewhere {
				t.Errorf("the partitioned owner, which has seen a later fence, answers %q", status)
			}
			r.checkInvariants(t)
		}
	})
}

// makeTwoOwners isolates the owner of two idle permits of model-0 from its peers and the
// KV service, and waits until another entry has taken over. It returns the former owner.
func (r *cluster) makeTwoOwners(t *testing.T) *entry {
	t.Helper()
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 3 * time.Second, From: "caller"})
	r.run(60 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 0})
	old := r.ownerOf(0, 0)
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.gossipIsolated = true
	for r.entries[0].owned[0] != r.entries[1].owned[0] {
		r.run(10 * time.Millisecond)
	}
	r.run(50 * time.Millisecond)
	return old
}

// demandAt sends a demand to an entry, whether or not it still owns the shard.
func (r *cluster) demandAt(e *entry, model string, waiting int) uint64 {
	r.nextDemandID++
	e.loops[0].Post(DemandAsked{ID: r.nextDemandID, Demand: ports.Demand{Model: model, Waiting: waiting, Within: 5 * time.Second, From: "caller"}})
	return r.nextDemandID
}

func (r *cluster) otherEntry(than *entry) *entry {
	for _, e := range r.entries {
		if e != than {
			return e
		}
	}
	return nil
}

// TestEverythingRestartsAtOnce: all entries of the zone restart as new incarnations and
// take over their shards without waiting for the old leases to expire.
func TestEverythingRestartsAtOnce(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(4 * time.Second)
		for _, e := range r.entries {
			e.kill()
		}
		for _, e := range r.entries {
			e.start()
		}
		r.run(5 * time.Second)
		if r.ownerOf(0, 0) == nil {
			t.Fatalf("nobody owns the shard after 5 s:\n%s", strings.Join(r.events, "\n"))
		}
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.demandUntilLoaded("model-1", 10*time.Second)
	})
}

func TestStopHandsOver(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.run(4 * time.Second)
		old := r.ownerOf(0, 0)
		old.member.Phase = ports.MemberLeaving
		old.post(StopAsked{})
		r.run(4 * time.Second)
		if diff := cmp.Diff(1, old.stopped); diff != "" {
			t.Errorf("stopped (-want +got):\n%s", diff)
		}
		if next := r.ownerOf(0, 0); next == nil || next == old {
			t.Errorf("nobody took over:\n%s", strings.Join(r.events, "\n"))
		}
		r.expectLoaded(t, map[string]int{"model-0": 1})
	})
}

// TestUnreadableValue: a damaged value, or one of a newer format, is left unchanged.
func TestUnreadableValue(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{
		"damaged": `{"format":2,"zone":`,
		"changed": strings.Replace(withChecksum(`{"format":2,"zone":"zone-a","shard":0,"epoch":9,"nonce":"x","owner":{}}`), "9", "8", 1),
		"newer":   withChecksum(`{"format":3,"zone":"zone-a","shard":0,"epoch":9}`),
		"divided": withChecksum(`{"format":2,"zone":"zone-a","shard":0,"shardCount":4,"epoch":9,"nonce":"x","owner":{}}`),
		"foreign": withChecksum(`{"format":2,"zone":"zone-b","shard":0,"epoch":9,"nonce":"x","owner":{}}`),
	} {
		t.Run(name, func(t *testing.T) {
			r := newCluster(clusterConfig{zones: 1, entries: 2, targets: 3, shards: 1, memoryBytes: 10 * gib, models: 1, maxReplicas: 1, seed: 3})
			r.store.Call(ports.KVPut{Key: "zone/zone-a/shard/0", Value: []byte(value)}, func(ports.KVReply) {})
			r.run(3 * time.Minute)
			r.store.Call(ports.KVGet{Key: "zone/zone-a/shard/0"}, func(reply ports.KVReply) {
				item, _ := reply.Item()
				if diff := cmp.Diff(value, string(item.Value)); diff != "" {
					t.Errorf("value (-want +got):\n%s", diff)
				}
			})
			if !strings.Contains(strings.Join(r.events, "\n"), string(KindDamaged)) {
				t.Errorf("nothing was reported: %v", r.events)
			}
		})
	}
}

func withChecksum(object string) string {
	return string(sums.Add([]byte(object)))
}

// TestPreferredOwnerWithoutKV: the entry preferred by rendezvous hashing takes part in
// gossip but cannot reach the KV service. The shard must not be offered to it again and
// again.
func TestPreferredOwnerWithoutKV(t *testing.T) {
	t.Parallel()
	r := newSmallCluster(7, 0)
	r.run(5 * time.Second)
	r.ownerOf(0, 0).kv.SetFaults(world.KVFaults{Down: true})
	r.run(10 * time.Second)
	before := len(r.events)
	r.run(20 * time.Minute)
	takeovers := strings.Count(strings.Join(r.events[before:], "\n"), string(KindTakeover))
	if takeovers > 7 {
		t.Errorf("%d takeovers in 20 min:\n%s", takeovers, strings.Join(r.events, "\n"))
	}
	r.checkInvariants(t)
}

// TestLeaseCountsFromTheSend: KV calls take 8 s and then fail. The owner must not rely on
// its lease for longer than the KV service keeps it.
func TestLeaseCountsFromTheSend(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(_ *testing.T, r *cluster) {
		r.setKVFaults(world.KVFaults{Latency: 8 * time.Second})
		r.run(60 * time.Second)
		r.setKVFaults(world.KVFaults{Down: true})
		r.run(30 * time.Second)
	})
}

// TestClaimTakesEffectLate: claims whose replies are lost take effect seconds later, when
// another entry may have claimed the shard.
func TestClaimTakesEffectLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		r := newSmallCluster(seed, int(seed)%4)
		for _, e := range r.entries {
			e.kv.lateShare = 0.7
		}
		r.run(90 * time.Second)
		for _, e := range r.entries {
			e.kv.lateShare = 0
		}
		r.run(30 * time.Second)
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.checkInvariants(t)
	}
}

// TestEpochRisesAboveFencesAfterDeletedValue: after an operator has deleted the value of
// a shard whose targets are empty, the epoch begins again below the targets' fences and
// must be raised above them.
func TestEpochRisesAboveFencesAfterDeletedValue(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		for range 3 {
			r.ownerOf(0, 0).kill()
			r.run(20 * time.Second)
			for _, e := range r.entries {
				if e.dead {
					e.start()
				}
			}
			r.run(5 * time.Second)
		}
		// The owner cannot know of the deletion before its next write.
		r.valueDeleted = true
		r.store.Call(ports.KVGet{Key: "zone/zone-a/shard/0"}, func(reply ports.KVReply) {
			item, _ := reply.Item()
			r.store.Call(ports.KVDelete{Key: item.Key, Expect: item.Revision}, func(ports.KVReply) {})
		})
		r.demandUntilLoaded("model-0", 90*time.Second)
		r.run(90 * time.Second)
		r.demandUntilLoaded("model-1", 90*time.Second)
		r.expectLoaded(t, map[string]int{"model-1": 1})
	})
}

// TestOtherShardCountOwnsNothing: entries whose settings divide the zone into more shards
// than the stored values show must not own any shard, because two owners would send
// orders to the same target.
func TestOtherShardCountOwnsNothing(t *testing.T) {
	t.Parallel()
	size := clusterConfig{zones: 1, entries: 2, targets: 4, shards: 2, memoryBytes: 10 * gib, models: 1, maxReplicas: 1, seed: 3}
	r := newCluster(size)
	r.run(5 * time.Second)
	for _, e := range r.entries {
		e.kill()
	}
	r.size.shards = 5
	for _, e := range r.entries {
		e.start()
	}
	r.run(3 * time.Minute)
	if diff := cmp.Diff(0, r.ownedShards()); diff != "" {
		t.Errorf("owned shards (-want +got):\n%s", diff)
	}
	if !strings.Contains(strings.Join(r.events, "\n"), "of a zone divided into 2 shards, the settings say 5") {
		t.Errorf("nothing was reported:\n%s", strings.Join(r.events, "\n"))
	}
}

// TestUnwrittenChangesAreCountedOnce: a change that waits for a slow KV service is
// counted once, not once per step.
func TestUnwrittenChangesAreCountedOnce(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		r.demandUntilLoaded("model-0", 10*time.Second)
		r.setKVFaults(world.KVFaults{Latency: 6 * time.Second})
		var most uint64
		for range 80 {
			r.demand(0, 0, ports.Demand{Model: "model-1", Waiting: 1, Within: 2 * time.Second, From: "caller"})
			r.run(500 * time.Millisecond)
			most = max(most, r.ownerOf(0, 0).shards[0].Status().Unwritten)
		}
		if most > 6 {
			t.Errorf("%d changes are unwritten:\n%s", most, r.dumpState())
		}
	})
}

// TestRebalanceMovesOnlyNeededShards: when an entry is killed, only its shards move. When
// it returns, only the shards for which it is preferred move back.
func TestRebalanceMovesOnlyNeededShards(t *testing.T) {
	t.Parallel()
	r := newCluster(clusterConfig{
		zones: 1, entries: 4, targets: 16, shards: 16, memoryBytes: 10 * gib,
		models: 1, maxReplicas: 1, latency: time.Millisecond, seed: 3,
	})
	r.run(90 * time.Second)
	owners := func() map[int]string {
		found := make(map[int]string)
		for n := range r.size.shards {
			if e := r.ownerOf(0, n); e != nil {
				found[n] = e.member.ID
			}
		}
		return found
	}
	before := owners()
	gone := r.entries[1]
	gone.kill()
	r.run(20 * time.Second)
	for n, id := range owners() {
		if before[n] != gone.member.ID && before[n] != id {
			t.Errorf("shard %d moved from %s to %s when %s went", n, before[n], id, gone.member.ID)
		}
	}
	gone.start()
	r.run(90 * time.Second)
	if diff := cmp.Diff(before, owners()); diff != "" {
		t.Errorf("owners after %s came back (-before +after):\n%s", gone.member.ID, diff)
	}
	moves := strings.Count(strings.Join(r.events, "\n"), string(KindTakeover))
	ownedByRestarted := 0
	for _, id := range before {
		if id == gone.member.ID {
			ownedByRestarted++
		}
	}
	if want := len(before) + 2*ownedByRestarted; moves != want {
		t.Errorf("%d takeovers, want %d: one of each shard, two of each of %d that moved", moves, want, ownedByRestarted)
	}
	r.checkInvariants(t)
}

// TestFlappingKVKeepsOwnership: a KV service that is unavailable for every other two
// seconds causes no loss of ownership and no missed load.
func TestFlappingKVKeepsOwnership(t *testing.T) {
	t.Parallel()
	forEachFencing(t, func(t *testing.T, r *cluster) {
		owner := r.ownerOf(0, 0)
		for i := range 30 {
			r.setKVFaults(world.KVFaults{Latency: 4 * time.Millisecond, Down: i%2 == 0, LoseAnswers: 0.2})
			model := modelName(i / 10)
			r.demand(0, 0, ports.Demand{Model: model, Waiting: 1, Within: 10 * time.Second, From: "caller"})
			r.run(2 * time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-2": 1})
		if r.ownerOf(0, 0) != owner {
			t.Errorf("the shard was taken over:\n%s", strings.Join(r.events, "\n"))
		}
	})
}
