package elect

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/stand/world"
)

// TestHoldersKeepApart simulates random kills, planned stops, freezes, outages, lost and late
// replies, late writes, deleted keys, and a store that comes back from an older copy. It checks
// the orders as they arrive, up to testOrderTime after they were sent.
func TestHoldersKeepApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFixtureOf(3, rapid.Uint64().Draw(t, "seed"), rapid.IntRange(0, 1).Draw(t, "era"))
		if rapid.Bool().Draw(t, "firstStart") {
			// Each instance finds the store as it was before the first holder.
			r.advance(time.Second)
		} else {
			r.restartAll()
		}
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			r.injectFault(t)
			r.advance(time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * time.Millisecond)
			if r.violation != "" {
				t.Fatal(r.violation)
			}
		}
		r.heal()
		// Writes of before may still be carried out.
		r.advance(lateWrites + 12*time.Second)
		if r.violation != "" {
			t.Fatal(r.violation)
		}
		if r.holder < 0 || !r.nodes[r.holder].status.CanOrder(r.timer.Now()) {
			t.Fatal("no instance may send orders after the faults have ended")
		}
	})
}

const (
	// lateWrites is how much later a write whose response was lost may be carried out.
	lateWrites = 6 * time.Second
	// slowAnswers is how much later a response may come.
	slowAnswers = 900 * time.Millisecond
)

func (r *fixture) injectFault(t *rapid.T) {
	i := rapid.IntRange(0, len(r.nodes)-1).Draw(t, "instance")
	nd := r.nodes[i]
	switch rapid.SampledFrom([]string{
		"kill", "freeze", "thaw", "down", "lossy", "late", "slow", "fine", "steal", "expire", "release", "rest", "wake",
		"follow", "raise", "lower", "copy", "copies",
	}).Draw(t, "trouble") {
	case "kill":
		r.restart(i)
	case "freeze":
		r.freeze(i)
	case "thaw":
		r.unfreeze(i)
	case "down":
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond, Down: true})
	case "lossy":
		nd.kv.SetFaults(world.KVFaults{Latency: 100 * time.Millisecond, LoseAnswers: 0.4, LateWrites: lateWrites})
	case "late":
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond, LateAnswers: slowAnswers})
	case "slow":
		nd.kv.SetFaults(world.KVFaults{Latency: time.Duration(rapid.IntRange(100, 900).Draw(t, "latency")) * time.Millisecond})
	case "fine":
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
	case "steal":
		r.deleteKey()
	case "expire":
		r.endLease()
	case "rest":
		nd.loop.Post(Deactivate{})
	case "wake":
		nd.loop.Post(Activate{})
	case "follow":
		// What another instance says about the holder may be wrong or out of date.
		nd.loop.Post(SetHolder{Holder: address(rapid.IntRange(0, len(r.nodes)-1).Draw(t, "told"))})
	case "raise":
		r.changeHandover(r.handover + 500*time.Millisecond)
	case "lower":
		r.changeHandover(max(r.handover-500*time.Millisecond, testHandover))
	case "copy":
		r.restoreCopy(t)
	case "copies":
		r.restoreCopy(t)
		r.advance(time.Duration(rapid.IntRange(10, 500).Draw(t, "between")) * time.Millisecond)
		r.restoreCopy(t)
	case "release":
		if !nd.frozen {
			r.planRestart(i)
		}
	}
}

// changeHandover changes the handover unless an instance is frozen, which would not know of it.
func (r *fixture) changeHandover(d time.Duration) {
	if !slices.ContainsFunc(r.nodes, func(nd *node) bool { return nd.frozen }) {
		r.setHandover(d)
	}
}

func (r *fixture) restoreCopy(t *rapid.T) {
	away := time.Duration(rapid.IntRange(0, 800).Draw(t, "away")) * time.Millisecond
	age := time.Duration(rapid.IntRange(0, int(maxCopyAge/time.Millisecond)).Draw(t, "age")) * time.Millisecond
	r.restore(away, age)
}

// TestFirstStartBeforeOlderCopy keeps an instance from the store during the first start of the
// system, until the store has come back from a copy without a record. It guards against an
// instance that takes such a store for one that has never had a record, and orders at once.
func TestFirstStartBeforeOlderCopy(t *testing.T) {
	for _, c := range []struct {
		name       string
		begin, end func(r *fixture, i int)
	}{
		{"frozen", (*fixture).freeze, (*fixture).unfreeze},
		{"cut off", func(r *fixture, i int) { r.nodes[i].kv.SetFaults(world.KVFaults{Down: true}) }, func(r *fixture, _ int) { r.heal() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(2, 1)
			c.begin(r, 1)
			r.advance(2 * time.Second)
			if r.holder != 0 {
				t.Fatalf("holder %d, want 0", r.holder)
			}
			r.kill(0)
			r.restore(0, maxCopyAge)
			c.end(r, 1)
			r.advance(afterCopy + retried)
			if r.violation != "" || r.holder != 1 {
				t.Errorf("holder %d: %s", r.holder, r.violation)
			}
		})
	}
}
