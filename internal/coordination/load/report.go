package load

import (
	"encoding/binary"
	"iter"
	"time"
)

// Report is what one instance tells the lease holder about its load, or a relay about that
// of its children and itself.
type Report struct {
	// Term is the holder's term that the indexes belong to.
	Term int64 `json:"term"`
	// Seq increases with each report of an instance, also across restarts.
	Seq uint64 `json:"seq"`
	// Counts holds the requests in flight by target index.
	Counts Counts `json:"at,omitempty"`
	// Told and Timed hold the mean paces that were observed since the previous report, in
	// percent by target index: those that targets report and those from response times.
	Told  Counts `json:"told,omitempty"`
	Timed Counts `json:"timed,omitempty"`
	// InTime, Late and Rejected hold the outcomes since the previous report, by target
	// index, at targets that have a limit or have lately rejected requests.
	InTime   Counts `json:"inTime,omitempty"`
	Late     Counts `json:"late,omitempty"`
	Rejected Counts `json:"rejected,omitempty"`
	// Arrived is the number of requests that arrived since the previous report, by plain
	// service. Those for models are in the instance's demand.
	Arrived map[string]int `json:"arrived,omitempty"`
	// Use is what teams have used since the previous report, by team name, in
	// thousandths of a second of the team's quota.
	Use map[string]float64 `json:"use,omitempty"`
	// Waiting says whose requests lack a free target that serves their model.
	Waiting Waiting `json:"waiting,omitempty"`
	// Due asks for a snapshot with the reply.
	Due bool `json:"due,omitempty"`
	// Instances is the number of instances that the report of a relay is the sum of, 0 for
	// one. AgeMS is the mean age of what they have reported, in milliseconds.
	Instances int   `json:"instances,omitempty"`
	AgeMS     int64 `json:"ageMs,omitempty"`
}

// WithoutIncrements returns the report without what is counted since the previous one. The
// rest replaces the previous report and may be sent more than once.
func (r *Report) WithoutIncrements() Report {
	return Report{
		Term: r.Term, Seq: r.Seq, Counts: r.Counts, Waiting: r.Waiting, Due: r.Due, Instances: r.Instances, AgeMS: r.AgeMS,
	}
}

// instances returns the number of instances that the report is of.
func (r *Report) instances() int { return min(max(r.Instances, 1), maxInstances) }

// age returns the mean age of what the report says.
func (r *Report) age() time.Duration {
	return time.Duration(min(max(r.AgeMS, 0), MaxAge.Milliseconds())) * time.Millisecond
}

// Own is the load of one instance, by target index.
type Own struct {
	InFlight    []int
	told, timed []int

	inTime, late, rejected []int
}

// AddOutcomes adds the outcomes at a target.
func (o *Own) AddOutcomes(index int, n Outcomes) {
	setAt(&o.inTime, index, n.InTime)
	setAt(&o.late, index, n.Late)
	setAt(&o.rejected, index, n.Rejected)
}

// setAt sets a value above 0 at a position, for which the list grows.
func setAt(list *[]int, index, n int) {
	if n <= 0 {
		return
	}
	if index >= len(*list) {
		*list = append(*list, make([]int, index+1-len(*list))...)
	}
	(*list)[index] = n
}

// AddPace adds the paces that were observed at a target.
func (o *Own) AddPace(index int, f Figures, from Source) {
	list := &o.told
	if from == Timed {
		list = &o.timed
	}
	setAt(list, index, f.Percent())
}

// Counts holds numbers by index in the order of the indexes, as unsigned varints: the
// difference to the previous index, then the number.
type Counts []byte

// newCounts encodes the numbers above 0 of dense, whose position is the index.
func newCounts(dense []int) Counts {
	var out Counts
	last := 0
	for i, n := range dense {
		if n <= 0 {
			continue
		}
		out = binary.AppendUvarint(out, uint64(i-last))
		out = binary.AppendUvarint(out, uint64(n))
		last = i
	}
	return out
}

// Limits of what is accepted from another instance.
const (
	maxIndex = 1 << 16
	maxCount = 1 << 20
	// maxInstances limits the instances of one report.
	maxInstances = 1 << 12
)

// all yields each index with its number. It ends at the first invalid entry.
func (c Counts) all() iter.Seq2[int, int] {
	return func(yield func(int, int) bool) {
		index := uint64(0)
		for rest := []byte(c); len(rest) > 0; {
			step, n1 := binary.Uvarint(rest)
			if n1 <= 0 {
				return
			}
			count, n2 := binary.Uvarint(rest[n1:])
			if n2 <= 0 || step > maxIndex || count > maxCount {
				return
			}
			rest = rest[n1+n2:]
			index += step
			if index > maxIndex || !yield(int(index), int(count)) {
				return
			}
		}
	}
}
