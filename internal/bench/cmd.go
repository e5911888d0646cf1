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
	plan, err := c.plan(shape)
	if err != nil {
		return trace.Wrap(err)
	}
	switch {
	case c.PrintPatch:
		return trace.Wrap(c.print(shape.Patch(c.Key)))
	case c.PrintSchedule:
		return trace.Wrap(c.print(plan))
	}
	return c.play(ctx, shape, plan)
}

func (c *Cmd) plan(shape Shape) (Plan, error) {
	load := Load{
		Duration: c.Duration, Rate: c.Rate, Bursts: c.Bursts, Burst: c.Burst,
		HotModels: c.HotModels, Faults: c.Faults,
	}
	if err := load.Check(); err != nil {
		return Plan{}, trace.Wrap(err)
	}
	return NewPlan(shape, load, c.Seed), nil
}

func (c *Cmd) play(ctx context.Context, shape Shape, plan Plan) error {
	d, err := c.deployment(ctx, shape)
	if err != nil {
		return trace.Wrap(err)
	}
	if d.Close != nil {
		defer d.Close()
	}
	report, err := Run(ctx, *d, shape, plan)
	if err != nil {
		return trace.Wrap(err)
	}
	report.Seed = c.Seed
	if err := c.show(report); err != nil {
		return trace.Wrap(err)
	}
	if broken := report.Broken(); len(broken) > 0 {
		return trace.Errorf("promises broken: %s", strings.Join(broken, "; "))
	}
	return nil
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

func (c *Cmd) show(report *Report) error {
	if c.Plot != "" {
		if err := report.Plot(c.Plot); err != nil {
			return trace.Wrap(err, "plot")
		}
	}
	if c.JSON {
		return c.print(report)
	}
	return report.Print(c.Out)
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
