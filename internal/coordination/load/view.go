package load

import (
	"time"
)

const (
	// keptReports is the number of an instance's own reports that are kept. A snapshot
	// that contains none of them is not used. Over a relay it contains one that is up to
	// 0.9 s old, and while requests wait there are more than ten a second.
	keptReports = 32
	// minSnapshotInterval is the minimum interval at which an instance asks for snapshots.
	minSnapshotInterval = 250 * time.Millisecond
	// snapshotBytesPerSecond limits the share of an instance's link that snapshots use.
	snapshotBytesPerSecond = 9000
)

// View is what one instance knows of the load of all. It is not safe for concurrent use.
type View struct {
	term int64
	seq  uint64
	// sent holds the last reports; the one with number n is at n modulo keptReports.
	sent [keptReports]sentReport
	// at is the time as of which the current snapshot holds, by this instance's clock.
	at      time.Time
	dueAt   time.Time
	rates   map[string]map[string]float64
	use     map[string]float64
	waiting Waiting
	paces   map[int]float64
	limits  map[int]int
	isValid bool
}

type sentReport struct {
	term   int64
	seq    uint64
	counts Counts
}

// NewView returns a View without a snapshot. The reports are numbered from now on, so that
// those of an instance that restarts follow its earlier ones.
func NewView(now time.Time) *View {
	return &View{seq: uint64(max(now.UnixNano(), 0)), paces: make(map[int]float64), limits: make(map[int]int)}
}

// Report returns the next report.
func (v *View) Report(now time.Time, own *Own) Report {
	v.seq++
	r := Report{
		Term: v.term, Seq: v.seq, Counts: newCounts(own.InFlight), Due: !now.Before(v.dueAt),
		Told: newCounts(own.told), Timed: newCounts(own.timed),
		InTime: newCounts(own.inTime), Late: newCounts(own.late), Rejected: newCounts(own.rejected),
	}
	v.sent[v.seq%keptReports] = sentReport{term: v.term, seq: v.seq, counts: r.Counts}
	return r
}

// SetTerm sets the term of the holder whose indexes are in use.
func (v *View) SetTerm(term int64) { v.term = term }

// Apply applies a snapshot that answers a report sent at sentAt. It returns the requests
// in flight of the other instances at the position of the targets' indexes, and false if
// the snapshot cannot be used.
func (v *View) Apply(s *Snapshot, sentAt time.Time) ([]int, bool) {
	at := sentAt.Add(-time.Duration(max(s.AgeMS, 0)) * time.Millisecond)
	if v.isValid && at.Before(v.at) {
		return nil, false
	}
	own, ok := v.ownCounts(s.Seq)
	if !ok {
		return nil, false
	}
	others := make([]int, len(s.Counts)+1)
	for i, n := range s.Counts {
		others[i+1] = int(n)
	}
	for i, n := range own.all() {
		if i < len(others) {
			others[i] = max(others[i]-n, 0)
		}
	}
	v.at, v.isValid, v.rates, v.use = at, true, s.Rates, s.Use
	v.waiting = s.Waiting
	clear(v.paces)
	for i, percent := range s.Paces.all() {
		v.paces[i] = float64(percent) / 100
	}
	clear(v.limits)
	for i, limit := range s.Limits.all() {
		v.limits[i] = limit
	}
	v.dueAt = sentAt.Add(snapshotInterval(s))
	return others, true
}

// ownCounts returns the part of the sums that this instance has reported itself.
func (v *View) ownCounts(seq uint64) (Counts, bool) {
	if seq == 0 {
		return nil, true
	}
	r := &v.sent[seq%keptReports]
	return r.counts, r.seq == seq && r.term == v.term
}

// snapshotInterval returns the time until the next snapshot, which depends on the size.
func snapshotInterval(s *Snapshot) time.Duration {
	const (
		base64Growth = 4.0 / 3
		bytesPerRate = 24
	)
	size := base64Growth*float64(len(s.Counts)+len(s.Paces)) + bytesPerRate*float64(len(s.Use)+s.Waiting.count())
	for _, models := range s.Rates {
		size += bytesPerRate * float64(len(models))
	}
	return max(minSnapshotInterval, time.Duration(size/snapshotBytesPerSecond*float64(time.Second)))
}

// Age returns the age of the snapshot, and false if there is none that is recent enough.
func (v *View) Age(now time.Time) (time.Duration, bool) {
	age := now.Sub(v.at)
	return age, v.isValid && age <= MaxAge
}

// Rate returns the requests for a model that arrive per second at all instances.
func (v *View) Rate(m Model) float64 { return v.rates[m.Service][m.Model] }

// Pace returns the pace of the target with an index.
func (v *View) Pace(index int) float64 {
	if pace := v.paces[index]; pace > 0 {
		return pace
	}
	return 1
}

// Limit returns the limit of all instances' requests in flight at the target with an
// index, 0 for none.
func (v *View) Limit(index int) int { return v.limits[index] }

// ServiceRate returns the requests for all models of a service that arrive per second at
// all instances.
func (v *View) ServiceRate(service string) float64 {
	sum := 0.0
	for _, n := range v.rates[service] {
		sum += n
	}
	return sum
}

// Use returns the use of teams over all instances in thousandths of their quotas. The map
// must not be changed.
func (v *View) Use() map[string]float64 { return v.use }

// Waiting returns whose requests lack a free target at some instance. It must not be
// changed.
func (v *View) Waiting() Waiting { return v.waiting }
