package slope

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"
)

// Cmd measures slopes and works out the target size.
type Cmd struct {
	JSON bool   `help:"Print JSON." name:"json"`
	Only string `help:"Only figures whose text holds this." placeholder:"TEXT"`
}

// Run prints the figures to w.
func (c *Cmd) Run(w io.Writer) error {
	figures, err := Measure(c.Only)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		encoder := json.NewEncoder(w)
		encoder.SetIndent("", "  ")
		return trace.Wrap(encoder.Encode(figures))
	}
	return trace.Wrap(table(w, figures))
}

// plan is a figure with how it is measured.
type plan struct {
	figure Figure
	sizes  []int
	of     func(size int) (float64, error)
}

func plans() []plan {
	return []plan{
		{Figure{Role: "platform", What: "configuration snapshot", Unit: "B", Per: "models", Target: targetModels}, []int{100, 300, 970}, configJSON},
		{Figure{Role: "entry", What: "configuration in memory", Unit: "B", Per: "models", Target: targetModels, Budget: nodeMemoryBytes}, []int{100, 300, 970}, configHeap},
		{Figure{Role: "relay", What: "one patch between entries", Unit: "B", Per: "models", Target: targetModels}, []int{100, 300, 970}, patchBytes},
		{Figure{Role: "router", What: "routing table in memory", Unit: "B", Per: "replicas", Target: targetReplicas, Budget: nodeMemoryBytes}, []int{500, 1000, 2000, 4000}, tableHeap},
		{Figure{Role: "router", What: "whole routing table sent", Unit: "B", Per: "replicas", Target: targetReplicas}, []int{500, 1000, 2000}, tableBytes},
		{Figure{Role: "router", What: "one routing decision", Unit: "ns", Per: "replicas", Target: targetReplicas}, []int{500, 1000, 2000, 4000}, pickNanos},
		{Figure{Role: "entry", What: "day counts in memory", Unit: "B", Per: "models", Target: targetModels, Budget: nodeMemoryBytes}, []int{100, 300, 970}, dayHeap},
		{Figure{Role: "entry", What: "day row", Unit: "B", Per: "models", Target: targetModels, Budget: 1 << 20}, []int{100, 300, 970}, dayRowBytes},
		{Figure{Role: "platform", What: "day rows of all entries", Unit: "writes/s", Per: "entries", Target: targetNodes, Budget: kvWrites}, []int{100, 400, 1000}, dayWrites},
		{Figure{Role: "member", What: "membership sent by an entry", Unit: "B/s", Per: "entries a zone, 2 zones", Target: targetZoneNodes, Budget: nodeBytesPerSecond}, []int{8, 32, 91}, func(n int) (float64, error) { return gossipBytes(2, n), nil }},
		{Figure{Role: "member", What: "membership sent by an entry", Unit: "B/s", Per: "zones of 8 entries", Target: targetZones, Budget: nodeBytesPerSecond}, []int{2, 5, 11}, func(n int) (float64, error) { return gossipBytes(n, 8), nil }},
		{Figure{Role: "platform", What: "configuration, a patch every 21 s", Unit: "calls/s", Per: "zones", Target: targetZones, Budget: kvReads}, []int{2, 4, 8}, configWatch},
		{Figure{Role: "owner", What: "a shard with nothing to decide", Unit: "calls/s", Per: "targets", Target: 48}, []int{4, 12, 24, 48}, idleCalls},
		{Figure{Role: "owner", What: "a shard with nothing to decide, with stand-ins", Unit: "% of a core", Per: "targets", Target: 48, Budget: nodeCorePercent}, []int{4, 12, 24, 48}, ownerShare},
		{Figure{Role: "member", What: "membership and configuration, with stand-ins", Unit: "% of a core", Per: "entries a zone, 2 zones", Target: targetZoneNodes, Budget: nodeCorePercent}, []int{8, 32, 91}, memberShare},
		{Figure{Role: "owner", What: "a model that wakes up and falls idle", Unit: "calls", Per: "targets", Target: 48}, []int{4, 12, 24, 48}, loadCalls},
	}
}

// Measure returns the figures whose text holds only, all for the empty text.
func Measure(only string) ([]Figure, error) {
	var figures []Figure
	for _, p := range plans() {
		if !strings.Contains(p.figure.Role+" "+p.figure.What, only) {
			continue
		}
		f, err := measure(p.figure, p.sizes, p.of)
		if err != nil {
			return nil, trace.Wrap(err, "measure %s", p.figure.What)
		}
		figures = append(figures, f)
	}
	if len(figures) == 0 {
		return nil, trace.BadParameter("no figure's text holds %q", only)
	}
	return figures, nil
}

func table(w io.Writer, figures []Figure) error {
	tab := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(tab, "role\twhat\tunit\tmeasured at\tper\tbase\tslope\ttarget\tat target\tbudget")
	for _, f := range figures {
		points := make([]string, 0, len(f.Points))
		for _, p := range f.Points {
			points = append(points, fmt.Sprintf("%.0f: %s", p.Size, short(p.Value)))
		}
		fmt.Fprintf(tab, "%s\t%s\t%s\t%s\t%s\t%s\t%s\t%.0f\t%s\t%s\n", f.Role, f.What, f.Unit, strings.Join(points, ", "),
			f.Per, short(f.Line.Base), short(f.Line.Slope), f.Target, short(f.Worked), budget(f))
	}
	return trace.Wrap(tab.Flush())
}

func budget(f Figure) string {
	switch {
	case f.Budget == 0:
		return "-"
	case f.Fits:
		return short(f.Budget) + " fits"
	default:
		return short(f.Budget) + " EXCEEDED"
	}
}

// short prints a value in the digits that matter.
func short(v float64) string {
	switch {
	case v >= 100 || v <= -100:
		return fmt.Sprintf("%.0f", v)
	case v >= 1 || v <= -1:
		return fmt.Sprintf("%.1f", v)
	default:
		return fmt.Sprintf("%.3f", v)
	}
}
