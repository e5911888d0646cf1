package vday

import (
	"math"
	"time"

	"github.com/gravitational/trace"
	"golang.org/x/sync/errgroup"

	"chivecroft.example/chivecroft/internal/coordination/policy"
)

// Goals of the chosen policies against the baseline.
const (
	// FirstMargin is by how much the deployment's first-weighted figure has to
	// be lower.
	FirstMargin = 0.20
	// OtherBound is by how much the other figure may be higher.
	OtherBound = 0.10
)

// runsAtOnce bounds the runs in parallel.
const runsAtOnce = 3

// Candidate is a set of policies under a name.
type Candidate struct {
	Name     string
	Policies policy.Set
	// Baseline and Chosen mark the two that the verdict compares.
	Baseline, Chosen bool
}

// Candidates returns what is compared for a deployment, the baseline first.
func Candidates(s Shape) ([]Candidate, error) {
	own, err := policy.Preset(s.Preset)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	priced, err := policy.New(own)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	reactive, err := policy.New(own, policy.WithPreloads(0))
	if err != nil {
		return nil, trace.Wrap(err)
	}
	plain := policy.Plain()
	all := []Candidate{
		{Name: "fixed 10m, LRU", Policies: plain, Baseline: true},
		{Name: "fixed 2m, LRU", Policies: policy.Plain(policy.WithKeepAlive(2 * time.Minute))},
		{Name: "fixed 30m, LRU", Policies: policy.Plain(policy.WithKeepAlive(30 * time.Minute))},
		{Name: "fixed 10m, priced placement", Policies: with(plain, func(p *policy.Set) { p.Place = priced.Place })},
		{Name: "priced keep-alive, LRU", Policies: with(reactive, func(p *policy.Set) { p.Place = plain.Place })},
		{Name: s.Preset + ", first come first", Policies: with(priced, func(p *policy.Set) { p.Order = plain.Order })},
		{Name: s.Preset + ", no preload", Policies: reactive},
		{Name: s.Preset, Policies: priced, Chosen: true},
	}
	for _, name := range policy.PresetNames() {
		if name == s.Preset {
			continue
		}
		w, _ := policy.Preset(name)
		other, err := policy.New(w)
		if err != nil {
			return nil, trace.Wrap(err)
		}
		all = append(all, Candidate{Name: name, Policies: other})
	}
	return all, nil
}

func with(set policy.Set, change func(*policy.Set)) policy.Set {
	change(&set)
	return set
}

// Spread is a figure over several seeds.
type Spread struct {
	Mean float64 `json:"mean"`
	Min  float64 `json:"min"`
	Max  float64 `json:"max"`
}

func spread(values []float64) Spread {
	s := Spread{Min: math.Inf(1), Max: math.Inf(-1)}
	for _, v := range values {
		s.Mean += v / float64(len(values))
		s.Min = min(s.Min, v)
		s.Max = max(s.Max, v)
	}
	return s
}

// Row is what one candidate measured over all seeds.
type Row struct {
	Candidate string `json:"candidate"`
	Baseline  bool   `json:"baseline,omitempty"`
	Chosen    bool   `json:"chosen,omitempty"`
	// P50, P95 and P99 are of the waits of all requests, in seconds.
	P50 Spread `json:"p50Seconds"`
	P95 Spread `json:"p95Seconds"`
	P99 Spread `json:"p99Seconds"`
	// ColdP99 is of the requests that found no ready replica.
	ColdP99   Spread `json:"coldP99Seconds"`
	ColdShare Spread `json:"coldShare"`
	IdleHours Spread `json:"idleHours"`
	Refused   Spread `json:"refused"`
	Loads     Spread `json:"loads"`
	Evictions Spread `json:"evictions"`
	// P99Change and IdleChange are against the baseline on the same days.
	P99Change  Spread `json:"p99Change"`
	IdleChange Spread `json:"idleChange"`
}

// Comparison is all candidates of one deployment.
type Comparison struct {
	Deployment string `json:"deployment"`
	// Driven says what was driven.
	Driven   string   `json:"driven"`
	First    string   `json:"firstWeighted"`
	Seeds    []uint64 `json:"seeds"`
	Requests Spread   `json:"requests"`
	Rows     []Row    `json:"rows"`
	Verdict  Verdict  `json:"verdict"`
}

// Verdict says whether the chosen policies met the goals on average.
type Verdict struct {
	Met bool `json:"met"`
	// First and Other are the mean changes of the two figures.
	First float64 `json:"first"`
	Other float64 `json:"other"`
}

// Runner drives policies over a trace.
type Runner func(s Shape, t Trace, policies policy.Set, seed uint64) Result

// Compare runs every candidate over the same days.
func Compare(s Shape, run Runner, candidates []Candidate, traces map[uint64]Trace, seeds []uint64) (Comparison, error) {
	results := make([][]Result, len(candidates))
	var group errgroup.Group
	group.SetLimit(runsAtOnce)
	for i, c := range candidates {
		results[i] = make([]Result, len(seeds))
		for j, seed := range seeds {
			group.Go(func() error {
				results[i][j] = run(s, traces[seed], c.Policies, seed)
				return nil
			})
		}
	}
	if err := group.Wait(); err != nil {
		return Comparison{}, trace.Wrap(err)
	}
	c := Comparison{Deployment: s.Name, Seeds: seeds, First: "p99"}
	if s.Preset == policy.PresetLakeshore {
		c.First = "idle hours"
	}
	c.Requests = figure(results[0], func(r Result) float64 { return float64(r.Requests) })
	for i, candidate := range candidates {
		c.Rows = append(c.Rows, newRow(candidate, results[i], results[0]))
	}
	c.judge()
	return c, nil
}

func figure(results []Result, of func(Result) float64) Spread {
	values := make([]float64, 0, len(results))
	for _, r := range results {
		values = append(values, of(r))
	}
	return spread(values)
}

func change(results, baseline []Result, of func(Result) float64) Spread {
	values := make([]float64, 0, len(results))
	for i, r := range results {
		values = append(values, of(r)/of(baseline[i])-1)
	}
	return spread(values)
}

func newRow(c Candidate, results, baseline []Result) Row {
	p99 := func(r Result) float64 { return quantile(r.Waits, 0.99).Seconds() }
	idle := func(r Result) float64 { return r.IdleHours }
	return Row{
		Candidate:  c.Name,
		Baseline:   c.Baseline,
		Chosen:     c.Chosen,
		P50:        figure(results, func(r Result) float64 { return quantile(r.Waits, 0.50).Seconds() }),
		P95:        figure(results, func(r Result) float64 { return quantile(r.Waits, 0.95).Seconds() }),
		P99:        figure(results, p99),
		ColdP99:    figure(results, func(r Result) float64 { return quantile(r.ColdWaits, 0.99).Seconds() }),
		ColdShare:  figure(results, func(r Result) float64 { return float64(len(r.ColdWaits)) / float64(max(r.Requests, 1)) }),
		IdleHours:  figure(results, idle),
		Refused:    figure(results, func(r Result) float64 { return float64(r.Refused()) }),
		Loads:      figure(results, func(r Result) float64 { return float64(r.Loads) }),
		Evictions:  figure(results, func(r Result) float64 { return float64(r.Evictions) }),
		P99Change:  change(results, baseline, p99),
		IdleChange: change(results, baseline, idle),
	}
}

func (c *Comparison) judge() {
	for _, r := range c.Rows {
		if !r.Chosen {
			continue
		}
		c.Verdict = Verdict{First: r.P99Change.Mean, Other: r.IdleChange.Mean}
		if c.First != "p99" {
			c.Verdict = Verdict{First: r.IdleChange.Mean, Other: r.P99Change.Mean}
		}
		c.Verdict.Met = c.Verdict.First <= -FirstMargin && c.Verdict.Other <= OtherBound
	}
}
