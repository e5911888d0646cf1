package bench

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	histogramLeast  = int64(time.Microsecond)
	histogramMost   = int64(5 * time.Minute)
	histogramDigits = 3
	// curveTicks is how finely a distribution is drawn, in points for each halving
	// of what is left above.
	curveTicks = 20
)

// recorder takes the answers of concurrent calls.
type recorder struct {
	mu    sync.Mutex
	kinds map[ShotKind]*tally
	notes []string
	took  time.Duration
	// refused are the request keys of which all callers were told "not run";
	// taken are those of which any caller was told something else.
	refused map[string]bool
	taken   map[string]bool
}

// tally is the answers to one kind of calls.
type tally struct {
	verdicts map[Verdict]int
	reasons  map[string]int
	first    *hdrhistogram.Histogram
	over     int
}

func newRecorder() *recorder {
	return &recorder{
		kinds:   make(map[ShotKind]*tally),
		refused: make(map[string]bool),
		taken:   make(map[string]bool),
	}
}

func (r *recorder) add(shot Shot, a Answer) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.kinds[shot.Kind]
	if t == nil {
		t = &tally{
			verdicts: make(map[Verdict]int),
			reasons:  make(map[string]int),
			first:    hdrhistogram.New(histogramLeast, histogramMost, histogramDigits),
		}
		r.kinds[shot.Kind] = t
	}
	t.verdicts[a.Verdict]++
	if a.Verdict != Served {
		t.reasons[string(a.Verdict)+": "+a.Reason]++
	}
	if a.FirstToken > 0 && t.first.RecordValue(int64(a.FirstToken)) != nil {
		t.over++
	}
	if shot.Key == "" {
		return
	}
	if a.Verdict == Refused {
		r.refused[shot.Key] = true
	} else {
		r.taken[shot.Key] = true
	}
}

func (r *recorder) note(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notes = append(r.notes, text)
}

// Report is how a run went.
type Report struct {
	Shape    string               `json:"shape"`
	Seed     uint64               `json:"seed"`
	Took     time.Duration        `json:"tookNanos"`
	Requests int                  `json:"requests"`
	Kinds    map[ShotKind]*KindOf `json:"kinds"`
	// Doubled is the number of run-once keys that ran more than once, FalseNotRun
	// that of keys that ran though every caller was told that they did not; both
	// count only if RunsChecked is set.
	RunsChecked bool `json:"runsChecked"`
	Doubled     int  `json:"doubled"`
	FalseNotRun int  `json:"falseNotRun"`
	// Accelerators is how the accelerators were used; nil if it was not watched.
	Accelerators *Accelerators `json:"accelerators,omitempty"`
	// CPUPerRequest is the entries' processor time over the number of requests;
	// nil if it was not measured.
	CPUPerRequest *time.Duration `json:"cpuPerRequestNanos,omitempty"`
	Notes         []string       `json:"notes,omitempty"`
}

// KindOf is how the calls of one kind went.
type KindOf struct {
	Requests int             `json:"requests"`
	Verdicts map[Verdict]int `json:"verdicts"`
	// Reasons counts what was not served, by verdict and reason.
	Reasons map[string]int `json:"reasons,omitempty"`
	// First is the time to the first token, or to the head of the answer.
	First Times `json:"first"`

	curve []hdrhistogram.Bracket
}

// Times is a distribution in a few figures.
type Times struct {
	Count int64         `json:"count"`
	P50   time.Duration `json:"p50Nanos"`
	P95   time.Duration `json:"p95Nanos"`
	P99   time.Duration `json:"p99Nanos"`
	Max   time.Duration `json:"maxNanos"`
}

func (r *recorder) report(shape string) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	report := &Report{Shape: shape, Took: r.took, Kinds: make(map[ShotKind]*KindOf), Notes: slices.Clone(r.notes)}
	for kind, t := range r.kinds {
		k := &KindOf{
			Verdicts: maps.Clone(t.verdicts),
			Reasons:  maps.Clone(t.reasons),
			First:    timesOf(t.first),
			curve:    t.first.CumulativeDistributionWithTicks(curveTicks),
		}
		for _, n := range t.verdicts {
			k.Requests += n
		}
		report.Requests += k.Requests
		report.Kinds[kind] = k
		if t.over > 0 {
			report.Notes = append(report.Notes, fmt.Sprintf("%d times of %s calls were too long to count", t.over, kind))
		}
	}
	return report
}

func timesOf(h *hdrhistogram.Histogram) Times {
	return Times{
		Count: h.TotalCount(),
		P50:   time.Duration(h.ValueAtQuantile(50)),
		P95:   time.Duration(h.ValueAtQuantile(95)),
		P99:   time.Duration(h.ValueAtQuantile(99)),
		Max:   time.Duration(h.Max()),
	}
}

func (r *Report) addCPU(used time.Duration) {
	if r.Requests == 0 {
		return
	}
	each := used / time.Duration(r.Requests)
	r.CPUPerRequest = &each
}

// Broken returns the promises that the run saw broken, empty if none.
func (r *Report) Broken() []string {
	counts := map[Verdict]int{}
	for _, k := range r.Kinds {
		for _, v := range []Verdict{Wrong, Lost, Late} {
			counts[v] += k.Verdicts[v]
		}
	}
	var broken []string
	for _, v := range []Verdict{Wrong, Lost, Late} {
		if counts[v] > 0 {
			broken = append(broken, fmt.Sprintf("%d answers were %s", counts[v], v))
		}
	}
	if r.Doubled > 0 {
		broken = append(broken, fmt.Sprintf("%d run-once calls ran more than once", r.Doubled))
	}
	if r.FalseNotRun > 0 {
		broken = append(broken, fmt.Sprintf(`%d run-once calls ran though their refusals said "not run"`, r.FalseNotRun))
	}
	return broken
}

func percent(share float64) string {
	return fmt.Sprintf("%.1f%%", 100*share)
}

var (
	kindOrder    = []ShotKind{ShotCold, ShotWarm, ShotLookup, ShotRunOnce}
	verdictOrder = []Verdict{Served, Late, Refused, Unknown, Repeated, Cut, Wrong, Unreached, Lost}
)

// Print writes the report as one table with what stands behind it.
func (r *Report) Print(w io.Writer) error {
	fmt.Fprintf(w, "%s, seed %d: %d requests in %v\n\n", r.Shape, r.Seed, r.Requests, r.Took.Round(time.Millisecond))
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	head := []string{"calls", "requests"}
	for _, v := range verdictOrder {
		head = append(head, string(v))
	}
	head = append(head, "first p50", "p95", "p99", "max")
	fmt.Fprintln(t, strings.Join(head, "\t")+"\t")
	for _, kind := range kindOrder {
		if k := r.Kinds[kind]; k != nil {
			fmt.Fprintln(t, k.row(kind))
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	r.printRest(w)
	return nil
}

func (k *KindOf) row(kind ShotKind) string {
	cells := []string{string(kind), fmt.Sprint(k.Requests)}
	for _, v := range verdictOrder {
		cells = append(cells, fmt.Sprint(k.Verdicts[v]))
	}
	for _, d := range []time.Duration{k.First.P50, k.First.P95, k.First.P99, k.First.Max} {
		cells = append(cells, fmt.Sprintf("%.1fms", float64(d)/float64(time.Millisecond)))
	}
	return strings.Join(cells, "\t") + "\t"
}

func (r *Report) printRest(w io.Writer) {
	fmt.Fprintln(w)
	for _, kind := range kindOrder {
		k := r.Kinds[kind]
		if k == nil {
			continue
		}
		for _, reason := range slices.Sorted(maps.Keys(k.Reasons)) {
			fmt.Fprintf(w, "%s %d× %s\n", kind, k.Reasons[reason], reason)
		}
	}
	if r.RunsChecked {
		fmt.Fprintf(w, "run-once calls that ran twice: %d; that ran against their refusals: %d\n", r.Doubled, r.FalseNotRun)
	}
	if a := r.Accelerators; a != nil {
		fmt.Fprintf(w, "accelerators over %v: %s busy, %s loading, %s idle, %s free; %d loads\n", a.Over.Round(time.Second),
			percent(a.Busy), percent(a.Loading), percent(a.Idle), percent(a.Free), a.Loads)
	}
	if r.CPUPerRequest != nil {
		fmt.Fprintf(w, "processor time of the entries: %v for each request\n", r.CPUPerRequest.Round(time.Microsecond))
	}
	for _, note := range r.Notes {
		fmt.Fprintf(w, "note: %s\n", note)
	}
	for _, broken := range r.Broken() {
		fmt.Fprintf(w, "BROKEN: %s\n", broken)
	}
}
