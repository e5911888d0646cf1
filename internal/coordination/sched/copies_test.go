package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// inFlight returns the demand of a model with n requests in flight at each of some targets.
func inFlight(model string, n int, at ...string) picker.Demand {
	d := picker.Demand{Service: "llm", Model: model, InFlight: n * len(at), InFlightByTarget: make(map[string]int)}
	for _, id := range at {
		d.InFlightByTarget[id] = n
	}
	return d
}

// onEveryDisk puts all models of an engine on the disks of all targets.
func (r *fixture) onEveryDisk() {
	for _, p := range r.targets {
		p.OnDisk = nil
		for m := range r.engine.Models {
			p.OnDisk = append(p.OnDisk, m)
		}
		r.SetTarget(r.now, p.describe())
	}
}

// TestSurgeOfOneModel guards against a model that suddenly gets a large share of all
// requests being given copies one after the other: it is to have enough of them within the
// time of about two loads from disk.
func TestSurgeOfOneModel(t *testing.T) {
	r := newFixture(testEngine(12), []string{"m0", "m1", "m2"}, []string{"m3"}, []string{"m4"}, []string{"m5"},
		[]string{"m6"}, []string{"m7"})
	r.onEveryDisk()
	r.run(2*fromDisk+time.Second, inFlight("m0", 36, "r0"))
	if got := len(r.targetsWith("m0")); got < 4 {
		t.Errorf("%d targets serve the model: %v", got, r.orders)
	}
}

// TestQueueBehindOneCopy guards against a model of which more requests are queued than in
// flight being left with its only copy.
func TestQueueBehindOneCopy(t *testing.T) {
	r := newFixture(testEngine(8), []string{"m0"}, []string{"m1"}, []string{"m2"}, []string{"m3"})
	r.onEveryDisk()
	d := inFlight("m0", 30, "r0")
	d.Queued, d.LongestWaitMS = 45, 2000
	r.run(2*fromDisk+time.Second, d, inFlight("m1", 4, "r1"), inFlight("m2", 4, "r2"))
	if got := len(r.targetsWith("m0")); got < 3 {
		t.Errorf("%d targets serve the model: %v", got, r.orders)
	}
}

// TestBusyModelsAreSpread guards against another copy of a busy model at a target that is
// as busy with other models while others are idle.
func TestBusyModelsAreSpread(t *testing.T) {
	r := newFixture(testEngine(8), []string{"m0"}, []string{"m1"}, []string{"m2"}, []string{"m3"})
	r.onEveryDisk()
	r.run(4*time.Second, inFlight("m0", 14, "r0"), inFlight("m1", 14, "r1"), inFlight("m2", 13, "r2"))
	for _, model := range []string{"m0", "m1", "m2"} {
		for _, id := range r.targetsWith(model) {
			if id != "r3" && id != "r"+model[1:] {
				t.Errorf("%s was loaded at the busy target %s: %v", model, id, r.orders)
			}
		}
	}
	if got := len(r.targetsWith("m0")); got != 2 {
		t.Errorf("%d targets serve m0: %v", got, r.orders)
	}
}

// TestCrowdedTargets guards against a model of moderate use being late because other models
// at its only target are busy.
func TestCrowdedTargets(t *testing.T) {
	r := newFixture(testEngine(4), []string{"m0", "m1"}, []string{"m2"})
	r.onEveryDisk()
	r.run(4*time.Second, inFlight("m0", 3, "r0"), inFlight("m1", 7, "r0"), inFlight("m3", 4, "r0"))
	if len(r.targetsWith("m0"))+len(r.targetsWith("m1")) <= 2 {
		t.Errorf("no model left the crowded target: %v", r.orders)
	}
}

// TestNoCopyWithoutNeed guards against loads that help nobody: models with little use at
// targets with little use stay where they are.
func TestNoCopyWithoutNeed(t *testing.T) {
	r := newFixture(testEngine(6), []string{"m0", "m1"}, []string{"m2"}, []string{"m3"})
	r.onEveryDisk()
	r.run(5*time.Second, inFlight("m0", 4, "r0"), inFlight("m1", 4, "r0"), inFlight("m2", 7, "r1"))
	for i := range 4 {
		if got := len(r.targetsWith(fmt.Sprintf("m%d", i))); got != 1 {
			t.Errorf("%d targets serve m%d: %v", got, i, r.orders)
		}
	}
}

// TestAdaptersFollowTheCopies guards against requests for adapters going to one crowded
// target although other targets serve the model.
func TestAdaptersFollowTheCopies(t *testing.T) {
	r := newFixture(testEngine(2), []string{"m0"}, []string{"m0"})
	r.targets["r0"].Models[0].Adapters = []string{"a1", "a2"}
	r.SetTarget(r.now, r.targets["r0"].describe())
	r.run(time.Second, inFlight("m0", 16, "r0"), inFlight("m0", 1, "r1"))
	if diff := cmp.Diff([]string{"a1", "a2"}, r.targets["r1"].Models[0].Adapters); diff != "" {
		t.Errorf("adapters at the other target (-want +got):\n%s", diff)
	}
	if len(r.violations) > 0 {
		t.Error(r.violations)
	}
}

// TestStoreLimit guards against parallel loads from the weight store that slow each other
// down, and against too few where more run at full speed.
func TestStoreLimit(t *testing.T) {
	type load struct {
		at                time.Duration
		slowdown, running float64
		hasEnded          bool
	}
	for _, c := range []struct {
		name  string
		loads []load
		want  float64
	}{
		{"two at full speed", []load{{6 * time.Second, 1, 2, true}}, 4},
		{"one of two", []load{{6 * time.Second, 1, 1, true}}, 2},
		{"two slow each other down", []load{{26 * time.Second, 2, 2, true}}, 1},
		{"found before the end", []load{{18 * time.Second, 1.4, 2, false}}, 1},
		{"full speed before the end says nothing", []load{{time.Second, 0.1, 2, false}}, 2},
		{"no new attempt soon after", []load{{26 * time.Second, 2, 2, true}, {40 * time.Second, 1, 1, true}}, 1},
		{"an attempt later", []load{{26 * time.Second, 2, 2, true}, {90 * time.Second, 1, 1, true}}, 2},
	} {
		s := storeLimit{loads: initialStoreLoads}
		for _, l := range c.loads {
			s.observe(time.Unix(0, 0).Add(l.at), l.slowdown, l.running, l.hasEnded)
		}
		if s.loads != c.want {
			t.Errorf("%s: a limit of %v, want %v", c.name, s.loads, c.want)
		}
	}
}

// TestStoreLoadsOfSuccessor guards against a successor that starts more loads from the
// weight store than its predecessor has found to run at full speed.
func TestStoreLoadsOfSuccessor(t *testing.T) {
	r := newFixture(testEngine(8), []string{"m0"}, []string{"m1"}, []string{"m2"}, []string{"m3"})
	WithStoreLoads(1)(r.Planner)
	r.run(4*time.Second, queuedDemand("m4"), queuedDemand("m5"), queuedDemand("m6"))
	if got := len(r.storeLoadTimes); got != 1 {
		t.Errorf("%d loads from the weight store in parallel, want 1: %v", got, r.orders)
	}
}

// TestLoadsOfFormerHolder guards against a new holder that starts loads from the weight
// store beside those that its predecessor has ordered.
func TestLoadsOfFormerHolder(t *testing.T) {
	r := newFixture(testEngine(6), []string{"m0"}, []string{"m1"}, []string{"m2"}, []string{"m3"}, []string{"m5"}, []string{"m4"})
	for _, id := range []string{"r0", "r1", "r2", "r3"} {
		r.targets[id].busy, r.targets[id].done = &Action{Operation: Load, Model: "m5"}, r.now.Add(time.Minute)
	}
	r.run(minForeignLoad + time.Second)
	delete(r.targets, "r4")
	r.Remove("r4")
	r.run(4*time.Second, queuedDemand("m5"))
	if got := len(r.storeLoadTimes); got != 0 {
		t.Errorf("%d loads began beside four of the former holder", got)
	}
}
