package load

import (
	"maps"
	"math"
	"slices"
	"sync"
	"time"
)

const (
	// relayReportTime is the time until a relay's next report has reached the holder: two
	// intervals of 250 ms between its messages, of which every second may come without a
	// report, and the message.
	relayReportTime = 650 * time.Millisecond
	// childReportTTL is how long a child's report is part of what its relay reports. After
	// that time the holder still counts it until the relay's next report, so a child that
	// has changed its relay is counted twice for MaxAge at most.
	childReportTTL = MaxAge - relayReportTime
)

// Collector sums the reports of a relay and its children into one for the lease holder, and
// derives from a snapshot for the relay those for the children. It is safe for concurrent
// use.
type Collector struct {
	mu       sync.Mutex
	children map[string]*childReport
	// parts holds what is added up since the last report.
	parts increments
	// sent holds the last reports of the relay; the one with number n is at n modulo
	// keptReports.
	sent [keptReports]sentSum
	// latest is the latest snapshot for the relay, of a term, as of takenAt or later.
	latest  *Snapshot
	term    int64
	takenAt time.Time
}

// childReport is the last report of a child, without what is added up.
type childReport struct {
	Report
	at time.Time
	// answered is the relay's report in the last snapshot that the child got, in term.
	answered uint64
	term     int64
}

// sentSum names the report of each child that a report of the relay contains.
type sentSum struct {
	term int64
	seq  uint64
	of   map[string]uint64
}

// NewCollector returns a Collector without children.
func NewCollector() *Collector {
	return &Collector{children: make(map[string]*childReport), parts: newIncrements()}
}

// Put records a child's report. A report that was overtaken is not used.
func (c *Collector) Put(now time.Time, from string, r *Report) {
	c.mu.Lock()
	defer c.mu.Unlock()
	have := c.children[from]
	if have == nil {
		have = &childReport{}
		c.children[from] = have
	}
	if r.Seq <= have.Seq {
		return
	}
	c.parts.add(r)
	have.Report, have.at = r.WithoutIncrements(), now
}

// Sum returns the relay's own report with those of its children added. Reports with the
// indexes of another term are left out.
func (c *Collector) Sum(now time.Time, own Report) Report {
	c.mu.Lock()
	defer c.mu.Unlock()
	maps.DeleteFunc(c.children, func(_ string, r *childReport) bool { return now.Sub(r.at) > childReportTTL })
	sum := sentSum{term: own.Term, seq: own.Seq, of: make(map[string]uint64, len(c.children))}
	out := own.WithoutIncrements()
	out.Instances = own.instances()
	age := time.Duration(out.Instances) * own.age()
	var counts []int
	addCounts(&counts, own.Counts)
	waiting := make(Waiting)
	waiting.merge(own.Waiting)
	for name, r := range c.children {
		if r.Term != own.Term {
			continue
		}
		sum.of[name] = r.Seq
		addCounts(&counts, r.Counts)
		waiting.merge(r.Waiting)
		n := r.instances()
		out.Instances += n
		age += time.Duration(n) * (now.Sub(r.at) + r.age())
	}
	out.Counts = newCounts(counts)
	if len(waiting) > 0 {
		out.Waiting = waiting
	}
	out.AgeMS = ceilMS(age / time.Duration(out.Instances))
	c.parts.add(&own)
	c.parts.moveTo(&out)
	c.sent[own.Seq%keptReports] = sum
	return out
}

// SetSnapshot records a snapshot for the relay, which answers a report sent at sentAt.
func (c *Collector) SetSnapshot(term int64, s *Snapshot, sentAt time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if s != nil && (term != c.term || sentAt.After(c.takenAt)) {
		c.latest, c.term, c.takenAt = s, term, sentAt
	}
}

// Snapshot returns the latest snapshot of a term for a child: with the child's report that
// the sums contain, and the age that it has now. It returns nil if there is no recent one,
// if the child has got it already, or if the sums do not contain the child's last reports.
func (c *Collector) Snapshot(now time.Time, to string, term int64) *Snapshot {
	c.mu.Lock()
	defer c.mu.Unlock()
	child := c.children[to]
	if child == nil || c.latest == nil || c.term != term || c.latest.Seq == 0 {
		return nil
	}
	if child.term == term && child.answered == c.latest.Seq {
		return nil
	}
	sum := &c.sent[c.latest.Seq%keptReports]
	age := now.Sub(c.takenAt) + time.Duration(c.latest.AgeMS)*time.Millisecond
	if sum.term != term || sum.seq != c.latest.Seq || sum.of[to] == 0 || age > MaxAge {
		return nil
	}
	child.term, child.answered = term, sum.seq
	out := *c.latest
	out.Seq, out.AgeMS = sum.of[to], ceilMS(age)
	return &out
}

// ceilMS rounds up, so that nothing seems newer than it is.
func ceilMS(d time.Duration) int64 {
	return int64((d + time.Millisecond - 1) / time.Millisecond)
}

func addCounts(sums *[]int, counts Counts) {
	for i, n := range counts.all() {
		addAt(sums, i, n)
	}
}

// addAt adds to the number at a position, for which the list grows.
func addAt(list *[]int, index, n int) {
	if index >= len(*list) {
		*list = append(*list, make([]int, index+1-len(*list))...)
	}
	(*list)[index] = min((*list)[index]+n, maxCount)
}

// increments is the parts of reports that are added up, by the term of their indexes.
type increments struct {
	arrived map[string]int
	use     map[string]float64
	byTerm  map[int64]*termIncrements
}

type termIncrements struct {
	told, timed            means
	inTime, late, rejected []int
}

// means holds the mean paces of targets in percent, by index.
type means struct{ sums, numbers []int }

func (m *means) add(percents Counts) {
	for i, percent := range percents.all() {
		addAt(&m.sums, i, percent)
		addAt(&m.numbers, i, 1)
	}
}

func (m *means) counts() Counts {
	out := slices.Clone(m.sums)
	for i := range out {
		if out[i] > 0 {
			out[i] = max(int(math.Round(float64(out[i])/float64(m.numbers[i]))), 1)
		}
	}
	return newCounts(out)
}

func newIncrements() increments {
	return increments{arrived: make(map[string]int), use: make(map[string]float64), byTerm: make(map[int64]*termIncrements)}
}

func (p *increments) add(r *Report) {
	for service, n := range r.Arrived {
		p.arrived[service] += n
	}
	for team, n := range r.Use {
		p.use[team] += n
	}
	t := p.byTerm[r.Term]
	if t == nil {
		t = &termIncrements{}
		p.byTerm[r.Term] = t
	}
	t.told.add(r.Told)
	t.timed.add(r.Timed)
	addCounts(&t.inTime, r.InTime)
	addCounts(&t.late, r.Late)
	addCounts(&t.rejected, r.Rejected)
}

// moveTo moves the increments into a report. Those with the indexes of another term are
// dropped.
func (p *increments) moveTo(r *Report) {
	t := p.byTerm[r.Term]
	if len(p.arrived) > 0 {
		r.Arrived = p.arrived
	}
	if len(p.use) > 0 {
		r.Use = p.use
	}
	if t != nil {
		r.Told, r.Timed = t.told.counts(), t.timed.counts()
		r.InTime, r.Late, r.Rejected = newCounts(t.inTime), newCounts(t.late), newCounts(t.rejected)
	}
	*p = newIncrements()
}
