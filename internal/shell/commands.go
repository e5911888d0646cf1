package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/bench/local"
	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/demo"
	"chivecroft.example/chivecroft/internal/entry"
	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/slope"
	"chivecroft.example/chivecroft/internal/stand/cmds"
	"chivecroft.example/chivecroft/internal/transport/dayui"
	"chivecroft.example/chivecroft/internal/vday"
)

// Commands are the commands of the program.
type Commands struct {
	Entry   EntryCmd     `cmd:"" help:"Run an entry: the callers' and operators' API and the control of a zone."`
	Serve   ServeCmd     `cmd:"" help:"Run an instance on the platform whose boot file is given."`
	Demo    DemoCmd      `cmd:"" help:"Run stand-ins and entries of two zones in one process."`
	Explain ExplainCmd   `cmd:"" help:"Print what logs say of one request."`
	Account AccountCmd   `cmd:"" help:"Add up how the requests ended that logs tell of."`
	Orders  OrdersCmd    `cmd:"" help:"Find orders of two instances that are too near at one target."`
	Blocks  BlocksCmd    `cmd:"" help:"Show or lift the blocks of prompt parts that crash targets."`
	Where   WhereCmd     `cmd:"" help:"Show where a request would go now and why, without sending it."`
	Check   CheckCmd     `cmd:"" help:"Check a file of settings."`
	Patch   PatchCmd     `cmd:"" help:"Apply a patch to the configuration."`
	Config  ConfigCmd    `cmd:"" help:"Read the configuration, its history or a difference."`
	Status  StatusCmd    `cmd:"" help:"Show how an entry sees the deployment."`
	Day     DayCmd       `cmd:"" help:"Show whether a day went well."`
	Drain   DrainCmd     `cmd:"" help:"Drain an entry, a target or an availability zone."`
	Bench   BenchCmd     `cmd:"" help:"Measure: load and faults, policies, slopes."`
	Standin cmds.Standin `cmd:"" help:"Run a small stand-in of an outside system."`
}

// BenchCmd are the measurements.
type BenchCmd struct {
	Run    bench.Cmd    `cmd:"" default:"withargs" help:"Play load and faults against a deployment, its own or a running one."`
	Policy vday.Cmd     `cmd:"" help:"Compare the policies over days of load on virtual time."`
	Slopes slope.Cmd    `cmd:"" help:"Measure how control grows and work out the target size."`
	Link   vday.LinkCmd `cmd:"" help:"Compare where cold models are loaded, with the link between regions known and not."`
}

// BeforeApply lets the load tool start a deployment of its own.
func (b *BenchCmd) BeforeApply() error {
	b.Run.Deploy = local.Deploy
	return nil
}

// EntryCmd runs an entry.
type EntryCmd struct {
	Config string `help:"INI file of settings." required:"" type:"path" placeholder:"FILE"`
}

// Run serves until a signal; the first one drains, a second one stops at once.
func (c *EntryCmd) Run(s Streams) error {
	settings, err := params.Read(c.Config)
	if err != nil {
		return trace.Wrap(err)
	}
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	defer signal.Stop(signals)
	e, err := entry.New(settings, entry.WithLogger(logger(settings.Log, s)))
	if err != nil {
		return trace.Wrap(err)
	}
	if err := e.Start(context.Background()); err != nil {
		return trace.Wrap(err)
	}
	defer e.Close()
	if err := printEntryReady(s, e); err != nil {
		return trace.Wrap(err)
	}
	select {
	case <-signals:
		e.StartDrain()
	case <-e.Drained():
		return nil
	}
	select {
	case <-e.Drained():
		return nil
	case sig := <-signals:
		return trace.Errorf("second %v: stopped at once, cutting %d requests", sig, e.Cut())
	}
}

// entryReady is the line that an entry prints once it listens.
type entryReady struct {
	Entry     string `json:"entry"`
	Callers   string `json:"callers"`
	Operators string `json:"operators"`
	Peers     string `json:"peers"`
}

func printEntryReady(s Streams, e *entry.Entry) error {
	return trace.Wrap(json.NewEncoder(s.Out).Encode(entryReady{
		Entry:     e.ID(),
		Callers:   e.Addr(entry.ListenerCallers).String(),
		Operators: e.Addr(entry.ListenerOperators).String(),
		Peers:     e.Addr(entry.ListenerPeers).String(),
	}))
}

func logger(settings params.Log, s Streams) *log.Logger {
	l := &log.Logger{Level: log.ParseLevel(settings.Level), Writer: &log.IOWriter{Writer: s.Err}}
	if settings.Format == "console" {
		l.Writer = &log.ConsoleWriter{Writer: s.Err}
	}
	return l
}

// CheckCmd checks a file of settings.
type CheckCmd struct {
	Config string `help:"INI file of settings." required:"" type:"path" placeholder:"FILE"`
	JSON   bool   `help:"Print JSON." name:"json"`
}

// Run reports every fault of the file.
func (c *CheckCmd) Run(s Streams) error {
	settings, err := params.Read(c.Config)
	if err == nil {
		err = settings.CheckBind(context.Background(), c.Config)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		return printJSON(s.Out, settings)
	}
	fmt.Fprintf(s.Out, "%s: entry %s of zone %s, all settings are accepted\n", c.Config, settings.Entry.ID, settings.Entry.Zone)
	return nil
}

// DayCmd shows whether a day went well.
type DayCmd struct {
	Access
	Date string `help:"Day as YYYY-MM-DD in the deployment's time zone; today by default."`
}

// Run prints the day page.
func (c *DayCmd) Run(s Streams) error {
	client, ctx, cancel, err := c.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer cancel()
	answer, err := client.Day(ctx, c.Date)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		return printJSON(s.Out, answer)
	}
	data, err := json.Marshal(answer)
	if err != nil {
		return trace.Wrap(err)
	}
	var report daily.Report
	if err := json.Unmarshal(data, &report); err != nil {
		return trace.Wrap(err, "the entry's answer is no day page")
	}
	return dayui.Text(s.Out, report)
}

// DemoCmd runs a whole deployment in one process.
type DemoCmd struct {
	Once bool `help:"Play one session and exit."`
	JSON bool `help:"Print JSON." name:"json"`
}

// Run starts the deployment and shows what can be done with it.
func (c *DemoCmd) Run(s Streams) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	return demo.Run(ctx, s.Out, demo.Options{Once: c.Once, JSON: c.JSON})
}
