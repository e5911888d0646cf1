package shell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"math"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// loadBounds are the lowest true loads of the rows of a load account.
var loadBounds = []int{0, 4, 8, 12, 16, 24, 36, 48}

// sending is a request at its target. A request that was sent several times counts from
// its first send, at its last target.
type sending struct {
	from, to time.Time
	// believed is the estimated number of requests at the target before this one, actual
	// the number according to the logs of all instances.
	believed float64
	actual   int
	isLate   bool
	// isExact reports whether from is when the target was chosen.
	isExact bool
}

// loadAccount compares the believed load at targets with the load that the logs of all
// instances show.
type loadAccount struct {
	byTarget map[string][]*sending
}

func newLoadAccount() *loadAccount {
	return &loadAccount{byTarget: make(map[string][]*sending)}
}

// add adds a request that was sent to a target.
func (a *loadAccount) add(l *endedLine) {
	if l.Target == "" || l.Sends == 0 || l.Time.IsZero() {
		return
	}
	end, _ := l.end()
	from := l.Time.Add(-millis(l.Took - l.Waited))
	a.byTarget[l.Target] = append(a.byTarget[l.Target], &sending{
		from: from, to: l.Time, believed: l.Load, isLate: end == endLate, isExact: l.Sends == 1,
	})
}

func millis(n float64) time.Duration { return time.Duration(n * float64(time.Millisecond)) }

// compare returns the requests with an exact time of sending, with their actual loads.
func (a *loadAccount) compare() []*sending {
	var out []*sending
	for _, list := range a.byTarget {
		slices.SortFunc(list, func(x, y *sending) int { return x.from.Compare(y.from) })
		ends := slices.Clone(list)
		slices.SortFunc(ends, func(x, y *sending) int { return x.to.Compare(y.to) })
		ended := 0
		for i, s := range list {
			for ended < len(ends) && !ends[ended].to.After(s.from) {
				ended++
			}
			s.actual = max(i-ended, 0)
			if s.isExact {
				out = append(out, s)
			}
		}
	}
	return out
}

// loadRow is a row of a load account.
type loadRow struct {
	// From and To bound the true load; To is 0 in the last row.
	From     int     `json:"from"`
	To       int     `json:"to,omitempty"`
	Requests int     `json:"requests"`
	Late     float64 `json:"late"`
	Believed float64 `json:"believed"`
}

// loadReport is a load account.
type loadReport struct {
	Rows []loadRow `json:"rows"`
	// Correlation is Spearman's rank correlation of the true and the believed load; 0 if
	// either is the same for all requests.
	Correlation float64 `json:"correlation"`
}

func newLoadReport(list []*sending) loadReport {
	rows := make([]loadRow, len(loadBounds))
	for i, from := range loadBounds {
		rows[i].From = from
		if i+1 < len(loadBounds) {
			rows[i].To = loadBounds[i+1] - 1
		}
	}
	actual, believed := make([]float64, len(list)), make([]float64, len(list))
	for i, s := range list {
		at, isBound := slices.BinarySearch(loadBounds, s.actual)
		if !isBound {
			at--
		}
		r := &rows[at]
		r.Requests++
		r.Believed += s.believed
		if s.isLate {
			r.Late++
		}
		actual[i], believed[i] = float64(s.actual), s.believed
	}
	for i := range rows {
		n := float64(max(rows[i].Requests, 1))
		rows[i].Late /= n
		rows[i].Believed /= n
	}
	return loadReport{Rows: rows, Correlation: correlation(ranks(actual), ranks(believed))}
}

// ranks returns the ranks of the values; equal values share the mean of their ranks.
func ranks(values []float64) []float64 {
	order := make([]int, len(values))
	for i := range order {
		order[i] = i
	}
	slices.SortFunc(order, func(x, y int) int { return cmp.Compare(values[x], values[y]) })
	out := make([]float64, len(values))
	for i := 0; i < len(order); {
		end := i
		for end < len(order) && values[order[end]] == values[order[i]] {
			end++
		}
		for _, at := range order[i:end] {
			out[at] = float64(i+end-1) / 2
		}
		i = end
	}
	return out
}

// correlation returns Pearson's correlation of two lists of the same length, 0 if one of
// them is constant.
func correlation(x, y []float64) float64 {
	mean := float64(len(x)-1) / 2
	var xy, xx, yy float64
	for i := range x {
		dx, dy := x[i]-mean, y[i]-mean
		xy, xx, yy = xy+dx*dy, xx+dx*dx, yy+dy*dy
	}
	if xx == 0 || yy == 0 {
		return 0
	}
	return xy / math.Sqrt(xx*yy)
}

// print writes the report as a table or as JSON.
func (r *loadReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return trace.Wrap(json.NewEncoder(out).Encode(r))
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "true load\trequests\tlate\tbelieved\n")
	for _, row := range r.Rows {
		span := fmt.Sprintf("%d-%d", row.From, row.To)
		if row.To == 0 {
			span = fmt.Sprintf("%d+", row.From)
		}
		fmt.Fprintf(w, "%s\t%d\t%.1f %%\t%.1f\n", span, row.Requests, 100*row.Late, row.Believed)
	}
	if err := w.Flush(); err != nil {
		return trace.Wrap(err)
	}
	_, err := fmt.Fprintf(out, "rank correlation %.2f\n", r.Correlation)
	return trace.Wrap(err)
}
