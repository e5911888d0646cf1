package shell

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/api/gen/operator"
	"chivecroft.example/chivecroft/internal/transport/opapi"
)

// callTimeout bounds an operator's call.
const callTimeout = 30 * time.Second

// Access says which entry an operator's command talks to.
type Access struct {
	Entry string `help:"Operators' URL of any entry." default:"http://127.0.0.1:8081" env:"CHIVECROFT_ENTRY" placeholder:"URL"`
	Key   string `help:"Operator key." env:"CHIVECROFT_KEY" placeholder:"KEY"`
	CA    string `help:"PEM file of the authorities that sign the entry's certificate." type:"existingfile" placeholder:"FILE"`
	JSON  bool   `help:"Print JSON." name:"json"`
}

func (a Access) client() (*opapi.Client, context.Context, context.CancelFunc, error) {
	doer := &http.Client{}
	if a.CA != "" {
		roots, err := readRoots(a.CA)
		if err != nil {
			return nil, nil, nil, trace.Wrap(err)
		}
		doer.Transport = &http.Transport{TLSClientConfig: &tls.Config{RootCAs: roots, MinVersion: tls.VersionTLS13}}
	}
	c, err := opapi.NewClient(a.Entry, a.Key, doer)
	if err != nil {
		return nil, nil, nil, trace.Wrap(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	return c, ctx, cancel, nil
}

func readRoots(path string) (*x509.CertPool, error) {
	pem, err := os.ReadFile(path)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	roots := x509.NewCertPool()
	if !roots.AppendCertsFromPEM(pem) {
		return nil, trace.BadParameter("%s holds no certificate in PEM form", path)
	}
	return roots, nil
}

// PatchCmd applies a patch.
type PatchCmd struct {
	Access
	File string `arg:"" help:"JSON file of the patch, - for standard input." default:"-"`
}

// Run sends the patch and prints the version that it became.
func (c *PatchCmd) Run(s Streams) error {
	body, err := c.open(s)
	if err != nil {
		return trace.Wrap(err)
	}
	client, ctx, cancel, err := c.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer cancel()
	result, err := client.Patch(ctx, body)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		return printJSON(s.Out, patchOutput(*result))
	}
	printPatch(s.Out, result)
	return nil
}

func (c *PatchCmd) open(s Streams) (io.ReadCloser, error) {
	if c.File == "-" {
		return io.NopCloser(s.In), nil
	}
	file, err := os.Open(c.File)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	return file, nil
}

// patchOutput is the JSON form of an accepted patch.
type patchOutput struct {
	Version  uint64   `json:"version"`
	Repeated bool     `json:"repeated"`
	Warnings []string `json:"warnings,omitempty"`
}

func printPatch(w io.Writer, r *operator.PatchResult) {
	note := "accepted"
	if r.Repeated {
		note = "had been accepted before"
	}
	fmt.Fprintf(w, "version %d: %s\n", r.Version, note)
	for _, warning := range r.Warnings {
		fmt.Fprintf(w, "  note: %s\n", warning)
	}
}

// ConfigCmd reads the configuration.
type ConfigCmd struct {
	Access
	At      uint64 `help:"Version, 0 for the one in force." xor:"what"`
	History bool   `help:"List the patches instead." xor:"what"`
	After   uint64 `help:"With --history, begin after this version."`
	Limit   int    `help:"With --history, most patches to list." default:"100"`
	Diff    string `help:"Show what differs between two versions." xor:"what" placeholder:"OLD:NEW"`
}

// Run prints a configuration, the history or a difference.
func (c *ConfigCmd) Run(s Streams) error {
	client, ctx, cancel, err := c.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer cancel()
	var result any
	switch {
	case c.Diff != "":
		return c.diff(ctx, client, s)
	case c.History:
		result, err = client.History(ctx, c.After, c.Limit)
	default:
		result, err = client.Config(ctx, c.At)
	}
	if err != nil {
		return trace.Wrap(err)
	}
	return printJSON(s.Out, result)
}

func (c *ConfigCmd) diff(ctx context.Context, client *opapi.Client, s Streams) error {
	from, to, found := strings.Cut(c.Diff, ":")
	older, errFrom := strconv.ParseUint(from, 10, 64)
	newer, errTo := strconv.ParseUint(to, 10, 64)
	if !found || errFrom != nil || errTo != nil {
		return trace.BadParameter("--diff %q: give two versions such as 11:12", c.Diff)
	}
	a, err := client.Config(ctx, older)
	if err != nil {
		return trace.Wrap(err)
	}
	b, err := client.Config(ctx, newer)
	if err != nil {
		return trace.Wrap(err)
	}
	return printDiff(s.Out, a, b, c.JSON)
}

// StatusCmd shows how an entry sees the deployment.
type StatusCmd struct{ Access }

// Run prints the status.
func (c *StatusCmd) Run(s Streams) error {
	client, ctx, cancel, err := c.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer cancel()
	status, err := client.Status(ctx)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		return printJSON(s.Out, statusOutput(status))
	}
	printStatus(s.Out, status)
	return nil
}

func printStatus(w io.Writer, s *operator.StatusResult) {
	fmt.Fprintf(w, "%s in %s (%s): configuration %d, ready %t, draining %t, KV service reachable %t\n",
		s.ID, s.Zone, s.Region, s.ConfigVersion, s.Ready, s.Draining, s.KvReachable)
	fmt.Fprintf(w, "%d requests in flight, %d waiting\n\n", s.InFlight, s.Waiting)
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(t, "ENTRY\tZONE\tPHASE\tCONFIG\tSHARDS")
	for _, m := range s.Members {
		fmt.Fprintf(t, "%s\t%s\t%s\t%d\t%v\n", m.ID, m.Zone, m.Phase, m.ConfigVersion, m.Shards)
	}
	fmt.Fprintln(t, "\nSHARD\tMODE\tEPOCH\tTARGETS\tCHARGED BYTES\tDETAIL")
	for _, x := range s.Shards {
		detail := ""
		if x.Detail != nil {
			detail = *x.Detail
		}
		fmt.Fprintf(t, "%s/%d\t%s\t%d\t%d\t%d\t%s\n", x.Zone, x.Shard, x.Mode, x.Epoch, x.Targets, x.ChargedBytes, detail)
	}
	fmt.Fprintln(t, "\nREPLICA\tMODEL\tTARGET\tZONE\tPHASE\tRUNNING\tQUEUED")
	for _, r := range s.Replicas {
		fmt.Fprintf(t, "%s\t%s\t%s\t%s\t%s\t%d\t%d\n", r.ID, r.Model, r.Target, r.Zone, r.Phase, r.Running, r.Queued)
	}
	_ = t.Flush()
}

// DrainCmd takes an entry, a target or a zone out of use.
type DrainCmd struct {
	Access
	Target string `help:"Target to drain." xor:"what"`
	Zone   string `help:"Availability zone to drain." xor:"what"`
	Undo   bool   `help:"Take a target or zone back into use."`
}

// Run starts or ends the draining.
func (c *DrainCmd) Run(s Streams) error {
	client, ctx, cancel, err := c.client()
	if err != nil {
		return trace.Wrap(err)
	}
	defer cancel()
	scope, name := "entry", ""
	switch {
	case c.Target != "":
		scope, name = "target", c.Target
	case c.Zone != "":
		scope, name = "zone", c.Zone
	}
	result, err := client.Drain(ctx, scope, name, c.Undo)
	if err != nil {
		return trace.Wrap(err)
	}
	if c.JSON {
		return printJSON(s.Out, drainOutput(*result))
	}
	fmt.Fprintf(s.Out, "%s %s: %s\n", result.Scope, result.Name, result.State)
	return nil
}

// drainOutput is the JSON form of a drain's answer.
type drainOutput struct {
	Scope string `json:"scope"`
	Name  string `json:"name"`
	State string `json:"state"`
}

func printJSON(w io.Writer, v any) error {
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	return trace.Wrap(e.Encode(v))
}
