package load

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

var start = time.Unix(1_000_000, 0)

// TestIndexIsStable guards against counts that are taken for those of another target: an
// index must stay with its target, and must not be assigned again soon after a release.
func TestIndexIsStable(t *testing.T) {
	x := NewIndex()
	first, second := x.Assign("a", 8), x.Assign("b", 8)
	if first != 1 || second != 2 || x.Assign("a", 8) != first {
		t.Fatalf("indexes %d, %d, again %d", first, second, x.Assign("a", 8))
	}
	x.Release("a")
	for i := range reuseDelay {
		id := fmt.Sprint(i)
		if got := x.Assign(id, 8); got == first {
			t.Fatalf("index assigned again after %d releases", i)
		}
		x.Release(id)
	}
	if got := x.Assign("c", 8); got != first {
		t.Errorf("index %d, want the released %d", got, first)
	}
}

// TestCountsRoundTrip guards against an encoding that loses or moves counts.
func TestCountsRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		want := rapid.MapOf(rapid.IntRange(1, 4000), rapid.IntRange(1, 300)).Draw(t, "counts")
		dense := make([]int, 4001)
		for i, n := range want {
			dense[i] = n
		}
		got := make(map[int]int)
		for i, n := range newCounts(dense).all() {
			got[i] = n
		}
		if diff := cmp.Diff(want, got); diff != "" {
			t.Fatalf("counts (-want +got):\n%s", diff)
		}
	})
}

// FuzzCounts guards against a crash of the holder by an invalid report.
func FuzzCounts(f *testing.F) {
	f.Add([]byte{1, 2, 0xff})
	f.Fuzz(func(t *testing.T, data []byte) {
		for i, n := range Counts(data).all() {
			if i < 0 || i > maxIndex || n < 0 || n > maxCount {
				t.Fatalf("index %d, count %d", i, n)
			}
		}
	})
}

// instance is a View with its requests in flight.
type instance struct {
	*View
	name     string
	inFlight []int
}

func newInstance(name string, inFlight ...int) *instance {
	v := NewView(start)
	v.SetTerm(7)
	return &instance{View: v, name: name, inFlight: append([]int{0}, inFlight...)}
}

func (i *instance) report(s *Sums, now time.Time) {
	r := i.Report(now, &Own{InFlight: i.inFlight})
	s.Record(now, i.name, &r)
}

// TestOthersExcludeOwn guards against requests that count twice, in the snapshot and in
// the instance's own count.
func TestOthersExcludeOwn(t *testing.T) {
	s := NewSums(7, NewIndex())
	x, y := newInstance("x", 3, 0, 1), newInstance("y", 2, 300)
	x.report(s, start)
	y.report(s, start)
	now := start.Add(settleTime)
	x.inFlight = []int{0, 5, 0, 0}
	x.report(s, now)
	snap := s.Snapshot(now, "x")
	if diff := cmp.Diff([]byte{7, 255}, snap.Counts); diff != "" {
		t.Errorf("sums (-want +got):\n%s", diff)
	}
	x.report(s, now.Add(time.Millisecond)) // not in the snapshot
	others, ok := x.Apply(snap, now)
	if diff := cmp.Diff([]int{0, 2, 255}, others); diff != "" || !ok {
		t.Errorf("others, %v (-want +got):\n%s", ok, diff)
	}
	if age, ok := x.Age(now); !ok || age != settleTime/2 {
		t.Errorf("age %s, %v; want the mean of the reports' ages", age, ok)
	}
}

// TestExpiredReports guards against requests of instances that no longer exist.
func TestExpiredReports(t *testing.T) {
	s := NewSums(7, NewIndex())
	newInstance("gone", 9).report(s, start)
	now := start.Add(MaxAge + time.Millisecond)
	newInstance("here", 1).report(s, now)
	if diff := cmp.Diff([]byte{1}, s.Snapshot(now, "here").Counts); diff != "" {
		t.Errorf("sums (-want +got):\n%s", diff)
	}
}

// TestUnusableReportsAndSnapshots guards against counts that belong to other targets or
// to an unknown time.
func TestUnusableReportsAndSnapshots(t *testing.T) {
	s := NewSums(8, NewIndex())
	x := newInstance("x", 4)
	x.report(s, start)
	if snap := s.Snapshot(start, "x"); snap != nil {
		t.Errorf("snapshot %+v before the other instances have reported", snap)
	}
	now := start.Add(settleTime)
	if snap := s.Snapshot(now, "x"); snap != nil {
		t.Errorf("snapshot %+v with counts of another term", snap)
	}
	x.SetTerm(8)
	x.report(s, now)
	snap := s.Snapshot(now, "x")
	if _, ok := x.Apply(snap, now); !ok {
		t.Fatal("snapshot not applied")
	}
	if _, ok := x.Apply(snap, now.Add(-time.Second)); ok {
		t.Error("an older snapshot was applied")
	}
	unknown := *snap
	unknown.Seq = 3
	if _, ok := x.Apply(&unknown, now.Add(time.Second)); ok {
		t.Error("a snapshot with an unknown report was applied")
	}
	if _, ok := x.Age(now.Add(MaxAge + 1)); ok {
		t.Error("the snapshot is used although it is too old")
	}
}

// TestRates guards against arrival rates that lag behind a burst or outlast it.
func TestRates(t *testing.T) {
	s := NewSums(7, NewIndex())
	m := Model{Service: "llm", Model: "m"}
	x := newInstance("x", 1)
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		s.AddArrivals(now, m, 4)
		x.report(s, now)
	}
	if got := s.Snapshot(now, "x").Rates["llm"]["m"]; math.Abs(got-40) > 4 {
		t.Errorf("rate %.1f, want about 40", got)
	}
	now = now.Add(6 * rateHalfLife)
	x.report(s, now)
	if got := s.Snapshot(now, "x").Rates["llm"]["m"]; got > 2 {
		t.Errorf("rate %.1f after the end", got)
	}
}

// TestChooseLevels guards against herds: the probabilities must be what is lacking to the
// common level that n requests bring.
func TestChooseLevels(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		options := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Place {
			return Place{
				Start: rapid.Float64Range(0, 60).Draw(t, "start"), Width: rapid.Float64Range(0.1, 10).Draw(t, "width"),
			}
		}), 1, 20).Draw(t, "options")
		n := rapid.Float64Range(0.5, 200).Draw(t, "n")
		level := Level(options, n)
		total := 0.0
		for i := range options {
			total += options[i].room(level)
		}
		if math.Abs(total-n) > 1e-6*(n+1) {
			t.Fatalf("level %g has room for %g requests, want %g", level, total, n)
		}
		point := rapid.Float64Range(0, 0.999999).Draw(t, "point")
		i, share := Choose(options, n, point)
		want := options[i].room(level) / total
		if math.Abs(share-want) > 1e-6 || share <= 0 {
			t.Fatalf("option %d with probability %g, want %g", i, share, want)
		}
	})
}

// TestPaceFollows guards against a pace that lags behind, flutters, or outlasts the reports.
func TestPaceFollows(t *testing.T) {
	now := start
	var c Pace
	observe := func(figures ...float64) (changes int) {
		last := c.Current(now)
		for i := range 300 {
			now = now.Add(10 * time.Millisecond)
			c.Observe(now, figures[i%len(figures)], Told)
			if value := c.Current(now); value != last {
				changes, last = changes+1, value
			}
		}
		return changes
	}
	observe(1, 3)
	if changes := observe(1, 3); changes > 1 || math.Abs(c.Current(now)-2) > 0.4 {
		t.Errorf("pace %.2f after %d changes, want a steady 2", c.Current(now), changes)
	}
	observe(4)
	if got := c.Current(now); math.Abs(got-4) > 0.6 {
		t.Errorf("pace %.2f after 3 s, want 4", got)
	}
	if got := c.Current(now.Add(5 * paceDecay)); got > 1.2 {
		t.Errorf("pace %.2f long after the last response", got)
	}
}

// TestPacesOfAll guards against a pace that only the instance knows that has observed it.
func TestPacesOfAll(t *testing.T) {
	s := NewSums(7, NewIndex())
	x, y := newInstance("x"), newInstance("y")
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		own := Own{}
		var f Figures
		f.Add(3)
		own.AddPace(2, f, Told)
		r := x.Report(now, &own)
		s.Record(now, "x", &r)
		y.report(s, now)
	}
	if _, ok := y.Apply(s.Snapshot(now, "y"), now); !ok || math.Abs(y.Pace(2)-3) > 0.3 || y.Pace(1) != 1 {
		t.Errorf("paces %.2f and %.2f, want 3 and 1", y.Pace(2), y.Pace(1))
	}
}
