package vday

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"text/tabwriter"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/policy"

	"github.com/gravitational/trace"
)

// Cmd compares policies over days of load on virtual time.
type Cmd struct {
	Deployment string        `help:"Only this deployment: pulilan or lakeshore." placeholder:"NAME"`
	Seeds      int           `help:"Number of days, each drawn from a seed of its own." default:"5"`
	FirstSeed  uint64        `help:"Seed of the first day." default:"1"`
	Trace      string        `help:"JSON trace of one day to use in place of drawn ones; needs --deployment." type:"path" placeholder:"FILE"`
	HostGiB    *uint64       `help:"Checkpoints cached in each target's memory, in GiB." name:"host-gib" placeholder:"N"`
	DiskGiB    *uint64       `help:"Checkpoints cached on each target's disk, in GiB." name:"disk-gib" placeholder:"N"`
	StoreLoads int           `help:"Loads that the weight store allows a second and at once, 0 for the deployment's." default:"0"`
	Owner      bool          `help:"Drive the shard owner itself instead of the policies alone, baseline and chosen policies only, over a part of each day; takes minutes."`
	From       time.Duration `help:"Begin of the part of the day for --owner." default:"10h"`
	To         time.Duration `help:"End of the part of the day for --owner." default:"12h"`
	JSON       bool          `help:"Print JSON." name:"json"`
	Plot       string        `help:"Also draw the figures into this SVG or PNG file." type:"path" placeholder:"FILE"`
}

// Run prints the comparison to w.
func (c *Cmd) Run(w io.Writer) error {
	all, err := c.compare()
	if err != nil {
		return trace.Wrap(err)
	}
	if c.Plot != "" {
		if err := Plot(c.Plot, all); err != nil {
			return trace.Wrap(err)
		}
	}
	if c.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(all))
	}
	return trace.Wrap(Table(w, all))
}

// maxSeeds bounds the days of one comparison.
const maxSeeds = 100

func (c *Cmd) compare() ([]Comparison, error) {
	if c.Seeds < 1 || c.Seeds > maxSeeds {
		return nil, trace.BadParameter("--seeds is %d, accepted is 1 to %d", c.Seeds, maxSeeds)
	}
	if c.Owner && (c.From < ownedReady || c.To <= c.From || c.To > dayLength) {
		return nil, trace.BadParameter("--from is %v and --to %v, accepted is a part of the day that begins after %v", c.From, c.To, ownedReady)
	}
	shapes, err := c.shapes()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	var all []Comparison
	for _, s := range shapes {
		traces, seeds, err := c.traces(s)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		candidates, err := Candidates(s)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		run, driven, candidates := c.runner(candidates)
		one, err := Compare(s, run, candidates, traces, seeds)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		one.Driven = driven
		all = append(all, one)
	}
	return all, nil
}

// runner returns what drives the policies, what it is called, and the candidates
// that it has time for.
func (c *Cmd) runner(candidates []Candidate) (Runner, string, []Candidate) {
	if !c.Owner {
		return Run, "policies alone on virtual time", candidates
	}
	window := Window{From: c.From, To: c.To}
	run := func(s Shape, t Trace, policies policy.Set, seed uint64) Result {
		return RunOwned(s, t, policies, seed, window)
	}
	few := slices.DeleteFunc(slices.Clone(candidates), func(c Candidate) bool { return !c.Baseline && !c.Chosen })
	return run, fmt.Sprintf("the shard owner itself on virtual time, %v to %v of each day", c.From, c.To), few
}

func (c *Cmd) shapes() ([]Shape, error) {
	shapes := Shapes()
	if c.Deployment != "" {
		s, err := ShapeByName(c.Deployment)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		shapes = []Shape{s}
	}
	for i := range shapes {
		if c.HostGiB != nil {
			shapes[i].HostBytes = *c.HostGiB * gib
		}
		if c.DiskGiB != nil {
			shapes[i].DiskBytes = *c.DiskGiB * gib
		}
		if c.StoreLoads > 0 {
			shapes[i].StoreLoads = c.StoreLoads
		}
	}
	return shapes, nil
}

func (c *Cmd) traces(s Shape) (map[uint64]Trace, []uint64, error) {
	traces := make(map[uint64]Trace)
	var seeds []uint64
	if c.Trace != "" {
		t, err := c.readTrace(s)
		return map[uint64]Trace{c.FirstSeed: t}, []uint64{c.FirstSeed}, trace.Wrap(err)
	}
	for i := range c.Seeds {
		seed := c.FirstSeed + uint64(i)
		traces[seed] = NewTrace(s, seed)
		seeds = append(seeds, seed)
	}
	return traces, seeds, nil
}

func (c *Cmd) readTrace(s Shape) (Trace, error) {
	if c.Deployment == "" {
		return Trace{}, trace.BadParameter("--trace needs --deployment, whose zones and targets it runs on")
	}
	data, err := os.ReadFile(c.Trace)
	if err != nil {
		return Trace{}, trace.Wrap(err, "read trace")
	}
	t, err := ReadTrace(bytes.NewReader(data), s)
	return t, trace.Wrap(err, "%s", c.Trace)
}

// Table writes the comparisons as one table.
func Table(w io.Writer, all []Comparison) error {
	for _, c := range all {
		fmt.Fprintf(w, "%s: %s, %d days of %.0f requests to rarely used models\n",
			c.Deployment, c.Driven, len(c.Seeds), c.Requests.Mean)
		if err := c.table(w); err != nil {
			return trace.Wrap(err)
		}
		fmt.Fprintf(w, "%s\n\n", verdictLine(c))
	}
	return nil
}

func (c Comparison) table(w io.Writer) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(tab, "p50 s\tp95 s\tp99 s\t(spread)\tcold share\tcold p99 s\tidle h\t(spread)\trefused\tloads\tevicted\tp99 change\tidle change\t  candidate\t")
	for _, r := range c.Rows {
		fmt.Fprintf(tab, "%.2f\t%.2f\t%.2f\t(%.2f-%.2f)\t%.3f\t%.2f\t%.1f\t(%.1f-%.1f)\t%.1f\t%.0f\t%.0f\t%+.0f%%\t%+.0f%%\t  %s\t\n",
			r.P50.Mean, r.P95.Mean, r.P99.Mean, r.P99.Min, r.P99.Max, r.ColdShare.Mean, r.ColdP99.Mean,
			r.IdleHours.Mean, r.IdleHours.Min, r.IdleHours.Max, r.Refused.Mean, r.Loads.Mean, r.Evictions.Mean,
			100*r.P99Change.Mean, 100*r.IdleChange.Mean, mark(r))
	}
	return trace.Wrap(tab.Flush())
}

func mark(r Row) string {
	switch {
	case r.Baseline:
		return r.Candidate + " (baseline)"
	case r.Chosen:
		return r.Candidate + " (chosen)"
	default:
		return r.Candidate
	}
}

func verdictLine(c Comparison) string {
	met := "MISSED"
	if c.Verdict.Met {
		met = "met"
	}
	other := "idle hours"
	if c.First != "p99" {
		other = "p99"
	}
	return fmt.Sprintf("goal %s: %s %+.0f%% (wanted at most -%.0f%%), %s %+.0f%% (wanted at most +%.0f%%)",
		met, c.First, 100*c.Verdict.First, 100*FirstMargin, other, 100*c.Verdict.Other, 100*OtherBound)
}
