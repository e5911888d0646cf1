package shell

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/url"

	"github.com/alecthomas/kong"
	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/api/gen/operator"
	"chivecroft.example/chivecroft/internal/params"
	"chivecroft.example/chivecroft/internal/shell/hangup"
)

// The exit codes of every command.
const (
	// ExitDone means that what was asked for was done.
	ExitDone = 0
	// ExitRefused means that it was refused.
	ExitRefused = 1
	// ExitUsage means that the call itself was wrong.
	ExitUsage = 2
	// ExitUnreachable means that no entry answered.
	ExitUnreachable = 3
)

// commandServe is the command that reads its settings again on SIGHUP.
const commandServe = "serve"

// Streams are where a command reads and writes.
type Streams struct {
	In  io.Reader
	Out io.Writer
	Err io.Writer
}

// Run parses args, runs the command and returns its exit code.
func Run(args []string, s Streams) int {
	var commands Commands
	code := ExitDone
	exited := false
	parser, err := kong.New(&commands,
		kong.Name("chivecroft"),
		kong.Description("Serves many rarely used models as if each were always warm."),
		kong.Writers(s.Out, s.Err),
		kong.Exit(func(c int) { code, exited = c, true }),
		kong.UsageOnError(),
		kong.Help(helpWithExamples),
		kong.Bind(s),
		kong.BindTo(s.Out, (*io.Writer)(nil)))
	if err != nil {
		fmt.Fprintf(s.Err, "chivecroft: %v\n", err)
		return ExitUsage
	}
	ctx, err := parser.Parse(args)
	if exited {
		return code
	}
	if err != nil {
		fmt.Fprintf(s.Err, "chivecroft: %v\nRun \"chivecroft --help\" for the commands.\n", err)
		return ExitUsage
	}
	if ctx.Command() != commandServe {
		if err := hangup.Release(); err != nil {
			report(s.Err, err)
		}
	}
	if err := ctx.Run(); err != nil {
		report(s.Err, err)
		return exitCode(err)
	}
	return ExitDone
}

// examples stand below the help of the command of the same name.
var examples = map[string]string{
	"entry":   "chivecroft entry --config entry.ini",
	"serve":   "chivecroft serve --boot /etc/chivecroft/local.yaml --metrics-port 9464",
	"explain": "chivecroft explain 9c41d07be2a35f68 front-a-1.log front-a-2.log",
	"account": "chivecroft account --by route front-a-1.log front-a-2.log",
	"check":   "chivecroft check --config entry.ini",
	"demo":    "chivecroft demo --once --json",
	"patch":   "chivecroft patch --entry http://127.0.0.1:8081 --key KEY patch.json",
	"config":  "chivecroft config --at 12\n  chivecroft config --history\n  chivecroft config --diff 11:12",
	"status":  "chivecroft status --json",
	"day":     "chivecroft day --date 2026-12-03",
	"drain":   "chivecroft drain --target bul-a-t3\n  chivecroft drain --zone bul-a --undo",
	"bench":   "chivecroft bench run --seed 7\n  chivecroft bench policy",
}

func helpWithExamples(options kong.HelpOptions, ctx *kong.Context) error {
	if err := kong.DefaultHelpPrinter(options, ctx); err != nil {
		return err
	}
	selected := ctx.Selected()
	if selected == nil {
		return nil
	}
	if text, ok := examples[selected.Name]; ok {
		fmt.Fprintf(ctx.Stdout, "\nExamples:\n  %s\n", text)
	}
	return nil
}

func report(w io.Writer, err error) {
	var faults params.Faults
	if errors.As(err, &faults) {
		fmt.Fprintln(w, faults.Error())
		return
	}
	var problem *operator.Problem
	if errors.As(err, &problem) {
		reportProblem(w, problem)
		return
	}
	fmt.Fprintf(w, "chivecroft: %s\n", trace.UserMessage(err))
}

func reportProblem(w io.Writer, p *operator.Problem) {
	fmt.Fprintf(w, "chivecroft: refused (%s): %s\n", p.Reason, p.Detail)
	for _, line := range p.Problems {
		fmt.Fprintf(w, "  %s\n", line)
	}
	if p.Changes != nil {
		fmt.Fprintf(w, "  changed since the base version:\n")
		_ = printJSON(w, p.Changes)
	}
}

func exitCode(err error) int {
	var faults params.Faults
	var problem *operator.Problem
	var dial *net.OpError
	var call *url.Error
	switch {
	case errors.As(err, &faults), errors.As(err, &problem):
		return ExitRefused
	case errors.As(err, &dial), errors.As(err, &call), trace.IsConnectionProblem(err):
		return ExitUnreachable
	case trace.IsBadParameter(err), trace.IsNotFound(err):
		return ExitUsage
	}
	return ExitRefused
}
