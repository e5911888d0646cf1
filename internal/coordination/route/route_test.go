package route_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// harness is a table with a virtual clock.
type harness struct {
	*route.Table
	clock *timer.Virtual
	seq   map[string]uint64
}

func newHarness() *harness {
	clock := timer.NewVirtual(time.Unix(1000, 0))
	return &harness{Table: route.NewTable("bul-a", "bulacan", clock, 1), clock: clock, seq: make(map[string]uint64)}
}

func row(id string, change ...func(*ports.Replica)) ports.Replica {
	r := ports.Replica{
		ID: id, Model: "m", Target: "t-" + id, Zone: "bul-a", Region: "bulacan", Phase: ports.PhaseReady,
		Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Concurrency: 10,
	}
	for _, f := range change {
		f(&r)
	}
	return r
}

func in(zone, region string) func(*ports.Replica) {
	return func(r *ports.Replica) { r.Zone, r.Region = zone, region }
}

func (r *harness) applyRows(source string, rows ...ports.Replica) {
	r.seq[source]++
	r.Apply(source, ports.TableDelta{Stream: 1, Seq: r.seq[source], Replicas: rows})
}

func (r *harness) removeRows(source string, ids ...string) {
	r.seq[source]++
	r.Apply(source, ports.TableDelta{Stream: 1, Seq: r.seq[source], Removed: ids})
}

// pick takes a slot and returns the id of the replica, or the status.
func (r *harness) pick(q route.Query) (route.Choice, string) {
	q.Key = "m"
	c, status := r.Pick(q, r.clock.Now())
	if status != route.Picked {
		return c, [...]string{"picked", "busy", "loading", "cold"}[status]
	}
	return c, c.Replica.ID
}

// pickCounts picks n times, releases each slot after hold further picks, and returns the
// number of picks by replica.
func (r *harness) pickCounts(n, hold int, q route.Query) map[string]int {
	got := make(map[string]int)
	var held []route.Choice
	for range n {
		c, name := r.pick(q)
		got[name]++
		if c.Replica.ID != "" {
			held = append(held, c)
		}
		if len(held) > hold {
			held[0].Release(r.clock.Now(), route.Result{})
			held = held[1:]
		}
	}
	for _, c := range held {
		c.Release(r.clock.Now(), route.Result{})
	}
	return got
}

// TestStatuses checks the results of picks, with each status.
func TestStatuses(t *testing.T) {
	loading := func(p *ports.Replica) { p.Phase = ports.PhaseLoading }
	leaving := func(p *ports.Replica) { p.Leaving = true }
	one := func(p *ports.Replica) { p.Concurrency = 1 }
	adapter := func(p *ports.Replica) { p.Adapters = []string{"river"} }
	table := []struct {
		name  string
		rows  []ports.Replica
		query route.Query
		want  []string
	}{
		{"nothing", nil, route.Query{}, []string{"cold"}},
		{"loading", []ports.Replica{row("a", loading)}, route.Query{}, []string{"loading"}},
		{"full", []ports.Replica{row("a", one)}, route.Query{}, []string{"a", "busy"}},
		{"leaving", []ports.Replica{row("a", leaving)}, route.Query{}, []string{"cold"}},
		{"excluded", []ports.Replica{row("a")}, route.Query{Exclude: []string{"a"}}, []string{"cold"}},
		{"adapter elsewhere", []ports.Replica{row("a"), row("b", adapter)}, route.Query{Adapter: "river"}, []string{"b", "b"}},
		{"adapter nowhere", []ports.Replica{row("a")}, route.Query{Adapter: "river"}, []string{"loading"}},
		{"own zone, then region, then beyond", []ports.Replica{
			row("far", one, in("pam-a", "pampanga")), row("near", one, in("bul-b", "bulacan")), row("own", one),
		}, route.Query{}, []string{"own", "near", "far", "busy"}},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			r := newHarness()
			if len(c.rows) > 0 {
				r.applyRows("s", c.rows...)
			}
			var got []string
			for range c.want {
				_, name := r.pick(c.query)
				got = append(got, name)
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("picks (-want +got):\n%s", diff)
			}
		})
	}
}

// TestStaleLoadReportDoesNotFlood lets a target always report that it is idle: the calls that
// this entry has in flight still count, so that the target does not get all picks.
func TestStaleLoadReportDoesNotFlood(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"), row("b"))
	r.clock.Advance(10 * time.Second)
	got := make(map[string]int)
	for range 16 {
		r.ApplyLoad("t-a", false, 0, []route.Load{{Replica: "a"}})
		_, name := r.pick(route.Query{})
		got[name]++
	}
	if got["a"] < 6 || got["a"] > 10 {
		t.Errorf("picks %v", got)
	}
}

// TestReportedLoad checks that a report of calls of other entries reduces the picks of a
// replica, and that it is ignored once it is old.
func TestReportedLoad(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"), row("b"))
	r.clock.Advance(10 * time.Second)
	r.ApplyLoad("t-a", false, 0, []route.Load{{Replica: "a", Running: 8}})
	got := r.pickCounts(8, 8, route.Query{})
	if got["a"] > 2 {
		t.Errorf("picks %v with 8 of 10 slots of a taken by others", got)
	}
	r.clock.Advance(time.Minute)
	if got := r.pickCounts(100, 4, route.Query{}); got["a"] < 30 {
		t.Errorf("picks %v long after the report", got)
	}
}

// TestSlowStart checks that a new replica gets less than its share at first.
func TestSlowStart(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"))
	r.clock.Advance(time.Minute)
	r.applyRows("s", row("b"))
	early := r.pickCounts(200, 6, route.Query{})
	r.clock.Advance(10 * time.Second)
	late := r.pickCounts(200, 6, route.Query{})
	if early["b"] > 60 || late["b"] < 80 {
		t.Errorf("a new replica got %d of 200 picks, later %d", early["b"], late["b"])
	}
}

// TestEjection checks that a failing replica is ejected for a time, and that ejection is
// ignored if more than half of the replicas fail.
func TestEjection(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"), row("b"), row("c"), row("d"))
	r.clock.Advance(time.Minute)
	fail := func(bad map[string]bool, n int) map[string]int {
		got := make(map[string]int)
		for range n {
			c, name := r.pick(route.Query{})
			got[name]++
			c.Release(r.clock.Now(), route.Result{Failed: bad[name]})
		}
		return got
	}
	fail(map[string]bool{"a": true}, 60)
	if got := fail(nil, 100); got["a"] != 0 {
		t.Errorf("picks %v after a failed", got)
	}
	r.clock.Advance(6 * time.Second)
	if got := fail(nil, 100); got["a"] == 0 {
		t.Errorf("picks %v after the ejection", got)
	}
	fail(map[string]bool{"a": true, "b": true, "c": true, "d": true}, 200)
	got := fail(nil, 400)
	if len(got) != 4 {
		t.Errorf("picks %v after all failed", got)
	}
}

// TestLeavingTargetStaysOutOfUse checks that a target that reported that it is leaving is not
// picked again, even if a later row, which may be older than the report, shows it as ready.
func TestLeavingTargetStaysOutOfUse(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"))
	c, _ := r.pick(route.Query{})
	c.Release(r.clock.Now(), route.Result{Failed: true, Leaving: true})
	r.applyRows("s", row("a"))
	if _, name := r.pick(route.Query{}); name != "cold" {
		t.Errorf("picked %s", name)
	}
}

// TestTakeoverKeepsSuccessorRows applies a new owner's rows before the old owner's removal of
// the same replica: the replica stays.
func TestTakeoverKeepsSuccessorRows(t *testing.T) {
	r := newHarness()
	r.applyRows("old", row("a"), row("b"))
	r.applyRows("new", row("a"))
	r.removeRows("old", "a")
	if _, name := r.pick(route.Query{Exclude: []string{"b"}}); name != "a" {
		t.Errorf("a is %s after its predecessor's removal", name)
	}
	r.RemoveSource("old")
	if _, name := r.pick(route.Query{Exclude: []string{"a"}}); name != "cold" {
		t.Errorf("b is %s after its only source was dropped", name)
	}
}

// TestPrefixAffinity checks that prompts with the same prefix go to one replica while its load
// is not much higher than that of the others.
func TestPrefixAffinity(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"), row("b"), row("c"))
	r.clock.Advance(time.Minute)
	if got := r.pickCounts(50, 1, route.Query{Prefix: 7}); len(got) != 1 {
		t.Errorf("a prefix went to %v", got)
	}
	if got := r.pickCounts(50, 8, route.Query{Prefix: 8}); len(got) < 2 {
		t.Errorf("8 calls at a time went to %v", got)
	}
}

// TestCacheEvents checks that cache events are applied and that a gap clears the prefixes of
// the target.
func TestCacheEvents(t *testing.T) {
	r := newHarness()
	r.applyRows("s", row("a"), row("b"))
	r.clock.Advance(time.Minute)
	event := func(seq, prefix uint64, evicted bool) route.CacheEvent {
		return route.CacheEvent{Seq: seq, Replica: "a", Prefix: prefix, Evicted: evicted}
	}
	apply := func(boot string, first uint64, events ...route.CacheEvent) bool {
		return r.ApplyEvents(route.CacheEvents{Target: "t-a", Boot: boot, First: first, Events: events})
	}
	hit := func(prefix uint64) bool {
		c, _ := r.pick(route.Query{Prefix: prefix, Exclude: []string{"b"}})
		c.Release(r.clock.Now(), route.Result{})
		return c.PrefixHit
	}
	got := []bool{
		apply("x", 1, event(1, 11, false), event(2, 12, false)), hit(11),
		apply("x", 1, event(2, 12, false), event(3, 11, true)), hit(11),
		// A pick adds its prefix to the index, so the next steps use new prefixes.
		apply("x", 6, event(6, 13, false)), hit(12),
		apply("x", 6, event(7, 14, false), event(9, 15, false)), hit(14),
		apply("y", 1, event(1, 16, false)), hit(15), hit(16),
	}
	want := []bool{false, true, false, false, true, false, true, false, true, false, true}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("gaps and hits (-want +got):\n%s", diff)
	}
}

// TestTableAgainstOracle applies random deltas from two sources and compares the possible
// picks with a plain map.
func TestTableAgainstOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newHarness()
		oracle := make(map[string]string)
		inFlight := make(map[string]int)
		var held []route.Choice
		sources := rapid.SampledFrom([]string{"s1", "s2"})
		ids := rapid.SampledFrom([]string{"a", "b", "c", "d"})
		t.Repeat(map[string]func(*rapid.T){
			"set": func(t *rapid.T) {
				source, id := sources.Draw(t, "source"), ids.Draw(t, "id")
				r.applyRows(source, row(id, func(p *ports.Replica) { p.Concurrency = 2 }))
				oracle[id] = source
			},
			"remove": func(t *rapid.T) {
				source, id := sources.Draw(t, "source"), ids.Draw(t, "id")
				r.removeRows(source, id)
				if oracle[id] == source {
					delete(oracle, id)
					delete(inFlight, id)
				}
			},
			"drop": func(t *rapid.T) {
				source := sources.Draw(t, "source")
				r.RemoveSource(source)
				r.seq[source] = 0
				for id, from := range oracle {
					if from == source {
						delete(oracle, id)
						delete(inFlight, id)
					}
				}
			},
			"stale": func(t *rapid.T) {
				source := sources.Draw(t, "source")
				if r.seq[source] > 0 {
					r.Apply(source, ports.TableDelta{Stream: 1, Seq: r.seq[source], Removed: []string{"a", "b", "c", "d"}})
				}
			},
			"pick": func(t *rapid.T) {
				c, name := r.pick(route.Query{})
				room := 0
				for id := range oracle {
					if inFlight[id] < 2 {
						room++
					}
				}
				switch {
				case c.Replica.ID != "":
					if oracle[name] == "" || inFlight[name] >= 2 {
						t.Fatalf("picked %s of %v with %v in flight", name, oracle, inFlight)
					}
					inFlight[name]++
					held = append(held, c)
				case room > 0:
					t.Fatalf("%s though %d have room", name, room)
				case (len(oracle) == 0) != (name == "cold"):
					t.Fatalf("%s of %v", name, oracle)
				}
			},
			"done": func(t *rapid.T) {
				if len(held) == 0 {
					t.Skip("nothing in flight")
				}
				c := held[0]
				held = held[1:]
				c.Release(r.clock.Now(), route.Result{})
				// The calls of a replica that was removed meanwhile are not counted any more.
				if r.InFlight("m") == total(inFlight)-1 {
					inFlight[c.Replica.ID]--
				}
			},
		})
	})
}

func total(counts map[string]int) int {
	sum := 0
	for _, n := range counts {
		sum += n
	}
	return sum
}

// BenchmarkPick picks and releases slots of one model's replicas.
func BenchmarkPick(b *testing.B) {
	for _, replicas := range []int{1, 3, 20} {
		b.Run(fmt.Sprint("replicas=", replicas), func(b *testing.B) {
			r := newHarness()
			for i := range replicas {
				r.applyRows("s", row(fmt.Sprint("r", i)))
			}
			random := rand.New(rand.NewPCG(1, 1))
			now := r.clock.Now()
			b.ReportAllocs()
			for b.Loop() {
				c, _ := r.Pick(route.Query{Key: "m", Prefix: random.Uint64N(100) + 1}, now)
				c.Release(now, route.Result{})
			}
		})
	}
}

// BenchmarkPickParallel picks from all processors among many models.
func BenchmarkPickParallel(b *testing.B) {
	r := newHarness()
	const models = 970
	for i := range models {
		for j := range 4 {
			r.applyRows("s", row(fmt.Sprintf("r%d-%d", i, j), func(p *ports.Replica) { p.Model = fmt.Sprint("m", i) }))
		}
	}
	keys := make([]string, models)
	for i := range keys {
		keys[i] = fmt.Sprint("m", i)
	}
	now := r.clock.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		random := rand.New(rand.NewPCG(rand.Uint64(), 1))
		for pb.Next() {
			c, status := r.Pick(route.Query{Key: keys[random.IntN(models)]}, now)
			if status == route.Picked {
				c.Release(now, route.Result{})
			}
		}
	})
}

// fakeCrossing is a link that is open for the priorities that are true.
type fakeCrossing map[link.Priority]bool

// Open reports whether the link is open for the priority.
func (c fakeCrossing) Open(p link.Priority) bool { return c[p] }

// Wait returns a minute if the link is closed for the priority.
func (c fakeCrossing) Wait(p link.Priority) time.Duration {
	if c[p] {
		return 0
	}
	return time.Minute
}

// TestUsedUpLinkKeepsInRegion checks that while the link is used up, requests stay in their own
// region or get no replica, and that the listener is called for those when the link opens.
func TestUsedUpLinkKeepsInRegion(t *testing.T) {
	open := fakeCrossing{link.Interactive: true}
	clock := timer.NewVirtual(time.Unix(1000, 0))
	var notified []string
	table := route.NewTable("bul-a", "bulacan", clock, 1, route.WithLinkGate(open),
		route.WithListener(func(key string) { notified = append(notified, key) }))
	r := &harness{Table: table, clock: clock, seq: make(map[string]uint64)}
	r.applyRows("zone/pam-a", row("far", in("pam-a", "pampanga")))
	if _, got := r.pick(route.Query{Priority: link.Interactive}); got != "far" {
		t.Errorf("interactive: %s", got)
	}
	if _, got := r.pick(route.Query{Priority: link.Deferrable}); got != "busy" {
		t.Errorf("deferrable: %s", got)
	}
	wait := func(p link.Priority) time.Duration { return r.LinkWait(route.Query{Key: "m", Priority: p}) }
	if diff := cmp.Diff([]time.Duration{0, time.Minute}, []time.Duration{wait(link.Interactive), wait(link.Deferrable)}); diff != "" {
		t.Errorf("times until the link opens (-want +got):\n%s", diff)
	}
	r.applyRows("s", row("near", in("bul-b", "bulacan")))
	if got := wait(link.Deferrable); got != 0 {
		t.Errorf("wait of %v with a replica in the region", got)
	}
	if _, got := r.pick(route.Query{Priority: link.Deferrable}); got != "near" {
		t.Errorf("deferrable with a replica in the region: %s", got)
	}
	notified = nil
	table.LinkOpened()
	table.LinkOpened()
	if diff := cmp.Diff([]string{"m"}, notified); diff != "" {
		t.Errorf("notified keys (-want +got):\n%s", diff)
	}
}
