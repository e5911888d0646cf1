package vday

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"

	"chivecroft.example/chivecroft/internal/coordination/policy"
)

// small is a shape that runs in milliseconds.
func small() Shape {
	s := Shapes()[0]
	s.Models = 12
	s.StormModels = 6
	return s
}

// TestChosenPoliciesMeetTheGoals compares them with the baseline over five days
// of each deployment.
func TestChosenPoliciesMeetTheGoals(t *testing.T) {
	if testing.Short() {
		t.Skip("five days of each deployment take a while")
	}
	for _, s := range Shapes() {
		t.Run(s.Name, func(t *testing.T) {
			candidates, err := Candidates(s)
			if err != nil {
				t.Fatal(err)
			}
			var compared []Candidate
			for _, c := range candidates {
				if c.Baseline || c.Chosen {
					compared = append(compared, c)
				}
			}
			traces := make(map[uint64]Trace)
			seeds := []uint64{1, 2, 3, 4, 5}
			for _, seed := range seeds {
				traces[seed] = NewTrace(s, seed)
			}
			got, err := Compare(s, Run, compared, traces, seeds)
			if err != nil {
				t.Fatal(err)
			}
			if !got.Verdict.Met {
				t.Error(verdictLine(got))
			}
			if base, chosen := got.Rows[0].Refused.Mean, got.Rows[1].Refused.Mean; chosen > base {
				t.Errorf("the chosen policies refuse %.1f requests a day, the baseline %.1f", chosen, base)
			}
		})
	}
}

// TestEveryRequestEndsOnce runs policies that evict much over a shape with too
// little memory: each request waits for a replica once or is refused once.
func TestEveryRequestEndsOnce(t *testing.T) {
	s := small()
	s.TargetsPerZone = 1
	s.StoreLoads = 1
	s.HostBytes, s.DiskBytes = 0, 0
	s.Deadline = 12 * time.Second
	trace := NewTrace(s, 3)
	candidates, err := Candidates(s)
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range candidates {
		r := Run(s, trace, c.Policies, 3)
		if got := len(r.Waits) + r.Unfinished; got != len(trace.Requests) {
			t.Errorf("%s: %d of %d requests ended", c.Name, got, len(trace.Requests))
		}
		late := 0
		for _, w := range r.Waits {
			if w > s.Deadline {
				late++
			}
		}
		if late > 0 || r.Refused() == 0 {
			t.Errorf("%s: %d waits beyond the deadline, %d refusals; wanted none and some", c.Name, late, r.Refused())
		}
	}
}

// TestOwnerEndsEveryRequestOnce drives the shard owner itself.
func TestOwnerEndsEveryRequestOnce(t *testing.T) {
	s := small()
	window := Window{From: 9 * time.Hour, To: 9*time.Hour + 20*time.Minute}
	trace := NewTrace(s, 5)
	want := 0
	for _, r := range trace.Requests {
		if r.At >= window.From && r.At < window.To {
			want++
		}
	}
	first := RunOwned(s, trace, policy.Plain(), 5, window)
	if got := len(first.Waits) + first.Unfinished; got != want || want == 0 || first.Loads == 0 {
		t.Errorf("%d of %d requests ended after %d loads", got, want, first.Loads)
	}
	if diff := cmp.Diff(first, RunOwned(s, trace, policy.Plain(), 5, window)); diff != "" {
		t.Errorf("the same run again (-first +again):\n%s", diff)
	}
}

func TestSameSeedGivesTheSameDay(t *testing.T) {
	s := small()
	first, again, other := NewTrace(s, 1), NewTrace(s, 1), NewTrace(s, 2)
	if diff := cmp.Diff(first, again); diff != "" {
		t.Errorf("seed 1 twice (-first +again):\n%s", diff)
	}
	if cmp.Equal(first, other) {
		t.Error("seeds 1 and 2 give the same day")
	}
	if diff := cmp.Diff(Run(s, first, policy.Plain(), 1), Run(s, again, policy.Plain(), 1), cmpopts.EquateEmpty()); diff != "" {
		t.Errorf("runs of the same day (-first +again):\n%s", diff)
	}
}

func TestImpossibleTrace(t *testing.T) {
	good := Request{At: time.Hour, Model: "m", Zone: "bul-a", Takes: time.Second, Deadline: time.Minute}
	change := func(f func(*Request)) Request {
		r := good
		f(&r)
		return r
	}
	cases := []struct {
		request Request
		want    string
	}{
		{good, ""},
		{change(func(r *Request) { r.At = -time.Second }), "request 1: time -1s is outside the day"},
		{change(func(r *Request) { r.At = 25 * time.Hour }), "request 1: time 25h0m0s is outside the day"},
		{change(func(r *Request) { r.At = time.Minute }), "request 1: time 1m0s is before that of the request before it, 1h0m0s"},
		{change(func(r *Request) { r.Takes = 0 }), "request 1: it takes 0s, accepted is above 0 and at most a day"},
		{change(func(r *Request) { r.Deadline = -1 }), "request 1: deadline -1ns is not above 0"},
		{change(func(r *Request) { r.Model = "x" }), `request 1: model "x" is not in the trace`},
		{change(func(r *Request) { r.Zone = "moon" }), `request 1: zone "moon" is not one of ["bul-a" "bul-b" "pam-a"]`},
	}
	for _, c := range cases {
		trace := Trace{Models: []ModelSpec{{Name: "m", MemoryBytes: gib, LoadTime: time.Second}}, Requests: []Request{good, c.request}}
		data, err := json.Marshal(trace)
		if err != nil {
			t.Fatal(err)
		}
		got := ""
		if _, err := ReadTrace(strings.NewReader(string(data)), Shapes()[0]); err != nil {
			got = err.Error()
		}
		if !strings.Contains(got, c.want) || (c.want == "") != (got == "") {
			t.Errorf("got error %q, wanted %q", got, c.want)
		}
	}
}

// TestCommand runs the command on a trace of its own and draws the plot.
func TestCommand(t *testing.T) {
	dir := t.TempDir()
	data, err := json.Marshal(NewTrace(small(), 1))
	if err != nil {
		t.Fatal(err)
	}
	path := filepath.Join(dir, "trace.json")
	if err := os.WriteFile(path, data, 0o600); err != nil {
		t.Fatal(err)
	}
	var out strings.Builder
	cmd := Cmd{Deployment: "pulilan", Seeds: 1, FirstSeed: 1, Trace: path, JSON: true, Plot: filepath.Join(dir, "plot.svg")}
	if err := cmd.Run(&out); err != nil {
		t.Fatal(err)
	}
	var all []Comparison
	if err := json.Unmarshal([]byte(out.String()), &all); err != nil {
		t.Fatal(err)
	}
	if len(all) != 1 || len(all[0].Rows) < 5 {
		t.Errorf("the output has %d deployments, wanted one with all candidates:\n%s", len(all), out.String())
	}
	if plot, err := os.ReadFile(cmd.Plot); err != nil || !strings.Contains(string(plot), "<svg") {
		t.Errorf("plot: %v, %d bytes, wanted an SVG", err, len(plot))
	}
	cmd.Plot = filepath.Join(dir, "plot.txt")
	if err := cmd.Run(&out); err == nil {
		t.Error("a plot into a .txt file is accepted")
	}
}
