package bench

import (
	"fmt"
	"io"
	"slices"
	"text/tabwriter"
	"time"
)

// Series is several runs of one schedule under different seeds.
type Series struct {
	Runs   []*Report `json:"runs"`
	Spread []Spread  `json:"spread"`
}

// Spread is the least, the middle and the greatest of a figure over the runs.
type Spread struct {
	Figure string  `json:"figure"`
	Unit   string  `json:"unit"`
	Least  float64 `json:"least"`
	Middle float64 `json:"middle"`
	Most   float64 `json:"most"`
	// Runs is the number of runs that have the figure.
	Runs int `json:"runs"`
}

// figure reads one figure of a report, and false if it has none.
type figure struct {
	name, unit string
	of         func(*Report) (float64, bool)
}

// figures are those that a series compares.
var figures = []figure{
	{"cold first token p50", "ms", timeOf(ShotCold, func(t Times) time.Duration { return t.P50 })},
	{"cold first token p95", "ms", timeOf(ShotCold, func(t Times) time.Duration { return t.P95 })},
	{"cold first token p99", "ms", timeOf(ShotCold, func(t Times) time.Duration { return t.P99 })},
	{"warm first token p95", "ms", timeOf(ShotWarm, func(t Times) time.Duration { return t.P95 })},
	{"not served", "calls", func(r *Report) (float64, bool) { return float64(r.unserved()), true }},
	{"accelerators idle", "%", shareOf(func(a *Accelerators) float64 { return 100 * a.Idle })},
	{"loads", "loads", shareOf(func(a *Accelerators) float64 { return float64(a.Loads) })},
}

func timeOf(kind ShotKind, pick func(Times) time.Duration) func(*Report) (float64, bool) {
	return func(r *Report) (float64, bool) {
		k := r.Kinds[kind]
		if k == nil || k.First.Count == 0 {
			return 0, false
		}
		return float64(pick(k.First)) / float64(time.Millisecond), true
	}
}

func shareOf(pick func(*Accelerators) float64) func(*Report) (float64, bool) {
	return func(r *Report) (float64, bool) {
		if r.Accelerators == nil {
			return 0, false
		}
		return pick(r.Accelerators), true
	}
}

// unserved counts the calls without an answer; a repeat that is told that the
// first call is under way is none.
func (r *Report) unserved() int {
	n := 0
	for _, k := range r.Kinds {
		n += k.Requests - k.Verdicts[Served] - k.Verdicts[Repeated]
	}
	return n
}

// NewSeries compares the figures of runs.
func NewSeries(runs []*Report) Series {
	s := Series{Runs: runs}
	for _, f := range figures {
		var values []float64
		for _, r := range runs {
			if v, ok := f.of(r); ok {
				values = append(values, v)
			}
		}
		if len(values) == 0 {
			continue
		}
		slices.Sort(values)
		s.Spread = append(s.Spread, Spread{
			Figure: f.name, Unit: f.unit, Runs: len(values),
			Least: values[0], Middle: median(values), Most: values[len(values)-1],
		})
	}
	return s
}

func median(sorted []float64) float64 {
	n := len(sorted)
	return (sorted[(n-1)/2] + sorted[n/2]) / 2
}

// Broken returns the promises that any run saw broken.
func (s Series) Broken() []string {
	var broken []string
	for _, r := range s.Runs {
		for _, text := range r.Broken() {
			broken = append(broken, fmt.Sprintf("seed %d: %s", r.Seed, text))
		}
	}
	return broken
}

// Print writes the spread of each figure as one table.
func (s Series) Print(w io.Writer) error {
	fmt.Fprintf(w, "%d runs\n\n", len(s.Runs))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "figure\tleast\tmiddle\tmost\tunit\truns\t")
	for _, f := range s.Spread {
		fmt.Fprintf(t, "%s\t%.1f\t%.1f\t%.1f\t%s\t%d\t\n", f.Figure, f.Least, f.Middle, f.Most, f.Unit, f.Runs)
	}
	return t.Flush()
}
