package shell

import (
	"cmp"
	"encoding/json"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// AccountCmd adds up how the requests ended that instances' logs tell of.
type AccountCmd struct {
	Files  []string `arg:"" optional:"" help:"Logs of the instances; standard input if there are none." type:"existingfile"`
	By     string   `help:"What to group requests by." enum:"none,route,model,target" default:"none"`
	Load   bool     `help:"Compare the believed with the true load at the chosen targets instead. Needs the logs of all instances."`
	Starts bool     `help:"Show how targets that started or recovered came into use instead. Needs the logs of all instances."`
	JSON   bool     `help:"Print JSON."`
}

// The ends of a request in an account. A late, refused or failed one has a cause too.
const (
	endInTime  = "in time"
	endLate    = "late"
	endRefused = "refused"
	endFailed  = "failed"
	endLeft    = "left"
)

// The causes of a late answer.
const (
	// causeWait means that the answer would have begun in time without the wait for a place.
	causeWait = "wait"
	// causeStart means that the target was slow to begin.
	causeStart = "start"
	// causePause means that it began in time and paused for too long.
	causePause = "pause"
)

// endedLine is the last line of a request; times are in milliseconds.
type endedLine struct {
	// Time is the time of the line, which ends the request.
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Request string    `json:"request"`
	Route   string    `json:"route"`
	Model   string    `json:"model"`
	Target  string    `json:"target"`
	Status  int       `json:"status"`
	Reason  string    `json:"reason"`
	Ran     int       `json:"ran"`
	Waited  float64   `json:"waited"`
	Began   float64   `json:"began"`
	Goal    float64   `json:"goal"`
	GapGoal float64   `json:"gapGoal"`
	Pause   float64   `json:"pause"`
	Took    float64   `json:"took"`
	Sends   int       `json:"sends"`
	Service string    `json:"service"`
	// Sent is the time from the request's arrival to its last send; older logs lack it.
	Sent *float64 `json:"sent"`
	Load float64  `json:"load"`
}

// end tells how the request ended, and why.
func (l *endedLine) end() (end, cause string) {
	answered := l.Reason == "answered"
	switch {
	case l.Reason == "callerLeft":
		return endLeft, ""
	case answered && l.Status >= http.StatusInternalServerError:
		return endFailed, fmt.Sprintf("answered %d", l.Status)
	case answered && l.Goal > 0 && l.Began > l.Goal:
		if l.Began-l.Waited <= l.Goal {
			return endLate, causeWait
		}
		return endLate, causeStart
	case answered && l.GapGoal > 0 && l.Pause > l.GapGoal:
		return endLate, causePause
	case answered:
		return endInTime, ""
	case l.Ran == 0:
		return endRefused, l.Reason
	}
	return endFailed, l.Reason
}

func (l *endedLine) group(by string) string {
	switch by {
	case "route":
		return l.Route
	case "model":
		return l.Model
	case "target":
		return l.Target
	}
	return ""
}

// accountRow counts the requests of a group with one end and cause.
type accountRow struct {
	Group    string  `json:"group,omitempty"`
	End      string  `json:"end"`
	Cause    string  `json:"cause,omitempty"`
	Requests int     `json:"requests"`
	Share    float64 `json:"share"`
}

// account counts requests by group, end and cause.
type account struct {
	counts map[accountRow]int
	groups map[string]int
}

func newAccount() *account {
	return &account{counts: make(map[accountRow]int), groups: make(map[string]int)}
}

func (a *account) add(group, end, cause string) {
	a.counts[accountRow{Group: group, End: end, Cause: cause}]++
	a.groups[group]++
}

// rows returns the counts, largest groups first.
func (a *account) rows() []accountRow {
	rows := slices.Collect(maps.Keys(a.counts))
	for i := range rows {
		n := a.counts[rows[i]]
		rows[i].Requests, rows[i].Share = n, float64(n)/float64(a.groups[rows[i].Group])
	}
	slices.SortFunc(rows, func(x, y accountRow) int {
		return cmp.Or(
			cmp.Compare(a.groups[y.Group], a.groups[x.Group]), strings.Compare(x.Group, y.Group),
			cmp.Compare(y.Requests, x.Requests), strings.Compare(x.End+x.Cause, y.End+y.Cause),
		)
	})
	return rows
}

// Run reads the logs and prints the account. Requests that no route was found for are not
// in it, nor are those that an instance had no time to log the end of.
func (c *AccountCmd) Run(s Streams) error {
	a, loads, starts := newAccount(), newLoadAccount(), newStartAccount()
	broken := 0
	// read reads a line of a message and reports whether that is what it is.
	read := func(text, message string, l any, have *string) bool {
		if !strings.Contains(text, `"`+message+`"`) {
			return false
		}
		if err := json.Unmarshal([]byte(text), l); err != nil {
			broken++
			return false
		}
		return *have == message
	}
	bad, err := readLogs(c.Files, s.In, func(_, text string) {
		if c.Starts {
			var limit limitLine
			var retry retryLine
			switch {
			case read(text, "limit of a starting target", &limit, &limit.Message):
				starts.addLimit(&limit)
				return
			case read(text, "retry decision", &retry, &retry.Message):
				starts.addRetry(&retry)
				return
			}
		}
		var l endedLine
		if !read(text, "ended", &l, &l.Message) || l.Route == "" || l.Request == "" {
			return
		}
		switch {
		case c.Starts:
			starts.addEnd(&l)
		case c.Load:
			loads.add(&l)
		}
		end, cause := l.end()
		a.add(l.group(c.By), end, cause)
	})
	if err != nil {
		return err
	}
	reportBad(s.Err, bad+broken)
	rows := a.rows()
	if len(rows) == 0 {
		return trace.NotFound("the logs tell of the end of no request")
	}
	if c.Starts {
		r := starts.report()
		return r.print(s.Out, c.JSON)
	}
	if c.Load {
		r := newLoadReport(loads.compare())
		return r.print(s.Out, c.JSON)
	}
	if c.JSON {
		return trace.Wrap(json.NewEncoder(s.Out).Encode(rows))
	}
	w := tabwriter.NewWriter(s.Out, 0, 0, 2, ' ', 0)
	for _, r := range rows {
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%.1f %%\n", r.Group, r.End, r.Cause, r.Requests, 100*r.Share)
	}
	return trace.Wrap(w.Flush())
}
