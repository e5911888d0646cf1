package sched

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	fromStore  = 6 * time.Second
	fromDisk   = 1600 * time.Millisecond
	fromMemory = 800 * time.Millisecond
	planStep   = 50 * time.Millisecond
)

// fixture simulates targets for a Planner. The targets carry out orders as the platform's
// targets do, with delays where the test sets them.
type fixture struct {
	*Planner
	now        time.Time
	targets    map[string]*fakeTarget
	lateOrders []lateOrder
	// loseNext is the number of orders whose replies are lost next; these orders are
	// carried out lateAfter later.
	loseNext       int
	lateAfter      time.Duration
	violations     []string
	storeLoadTimes []time.Time
	orders         []string
	// unloadTime is the duration of an unload.
	unloadTime time.Duration
	// reportRequests counts the report requests. heldIsCounted makes targets count an
	// order as accepted that finds the ordered state already there.
	reportRequests int
	heldIsCounted  bool
}

// fakeTarget is a simulated target.
type fakeTarget struct {
	fleet.Target
	orders int64
	busy   *Action
	done   time.Time
	// reports are the reports of the last steps; targets reply with the oldest one.
	reports []pastReport
}

type pastReport struct {
	at     time.Time
	report fleet.Report
}

// reportAge is the age of a target's report.
const reportAge = 100 * time.Millisecond

// recordReport stores the report of the target's present state.
func (p *fakeTarget) recordReport(now time.Time) {
	p.reports = append(p.reports, pastReport{now, fleet.Report{
		Identity: p.Identity, Holding: p.describe().Holding, Orders: p.orders, Busy: p.busy != nil,
	}})
	if len(p.reports) > int(reportAge/planStep)+1 {
		p.reports = p.reports[1:]
	}
}

// lateOrder is an order whose reply was lost, with the time when it is carried out.
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

func newFixture(e *fleet.Engine, targets ...[]string) *fixture {
	r := &fixture{now: time.Unix(1_000_000, 0), targets: make(map[string]*fakeTarget)}
	r.Planner = NewPlanner("llm", e, 5*time.Second, rand.New(rand.NewPCG(1, 1)))
	for i, models := range targets {
		p := &fakeTarget{Target: fleet.Target{
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

func (p *fakeTarget) describe() fleet.Target {
	out := p.Target
	out.Models = slices.Clone(p.Models)
	out.OnDisk = slices.Clone(p.OnDisk)
	return out
}

// run simulates the duration d; the demand is sent again in each planStep.
func (r *fixture) run(d time.Duration, demand ...picker.Demand) {
	for end := r.now.Add(d); r.now.Before(end); r.now = r.now.Add(planStep) {
		r.completeDue()
		for id, p := range r.targets {
			p.recordReport(r.now)
			r.follow(id)
		}
		r.SetDemand(r.now, "entry", demand)
		for _, a := range r.Plan(r.now) {
			r.execute(a)
		}
	}
}

func (r *fixture) follow(id string) {
	if a, ok := r.NextLoad(r.now, id); ok {
		r.execute(a)
	}
}

func (r *fixture) execute(a Action) {
	p := r.targets[a.To.ID]
	if a.IsReportRequest() {
		r.reportRequests++
		r.ReportDone(r.now, a.To.ID, p.reports[0].report, nil)
		r.follow(a.To.ID)
		return
	}
	r.orders = append(r.orders, fmt.Sprintf("%s %s at %s", a.Operation, a.Model+suffix(a.Adapter), a.To.ID))
	if r.loseNext > 0 {
		r.loseNext--
		r.lateOrders = append(r.lateOrders, lateOrder{a, r.now.Add(r.lateAfter)})
		r.OrderDone(r.now, a, Lost)
		return
	}
	r.OrderDone(r.now, a, r.accept(a))
	r.follow(a.To.ID)
}

func suffix(adapter string) string {
	if adapter == "" {
		return ""
	}
	return "/" + adapter
}

// accept simulates a target that receives an order.
func (r *fixture) accept(a Action) Result {
	p := r.targets[a.To.ID]
	if p.busy != nil || a.Expected != p.orders {
		return Rejected
	}
	if a.Adapter != "" && a.To.Born != p.Born {
		// The late order reached the next incarnation of the target, without the model.
		return Rejected
	}
	if a.Operation == Load && a.Adapter == "" && p.Find(a.Model) != nil {
		if r.heldIsCounted {
			p.orders++
		}
		return AlreadyDone
	}
	p.orders++
	if a.Adapter != "" {
		r.executeAdapterOrder(p, a)
		return Accepted
	}
	p.busy = &a
	p.done = r.now.Add(r.unloadTime)
	if a.Operation == Load {
		p.done = r.now.Add(r.startLoad(p, a))
	}
	r.complete(p)
	return Accepted
}

// startLoad checks that the model fits and returns the duration of its load.
func (r *fixture) startLoad(p *fakeTarget, a Action) time.Duration {
	used := 0.0
	for _, l := range p.Models {
		used += r.engine.Models[l.Model].SizeMB + float64(len(l.Adapters))
	}
	if used+r.engine.Models[a.Model].SizeMB > r.engine.MemoryMB {
		r.violations = append(r.violations, fmt.Sprintf("%s was ordered to load %s into %v", p.ID, a.Model, p.Models))
	}
	if slices.Contains(p.OnDisk, a.Model) {
		return fromDisk
	}
	r.storeLoadTimes = append(r.storeLoadTimes, r.now)
	return fromStore
}

func (r *fixture) executeAdapterOrder(p *fakeTarget, a Action) {
	l := p.Find(a.Model)
	if a.Operation == Unload {
		l.Adapters = slices.DeleteFunc(slices.Clone(l.Adapters), func(s string) bool { return s == a.Adapter })
		return
	}
	if l == nil {
		r.violations = append(r.violations, "an adapter was ordered to be loaded without its model")
		return
	}
	l.Adapters = append(slices.Clone(l.Adapters), a.Adapter)
	n := 0
	for _, m := range p.Models {
		n += len(m.Adapters)
	}
	if n > r.engine.Adapters {
		r.violations = append(r.violations, fmt.Sprintf("%s has %d adapters", p.ID, n))
	}
}

// completeDue completes the orders that are due and delivers late orders.
func (r *fixture) completeDue() {
	r.lateOrders = slices.DeleteFunc(r.lateOrders, func(l lateOrder) bool {
		if r.now.Before(l.at) {
			return false
		}
		r.accept(l.a)
		return true
	})
	for _, p := range r.targets {
		r.complete(p)
	}
}

// complete completes the order that a target carries out if it is due.
func (r *fixture) complete(p *fakeTarget) {
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

func (r *fixture) targetsWith(model string) []string {
	var out []string
	for id, p := range r.targets {
		if p.Find(model) != nil {
			out = append(out, id)
		}
	}
	slices.Sort(out)
	return out
}

// queuedDemand returns a demand with one queued request.
func queuedDemand(model string) picker.Demand {
	return picker.Demand{Service: "llm", Model: model, Queued: 1, Arrived: 1}
}

// TestLoadsModelFromDisk requests a model that is on one target's disk. It replaces an
// idle model there within the duration of a load from disk.
func TestLoadsModelFromDisk(t *testing.T) {
	r := newFixture(testEngine(6), []string{"m0", "m1", "m2"}, []string{"m3", "m4", "m5"})
	r.targets["r0"].Models = r.targets["r0"].Models[:0]
	r.targets["r0"].Models = append(r.targets["r0"].Models,
		fleet.Loaded{Model: "m3"}, fleet.Loaded{Model: "m4"}, fleet.Loaded{Model: "m5"})
	r.run(fromDisk+700*time.Millisecond, queuedDemand("m1"))
	if diff := cmp.Diff([]string{"r0"}, r.targetsWith("m1")); diff != "" {
		t.Errorf("targets with the model (-want +got):\n%s\norders: %v", diff, r.orders)
	}
}

// TestSwapTakesLittleLongerThanLoad replaces a model while reports lag behind. The new
// model is served as soon as it is loaded, and few reports are requested.
func TestSwapTakesLittleLongerThanLoad(t *testing.T) {
	r := newFixture(testEngine(4), []string{"m0", "m1", "m2"})
	r.targets["r0"].OnDisk = []string{"m0", "m1", "m2", "m3"}
	r.run(5 * time.Second)
	began, asked := r.now, r.reportRequests
	for !slices.ContainsFunc(r.Serving("r0"), func(l fleet.Loaded) bool { return l.Model == "m3" }) {
		r.run(planStep, queuedDemand("m3"))
		if r.now.Sub(began) > 10*time.Second {
			t.Fatalf("m3 is not served: %v", r.orders)
		}
	}
	// One step each for the unload, the load and the report after the load.
	if took := r.now.Sub(began); took > fromDisk+maxReportAge+3*planStep {
		t.Errorf("the swap took %v: %v", took, r.orders)
	}
	r.run(time.Second)
	if n := r.reportRequests - asked; n > 3 {
		t.Errorf("%d reports were requested", n)
	}
}

// TestBusyModelIsNotEvicted checks that models with requests in flight are not evicted.
func TestBusyModelIsNotEvicted(t *testing.T) {
	r := newFixture(testEngine(4), []string{"m0", "m1", "m2"})
	busy := func(m string) picker.Demand {
		return picker.Demand{Service: "llm", Model: m, InFlight: 1, InFlightByTarget: map[string]int{"r0": 1}}
	}
	r.run(8*time.Second, queuedDemand("m3"), busy("m0"), busy("m2"))
	if diff := cmp.Diff([]string{}, r.targetsWith("m1"), cmp.Transformer("nil", func(s []string) []string {
		return append([]string{}, s...)
	})); diff != "" {
		t.Errorf("targets with the idle model (-want +got):\n%s\norders: %v", diff, r.orders)
	}
	if len(r.targetsWith("m0")) != 1 || len(r.targetsWith("m2")) != 1 {
		t.Errorf("a busy model was evicted: %v", r.orders)
	}
}

// TestBusyModelIsCopied checks that a model with many requests is loaded a second time.
func TestBusyModelIsCopied(t *testing.T) {
	r := newFixture(testEngine(2), []string{"m0"}, []string{"m1"})
	r.run(8*time.Second, picker.Demand{
		Service: "llm", Model: "m0", InFlight: 20, Arrived: 5, InFlightByTarget: map[string]int{"r0": 20},
	})
	if diff := cmp.Diff([]string{"r0", "r1"}, r.targetsWith("m0")); diff != "" {
		t.Errorf("targets with the model (-want +got):\n%s", diff)
	}
}

// TestLimitedModelIsCopied checks that a model whose only copy is at a target with a rate
// limit gets one copy more where there is none, with the adapters that requests need, as
// long as requests are refused for the limit.
func TestLimitedModelIsCopied(t *testing.T) {
	r := newFixture(testEngine(3), []string{"m0"}, []string{"m1"}, []string{"m2"})
	r.targets["r0"].Models[0].Adapters = []string{"a1"}
	r.targets["r2"].OnDisk = []string{"m0", "m2"}
	r.run(time.Second)
	r.SetLimited("r0", true)
	r.SetLimited("r1", true)
	r.run(4*time.Second, picker.Demand{Service: "llm", Model: "m0", Limited: 3, LimitedAdapters: []string{"a1"}})
	if diff := cmp.Diff([]string{"r0", "r2"}, r.targetsWith("m0")); diff != "" {
		t.Errorf("targets with the model (-want +got):\n%s\norders: %v", diff, r.orders)
	}
	copied := r.targets["r2"].Find("m0")
	if copied == nil || !slices.Equal(copied.Adapters, []string{"a1"}) {
		t.Errorf("the copy is %+v, wanted adapter a1; orders: %v", copied, r.orders)
	}
}

// TestColdModelsAvoidLimitedTargets checks that a model is loaded at a target with a rate
// limit only if there is no other.
func TestColdModelsAvoidLimitedTargets(t *testing.T) {
	r := newFixture(testEngine(4), []string{"m0"}, []string{"m1"})
	r.targets["r0"].OnDisk = []string{"m0", "m2", "m3"}
	r.run(time.Second)
	r.SetLimited("r0", true)
	r.run(8*time.Second, queuedDemand("m2"))
	r.SetLimited("r1", true)
	r.run(8*time.Second, queuedDemand("m3"))
	if diff := cmp.Diff([]string{"r1"}, r.targetsWith("m2")); diff != "" {
		t.Errorf("targets with m2 while one has no limit (-want +got):\n%s\norders: %v", diff, r.orders)
	}
	if len(r.targetsWith("m3")) == 0 {
		t.Errorf("m3 is not loaded though it fits; orders: %v", r.orders)
	}
}

// TestPreloadsModelsWithoutCopy checks that models without any copy are loaded before
// requests ask for them.
func TestPreloadsModelsWithoutCopy(t *testing.T) {
	r := newFixture(testEngine(5), []string{"m0", "m1"}, []string{"m2"})
	r.run(30 * time.Second)
	for m := range r.engine.Models {
		r.buildIndex()
		if !r.index.hasCopy[m] {
			t.Errorf("no copy of %s", m)
		}
	}
	if len(r.violations) > 0 {
		t.Error(r.violations)
	}
}

// TestAdapterEvictsOldest loads adapters one after the other at a target that holds two.
func TestAdapterEvictsOldest(t *testing.T) {
	r := newFixture(testEngine(1), []string{"m0"})
	for _, a := range []string{"a1", "a2", "a3", "a4"} {
		d := queuedDemand("m0")
		d.Adapters = []string{a}
		r.run(time.Second, d)
		if !r.targets["r0"].Has("m0", a) {
			t.Errorf("adapter %s is not loaded: %v", a, r.orders)
		}
	}
	if len(r.violations) > 0 {
		t.Error(r.violations)
	}
}

// TestPendingAdaptersCount reports a target with adapters on their way. It guards against
// orders for one adapter too many, and for one that is being loaded already.
func TestPendingAdaptersCount(t *testing.T) {
	loaded := func(adapters ...string) []fleet.Loaded { return []fleet.Loaded{{Model: "m0", Adapters: adapters}} }
	for _, c := range []struct {
		name    string
		models  []fleet.Loaded
		pending []string
		want    []string
	}{
		{"none", loaded("a1"), nil, []string{"load m0/a3"}},
		{"all slots in use", loaded("a1"), []string{"m0/a2"}, []string{"unload m0/a1"}},
		{"of a model that is not listed", loaded("a1"), []string{"m1/a2"}, []string{"unload m0/a1"}},
		{"the one that is wanted", loaded(), []string{"m0/a3"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(testEngine(2), []string{"m0"})
			target := r.targets["r0"]
			r.Plan(r.now)
			r.ReportDone(r.now, "r0", fleet.Report{
				Identity: target.Identity, Holding: fleet.Holding{Models: c.models}, Pending: c.pending,
			}, nil)
			d := queuedDemand("m0")
			d.Adapters = []string{"a3"}
			r.SetDemand(r.now, "entry", []picker.Demand{d})
			var orders []string
			for _, a := range r.Plan(r.now) {
				if a.Adapter != "" {
					orders = append(orders, fmt.Sprintf("%s %s", a.Operation, a.Model+suffix(a.Adapter)))
				}
			}
			if diff := cmp.Diff(c.want, orders); diff != "" {
				t.Errorf("orders (-want +got):\n%s", diff)
			}
		})
	}
}

// TestReportsOfManyTargets guards against a new holder that asks all targets of a large fleet
// for their reports at once: it is to ask each, some at a time.
func TestReportsOfManyTargets(t *testing.T) {
	r := newFixture(testEngine(1), make([][]string, 3*maxReportsInFlight)...)
	asked := make(map[string]bool)
	for range 4 {
		actions := r.Plan(r.now)
		if len(actions) > maxReportsInFlight {
			t.Fatalf("%d reports at once, at most %d wanted", len(actions), maxReportsInFlight)
		}
		if more := r.Plan(r.now); len(actions) == maxReportsInFlight && len(more) > 0 {
			t.Errorf("%d more while %d are in flight", len(more), len(actions))
		}
		for _, a := range actions {
			asked[a.To.ID] = true
			r.ReportDone(r.now, a.To.ID, fleet.Report{Identity: a.To.Identity}, nil)
		}
		r.now = r.now.Add(planStep)
	}
	if len(asked) != len(r.targets) {
		t.Errorf("%d of %d targets were asked", len(asked), len(r.targets))
	}
}

// TestExpectedTellsTheQueue checks that the expected time grows along the queue for a
// single slot for loads from the weight store.
func TestExpectedTellsTheQueue(t *testing.T) {
	r := newFixture(testEngine(8), []string{"m0"}, []string{"m1"})
	r.storeLimit.loads = 1
	r.run(time.Second, queuedDemand("m4"), queuedDemand("m5"), queuedDemand("m6"))
	e := r.Expected(r.now)
	if e["m4"] > fromStore || e["m5"] < fromStore || e["m6"] < 2*fromStore-time.Second {
		t.Errorf("expected: %v", e)
	}
}

// TestOrdersKeepTheLimits simulates random demand, lost and late orders, restarts, and
// targets that come and go. It checks that no target is ordered to load more than fits
// and that the rate limit of the weight store is kept.
func TestOrdersKeepTheLimits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLimitsFixture()
		r.unloadTime = planStep
		r.runLimits(t)
	})
}

// TestOrdersKeepTheLimitsWithOtherUnloads is the same with targets that unload at once or
// slowly, and that may count an order as accepted that finds the ordered state already
// there. It is a separate test since the recorded failures of TestOrdersKeepTheLimits
// depend on the values that it draws.
func TestOrdersKeepTheLimitsWithOtherUnloads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newLimitsFixture()
		r.heldIsCounted = rapid.Bool().Draw(t, "heldCounts")
		r.unloadTime = time.Duration(rapid.IntRange(0, 500).Draw(t, "unloading")) * time.Millisecond
		r.runLimits(t)
	})
}

func newLimitsFixture() *fixture {
	return newFixture(testEngine(14), []string{"m0", "m1", "m2"}, []string{"m0", "m3", "m4"}, []string{"m5"}, nil)
}

func (r *fixture) runLimits(t *rapid.T) {
	for range rapid.IntRange(5, 30).Draw(t, "steps") {
		r.injectFault(t)
		var demand []picker.Demand
		for range rapid.IntRange(0, 5).Draw(t, "models") {
			d := queuedDemand(fmt.Sprintf("m%d", rapid.IntRange(0, 13).Draw(t, "model")))
			if rapid.Bool().Draw(t, "adapter") {
				d.Adapters = []string{fmt.Sprintf("a%d", rapid.IntRange(1, 5).Draw(t, "name"))}
			}
			demand = append(demand, d)
		}
		r.run(time.Duration(rapid.IntRange(50, 4000).Draw(t, "ms"))*time.Millisecond, demand...)
		r.checkLimits(t)
	}
}

func (r *fixture) injectFault(t *rapid.T) {
	p := r.targets[fmt.Sprintf("r%d", rapid.IntRange(0, 3).Draw(t, "target"))]
	switch rapid.SampledFrom([]string{"none", "lose", "restart", "leave", "list"}).Draw(t, "trouble") {
	case "lose":
		r.loseNext = rapid.IntRange(1, 3).Draw(t, "orders")
		r.lateAfter = time.Duration(rapid.IntRange(100, 12_000).Draw(t, "late")) * time.Millisecond
	case "restart":
		r.restart(p)
	case "leave":
		r.Remove(p.ID)
		r.SetTarget(r.now, p.describe())
	case "list":
		r.SetTarget(r.now, p.describe())
	}
}

// restart ends a target's incarnation; the next one has the same id and holds nothing.
func (r *fixture) restart(p *fakeTarget) {
	p.Born++
	p.Models, p.orders, p.busy, p.reports = nil, 0, nil, nil
	p.recordReport(r.now)
	r.SetTarget(r.now, p.describe())
}

// TestLateLoadAtTheNextIncarnation guards against a load whose reply was lost being
// carried out by the target's next incarnation, when that has accepted as many orders and
// has no memory left.
func TestLateLoadAtTheNextIncarnation(t *testing.T) {
	checkLateLoad(t, 12*time.Second, func(*fixture) {})
}

// checkLateLoad has the reply to a load be lost, which its target's next incarnation carries out
// after a time. then is called once the target has been restarted.
func checkLateLoad(t *testing.T, after time.Duration, then func(*fixture)) {
	t.Helper()
	r := newFixture(testEngine(4), nil)
	p := r.targets["r0"]
	p.OnDisk = []string{"m0", "m1", "m2", "m3"}
	r.SetTarget(r.now, p.describe())
	for _, m := range []string{"m0", "m1"} {
		r.run(3*time.Second, queuedDemand(m))
	}
	adapter := queuedDemand("m0")
	adapter.Adapters = []string{"a1"}
	r.run(time.Second, adapter)
	r.loseNext, r.lateAfter = 1, after
	r.run(planStep, queuedDemand("m3"))
	r.restart(p)
	then(r)
	for _, m := range []string{"m0", "m1", "m2"} {
		r.run(3*time.Second, queuedDemand(m))
	}
	r.run(lostLoadTTL, queuedDemand("m2"))
	if len(r.violations) > 0 {
		t.Error(r.violations)
	}
	if got := r.targetsWith("m2"); len(got) == 0 {
		t.Errorf("m2 was never loaded; orders: %v", r.orders)
	}
}

func (r *fixture) checkLimits(t *rapid.T) {
	if len(r.violations) > 0 {
		t.Fatal(r.violations)
	}
	most := int(r.engine.LoadsPerSec * 5)
	for i := range r.storeLoadTimes {
		n := 0
		for _, b := range r.storeLoadTimes[i:] {
			if b.Sub(r.storeLoadTimes[i]) < 5*time.Second {
				n++
			}
		}
		if n > most {
			t.Fatalf("%d loads from the weight store in five seconds", n)
		}
	}
}
