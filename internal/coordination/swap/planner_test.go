package swap

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/seat"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	fromStore  = 6 * time.Second
	fromDisk   = 1600 * time.Millisecond
	fromMemory = 800 * time.Millisecond
	planStep   = 50 * time.Millisecond
)

// rig plays targets for a planner: orders are carried out as the targets of the
// platform do, late where the rig says so.
type rig struct {
	*Planner
	now     time.Time
	targets map[string]*played
	late    []lateOrder
	// loseNext loses the answers of that many orders, which are carried out
	// lateAfter later.
	loseNext  int
	lateAfter time.Duration
	faults    []string
	begun     []time.Time
	orders    []string
	// unloading is the time of an unload.
	unloading time.Duration
	// reports counts the questions for a report, heldCounts tells that an order that
	// held already counts as accepted.
	reports    int
	heldCounts bool
}

type played struct {
	fleet.Target
	orders int64
	busy   *Action
	done   time.Time
	// past are the reports of the last steps; targets answer with an old one.
	past []pastReport
}

type pastReport struct {
	at     time.Time
	report fleet.Report
}

// reportAge is how old a target's report is.
const reportAge = 100 * time.Millisecond

// note remembers what the target would report now.
func (p *played) note(now time.Time) {
	p.past = append(p.past, pastReport{now, fleet.Report{
		Identity: p.Identity, Holding: p.describe().Holding, Orders: p.orders, Busy: p.busy != nil,
	}})
	if len(p.past) > int(reportAge/planStep)+1 {
		p.past = p.past[1:]
	}
}

type lateOrder struct {
	a  Action
	at time.Time
}

func testEngine(models int) *fleet.Engine {
	e := &fleet.Engine{
		Slots: 64, MemoryMB: 220, Adapters: 2, LoadsPerSec: 2, Models: make(map[string]fleet.Model),
	}
	for i := range models {
		name := fmt.Sprintf("m%d", i)
		e.Models[name] = fleet.Model{
			Name: name, SizeMB: 70, AdapterMB: 1, FromStore: fromStore, FromDisk: fromDisk, FromMemory: fromMemory,
		}
	}
	return e
}

func newRig(e *fleet.Engine, targets ...[]string) *rig {
	r := &rig{now: time.Unix(1_000_000, 0), targets: make(map[string]*played)}
	r.Planner = NewPlanner("llm", e, 5*time.Second, rand.New(rand.NewPCG(1, 1)))
	for i, models := range targets {
		p := &played{Target: fleet.Target{
			Identity: fleet.Identity{ID: fmt.Sprintf("r%d", i), Born: 1}, Service: "llm", Slots: 64,
		}}
		for _, m := range models {
			p.Models = append(p.Models, fleet.Loaded{Model: m})
			p.OnDisk = append(p.OnDisk, m)
		}
		r.targets[p.ID] = p
		r.SetTarget(r.now, p.describe())
	}
	return r
}

func (p *played) describe() fleet.Target {
	out := p.Target
	out.Models = slices.Clone(p.Models)
	out.OnDisk = slices.Clone(p.OnDisk)
	return out
}

// run plays d of time with a demand that is told every 100 ms.
func (r *rig) run(d time.Duration, demand ...seat.Demand) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(planStep) {
		r.finish()
		for id, p := range r.targets {
			p.note(r.now)
			r.follow(id)
		}
		r.Demand(r.now, "entry", demand)
		for _, a := range r.Plan(r.now) {
			r.carryOut(a)
		}
	}
}

func (r *rig) follow(id string) {
	if a, ok := r.Follow(r.now, id); ok {
		r.carryOut(a)
	}
}

func (r *rig) carryOut(a Action) {
	p := r.targets[a.To.ID]
	if a.IsReport() {
		r.reports++
		r.Reported(r.now, a.To.ID, p.past[0].report, nil)
		r.follow(a.To.ID)
		return
	}
	r.orders = append(r.orders, fmt.Sprintf("%s %s at %s", a.Operation, a.Model+suffix(a.Adapter), a.To.ID))
	if r.loseNext > 0 {
		r.loseNext--
		r.late = append(r.late, lateOrder{a, r.now.Add(r.lateAfter)})
		r.Ordered(r.now, a, Lost)
		return
	}
	r.Ordered(r.now, a, r.accept(a))
	r.follow(a.To.ID)
}

func suffix(adapter string) string {
	if adapter == "" {
		return ""
	}
	return "/" + adapter
}

// accept is what a target does with an order.
func (r *rig) accept(a Action) Result {
	p := r.targets[a.To.ID]
	if p.busy != nil || a.Expected != p.orders {
		return Refused
	}
	if a.Adapter != "" && a.To.Born != p.Born {
		// A late order found the target started anew, without the model.
		return Refused
	}
	if a.Operation == Load && a.Adapter == "" && p.Find(a.Model) != nil {
		if r.heldCounts {
			p.orders++
		}
		return Held
	}
	p.orders++
	if a.Adapter != "" {
		r.adapter(p, a)
		return Taken
	}
	p.busy = &a
	p.done = r.now.Add(r.unloading)
	if a.Operation == Load {
		p.done = r.now.Add(r.loads(p, a))
	}
	r.end(p)
	return Taken
}

func (r *rig) loads(p *played, a Action) time.Duration {
	used := 0.0
	for _, l := range p.Models {
		used += r.engine.Models[l.Model].SizeMB + float64(len(l.Adapters))
	}
	if used+r.engine.Models[a.Model].SizeMB > r.engine.MemoryMB {
		r.faults = append(r.faults, fmt.Sprintf("%s was ordered to load %s into %v", p.ID, a.Model, p.Models))
	}
	if slices.Contains(p.OnDisk, a.Model) {
		return fromDisk
	}
	r.begun = append(r.begun, r.now)
	return fromStore
}

func (r *rig) adapter(p *played, a Action) {
	l := p.Find(a.Model)
	if a.Operation == Unload {
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(s string) bool { return s == a.Adapter })
		return
	}
	if l == nil {
		r.faults = append(r.faults, "an adapter was ordered without its model")
		return
	}
	l.Adapters = append(slices.Clone(l.Adapters), a.Adapter)
	n := 0
	for _, m := range p.Models {
		n += len(m.Adapters)
	}
	if n > r.engine.Adapters {
		r.faults = append(r.faults, fmt.Sprintf("%s has %d adapters", p.ID, n))
	}
}

// finish ends what is due, and lets late orders arrive.
func (r *rig) finish() {
	r.late = slices.DeleteFunc(r.late, func(l lateOrder) bool {
		if r.now.Before(l.at) {
			return false
		}
		r.accept(l.a)
		return true
	})
	for _, p := range r.targets {
		r.end(p)
	}
}

// end ends what a target carries out, if it is due.
func (r *rig) end(p *played) {
	if p.busy == nil || r.now.Before(p.done) {
		return
	}
	a := p.busy
	p.busy = nil
	if a.Operation == Unload {
		p.Models = slices.DeleteFunc(slices.Clone(p.Models), func(l fleet.Loaded) bool { return l.Model == a.Model })
		return
	}
	p.Models = append(slices.Clone(p.Models), fleet.Loaded{Model: a.Model})
	if !slices.Contains(p.OnDisk, a.Model) {
		p.OnDisk = append(p.OnDisk, a.Model)
	}
}

func (r *rig) holders(model string) []string {
	var out []string
	for id, p := range r.targets {
		if p.Find(model) != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

func wait(model string) seat.Demand {
	return seat.Demand{Service: "llm", Model: model, Waiting: 1, Arrived: 1}
}

// TestRareModelComesFromDisk asks for a model that lies on one target's disk: it
// takes the place of an idle one there within the time of a load from disk.
func TestRareModelComesFromDisk(t *testing.T) {
	r := newRig(testEngine(6), []string{"m0", "m1", "m2"}, []string{"m3", "m4", "m5"})
	r.targets["r0"].Models = r.targets["r0"].Models[:0]
	r.targets["r0"].Models = append(r.targets["r0"].Models,
		fleet.Loaded{Model: "m3"}, fleet.Loaded{Model: "m4"}, fleet.Loaded{Model: "m5"})
	r.run(fromDisk+700*time.Millisecond, wait("m1"))
	if diff := cmp.Diff([]string{"r0"}, r.holders("m1")); diff != "" {
		t.Errorf("holders (-want +got):\n%s\norders: %v", diff, r.orders)
	}
}

// TestExchangeTakesLittleMoreThanTheLoad exchanges a model while reports lag: the new
// one serves as soon as it is loaded, and few reports are asked for.
func TestExchangeTakesLittleMoreThanTheLoad(t *testing.T) {
	r := newRig(testEngine(4), []string{"m0", "m1", "m2"})
	r.targets["r0"].OnDisk = []string{"m0", "m1", "m2", "m3"}
	r.run(5 * time.Second)
	began, asked := r.now, r.reports
	for !slices.ContainsFunc(r.Serving("r0"), func(l fleet.Loaded) bool { return l.Model == "m3" }) {
		r.run(planStep, wait("m3"))
		if r.now.Sub(began) > 10*time.Second {
			t.Fatalf("not served: %v", r.orders)
		}
	}
	// A step each for the unload, the load and the report that tells of its end.
	if took := r.now.Sub(began); took > fromDisk+reportLag+3*planStep {
		t.Errorf("took %v: %v", took, r.orders)
	}
	r.run(time.Second)
	if n := r.reports - asked; n > 3 {
		t.Errorf("%d reports were asked for", n)
	}
}

// TestBusyModelIsNotEvicted protects a model with requests in flight.
func TestBusyModelIsNotEvicted(t *testing.T) {
	r := newRig(testEngine(4), []string{"m0", "m1", "m2"})
	busy := func(m string) seat.Demand {
		return seat.Demand{Service: "llm", Model: m, Flying: 1, At: map[string]int{"r0": 1}}
	}
	r.run(8*time.Second, wait("m3"), busy("m0"), busy("m2"))
	if diff := cmp.Diff([]string{}, r.holders("m1"), cmp.Transformer("nil", func(s []string) []string {
		return append([]string{}, s...)
	})); diff != "" {
		t.Errorf("the idle model stays (-want +got):\n%s\norders: %v", diff, r.orders)
	}
	if len(r.holders("m0")) != 1 || len(r.holders("m2")) != 1 {
		t.Errorf("a busy model was evicted: %v", r.orders)
	}
}

// TestBusyModelIsCopied gives a model with many requests a second copy.
func TestBusyModelIsCopied(t *testing.T) {
	r := newRig(testEngine(2), []string{"m0"}, []string{"m1"})
	r.run(8*time.Second, seat.Demand{
		Service: "llm", Model: "m0", Flying: 20, Arrived: 5, At: map[string]int{"r0": 20},
	})
	if diff := cmp.Diff([]string{"r0", "r1"}, r.holders("m0")); diff != "" {
		t.Errorf("holders (-want +got):\n%s", diff)
	}
}

// TestLoadsAheadOfUse gets a copy of each model that no target has.
func TestLoadsAheadOfUse(t *testing.T) {
	r := newRig(testEngine(5), []string{"m0", "m1"}, []string{"m2"})
	r.run(30 * time.Second)
	for m := range r.engine.Models {
		r.index()
		if !r.fleet.kept[m] {
			t.Errorf("no copy of %s", m)
		}
	}
	if len(r.faults) > 0 {
		t.Error(r.faults)
	}
}

// TestAdapterMakesRoom loads adapters one after the other at a target with two
// places for them.
func TestAdapterMakesRoom(t *testing.T) {
	r := newRig(testEngine(1), []string{"m0"})
	for _, a := range []string{"a1", "a2", "a3", "a4"} {
		d := wait("m0")
		d.Adapters = []string{a}
		r.run(time.Second, d)
		if !r.targets["r0"].Has("m0", a) {
			t.Errorf("adapter %s is not there: %v", a, r.orders)
		}
	}
	if len(r.faults) > 0 {
		t.Error(r.faults)
	}
}

// TestExpectedTellsTheQueue tells requests for the fourth model in line for a
// single place that it comes later than the first.
func TestExpectedTellsTheQueue(t *testing.T) {
	r := newRig(testEngine(8), []string{"m0"}, []string{"m1"})
	r.storeLoads = 1
	r.run(time.Second, wait("m4"), wait("m5"), wait("m6"))
	e := r.Expected(r.now)
	if e["m4"] > fromStore || e["m5"] < fromStore || e["m6"] < 2*fromStore-time.Second {
		t.Errorf("expected: %v", e)
	}
}

// TestOrdersKeepTheLimits plays random demand, lost and late orders, restarts and
// targets that come and go, and checks that no target is ever ordered to load
// more than it holds and that the weight store's rate is kept.
func TestOrdersKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLimitsRig()
		r.unloading = planStep
		r.playLimits(t)
	})
}

// TestOrdersKeepTheLimitsElsewhere plays the same with targets that unload at once or
// slowly, and count an order that holds already. It stands apart since recorded
// failures of TestOrdersKeepTheLimits depend on what that draws.
func TestOrdersKeepTheLimitsElsewhere(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLimitsRig()
		r.heldCounts = rapid.Bool().Draw(t, "heldCounts")
		r.unloading = time.Duration(rapid.IntRange(0, 500).Draw(t, "unloading")) * time.Millisecond
		r.playLimits(t)
	})
}

func newLimitsRig() *rig {
	return newRig(testEngine(14), []string{"m0", "m1", "m2"}, []string{"m0", "m3", "m4"}, []string{"m5"}, nil)
}

func (r *rig) playLimits(t *rapid.T) {
	for range rapid.IntRange(5, 30).Draw(t, "steps") {
		r.trouble(t)
		var demand []seat.Demand
		for range rapid.IntRange(0, 5).Draw(t, "models") {
			d := wait(fmt.Sprintf("m%d", rapid.IntRange(0, 13).Draw(t, "model")))
			if rapid.Bool().Draw(t, "adapter") {
				d.Adapters = []string{fmt.Sprintf("a%d", rapid.IntRange(1, 5).Draw(t, "name"))}
			}
			demand = append(demand, d)
		}
		r.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms"))*time.Millisecond, demand...)
		r.check(t)
	}
}

func (r *rig) trouble(t *rapid.T) {
	p := r.targets[fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "target"))]
	switch rapid.SampledFrom([]string{"none", "lose", "restart", "leave", "list"}).Draw(t, "trouble") {
	case "lose":
		r.loseNext = rapid.IntRange(1, 3).Draw(t, "orders")
		r.lateAfter = time.Duration(rapid.IntRange(100, 12_000).Draw(t, "late")) * time.Millisecond
	case "restart":
		p.Born++
		p.Models, p.orders, p.busy, p.past = nil, 0, nil, nil
		p.note(r.now)
		r.SetTarget(r.now, p.describe())
	case "leave":
		r.Remove(p.ID)
		r.SetTarget(r.now, p.describe())
	case "list":
		r.SetTarget(r.now, p.describe())
	}
}

func (r *rig) check(t *rapid.T) {
	if len(r.faults) > 0 {
		t.Fatal(r.faults)
	}
	most := int(r.engine.LoadsPerSec * 5)
	for i := range r.begun {
		n := 0
		for _, b := range r.begun[i:] {
			if b.Sub(r.begun[i]) < 5*time.Second {
				n++
			}
		}
		if n > most {
			t.Fatalf("%d loads from the store in five seconds", n)
		}
	}
}
