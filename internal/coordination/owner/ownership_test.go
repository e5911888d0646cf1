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
	bothRegimes(t, func(t *testing.T, r *rig) {
		old := r.ownerOf(0, 0)
		r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 1, Within: 30 * time.Second, From: "caller"})
		r.run(6 * time.Millisecond)
		old.freeze()
		r.run(25 * time.Second)
		r.waitFor("model-1", 10*time.Second)
		old.resume()
		r.run(10 * time.Second)
		if r.ownerOf(0, 0) == old {
			t.Errorf("the frozen owner still believes that it owns the shard")
		}
		r.expectLoaded(t, map[string]int{"model-1": 1})
	})
}

func TestEveryWriteLosesItsAnswer(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.setKV(world.KVFaults{Latency: 4 * time.Millisecond, LoseAnswers: 0.6})
		r.waitFor("model-0", 60*time.Second)
		r.waitFor("model-1", 60*time.Second)
		r.setKV(healthy())
		r.run(8 * time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1, "model-1": 1})
	})
}

// TestOutage: with targets that check fencing an owner goes on loading within
// the permits that it holds; with the others it stops when its lease may lapse.
func TestOutage(t *testing.T) {
	t.Parallel()
	for _, period := range []time.Duration{30 * time.Second, 10 * time.Minute} {
		bothRegimes(t, func(t *testing.T, r *rig) {
			r.waitFor("model-0", 10*time.Second)
			r.run(60 * time.Second)
			r.expectLoaded(t, map[string]int{"model-0": 0})
			r.setKV(world.KVFaults{Down: true})
			r.run(period)
			took := r.waitFor("model-0", 10*time.Second)
			fenced := r.targets[0].fenced
			if loads := took < 10*time.Second; loads != fenced {
				t.Errorf("loads during the outage: %v, targets check fencing: %v\n%s", loads, fenced, r.describe())
			}
			// The permit of a model that was never loaded is held ahead of use.
			r.waitFor("model-3", 10*time.Second)
			r.expectLoaded(t, map[string]int{"model-3": map[bool]int{true: 1}[fenced]})
			r.setKV(healthy())
			r.waitFor("model-3", 10*time.Second)
			r.expectLoaded(t, map[string]int{"model-3": 1})
		})
	}
}

// TestOutageWithoutPermit: the only permit of a model is spent in another zone
// when the outage begins, and stays there.
func TestOutageWithoutPermit(t *testing.T) {
	t.Parallel()
	for unfenced := range 2 {
		r := newRig(rigSize{
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
		r.setKV(world.KVFaults{Down: true})
		r.run(30 * time.Second)
		for spent := range 2 {
			for range 10 {
				r.demand(1-spent, 0, ports.Demand{Model: modelName(spent), Waiting: 1, Within: 5 * time.Second, From: "caller"})
				r.run(time.Second)
			}
			if m := r.holderOf(modelName(spent)); m != nil && m.row.Zone != zoneName(spent) {
				t.Errorf("%s was loaded without a permit", modelName(spent))
			}
		}
		r.mustHold(t)
	}
}

// TestPermitsAheadMove: a permit taken ahead of use goes to whoever has a use for it.
func TestPermitsAheadMove(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
		zones: 2, entries: 2, targets: 1, shards: 1, memoryBytes: 10 * gib,
		models: 4, maxReplicas: 1, latency: time.Millisecond, seed: 7,
	})
	r.run(60 * time.Second)
	for m := range r.size.models {
		if diff := cmp.Diff(1, r.ledger()[modelName(m)].Granted()); diff != "" {
			t.Errorf("permits of %s held ahead of use (-want +got):\n%s", modelName(m), diff)
		}
	}
	for z := range r.size.zones {
		for m := range 2 {
			model := modelName(2*z + m)
			r.demand(z, 0, ports.Demand{Model: model, Waiting: 1, Within: 5 * time.Second, From: "caller"})
			r.run(6 * time.Second)
			r.expectLoaded(t, map[string]int{model: 1})
		}
	}
	r.mustHold(t)
}

func TestSlowKV(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.setKV(world.KVFaults{Latency: 2 * time.Second})
		owner := r.ownerOf(0, 0)
		took := r.waitFor("model-0", 30*time.Second)
		if took > 15*time.Second {
			t.Errorf("a load took %v", took)
		}
		r.run(60 * time.Second)
		if r.ownerOf(0, 0) != owner {
			t.Errorf("a slow KV service cost the ownership:\n%s", strings.Join(r.events, "\n"))
		}
	})
}

// TestCutOffOwner: an owner that only the KV service and its peers have lost
// goes on ordering; after the takeover its orders must not add to the successor's.
func TestCutOffOwner(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.run(60 * time.Second)
		old := r.ownerOf(0, 0)
		old.kv.SetFaults(world.KVFaults{Down: true})
		old.silentSince = r.clock.Now()
		old.muted = true
		for range 30 {
			for _, e := range r.entries {
				r.nextAsk++
				e.loops[0].Post(DemandAsked{ID: r.nextAsk, Demand: ports.Demand{Model: "model-0", Waiting: 9, Within: 5 * time.Second, From: "caller"}})
			}
			r.run(time.Second)
		}
		if r.ownerOf(0, 0) == nil || !r.entries[0].owned[0] || !r.entries[1].owned[0] {
			t.Errorf("there were never two owners who both believe")
		}
		old.kv.SetFaults(healthy())
		old.muted = false
		r.run(30 * time.Second)
		if old.owned[0] {
			t.Errorf("the cut-off owner still believes that it owns the shard")
		}
	})
}

// TestTwoOwners: a cut-off owner and its successor load at about the same
// moment. The fence that the successor raised first stops the other.
func TestTwoOwners(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, first *rig) {
		unfenced := 3
		if first.targets[0].fenced {
			unfenced = 0
		}
		for lead := 800 * time.Millisecond; lead <= 1400*time.Millisecond; lead += 20 * time.Millisecond {
			r := smallRig(7, unfenced)
			old := r.twoOwners(t)
			r.tell(old, "model-0", 9)
			r.run(lead)
			r.tell(r.other(old), "model-0", 9)
			r.run(10 * time.Second)
			r.expectLoaded(t, map[string]int{"model-0": 2})
			id := r.tell(old, "model-0", 9)
			r.run(2 * time.Second)
			if status := r.answers[id].Status; r.targets[0].fenced && status != ports.DemandElsewhere {
				t.Errorf("the cut-off owner, which has seen a later fence, answers %q", status)
			}
			r.mustHold(t)
		}
	})
}

// twoOwners makes an owner of two idle permits of model-0 lose its peers and the
// KV service, and waits until another has taken over. It returns the old one.
func (r *rig) twoOwners(t *testing.T) *entry {
	t.Helper()
	r.run(5 * time.Second)
	r.demand(0, 0, ports.Demand{Model: "model-0", Waiting: 9, Within: 3 * time.Second, From: "caller"})
	r.run(60 * time.Second)
	r.expectLoaded(t, map[string]int{"model-0": 0})
	old := r.ownerOf(0, 0)
	old.kv.SetFaults(world.KVFaults{Down: true})
	old.silentSince = r.clock.Now()
	old.muted = true
	for r.entries[0].owned[0] != r.entries[1].owned[0] {
		r.run(10 * time.Millisecond)
	}
	r.run(50 * time.Millisecond)
	return old
}

// tell demands a model of one entry, whether or not it still owns the shard.
func (r *rig) tell(e *entry, model string, waiting int) uint64 {
	r.nextAsk++
	e.loops[0].Post(DemandAsked{ID: r.nextAsk, Demand: ports.Demand{Model: model, Waiting: waiting, Within: 5 * time.Second, From: "caller"}})
	return r.nextAsk
}

func (r *rig) other(than *entry) *entry {
	for _, e := range r.entries {
		if e != than {
			return e
		}
	}
	return nil
}

// TestEverythingRestartsAtOnce: the zone's entries come back as new incarnations
// and take their shards without waiting for the leases of the old ones.
func TestEverythingRestartsAtOnce(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
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
		r.waitFor("model-1", 10*time.Second)
	})
}

func TestStopHandsOver(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
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

// TestUnreadableValue: a damaged or newer value is left alone.
func TestUnreadableValue(t *testing.T) {
	t.Parallel()
	for name, value := range map[string]string{
		"damaged": `{"format":2,"zone":`,
		"changed": strings.Replace(summed(`{"format":2,"zone":"zone-a","shard":0,"epoch":9,"nonce":"x","owner":{}}`), "9", "8", 1),
		"newer":   summed(`{"format":3,"zone":"zone-a","shard":0,"epoch":9}`),
		"divided": summed(`{"format":2,"zone":"zone-a","shard":0,"shardCount":4,"epoch":9,"nonce":"x","owner":{}}`),
		"foreign": summed(`{"format":2,"zone":"zone-b","shard":0,"epoch":9,"nonce":"x","owner":{}}`),
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(rigSize{zones: 1, entries: 2, targets: 3, shards: 1, memoryBytes: 10 * gib, models: 1, maxReplicas: 1, seed: 3})
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

func summed(object string) string {
	return string(sums.Add([]byte(object)))
}

// TestPreferredOwnerWithoutKV: the entry that rendezvous hashing prefers is
// heard of but cannot reach the KV service; the shard is not offered to it for ever.
func TestPreferredOwnerWithoutKV(t *testing.T) {
	t.Parallel()
	r := smallRig(7, 0)
	r.run(5 * time.Second)
	r.ownerOf(0, 0).kv.SetFaults(world.KVFaults{Down: true})
	r.run(10 * time.Second)
	before := len(r.events)
	r.run(20 * time.Minute)
	takeovers := strings.Count(strings.Join(r.events[before:], "\n"), string(KindTakeover))
	if takeovers > 7 {
		t.Errorf("%d takeovers in 20 min:\n%s", takeovers, strings.Join(r.events, "\n"))
	}
	r.mustHold(t)
}

// TestLeaseCountsFromTheSend: with calls of 8 s and then none at all, the owner
// must not count on its lease for longer than the KV service keeps it.
func TestLeaseCountsFromTheSend(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(_ *testing.T, r *rig) {
		r.setKV(world.KVFaults{Latency: 8 * time.Second})
		r.run(60 * time.Second)
		r.setKV(world.KVFaults{Down: true})
		r.run(30 * time.Second)
	})
}

// TestClaimTakesEffectLate: claims whose answers are lost arrive seconds later,
// when another entry may have claimed the shard.
func TestClaimTakesEffectLate(t *testing.T) {
	t.Parallel()
	for seed := range uint64(6) {
		r := smallRig(seed, int(seed)%4)
		for _, e := range r.entries {
			e.kv.late = 0.7
		}
		r.run(90 * time.Second)
		for _, e := range r.entries {
			e.kv.late = 0
		}
		r.run(30 * time.Second)
		r.waitFor("model-0", 10*time.Second)
		r.expectLoaded(t, map[string]int{"model-0": 1})
		r.mustHold(t)
	}
}

// TestDeletedValue: after an operator deleted the value of a shard whose targets
// are empty, the epoch begins anew below the targets' fences and is raised.
func TestDeletedValue(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
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
		// The owner cannot know before its next write.
		r.deleted = true
		r.store.Call(ports.KVGet{Key: "zone/zone-a/shard/0"}, func(reply ports.KVReply) {
			item, _ := reply.Item()
			r.store.Call(ports.KVDelete{Key: item.Key, Expect: item.Revision}, func(ports.KVReply) {})
		})
		r.waitFor("model-0", 90*time.Second)
		r.run(90 * time.Second)
		r.waitFor("model-1", 90*time.Second)
		r.expectLoaded(t, map[string]int{"model-1": 1})
	})
}

// TestOtherDivision: entries whose settings divide the zone into more shards
// than the values show own none of them, since two owners would order one target.
func TestOtherDivision(t *testing.T) {
	t.Parallel()
	size := rigSize{zones: 1, entries: 2, targets: 4, shards: 2, memoryBytes: 10 * gib, models: 1, maxReplicas: 1, seed: 3}
	r := newRig(size)
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

// TestUnwrittenChanges: what waits for a slow KV service is counted once, not
// once more with every step.
func TestUnwrittenChanges(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		r.waitFor("model-0", 10*time.Second)
		r.setKV(world.KVFaults{Latency: 6 * time.Second})
		var most uint64
		for range 80 {
			r.demand(0, 0, ports.Demand{Model: "model-1", Waiting: 1, Within: 2 * time.Second, From: "caller"})
			r.run(500 * time.Millisecond)
			most = max(most, r.ownerOf(0, 0).shards[0].Status().Unwritten)
		}
		if most > 6 {
			t.Errorf("%d changes are unwritten:\n%s", most, r.describe())
		}
	})
}

// TestRebalanceMovesLittle: when an entry goes, its shards alone move, and when
// it comes back, those alone that it is preferred for return.
func TestRebalanceMovesLittle(t *testing.T) {
	t.Parallel()
	r := newRig(rigSize{
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
	mine := 0
	for _, id := range before {
		if id == gone.member.ID {
			mine++
		}
	}
	if want := len(before) + 2*mine; moves != want {
		t.Errorf("%d takeovers, want %d: one of each shard, two of each of %d that moved", moves, want, mine)
	}
	r.mustHold(t)
}

// TestFlappingKV: a KV service that goes every other two seconds costs neither
// the ownership nor the loads.
func TestFlappingKV(t *testing.T) {
	t.Parallel()
	bothRegimes(t, func(t *testing.T, r *rig) {
		owner := r.ownerOf(0, 0)
		for i := range 30 {
			r.setKV(world.KVFaults{Latency: 4 * time.Millisecond, Down: i%2 == 0, LoseAnswers: 0.2})
			model := modelName(i / 10)
			r.demand(0, 0, ports.Demand{Model: model, Waiting: 1, Within: 10 * time.Second, From: "caller"})
			r.run(2 * time.Second)
		}
		r.expectLoaded(t, map[string]int{"model-2": 1})
		if r.ownerOf(0, 0) != owner {
			t.Errorf("the shard changed hands:\n%s", strings.Join(r.events, "\n"))
		}
	})
}
