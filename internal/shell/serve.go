package shell

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"github.com/gravitational/trace"
	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/edge"
	"chivecroft.example/chivecroft/internal/shell/hangup"
	"chivecroft.example/chivecroft/platform"
)

// ServeCmd runs an instance on the users' platform.
type ServeCmd struct {
	Boot string `help:"Boot file of the platform." env:"CHIVECROFT_BOOT" required:"" type:"path" placeholder:"FILE"`
	// MetricsPort is on the address that the boot file names.
	MetricsPort uint16 `help:"Port for metrics, 0 for none." default:"0"`
	SlowStart   bool   `help:"Limit the requests at targets that have just started or recovered. The same on all instances." default:"true" negatable:""`
}

// Run serves until a signal asks it to stop.
func (c *ServeCmd) Run(s Streams) error {
	signals := make(chan os.Signal, 2)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	defer signal.Stop(signals)
	hangup.Drop()
	boot, err := platform.ReadBoot(c.Boot)
	if err != nil {
		return trace.Wrap(err)
	}
	writer := newLogWriter(s.Out)
	defer func() { _ = writer.Close() }()
	l := &log.Logger{Level: log.InfoLevel, Writer: writer}
	l.Info().Str("boot", c.Boot).Bool("slowStart", c.SlowStart).Msg("starting")
	e := edge.New(boot, l, edge.WithMetrics(c.MetricsPort), edge.WithBootFile(c.Boot), edge.WithSlowStart(c.SlowStart))
	if err := e.Start(context.Background()); err != nil {
		return trace.Wrap(err)
	}
	for sig := range signals {
		if sig != syscall.SIGHUP {
			break
		}
		e.ReloadFile()
	}
	e.Stop()
	return nil
}
