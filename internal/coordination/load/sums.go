package load

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

const (
	// MaxAge is the age up to which a report is part of the sums and a snapshot is used.
	MaxAge = 2 * time.Second
	// settleTime is the time from the first report of a term to the first snapshot. Sums
	// of the reports of only some instances would make busy targets look empty.
	settleTime = 1500 * time.Millisecond
	// refreshInterval is the interval at which expired reports are removed and the rates
	// are sorted.
	refreshInterval = 100 * time.Millisecond
	// maxRates is the maximum number of rates of one kind in a snapshot. Those left out
	// are the lowest.
	maxRates = 128
	// maxPaces is the maximum number of paces in a snapshot. Those left out differ least
	// from the usual one.
	maxPaces = 512
	// minRate is the lowest arrival rate in a snapshot, in requests per second. Fewer
	// requests hardly change the load of a target within the age of a snapshot.
	minRate = 0.5
	// minUse is the lowest use of a team in a snapshot, in thousandths of its quota.
	minUse = 0.1
)

// Snapshot is the load that all instances together cause, as of a time.
type Snapshot struct {
	// Seq is the last report of the receiving instance that the sums contain, 0 if none.
	Seq uint64 `json:"seq,omitempty"`
	// AgeMS is the mean age of the reports in the sums, in milliseconds.
	AgeMS int64 `json:"ageMs,omitempty"`
	// Counts holds the requests in flight of all instances. The byte at i is that of the
	// target with index i+1; 255 stands for 255 or more.
	Counts []byte `json:"counts,omitempty"`
	// Paces holds the paces of the targets whose pace differs from the usual one, in
	// percent by index.
	Paces Counts `json:"paces,omitempty"`
	// Limits holds the limits of all instances' requests in flight at targets that have
	// just started or recovered, by index.
	Limits Counts `json:"limits,omitempty"`
	// Rates holds the requests that arrive per second at all instances, by service and
	// model; the model of a plain service is empty.
	Rates map[string]map[string]float64 `json:"rates,omitempty"`
	// Use is the use of teams over all instances, by team name, in thousandths of their
	// quotas.
	Use map[string]float64 `json:"use,omitempty"`
	// Waiting says whose requests lack a free target at some instance.
	Waiting Waiting `json:"waiting,omitempty"`
}

// Model identifies a model of a service. Model is empty for a plain service.
type Model struct{ Service, Model string }

// Sums adds up the reports of all instances at the lease holder. It is not safe for
// concurrent use.
type Sums struct {
	term   int64
	index  *Index
	ramps  *Ramps
	onRamp func(RampChange)
	// withoutLimits means that targets get no limits after a start or recovery.
	withoutLimits bool

	startedAt time.Time
	counts    []int
	instances map[string]*contribution
	// reported is the number of instances whose reports are in the sums, ages the sum of
	// the times from startedAt to these.
	reported int
	ages     time.Duration
	paces    map[int]*Pace
	arrivals map[Model]*rate
	use      map[string]*rate
	waiting  waitingTeams

	refreshedAt time.Time
	// rates and teams are the parts of a snapshot as of refreshedAt. They are shared by
	// snapshots and never changed.
	rates      map[string]map[string]float64
	paceCounts Counts
	teams      map[string]float64
	waitingNow Waiting
}

// contribution is the last report of one instance, or of a relay with its children.
type contribution struct {
	seq uint64
	// at is the mean time of what was reported.
	at        time.Time
	instances int
	counts    Counts
}

// NewSums returns Sums without reports for a term of the lease holder, whose targets
// have the numbers of index.
func NewSums(term int64, index *Index, opts ...Option) *Sums {
	s := &Sums{
		term: term, index: index, onRamp: func(RampChange) {}, instances: make(map[string]*contribution),
		paces: make(map[int]*Pace), arrivals: make(map[Model]*rate), use: make(map[string]*rate),
		waiting: make(waitingTeams),
	}
	for _, opt := range opts {
		opt(s)
	}
	s.ramps = NewRamps(func(c RampChange) {
		c.Target = index.ID(c.index)
		s.onRamp(c)
	})
	s.ramps.isOff = s.withoutLimits
	return s
}

// Option configures Sums.
type Option func(*Sums)

// WithRampObserver calls f after each change of the limit of a target that has just
// started or recovered; f must not block.
func WithRampObserver(f func(RampChange)) Option {
	return func(s *Sums) { s.onRamp = f }
}

// WithoutStartLimits sets no limits for targets that have just started or recovered.
func WithoutStartLimits() Option {
	return func(s *Sums) { s.withoutLimits = true }
}

// Term returns the term whose indexes the sums use.
func (s *Sums) Term() int64 { return s.term }

// Ramps returns the limits of targets that have just started or recovered.
func (s *Sums) Ramps() *Ramps { return s.ramps }

// Instances returns the number of instances whose reports are in the sums.
func (s *Sums) Instances() int { return s.reported }

// Record replaces the previous report of an instance. Counts with the indexes of another
// term and reports that were overtaken are not used.
func (s *Sums) Record(now time.Time, from string, r *Report) {
	if s.startedAt.IsZero() {
		s.startedAt = now
	}
	for service, n := range r.Arrived {
		s.AddArrivals(now, Model{Service: service}, n)
	}
	for team, n := range r.Use {
		addTo(s.use, team, now, n)
	}
	s.waiting.record(now, r.Waiting)
	have := s.instances[from]
	if r.Term != s.term || have != nil && r.Seq <= have.seq {
		return
	}
	s.observePaces(now, r.Told, Told)
	s.observePaces(now, r.Timed, Timed)
	s.remove(from)
	c := &contribution{seq: r.Seq, at: now.Add(-r.age()), instances: r.instances(), counts: r.Counts}
	s.instances[from] = c
	s.reported += c.instances
	s.ages += time.Duration(c.instances) * c.at.Sub(s.startedAt)
	for i, n := range r.Counts.all() {
		if i >= len(s.counts) {
			s.counts = append(s.counts, make([]int, i+1-len(s.counts))...)
		}
		s.counts[i] += n
	}
	s.recordOutcomes(now, r)
}

func (s *Sums) recordOutcomes(now time.Time, r *Report) {
	outcomes := make(map[int]Outcomes)
	for i, n := range r.InTime.all() {
		outcomes[i] = Outcomes{InTime: n}
	}
	for i, n := range r.Late.all() {
		o := outcomes[i]
		o.Late = n
		outcomes[i] = o
	}
	for i, n := range r.Rejected.all() {
		o := outcomes[i]
		o.Rejected = n
		outcomes[i] = o
	}
	for i, o := range outcomes {
		s.ramps.Record(now, i, s.index.Slots(i), s.inFlight(i), o)
	}
}

func (s *Sums) inFlight(index int) int {
	if index >= len(s.counts) {
		return 0
	}
	return s.counts[index]
}

func (s *Sums) observePaces(now time.Time, percents Counts, from Source) {
	for i, percent := range percents.all() {
		if s.paces[i] == nil {
			s.paces[i] = &Pace{}
		}
		s.paces[i].Observe(now, float64(percent)/100, from)
	}
}

// Forget removes the report of an instance that a relay reports from now on.
func (s *Sums) Forget(from string) { s.remove(from) }

func (s *Sums) remove(from string) {
	c := s.instances[from]
	if c == nil {
		return
	}
	for i, n := range c.counts.all() {
		s.counts[i] -= n
	}
	s.reported -= c.instances
	s.ages -= time.Duration(c.instances) * c.at.Sub(s.startedAt)
	delete(s.instances, from)
}

// AddArrivals counts requests that arrived at an instance.
func (s *Sums) AddArrivals(now time.Time, m Model, n int) {
	addTo(s.arrivals, m, now, float64(n))
}

func addTo[K comparable](rates map[K]*rate, key K, now time.Time, n float64) {
	if !(n > 0) || math.IsInf(n, 0) {
		return
	}
	r := rates[key]
	if r == nil {
		r = &rate{at: now}
		rates[key] = r
	}
	r.add(now, n)
}

// Snapshot returns the sums for an instance, or nil while too few reports have come.
func (s *Sums) Snapshot(now time.Time, to string) *Snapshot {
	if s.startedAt.IsZero() || now.Sub(s.startedAt) < settleTime {
		return nil
	}
	if now.Sub(s.refreshedAt) >= refreshInterval {
		s.refresh(now)
	}
	if len(s.instances) == 0 {
		return nil
	}
	age := now.Sub(s.startedAt) - s.ages/time.Duration(s.reported)
	out := &Snapshot{AgeMS: age.Milliseconds(), Counts: s.encode(), Paces: s.paceCounts, Limits: s.ramps.limits(), Rates: s.rates, Use: s.teams, Waiting: s.waitingNow}
	if c := s.instances[to]; c != nil {
		out.Seq = c.seq
	}
	return out
}

// encode returns one byte for each target up to the last that has requests.
func (s *Sums) encode() []byte {
	last := len(s.counts) - 1
	for last > 0 && s.counts[last] == 0 {
		last--
	}
	out := make([]byte, max(last, 0))
	for i := range out {
		out[i] = byte(min(s.counts[i+1], math.MaxUint8))
	}
	return out
}

// refresh removes expired reports and renews the rates.
func (s *Sums) refresh(now time.Time) {
	s.refreshedAt = now
	s.ramps.Step(now, s.inFlight)
	for from, c := range s.instances {
		if now.Sub(c.at) > MaxAge {
			s.remove(from)
		}
	}
	s.rates = make(map[string]map[string]float64)
	for m, value := range highest(s.arrivals, now, minRate) {
		if s.rates[m.Service] == nil {
			s.rates[m.Service] = make(map[string]float64)
		}
		s.rates[m.Service][m.Model] = value
	}
	s.paceCounts = s.unusualPaces(now)
	s.teams = highest(s.use, now, minUse)
	s.waitingNow = s.waiting.current(now)
}

// unusualPaces returns the paces that differ most from the usual one, in percent, and
// forgets those that hardly do.
func (s *Sums) unusualPaces(now time.Time) Counts {
	const usual = 0.05
	differences := make(map[int]float64)
	for i, p := range s.paces {
		d := math.Abs(math.Log(p.Current(now)))
		if d > usual {
			differences[i] = d
		} else if now.Sub(p.at) > paceDecay {
			delete(s.paces, i)
		}
	}
	percents := make([]int, s.maxPaceIndex()+1)
	kept := slices.SortedFunc(maps.Keys(differences), func(x, y int) int {
		return cmp.Compare(differences[y], differences[x])
	})
	for _, i := range kept[:min(len(kept), maxPaces)] {
		percents[i] = int(math.Round(100 * s.paces[i].Current(now)))
	}
	return newCounts(percents)
}

func (s *Sums) maxPaceIndex() int {
	highest := 0
	for i := range s.paces {
		highest = max(highest, i)
	}
	return highest
}

// highest returns the highest rates, rounded to tenths, and forgets those that are nearly
// over.
func highest[K comparable](rates map[K]*rate, now time.Time, least float64) map[K]float64 {
	const forgetShare = 0.01
	out := make(map[K]float64)
	for key, r := range rates {
		value := r.perSecond(now)
		switch {
		case value < forgetShare*least:
			delete(rates, key)
		case value >= least:
			out[key] = math.Round(10*value) / 10
		}
	}
	if len(out) <= maxRates {
		return out
	}
	keys := slices.SortedFunc(maps.Keys(out), func(x, y K) int { return cmp.Compare(out[y], out[x]) })
	for _, key := range keys[maxRates:] {
		delete(out, key)
	}
	return out
}
