package picker

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// chooseLeast chooses the target that has the least load according to the snapshot.
func chooseLeast(p *Picker, q Request) *Reservation {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.countArrival(&q)
	var best *target
	for _, r := range p.copiesFor(&q, true) {
		if best == nil || r.sharedLoad() < best.sharedLoad() {
			best = r
		}
	}
	best.inFlight++
	best.prefilling++
	best.inFlightByModel = map[string]int{q.Model: best.inFlight}
	return &Reservation{Target: best.Target, picker: p, state: best, model: q.Model}
}

// TestNoHerd lets 300 instances send at an even rate with snapshots of up to 0.8 s. It
// guards against all of them choosing the target that looked empty.
func TestNoHerd(t *testing.T) {
	for _, c := range []struct {
		name      string
		mean      time.Duration
		perSecond float64
		// most bounds the busiest target's requests over the mean, overLeast the same over
		// that of choosing the least loaded, and overAlone over that without snapshots.
		most, overLeast, overAlone float64
	}{
		{"short requests", time.Second, 400, 1.5, 0.4, 1.05},
		{"long requests", 5 * time.Second, 80, 1.4, 0.65, 0.95},
	} {
		t.Run(c.name, func(t *testing.T) {
			measure := func(change func(*world)) float64 {
				w := newWorld(300, 20, c.mean)
				w.interval = 780 * time.Millisecond
				change(w)
				w.run(4*c.mean, c.perSecond, everywhere)
				return w.meanBusiest(8*time.Second, c.perSecond, everywhere)
			}
			shared := measure(func(*world) {})
			least := measure(func(w *world) { w.choose = chooseLeast })
			alone := measure(func(w *world) { w.isConnected = false })
			report(t, shared > c.most || shared > c.overLeast*least || shared > c.overAlone*alone,
				"busiest over mean %.2f, least loaded %.2f, without snapshots %.2f", shared, least, alone)
		})
	}
}

// TestSnapshotLost cuts all instances off from the holder and connects them again. It
// guards against choices by a snapshot that is too old, and against a change of mode that
// is not observed.
func TestSnapshotLost(t *testing.T) {
	w := newWorld(6, 4, time.Second)
	var got []LoadChange
	w.pickers[0].onLoadChange = func(c LoadChange) { got = append(got, c) }
	w.run(4*time.Second, 40, everywhere)
	w.isConnected = false
	w.run(4*time.Second, 40, everywhere)
	w.isConnected = true
	w.run(2*time.Second, 40, everywhere)
	var shared []bool
	for _, c := range got {
		shared = append(shared, c.Shared)
		if c.Shared && c.Age > time.Second || !c.Shared && c.Age >= 0 && c.Age < load.MaxAge {
			t.Errorf("change %+v", c)
		}
	}
	if diff := cmp.Diff([]bool{false, true, false, true}, shared); diff != "" {
		t.Errorf("modes (-want +got):\n%s", diff)
	}
	if w.refused > 0 {
		t.Errorf("%d requests found no target", w.refused)
	}
}

// TestAloneAsBefore guards against a change of the choice without a snapshot: the target of
// the lowest cost by this instance's own observations is chosen, and pace has no effect.
func TestAloneAsBefore(t *testing.T) {
	w := newWorld(1, 3, time.Second)
	w.isConnected = false
	p := w.pickers[0]
	for _, r := range p.targets {
		p.setReportedPace(w.timer.Now(), r, float64(r.index))
	}
	for i := range 9 {
		s := p.acquireNow(Request{Service: "llm", Model: "m", Deadline: w.timer.Now().Add(time.Second)})
		s.ResponseBegan()
		if want := float64(i / 3); s.Load != want {
			t.Errorf("request %d goes to a target with %g requests, want %g", i, s.Load, want)
		}
	}
}

// TestFailingTarget has one of six targets fail all requests at once. It guards against a
// target that attracts requests because it looks empty.
func TestFailingTarget(t *testing.T) {
	const perSecond = 100
	w := newWorld(30, 6, 2*time.Second)
	w.run(5*time.Second, perSecond, everywhere)
	r := w.targets[0]
	r.isFailing, r.capacity = true, func() int { return r.Slots }
	served := r.served
	w.run(10*time.Second, perSecond, everywhere)
	failed := r.served - served
	share := float64(failed) / (10 * perSecond)
	report(t, share > 0.065, "the failing target got %d of %d requests, a share of %.2f", failed, int(10*perSecond), share)
	r.isFailing = false
	w.run(15*time.Second, perSecond, everywhere)
	if r.running < 16 {
		t.Errorf("%d requests at the target after it has recovered", r.running)
	}
}

// TestUnevenDemand has 3 of 84 instances send nine of ten requests. It guards against
// targets that only the few busy instances know to be full.
func TestUnevenDemand(t *testing.T) {
	const perSecond = 100
	measure := func(isConnected bool) float64 {
		w := newWorld(84, 12, 4*time.Second)
		w.interval, w.isConnected = 520*time.Millisecond, isConnected
		busy := func(i int) bool { return i < 3 || w.random.IntN(250) == 0 }
		w.run(12*time.Second, perSecond, busy)
		return w.meanBusiest(8*time.Second, perSecond, busy)
	}
	shared, alone := measure(true), measure(false)
	report(t, shared > 1.25, "busiest over mean %.2f, without snapshots %.2f", shared, alone)
}

// BenchmarkChoose guards against a choice among 140 targets of 4,000 that takes more than
// 5 us or allocates for each target.
func BenchmarkChoose(b *testing.B) {
	clock := timer.NewVirtual(time.Unix(1_000_000, 0))
	p := New(clock, "a1", regions)
	var updates []Update
	counts := make([]byte, 4000)
	for i := range counts {
		model := "other"
		if i%28 == 0 && i < 28*140 {
			model = "m"
		}
		r := engineTarget(fmt.Sprintf("e%d", i), []string{"a1", "a2", "b1"}[i%3], "m0", "m1", model)
		r.Slots = 255
		u := NewUpdate(&r, r.Models)
		u.Index = i + 1
		updates = append(updates, u)
		counts[i] = byte(i * 7 % 48)
	}
	p.ApplyUpdates(updates, nil)
	p.ApplyLoad(1, &load.Snapshot{
		AgeMS: 400, Counts: counts, Rates: map[string]map[string]float64{"llm": {"m": 300}},
	}, clock.Now())
	for _, r := range p.targets {
		p.setReportedPace(clock.Now(), r, 1.5)
	}
	q := Request{Service: "llm", Model: "m", Deadline: clock.Now().Add(time.Second)}
	b.ReportAllocs()
	for b.Loop() {
		s, err := p.Acquire(context.Background(), q)
		if err != nil {
			b.Fatal(err)
		}
		s.Release(Outcome{})
	}
}
