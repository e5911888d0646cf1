package bench

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/gravitational/trace"
)

// Cmd is the command that plays a schedule of load and faults.
type Cmd struct {
	Shape     string        `help:"Deployment to imitate: ${enum}." enum:"pulilan,lakeshore" default:"pulilan"`
	Seed      uint64        `help:"Seed of the schedule; the same seed gives the same one." default:"1"`
	Runs      int           `help:"Number of runs, with seeds one after the other; shows the spread." default:"1"`
	Duration  time.Duration `help:"Time over which calls are started." default:"20s"`
	Rate      float64       `help:"Chats a second with models in steady use, and calls of the plain service." default:"20"`
	Bursts    int           `help:"Bursts over idle models." default:"12"`
	Burst     int           `help:"Calls of a burst." default:"24"`
	HotModels int           `help:"Models in steady use." default:"6"`
	Faults    bool          `help:"Bring faults about on a schedule, where stand-ins are given." negatable:"" default:"false"`
	JSON      bool          `help:"Print the report as JSON." name:"json"`
	Plot      string        `help:"File to draw the distributions into, .svg or .png." placeholder:"FILE" type:"path"`

	Entry    []string `help:"Callers' URL of a running entry; repeatable. Without it a deployment of stand-ins is started." placeholder:"URL"`
	Key      string   `help:"API key for the entries." env:"CHIVECROFT_CALLER_KEY" default:"bench-caller"`
	Metrics  []string `help:"URL of an entry's metrics, for its processor time; repeatable." placeholder:"URL"`
	Platform string   `help:"URL of the platform stand-in, for faults." placeholder:"URL"`
	Target   []string `help:"URL of a target stand-in, for faults; repeatable." placeholder:"URL"`
	Service  []string `help:"URL of a service stand-in, for faults and to count runs; repeatable." placeholder:"URL"`

	PrintPatch    bool `help:"Print the patch that configures an empty deployment for the shape, and end."`
	PrintSchedule bool `help:"Print the schedule as JSON and end."`

	// Deploy starts a deployment of stand-ins in which the shape's patch is in
	// force, for a run without entries.
	Deploy func(ctx context.Context, shape Shape, key string) (*Deployment, error) `kong:"-"`
	// Out is where the report goes, standard output if nil.
	Out io.Writer `kong:"-"`
}

// Help shows examples.
func (Cmd) Help() string {
	return `Examples:
  chivecroft bench --seed 7 --plot first.svg
  chivecroft bench --shape lakeshore --faults --json
  chivecroft bench --runs 5 --duration 30s
  chivecroft bench --entry http://127.0.0.1:8080 --entry http://127.0.0.1:8090 --key KEY
  chivecroft bench --print-patch | chivecroft patch -`
}

// Run plays the schedule and fails if a promise was seen broken.
func (c *Cmd) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if c.Out == nil {
		c.Out = os.Stdout
	}
	shape, ok := ShapeOf(c.Shape)
	if !ok {
		return trace.BadParameter("shape is %q instead of pulilan or lakeshore", c.Shape)
	}
	load, err := c.load()
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case c.PrintPatch:
		return trace.Wrap(c.print(shape.Patch(c.Key)))
	case c.PrintSchedule:
		return trace.Wrap(c.print(NewPlan(shape, load, c.Seed)))
	}
	return c.playAll(ctx, shape, load)
}

func (c *Cmd) load() (Load, error) {
	load := Load{
		Duration: c.Duration, Rate: c.Rate, Bursts: c.Bursts, Burst: c.Burst,
		HotModels: c.HotModels, Faults: c.Faults,
	}
	if c.Runs < 1 {
		return Load{}, trace.BadParameter("runs is %d instead of 1 or more", c.Runs)
	}
	return load, trace.Wrap(load.Check())
}

// playAll plays each seed, against a deployment of its own if none is given, so
// that no run finds what an earlier one has loaded.
func (c *Cmd) playAll(ctx context.Context, shape Shape, load Load) error {
	var reports []*Report
	for n := range c.Runs {
		seed := c.Seed + uint64(n)
		report, err := c.play(ctx, shape, NewPlan(shape, load, seed))
		if err != nil {
			return trace.Wrap(err, "seed %d", seed)
		}
		report.Seed = seed
		reports = append(reports, report)
		if !c.JSON {
			if err := report.Print(c.Out); err != nil {
				return trace.Wrap(err)
			}
			fmt.Fprintln(c.Out)
		}
	}
	series := NewSeries(reports)
	if err := c.show(series); err != nil {
		return trace.Wrap(err)
	}
	if broken := series.Broken(); len(broken) > 0 {
		return trace.Errorf("promises broken: %s", strings.Join(broken, "; "))
	}
	return nil
}

func (c *Cmd) play(ctx context.Context, shape Shape, plan Plan) (*Report, error) {
	d, err := c.deployment(ctx, shape)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	if d.Close != nil {
		defer d.Close()
	}
	return Run(ctx, *d, shape, plan)
}

func (c *Cmd) deployment(ctx context.Context, shape Shape) (*Deployment, error) {
	if len(c.Entry) > 0 {
		return &Deployment{
			Entries: c.Entry, Metrics: c.Metrics, Key: c.Key,
			Platform: c.Platform, Targets: c.Target, Services: c.Service,
		}, nil
	}
	if c.Deploy == nil {
		return nil, trace.BadParameter("name at least one running entry with --entry")
	}
	return c.Deploy(ctx, shape, c.Key)
}

// show prints what is left to print, and draws the first run.
func (c *Cmd) show(series Series) error {
	if c.Plot != "" {
		if err := series.Runs[0].Plot(c.Plot); err != nil {
			return trace.Wrap(err, "plot")
		}
	}
	switch {
	case c.JSON && c.Runs == 1:
		return c.print(series.Runs[0])
	case c.JSON:
		return c.print(series)
	case c.Runs > 1:
		return series.Print(c.Out)
	}
	return nil
}

func (c *Cmd) print(value any) error {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return err
	}
	_, err = fmt.Fprintln(c.Out, string(data))
	return err
}

const (
	mostDuration = 24 * time.Hour
	mostRate     = 100_000
)

// Check returns what is wrong with the load.
func (l Load) Check() error {
	switch {
	case l.Duration <= 0 || l.Duration > mostDuration:
		return trace.BadParameter("duration is %v instead of more than 0s and at most %v", l.Duration, mostDuration)
	case !(l.Rate >= 0 && l.Rate <= mostRate):
		return trace.BadParameter("rate is %v instead of 0 to %d", l.Rate, mostRate)
	case l.Bursts < 0 || l.Burst < 0:
		return trace.BadParameter("bursts and burst are %d and %d instead of 0 or more", l.Bursts, l.Burst)
	case l.HotModels < 1:
		return trace.BadParameter("hot-models is %d instead of 1 or more", l.HotModels)
	}
	return nil
}
