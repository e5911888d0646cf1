package vday

import (
	"encoding/json"
	"io"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// dayLength is the span of a trace.
const dayLength = 24 * time.Hour

// Request is one call for a rarely used model.
type Request struct {
	// At is the time since the beginning of the day.
	At    time.Duration `json:"atNanos"`
	Model string        `json:"model"`
	Zone  string        `json:"zone"`
	// Takes is how long the answer takes on a ready replica.
	Takes time.Duration `json:"takesNanos"`
	// Deadline is how long the caller waits for a replica.
	Deadline time.Duration `json:"deadlineNanos"`
}

// Trace is a day of requests in order of time.
type Trace struct {
	Models   []ModelSpec `json:"models"`
	Requests []Request   `json:"requests"`
}

// ReadTrace reads a trace in JSON and checks it.
func ReadTrace(r io.Reader, s Shape) (Trace, error) {
	var t Trace
	decoder := json.NewDecoder(r)
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&t); err != nil {
		return Trace{}, trace.BadParameter("read trace: %v", err)
	}
	return t, trace.Wrap(t.Check(s), "read trace")
}

// maxFaults bounds the faults that a check reports.
const maxFaults = 10

// Check returns an error that names each impossible time and unknown name.
func (t Trace) Check(s Shape) error {
	known := make(map[string]bool)
	var faults []error
	for i, m := range t.Models {
		if known[m.Name] || m.MemoryBytes == 0 || m.MemoryBytes > s.AcceleratorBytes || m.LoadTime <= 0 {
			faults = append(faults, trace.BadParameter(
				"model %d %q: wants a new name, 1 to %d bytes and a load time above 0, has %d bytes and %v",
				i, m.Name, s.AcceleratorBytes, m.MemoryBytes, m.LoadTime))
		}
		known[m.Name] = true
	}
	var last time.Duration
	for i, r := range t.Requests {
		if len(faults) >= maxFaults {
			break
		}
		faults = append(faults, r.check(i, last, known, s))
		last = max(last, r.At)
	}
	return trace.NewAggregate(faults...)
}

func (r Request) check(i int, last time.Duration, known map[string]bool, s Shape) error {
	switch {
	case r.At < 0 || r.At >= dayLength:
		return trace.BadParameter("request %d: time %v is outside the day", i, r.At)
	case r.At < last:
		return trace.BadParameter("request %d: time %v is before that of the request before it, %v", i, r.At, last)
	case r.Takes <= 0 || r.Takes > dayLength:
		return trace.BadParameter("request %d: it takes %v, accepted is above 0 and at most a day", i, r.Takes)
	case r.Deadline <= 0:
		return trace.BadParameter("request %d: deadline %v is not above 0", i, r.Deadline)
	case !known[r.Model]:
		return trace.BadParameter("request %d: model %q is not in the trace", i, r.Model)
	case !slices.Contains(s.Zones, r.Zone):
		return trace.BadParameter("request %d: zone %q is not one of %q", i, r.Zone, s.Zones)
	}
	return nil
}

// NewTrace draws a day of requests; the same seed gives the same day.
func NewTrace(s Shape, seed uint64) Trace {
	g := generator{shape: s, random: rand.New(rand.NewPCG(seed, uint64(len(s.Name))))}
	t := Trace{Models: newModels(s, g.random)}
	for i, m := range t.Models {
		t.Requests = append(t.Requests, g.day(m, rhythm(i%int(rhythms)))...)
	}
	for range s.Storms {
		t.Requests = append(t.Requests, g.storm(t.Models)...)
	}
	slices.SortStableFunc(t.Requests, func(a, b Request) int { return int(a.At - b.At) })
	return t
}

type generator struct {
	shape  Shape
	random *rand.Rand
}

// day draws the sessions of one model.
func (g generator) day(m ModelSpec, kind rhythm) []Request {
	var all []Request
	period := g.period(kind)
	at := g.jitter(period)
	for at < dayLength {
		if kind == steady || g.random.Float64() < g.shape.DayCurve[int(at.Hours())] {
			all = append(all, g.session(m, kind, at)...)
		}
		at += g.next(kind, period)
	}
	return all
}

// period is the mean time between the sessions of a model at the busiest hour.
func (g generator) period(kind rhythm) time.Duration {
	switch kind {
	case steady:
		return 15*time.Minute + g.jitter(75*time.Minute)
	case random:
		return 5*time.Minute + g.jitter(40*time.Minute)
	case rare:
		return 3*time.Hour + g.jitter(5*time.Hour)
	default:
		return time.Hour + g.jitter(3*time.Hour)
	}
}

func (g generator) next(kind rhythm, period time.Duration) time.Duration {
	if kind == steady {
		return period*9/10 + g.jitter(period/5)
	}
	return time.Duration(g.random.ExpFloat64() * float64(period))
}

// session draws the calls of one session: a few one after the other, or a burst
// of many at once.
func (g generator) session(m ModelSpec, kind rhythm, at time.Duration) []Request {
	calls, spread := 1+g.random.IntN(6), 40*time.Second
	if kind == bursty {
		calls, spread = 5+g.random.IntN(g.shape.BurstCallers), time.Second
	}
	zone := g.shape.Zones[g.random.IntN(len(g.shape.Zones))]
	var all []Request
	for range calls {
		if at >= dayLength {
			break
		}
		all = append(all, Request{
			At: at, Model: m.Name, Zone: zone,
			Takes: time.Second + g.jitter(4*time.Second), Deadline: g.shape.Deadline,
		})
		at += g.jitter(spread)
	}
	return all
}

// storm draws bursts over many models within a few seconds of daytime.
func (g generator) storm(models []ModelSpec) []Request {
	at := 8*time.Hour + g.jitter(13*time.Hour)
	var all []Request
	for _, i := range g.random.Perm(len(models))[:g.shape.StormModels] {
		all = append(all, g.session(models[i], bursty, at+g.jitter(10*time.Second))...)
	}
	return all
}

func (g generator) jitter(d time.Duration) time.Duration {
	return time.Duration(g.random.Int64N(int64(d)))
}
