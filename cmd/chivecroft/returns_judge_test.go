package main

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	gocmp "github.com/google/go-cmp/cmp"
)

const (
	// returnsSlack is the time that a request needs on its way here.
	returnsSlack = 200 * time.Millisecond
	// regressSlack is how long after the effect of a version a request may still be handled as an
	// older one allows.
	regressSlack = 250 * time.Millisecond
)

// returnsFigures are what a play has shown.
type returnsFigures struct {
	calls, notFound, regressed, late, unserved int
}

// isCalm reports whether an instance and the store were undisturbed from contactTime before a
// time, and the test's own process got processor time.
func (w *returnsWorld) isCalm(instance string, at time.Time) bool {
	return !w.wasHeldUp(at) && w.record.calm(instance, at, at)
}

// isUp reports the same, whatever happened to the store.
func (w *returnsWorld) isUp(instance string, at time.Time) bool {
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	return !w.wasHeldUp(at) && w.record.untroubled(at, at, instance)
}

func (w *returnsWorld) wasHeldUp(at time.Time) bool {
	return slices.ContainsFunc(w.heldUps, func(s soakSpan) bool { return at.After(s.from.Add(-returnsSlack)) && at.Before(s.to.Add(returnsSlack)) })
}

// judge reports the faults at clients and targets and prints the figures.
func (w *returnsWorld) judge() {
	w.stateMu.Lock()
	defer w.stateMu.Unlock()
	var f returnsFigures
	var faults []string
	fault := func(count *int, at time.Time, format string, args ...any) {
		*count++
		faults = append(faults, at.Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
	}
	acked := make(map[int]time.Time)
	for _, v := range w.versions {
		acked[v.version] = v.at
	}
	f.calls = len(w.calls)
	served := make(map[processID]time.Time)
	for _, c := range w.calls {
		if at, hasServed := served[c.process()]; c.status == http.StatusOK && (!hasServed || c.ended.Before(at)) {
			served[c.process()] = c.ended
		}
	}
	for _, c := range w.calls {
		due := acked[c.version].Add(soakBounds.ConfigApply + returnsSlack)
		switch {
		case c.status == http.StatusNotFound && c.began.After(due) && w.isCalm(c.instance, c.began):
			fault(&f.notFound, c.began, "CONFIG: %s on the route of version %d, acknowledged %v before: 404", c.id, c.version, c.began.Sub(acked[c.version]))
		case c.status == http.StatusServiceUnavailable && c.began.After(due) && w.isUp(c.instance, c.began):
			// A process that has not got a configuration yet refuses all.
			if at, hasServed := served[c.process()]; !hasServed || c.began.Before(at) {
				break
			}
			fault(&f.unserved, c.began, "%s: 503", c.id)
		}
	}
	for _, c := range regressions(w.calls, regressSlack) {
		fault(&f.regressed, c.began, "CONFIG: %s on the route of version %d is refused after it was served", c.id, c.version)
	}
	for _, a := range w.arrivals {
		l, hasLeft := w.left[a.target]
		if !hasLeft || a.at.Before(l.at.Add(soakBounds.Drain+returnsSlack)) {
			continue
		}
		isBound := w.isCalm(a.instance, a.at) || w.record.calm(a.instance, l.at, l.at.Add(soakBounds.Drain)) && w.isUp(a.instance, a.at)
		if isBound {
			fault(&f.late, a.at, "DRAIN: %s reached from %s %v after its leaving (%s) was acknowledged", a.target, a.instance, a.at.Sub(l.at), l.how)
		}
	}
	slices.Sort(faults)
	for i, text := range faults {
		if i == maxFaultLines {
			w.t.Errorf("%d more", len(faults)-i)
			break
		}
		w.t.Error(text)
	}
	w.record.mu.Lock()
	defer w.record.mu.Unlock()
	for _, text := range w.record.failures {
		w.t.Error(text)
	}
	if len(faults) > 0 {
		for _, s := range w.record.spans {
			w.t.Logf("%s to %s %s: %s", s.from.Format("15:04:05.000"), s.to.Format("15:04:05.000"), s.whom, s.kind)
		}
	}
	w.t.Logf("%d requests: %d refused with 404 late, %d after they were served, %d with 503; %d late arrivals at targets; held up %d times",
		f.calls, f.notFound, f.regressed, f.unserved, f.late, len(w.heldUps))
}

// maxFaultLines is how many faults are printed.
const maxFaultLines = 12

// regressions returns the requests that one process refused with 404 although it had served one on
// the route of the same or a later version more than slack before.
func regressions(calls []returnsCall, slack time.Duration) []returnsCall {
	served := make(map[processID][]returnsCall)
	for _, c := range calls {
		if c.status == http.StatusOK {
			served[c.process()] = append(served[c.process()], c)
		}
	}
	var out []returnsCall
	for _, c := range calls {
		hadIt := func(before returnsCall) bool { return before.version >= c.version && c.began.Sub(before.ended) > slack }
		if c.status == http.StatusNotFound && slices.ContainsFunc(served[c.process()], hadIt) {
			out = append(out, c)
		}
	}
	return out
}

// TestRegressions guards against a judge of returns that misses a version that is taken back, or
// finds one where a process has started anew.
func TestRegressions(t *testing.T) {
	start := time.Now()
	call := func(id string, incarnation, version, status int, after time.Duration) returnsCall {
		at := start.Add(after)
		return returnsCall{id: id, instance: "i1", incarnation: incarnation, version: version, status: status, began: at, ended: at}
	}
	var got []string
	for _, c := range regressions([]returnsCall{
		call("before", 1, 2, 404, 0),
		call("served", 1, 2, 200, time.Second),
		call("soon", 1, 2, 404, time.Second+regressSlack),
		call("late", 1, 2, 404, 2*time.Second),
		call("older", 1, 1, 404, 2*time.Second),
		call("newer", 1, 3, 404, 2*time.Second),
		call("restarted", 2, 2, 404, 2*time.Second),
	}, regressSlack) {
		got = append(got, c.id)
	}
	if diff := gocmp.Diff([]string{"late", "older"}, got); diff != "" {
		t.Errorf("regressions (-want +got):\n%s", diff)
	}
}
