package demo

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"
)

// Options of a demo.
type Options struct {
	// Once plays one session and ends.
	Once bool
	// JSON prints the session as JSON.
	JSON bool
}

// demoShape is small enough to start at once and has a zone in each of two regions.
func demoShape() Shape {
	return Shape{
		Zones: []Zone{
			{Name: "bul-a", Region: "bulacan", Entries: 2, Targets: 2, Services: 1},
			{Name: "pam-a", Region: "pampanga", Entries: 1, Targets: 1, Services: 1},
		},
		ModelService: "supper-assist",
		PlainService: "ticket-desk",
		MemoryBytes:  80 << 30,
		LoadTime:     time.Second,
		FirstDelay:   20 * time.Millisecond,
		TokenDelay:   2 * time.Millisecond,
	}
}

// Run starts the deployment, and plays a session or shows what to call.
func Run(ctx context.Context, w io.Writer, o Options) error {
	d, err := Deploy(ctx, demoShape())
	if err != nil {
		return trace.Wrap(err)
	}
	defer d.Close()
	s := newSession(d)
	if o.Once {
		report, err := s.play(ctx)
		if err != nil {
			return trace.Wrap(err)
		}
		return report.print(w, o.JSON)
	}
	if _, err := s.patch(ctx); err != nil {
		return trace.Wrap(err)
	}
	printInvitation(w, d)
	<-ctx.Done()
	return nil
}

func printInvitation(w io.Writer, d *Deployment) {
	fmt.Fprintf(w, `A deployment of two zones is running. Paste into another terminal:

  curl -N %s/v1/chat/completions -H "Authorization: Bearer %s" \
    -d '{"model":"menu-7b","stream":true,"max_tokens":12,"messages":[{"role":"user","content":"What is for supper?"}]}'
  curl %s/services/ticket-desk/seats -H "Authorization: Bearer %s"

  export CHIVECROFT_ENTRY=%s CHIVECROFT_KEY=%s
  go run ./cmd/chivecroft status
  go run ./cmd/chivecroft day

Stop with Ctrl-C.
`, d.Callers(0), CallerKey, d.Callers(0), CallerKey, d.Operators(0), OperatorKey)
}
