package shell

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/edge"
)

// WhereCmd shows where a request would go.
type WhereCmd struct {
	At     string `arg:"" help:"HOST:PORT at which an instance serves its metrics."`
	Host   string `help:"Host of the request." required:""`
	Path   string `help:"Path of the request." default:"/"`
	Model  string `help:"Model that the request names." placeholder:"MODEL[/ADAPTER]"`
	Team   string `help:"Name of the caller's team."`
	Prompt int    `help:"Tokens of the prompt." placeholder:"TOKENS"`
	Output int    `help:"Most tokens of the response." placeholder:"TOKENS"`
	JSON   bool   `help:"Print JSON." name:"json"`
}

// Run asks the instance and prints its answer.
func (c *WhereCmd) Run(s Streams) error {
	ctx, cancel := context.WithTimeout(context.Background(), blocksTimeout)
	defer cancel()
	q := edge.WhereQuery{
		Host: c.Host, Path: c.Path, Model: c.Model, Team: c.Team, PromptTokens: c.Prompt, OutputTokens: c.Output,
	}
	data, err := callInstance(ctx, c.At, http.MethodGet, edge.WherePath+"?"+q.Values().Encode())
	if err != nil {
		return err
	}
	var answer edge.Where
	if err := json.Unmarshal(data, &answer); err != nil {
		return trace.BadParameter("%s: the answer does not say where a request goes: %v", c.At, err)
	}
	if c.JSON {
		return printJSON(s.Out, answer)
	}
	printWhere(s.Out, &answer)
	return nil
}

func printWhere(w io.Writer, a *edge.Where) {
	fmt.Fprintf(w, "instance %s in %s, configuration %d, route %s\n", a.Instance, a.Zone, a.Version, a.Route)
	if a.Team != "" {
		fmt.Fprintf(w, "team %s: %s\n", a.Team, quotaText(a.Quota))
	}
	for i := range a.Services {
		v := &a.Services[i]
		fmt.Fprintf(w, "\nservice %s, %.0f%% of the route's requests\n", v.Service, 100*v.Share)
		printChoice(w, v)
	}
}

func quotaText(q *edge.WhereQuota) string {
	if q == nil {
		return "no quota"
	}
	text := fmt.Sprintf("%g %s/s, burst %g; the request counts %g", q.Rate, q.Unit, q.Burst, q.Amount)
	if !q.Fits {
		text += " and never fits (429 overBurst)"
	}
	return text
}

func printChoice(w io.Writer, v *edge.WhereService) {
	c := &v.Choice
	if v.Model != "" {
		fmt.Fprintf(w, "model %s: targets that serve it %d", v.Model, c.ModelAt)
		if v.Adapter != "" {
			fmt.Fprintf(w, ", with adapter %s %d", v.Adapter, c.AdapterAt)
		}
		if c.IsLoadExpected {
			fmt.Fprintf(w, ", load expected in %v", milliseconds(c.LoadInMS))
		}
		fmt.Fprintln(w)
	}
	basis := "no load snapshot: choice by own observations"
	if c.IsShared {
		basis = fmt.Sprintf("load snapshot %v old", milliseconds(c.SnapshotAgeMS))
	}
	fmt.Fprintln(w, basis)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "TARGET\tZONE\tLOAD\tSLOTS\tPACE\tFAILURES\tCOST\tCHANCE\tNOTES")
	for i := range c.Candidates {
		r := &c.Candidates[i]
		cost := "-"
		if r.HasCost() {
			cost = fmt.Sprintf("%.2f", r.Cost)
		}
		fmt.Fprintf(t, "%s\t%s\t%.1f\t%d\t%.2f\t%.0f%%\t%s\t%.0f%%\t%s\n", r.Target, r.Zone, r.Load, r.Slots, r.Pace,
			100*r.FailureRate, cost, 100*r.Probability, notes(r))
	}
	_ = t.Flush()
	switch {
	case c.Target != "":
		fmt.Fprintf(w, "goes to %s\n", c.Target)
	case c.Refused == nil:
		fmt.Fprintln(w, "is queued")
	case c.Refused.AfterMS == 0:
		fmt.Fprintf(w, "refused at once: %s, Retry-After %v\n", c.Refused.Reason, milliseconds(c.Refused.RetryAfterMS))
	default:
		fmt.Fprintf(w, "queued; refused after %v if nothing changes: %s, Retry-After %v\n",
			milliseconds(c.Refused.AfterMS), c.Refused.Reason, milliseconds(c.Refused.RetryAfterMS))
	}
}

// notes says why a target is passed over, and what else limits it.
func notes(r *picker.Candidate) string {
	var out []string
	if r.PassedOver != "" {
		out = append(out, "passed over: "+r.PassedOver)
	}
	if r.StartLimit > 0 {
		out = append(out, fmt.Sprintf("limit %d after its start", r.StartLimit))
	}
	if r.EjectedMS > 0 {
		out = append(out, fmt.Sprintf("ejected for %v", milliseconds(r.EjectedMS)))
	}
	if r.BackoffMS > 0 {
		out = append(out, fmt.Sprintf("backing off for %v", milliseconds(r.BackoffMS)))
	}
	if r.PerSecond > 0 {
		out = append(out, fmt.Sprintf("rate limit %g/s, %d permits here", r.PerSecond, r.Permits))
	}
	return strings.Join(out, ", ")
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }
