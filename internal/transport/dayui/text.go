package dayui

import (
	"cmp"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/daily"
)

// Bounds of the text.
const (
	textModels     = 20
	textHappenings = 30
	textGaps       = 20
	textRefusals   = 20
	textServices   = 30
	textOutcomes   = 30
)

// Text writes the report for a terminal.
func Text(w io.Writer, r daily.Report) error {
	v, err := newView(r, sheet{
		models: textModels, happenings: textHappenings, gaps: textGaps, refusals: textRefusals, services: textServices, outcomes: textOutcomes,
	})
	if err != nil {
		return trace.Wrap(err, "show day %s", r.Date)
	}
	t := &texter{tab: tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)}
	t.all(v)
	return trace.Wrap(t.tab.Flush(), "write day %s", r.Date)
}

// texter writes lines with aligned columns.
type texter struct{ tab *tabwriter.Writer }

func (t *texter) line(columns ...any) {
	cells := make([]string, 0, len(columns))
	for _, c := range columns {
		cells = append(cells, fmt.Sprint(c))
	}
	fmt.Fprintln(t.tab, strings.Join(cells, "\t"))
}

// section begins a table of its own, so that its columns do not widen others.
func (t *texter) section(title string) {
	t.line()
	t.line(title)
}

func (t *texter) more(n int) {
	if n > 0 {
		t.line(fmt.Sprintf("  and %d more", n))
	}
}

func (t *texter) all(v view) {
	t.line(v.Date, v.TimeZone)
	t.line(v.Verdict.Sentence)
	t.section("Totals")
	t.line("  served", v.Served)
	t.line("  refused", v.Refused)
	t.line("  lost", v.Lost)
	t.line("  caller left", v.Abandoned)
	t.line("  in progress", v.InFlight)
	t.line("  waits for a load", v.Waits.Count)
	t.line("  95 in 100 within", brief(v.Waits.P95))
	t.line("  longest wait", brief(v.Waits.Worst))
	t.line("  idle accelerators", hours(v.IdleHours))
	t.completeness(v)
	t.refusals(v)
	t.models(v)
	t.services(v)
	t.happenings(v)
}

func (t *texter) completeness(v view) {
	t.section("Completeness")
	if v.Completeness.Whole {
		t.line(fmt.Sprintf("  whole: %d accounts of instances, none missing", v.Completeness.Rows))
		return
	}
	t.line(fmt.Sprintf("  not whole: %d accounts of instances; up to about %d requests may be missing",
		v.Completeness.Rows, v.Completeness.Uncounted))
	for _, gap := range v.Completeness.Gaps {
		t.line("  "+cmp.Or(gap.Instance, "all"), gap.Reason)
	}
	t.more(v.MoreGaps)
}

func (t *texter) refusals(v view) {
	if len(v.Refusals) == 0 {
		return
	}
	t.section("Refused")
	for _, r := range v.Refusals {
		ran := "not known whether it ran"
		if r.NotRun {
			ran = "not run"
		}
		t.line("  "+r.Reason, ran, r.Count)
	}
	t.more(v.MoreRefusals)
}

func (t *texter) models(v view) {
	if len(v.Waiters) > 0 {
		t.section("Models that kept callers waiting")
		t.line("  model", "waits", "95 in 100 within", "longest")
	}
	for _, m := range v.Waiters {
		t.line("  "+m.Model, m.Waits.Count, brief(m.Waits.P95), brief(m.Waits.Worst))
	}
	t.more(v.MoreWaiters)
	if len(v.Idlers) > 0 {
		t.section("Models that held accelerators idle")
	}
	for _, m := range v.Idlers {
		t.line("  "+m.Model, hours(m.IdleHours))
	}
	t.more(v.MoreIdlers)
}

func (t *texter) services(v view) {
	if len(v.RunOnce) > 0 {
		t.section("Calls that run at most once")
	}
	for _, o := range v.RunOnce {
		t.line("  "+o.Service, o.Outcome, o.Count)
	}
	t.more(v.MoreOutcomes)
	if len(v.Services) == 0 {
		return
	}
	t.section("Services")
	t.line("  service", "served", "refused", "caller left")
	for _, s := range v.Services {
		t.line("  "+s.Service, s.Served, s.Refused, s.Abandoned)
	}
	t.more(v.MoreService)
}

func (t *texter) happenings(v view) {
	if len(v.Happenings) == 0 {
		return
	}
	t.section("What happened")
	for _, h := range v.Happenings {
		what := strings.TrimSpace(h.Kind + " " + h.Subject)
		if h.Detail != "" {
			what += ": " + h.Detail
		}
		t.line("  "+v.Clock(h.At), what)
	}
	t.more(v.MoreHappenings)
}
