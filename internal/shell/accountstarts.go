package shell

import (
	"cmp"
	"fmt"
	"io"
	"maps"
	"slices"
	"text/tabwriter"
	"time"

	"github.com/gravitational/trace"
)

// startWindow is the time after a start in which the requests that are sent to the target
// are counted.
const startWindow = 5 * time.Second

// The causes of the lines of a target's limit that begin a start.
const (
	causeStarted   = "started"
	causeRejecting = "rejecting"
)

// limitLine is the holder's line of a change of the limit of a starting target.
type limitLine struct {
	Time    time.Time `json:"time"`
	Message string    `json:"message"`
	Target  string    `json:"target"`
	Service string    `json:"service"`
	Cause   string    `json:"cause"`
}

// retryLine is the line of a send after which a request was sent again, or was not.
type retryLine struct {
	Time     time.Time `json:"time"`
	Message  string    `json:"message"`
	Request  string    `json:"request"`
	Target   string    `json:"target"`
	Decision string    `json:"decision"`
	Sends    int       `json:"sends"`
	NotRun   bool      `json:"notRun"`
	Sent     float64   `json:"sent"`
	Took     float64   `json:"took"`
}

// sendResult is what came of a send.
type sendResult int

const (
	// resultOther is a send that was stopped by its caller or by the instance.
	resultOther sendResult = iota
	resultInTime
	resultLate
	resultRejected
	resultNoAnswer
)

// send is one send of a request to a target.
type send struct {
	target   string
	from, to time.Time
	result   sendResult
}

func (s *send) isAnswered() bool { return s.result == resultInTime || s.result == resultLate }

// startAccount collects the starts of targets and the sends of all instances.
type startAccount struct {
	lines    []limitLine
	sends    []*send
	services map[string]string
	// retried holds the last send of each running request that a retry line tells of.
	retried map[string]int
}

func newStartAccount() *startAccount {
	return &startAccount{services: make(map[string]string), retried: make(map[string]int)}
}

func (a *startAccount) addLimit(l *limitLine) {
	if l.Cause == causeStarted || l.Cause == causeRejecting {
		a.lines = append(a.lines, *l)
		a.services[l.Target] = l.Service
	}
}

// addRetry adds a send that was followed by another one. After other decisions the line of
// the end tells of the send, and a send whose key was no longer valid has not been made.
func (a *startAccount) addRetry(l *retryLine) {
	switch l.Decision {
	case "sendElsewhere", "repeat", "resume":
	default:
		return
	}
	a.retried[l.Request] = l.Sends
	result := resultNoAnswer
	if l.NotRun {
		result = resultRejected
	}
	a.sends = append(a.sends, &send{target: l.Target, from: l.Time.Add(millis(l.Sent - l.Took)), to: l.Time, result: result})
}

// addEnd adds the last send of a request that has ended.
func (a *startAccount) addEnd(l *endedLine) {
	retried := a.retried[l.Request]
	delete(a.retried, l.Request)
	if l.Target == "" || l.Sends <= retried || l.Time.IsZero() {
		return
	}
	a.services[l.Target] = cmp.Or(l.Service, a.services[l.Target])
	sent := l.Waited
	if l.Sent != nil {
		sent = *l.Sent
	}
	a.sends = append(a.sends, &send{target: l.Target, from: l.Time.Add(millis(sent - l.Took)), to: l.Time, result: l.result()})
}

// result returns what came of the last send of a request.
func (l *endedLine) result() sendResult {
	switch end, _ := l.end(); {
	case end == endInTime:
		return resultInTime
	case end == endLate:
		return resultLate
	case l.Reason == "full":
		return resultRejected
	case end == endFailed && l.Reason != "answered" && l.Reason != "slowReader" && l.Reason != "memory":
		return resultNoAnswer
	}
	return resultOther
}

// startCounts counts the sends in the first seconds of starts.
type startCounts struct {
	Sent     int `json:"sent"`
	Late     int `json:"late"`
	Rejected int `json:"rejected"`
	NoAnswer int `json:"noAnswer"`
}

func (c *startCounts) add(o startCounts) {
	c.Sent += o.Sent
	c.Late += o.Late
	c.Rejected += o.Rejected
	c.NoAnswer += o.NoAnswer
}

func (c *startCounts) addSend(s *send) {
	c.Sent++
	switch s.result {
	case resultLate:
		c.Late++
	case resultRejected:
		c.Rejected++
	case resultNoAnswer:
		c.NoAnswer++
	}
}

// startRow is one start or recovery of a target.
type startRow struct {
	Service string `json:"service"`
	Target  string `json:"target"`
	Cause   string `json:"cause"`
	// Ready is when the target was ready: when the holder knew it or, for a recovery, when
	// the first request was sent that it has answered since.
	Ready time.Time `json:"ready"`
	// FullUse is the time from then until its requests in flight reached the mean of the
	// healthy targets of its service, in milliseconds; nil if they have not.
	FullUse *float64 `json:"fullUse"`
	startCounts

	// from is when the target was no longer healthy, until when its next start began.
	from, until time.Time
}

// startTotal adds up the starts of a service, or of all if Service is empty.
type startTotal struct {
	Service string `json:"service,omitempty"`
	Starts  int    `json:"starts"`
	// Reached is the number of starts that reached full use, FullUse the median of the
	// times that these took, in milliseconds.
	Reached int     `json:"reached"`
	FullUse float64 `json:"fullUse"`
	startCounts

	times []float64
}

func (t *startTotal) add(r *startRow) {
	t.Starts++
	t.startCounts.add(r.startCounts)
	if r.FullUse != nil {
		t.Reached++
		t.times = append(t.times, *r.FullUse)
	}
}

// startReport is an account of starts, by service and time.
type startReport struct {
	Starts   []*startRow   `json:"starts"`
	Services []*startTotal `json:"services"`
	Total    *startTotal   `json:"total"`
}

// report works out the account.
func (a *startAccount) report() startReport {
	slices.SortFunc(a.sends, func(x, y *send) int { return x.from.Compare(y.from) })
	rows := a.rows()
	byService := make(map[string][]*startRow)
	for _, r := range rows {
		byService[r.Service] = append(byService[r.Service], r)
	}
	out := startReport{Starts: []*startRow{}, Services: []*startTotal{}, Total: &startTotal{}}
	for _, service := range slices.Sorted(maps.Keys(byService)) {
		a.setFullUse(service, byService[service])
		byService[service] = slices.DeleteFunc(byService[service], func(r *startRow) bool { return r.Ready.IsZero() })
		if len(byService[service]) == 0 {
			continue
		}
		total := &startTotal{Service: service}
		for _, r := range byService[service] {
			total.add(r)
			out.Total.add(r)
		}
		out.Starts = append(out.Starts, byService[service]...)
		out.Services = append(out.Services, total)
	}
	for _, t := range append(out.Services, out.Total) {
		if slices.Sort(t.times); len(t.times) > 0 {
			t.FullUse = t.times[len(t.times)/2]
		}
	}
	return out
}

// rows returns the starts in the order of time, with their counts. Those of targets that
// have not recovered have no time of being ready.
func (a *startAccount) rows() []*startRow {
	slices.SortStableFunc(a.lines, func(x, y limitLine) int { return x.Time.Compare(y.Time) })
	var rows []*startRow
	last := make(map[string]*startRow)
	byTarget := make(map[string][]*startRow)
	for _, l := range a.lines {
		r := &startRow{Service: a.services[l.Target], Target: l.Target, Cause: l.Cause, from: l.Time}
		if l.Cause == causeStarted {
			r.Ready = l.Time
		}
		if was := last[l.Target]; was != nil {
			was.until = l.Time
		}
		last[l.Target] = r
		rows = append(rows, r)
		byTarget[l.Target] = append(byTarget[l.Target], r)
	}
	for _, s := range a.sends {
		for _, r := range byTarget[s.target] {
			if s.from.Before(r.from) || !r.until.IsZero() && !s.from.Before(r.until) {
				continue
			}
			if r.Ready.IsZero() && s.isAnswered() {
				r.Ready = s.from
			}
			if !r.Ready.IsZero() && s.from.Before(r.Ready.Add(startWindow)) {
				r.addSend(s)
			}
		}
	}
	return rows
}

// useEvent is a change of the requests in flight at a target, or of what counts as healthy.
type useEvent struct {
	at     time.Time
	target string
	// change is of the requests in flight at the target.
	change int
	// joins and leaves are of the healthy targets; start is one that begins.
	joins, leaves bool
	start         *startRow
	// sentAt is when the request was sent whose begin or end this is. Requests to a former
	// incarnation do not count.
	sentAt time.Time
}

// events returns the changes at the targets of a service in the order of time. A target
// takes part from its first request to the end of its last.
func (a *startAccount) events(service string, rows []*startRow) []useEvent {
	var events []useEvent
	first, last := make(map[string]time.Time), make(map[string]time.Time)
	for _, s := range a.sends {
		if a.services[s.target] != service {
			continue
		}
		events = append(events,
			useEvent{at: s.from, target: s.target, change: 1, sentAt: s.from},
			useEvent{at: s.to, target: s.target, change: -1, sentAt: s.from})
		if _, ok := first[s.target]; !ok {
			first[s.target] = s.from
		}
		if s.to.After(last[s.target]) {
			last[s.target] = s.to
		}
	}
	for target, at := range first {
		events = append(events, useEvent{at: at, target: target, joins: true}, useEvent{at: last[target], target: target, leaves: true})
	}
	for _, r := range rows {
		events = append(events, useEvent{at: r.from, target: r.Target, start: r})
	}
	slices.SortStableFunc(events, func(x, y useEvent) int {
		return cmp.Or(x.at.Compare(y.at), cmp.Compare(x.change, y.change))
	})
	return events
}

// setFullUse sets when the starts of a service reached the mean of its healthy targets.
func (a *startAccount) setFullUse(service string, rows []*startRow) {
	inFlight := make(map[string]int)
	healthy := make(map[string]bool)
	starting := make(map[string]*startRow)
	sum := 0
	setHealthy := func(target string, is bool) {
		if healthy[target] == is {
			return
		}
		if is {
			healthy[target] = true
			sum += inFlight[target]
			return
		}
		delete(healthy, target)
		sum -= inFlight[target]
	}
	for _, e := range a.events(service, rows) {
		switch {
		case e.start != nil:
			setHealthy(e.target, false)
			starting[e.target] = e.start
			if e.start.Cause == causeStarted {
				// Requests of a former incarnation have ended with it.
				inFlight[e.target] = 0
			}
		case e.joins:
			setHealthy(e.target, starting[e.target] == nil)
		case e.leaves:
			setHealthy(e.target, false)
		default:
			r := starting[e.target]
			if r != nil && r.Cause == causeStarted && e.sentAt.Before(r.from) {
				continue
			}
			inFlight[e.target] += e.change
			if healthy[e.target] {
				sum += e.change
			}
		}
		if e.change <= 0 {
			// The mean also falls when requests end, down to 0 at the end of the logs.
			continue
		}
		for target, r := range starting {
			if r.Ready.IsZero() || e.at.Before(r.Ready) || sum == 0 || inFlight[target]*len(healthy) < sum {
				continue
			}
			took := float64(e.at.Sub(r.Ready)) / float64(time.Millisecond)
			r.FullUse = &took
			delete(starting, target)
			setHealthy(target, true)
		}
	}
}

// seconds returns a time in milliseconds as text, "-" if there is none.
func seconds(isKnown bool, ms float64) string {
	if !isKnown {
		return "-"
	}
	return fmt.Sprintf("%.1f s", ms/1000)
}

// print writes the report as a table or as JSON.
func (r *startReport) print(out io.Writer, asJSON bool) error {
	if asJSON {
		return printJSON(out, r)
	}
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	fmt.Fprint(w, "service\ttarget\tcause\tready\tfull use\tsent\tlate\trejected\tno answer\n")
	counts := func(c startCounts) string {
		return fmt.Sprintf("%d\t%d\t%d\t%d\n", c.Sent, c.Late, c.Rejected, c.NoAnswer)
	}
	total := func(name string, t *startTotal) {
		fmt.Fprintf(w, "%s\ttotal\t%d of %d\t\t%s\t%s", name, t.Reached, t.Starts, seconds(t.Reached > 0, t.FullUse), counts(t.startCounts))
	}
	for _, t := range r.Services {
		for _, s := range r.Starts {
			if s.Service != t.Service {
				continue
			}
			full := 0.0
			if s.FullUse != nil {
				full = *s.FullUse
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\t%s\t%s", s.Service, s.Target, s.Cause,
				s.Ready.UTC().Format("15:04:05.000"), seconds(s.FullUse != nil, full), counts(s.startCounts))
		}
		total(t.Service, t)
	}
	total("all", r.Total)
	return trace.Wrap(w.Flush())
}
