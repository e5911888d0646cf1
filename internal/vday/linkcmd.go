package vday

import (
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/policy"
)

// LinkCmd compares where cold models are loaded: by the hash of the model alone,
// and with the link between regions known.
type LinkCmd struct {
	Seeds     int           `help:"Number of days, each drawn from a seed of its own." default:"5"`
	FirstSeed uint64        `help:"Seed of the first day." default:"1"`
	Bits      int64         `help:"What each direction of the link carries, in bits a second." default:"30000000"`
	From      time.Duration `help:"Begin of the part of the day." default:"10h"`
	To        time.Duration `help:"End of the part of the day." default:"11h"`
	CutFrom   time.Duration `help:"Begin of a cut between the regions; none without it."`
	CutTo     time.Duration `help:"End of the cut."`
}

// Run prints the comparison to w.
func (c *LinkCmd) Run(w io.Writer) error {
	if c.Seeds < 1 || c.Seeds > maxSeeds || c.Bits < 1 {
		return trace.BadParameter("--seeds is %d and --bits %d, accepted are 1 to %d and above 0", c.Seeds, c.Bits, maxSeeds)
	}
	if c.From < ownedReady || c.To <= c.From || c.To > dayLength {
		return trace.BadParameter("--from is %v and --to %v, accepted is a part of the day that begins after %v", c.From, c.To, ownedReady)
	}
	if c.CutFrom != c.CutTo && (c.CutFrom < c.From || c.CutTo < c.CutFrom) {
		return trace.BadParameter("--cut-from is %v and --cut-to %v, accepted is a span after --from", c.CutFrom, c.CutTo)
	}
	for _, s := range Shapes() {
		if err := c.compare(w, s); err != nil {
			return trace.Wrap(err)
		}
	}
	return nil
}

// linkMeans adds up the rows of one way to choose a zone.
type linkMeans struct{ p95, p99, refused, early, idle, gigabytes float64 }

func (c *LinkCmd) compare(w io.Writer, s Shape) error {
	weights, err := policy.Preset(s.Preset)
	if err != nil {
		return trace.Wrap(err)
	}
	policies, err := policy.New(weights)
	if err != nil {
		return trace.Wrap(err)
	}
	shape := LinkShape{BitsPerSecond: c.Bits, CutFrom: c.CutFrom, CutTo: c.CutTo}
	var means [2]linkMeans
	fmt.Fprintf(w, "%s: one owner for each zone on virtual time, %v to %v of each day, %d bits a second between regions\n", s.Name, c.From, c.To, c.Bits)
	for seed := c.FirstSeed; seed < c.FirstSeed+uint64(c.Seeds); seed++ {
		day := NewTrace(s, seed)
		for i, known := range []bool{false, true} {
			shape.Known = known
			r := RunZones(s, day, policies, seed, Window{From: c.From, To: c.To}, shape)
			fmt.Fprintf(w, "  seed %d %-16s %s\n", seed, choiceName(known), r)
			means[i].add(r, float64(c.Seeds))
		}
	}
	for i, known := range []bool{false, true} {
		m := means[i]
		fmt.Fprintf(w, "  mean   %-16s p95 %.2f s, p99 %.2f s, refused %.1f (%.1f early), idle %.2f h, %.2f GB over the link\n",
			choiceName(known), m.p95, m.p99, m.refused, m.early, m.idle, m.gigabytes)
	}
	return nil
}

func choiceName(known bool) string {
	if known {
		return "link known"
	}
	return "hash alone"
}

func (m *linkMeans) add(r ZonesResult, runs float64) {
	m.p95 += quantile(r.Waits, .95).Seconds() / runs
	m.p99 += quantile(r.Waits, .99).Seconds() / runs
	m.refused += float64(r.Refused()) / runs
	m.early += float64(r.ToldEarly) / runs
	m.idle += r.IdleHours / runs
	m.gigabytes += r.LinkBytes / 1e9 / runs
}

// String describes the run in one line.
func (r ZonesResult) String() string {
	return fmt.Sprintf("p50 %.2f s, p95 %.2f s, p99 %.2f s, refused %d of %d (%d early), idle %.2f h, %d loads, %d over the link, %.2f GB over it",
		quantile(r.Waits, .5).Seconds(), quantile(r.Waits, .95).Seconds(), quantile(r.Waits, .99).Seconds(),
		r.Refused(), r.Requests, r.ToldEarly, r.IdleHours, r.Loads, r.FarLoads, r.LinkBytes/1e9)
}
