package main

import (
	"fmt"
	"net/http"
	"slices"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// Bounds of the judgement beside those of the platform.
const (
	// cancelTime is when a target has to hear that a caller has left.
	cancelTime = 500 * time.Millisecond
	// thawSlack is when orders count again after a freeze or a cut has ended.
	thawSlack = 300 * time.Millisecond
	// lateAnswer is how long after a route's timeout an answer may come.
	lateAnswer = 500 * time.Millisecond
	// servedShare is the part of requests that has to be served after recovery.
	servedShare = 0.9
	// toldAfter is how long after an instance's first request to a target with a rate
	// limit its requests count: the answer to the first has told it half a second before.
	toldAfter = 800 * time.Millisecond
	// crossingTime is how long after its beginning a request that crosses a planned
	// close may fail.
	crossingTime = 200 * time.Millisecond
)

// judge returns every broken promise.
func (w *soakWorld) judge() []string {
	r := w.record
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.calls {
		r.judgeRuns(c)
		r.judgeAnswer(c)
		r.judgeStop(c)
		r.judgeTime(c)
	}
	r.judgeCancels()
	r.judgeDrains()
	r.judgeConfig()
	r.judgeRepeats()
	r.judgeLimits()
	r.judgeDeadly()
	r.judgeTeams()
	r.judgeOthers()
	w.judgeBlocks()
	r.judgeRecovery(w.calmFrom)
	for _, g := range w.targets {
		r.judgeOrders(append(slices.Clone(g.past), g.fake))
	}
	return r.failures
}

func (r *soakRecord) failed(format string, args ...any) {
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

// judgeRuns checks that a request ran no more often than it may, and not at all if
// the caller was told so.
func (r *soakRecord) judgeRuns(c *soakCall) {
	n := len(r.runs[c.id])
	if c.kind.once && n > 1 {
		r.failed("%s (%s) ran %d times", c.id, c.kind.name, n)
	}
	if n > 0 && fake.PromisesNotRun(c.status) {
		r.failed("%s (%s) was answered %d and ran", c.id, c.kind.name, c.status)
	}
}

// judgeAnswer checks that a success is the whole answer to the caller's own request.
func (r *soakRecord) judgeAnswer(c *soakCall) {
	if c.status != http.StatusOK {
		return
	}
	if !slices.ContainsFunc(r.runs[c.id], func(run *soakRun) bool { return run.target == c.signed }) {
		r.failed("%s (%s) has a success signed by %q, which did not run it", c.id, c.kind.name, c.signed)
	}
	if !c.kind.stream {
		if c.err == nil && c.body != plainBody(c.id) {
			r.failed("%s got %q", c.id, c.body)
		}
		return
	}
	count := eventCount(c.id)
	for i, event := range c.events {
		if event != eventOf(c.id, i+1, count) {
			r.failed("%s: event %d is %q", c.id, i+1, event)
			return
		}
	}
	if c.err == nil && (len(c.events) != count || c.body != "") {
		r.failed("%s: ended as whole after %d of %d events and %q", c.id, len(c.events), count, c.body)
	}
}

// judgeStop checks that a planned stop cuts no request.
func (r *soakRecord) judgeStop(c *soakCall) {
	if c.err == nil || c.left || c.instance == "" || !r.stopped(c.instance, c.began, c.ended) {
		return
	}
	if !r.untroubled(c.began, c.ended, c.instance, allInstances, theStore, allTargets) {
		return
	}
	if len(r.runs[c.id]) > 0 || c.ended.Sub(c.began) > crossingTime {
		r.failed("%s (%s) was cut by the planned stop of %s: %v", c.id, c.kind.name, c.instance, c.err)
	}
}

// judgeTime checks that a request is answered soon after its time is over.
func (r *soakRecord) judgeTime(c *soakCall) {
	if !c.left || c.leaves || c.status != 0 || c.kind.stream || c.instance == "" {
		return
	}
	if r.untroubled(c.began, c.ended, c.instance, allInstances) {
		r.failed("%s (%s) has no answer %v after its route's timeout at %s", c.id, c.kind.name, lateAnswer, c.instance)
	}
}

// judgeCancels checks that targets stop working for callers that have left.
func (r *soakRecord) judgeCancels() {
	left, worked := 0, 0
	for _, c := range r.calls {
		if !c.left || c.instance == "" || !r.untroubled(c.began, c.ended.Add(cancelTime), c.instance, allInstances) {
			continue
		}
		for _, run := range r.runs[c.id] {
			if run.ended.Before(c.ended) {
				continue
			}
			left++
			if run.ended.Sub(c.ended) > cancelTime {
				worked++
			}
		}
	}
	if worked > left/20+1 {
		r.failed("%d of %d runs went on after their callers had left", worked, left)
	}
}

// judgeDrains checks that a leaving target gets nothing new.
func (r *soakRecord) judgeDrains() {
	for _, a := range r.arrivals {
		since, leaving := r.drained[a.target]
		if !leaving || a.at.Sub(since) <= soakBounds.Drain {
			continue
		}
		if in := r.at[a.id]; in != "" && r.untroubled(since, a.at, in, allInstances, theStore) && !r.stopped(in, since, a.at) {
			r.failed("%s reached %s by %s %v after that was known to leave", a.id, a.target, in, a.at.Sub(since))
		}
	}
}

// judgeConfig checks that versions come into force in time and stay.
func (r *soakRecord) judgeConfig() {
	type life struct {
		instance    string
		incarnation int
	}
	seen := make(map[life]int)
	for _, p := range r.probes {
		l := life{p.instance, p.incarnation}
		switch {
		case p.status != 0 && p.status != http.StatusNotFound && p.status != http.StatusServiceUnavailable:
			seen[l] = max(seen[l], p.version)
		case p.status == http.StatusNotFound && seen[l] >= p.version:
			r.failed("%s went back behind version %d", p.instance, seen[l])
		case p.status == http.StatusNotFound && p.began.Sub(p.acked) > soakBounds.ConfigApply &&
			r.untroubled(p.acked, p.ended, p.instance, allInstances, theStore) && !r.stopped(p.instance, p.acked, p.ended):
			r.failed("%s does not know version %d after %v", p.instance, p.version, p.began.Sub(p.acked))
		}
	}
}

// judgeRepeats checks the repeats of all instances in every window.
func (r *soakRecord) judgeRepeats() {
	window := soakBounds.RetryWindow
	for _, service := range []string{"desk", "chat"} {
		var first, again []time.Time
		seen := make(map[string]bool)
		for _, a := range r.arrivals {
			switch {
			case a.service != service:
			case seen[a.id]:
				again = append(again, a.at)
			default:
				seen[a.id] = true
				first = append(first, a.at)
			}
		}
		between := func(list []time.Time, from time.Time) int {
			n := 0
			for _, at := range list {
				if !at.Before(from) && at.Before(from.Add(window)) {
					n++
				}
			}
			return n
		}
		for _, from := range again {
			requests := max(between(first, from), between(first, from.Add(-window)), between(first, from.Add(-window/2)))
			n := between(again, from)
			if limit := soakBounds.RetryRatio*float64(requests) + soakBounds.RetryExtra; float64(n) > limit {
				r.failed("%s: %d repeats in %v, for %d requests", service, n, window, requests)
				return
			}
		}
	}
}

// judgeLimits checks that targets which name a rate limit get no more than it allows from
// instances that they have told.
func (r *soakRecord) judgeLimits() {
	for _, l := range r.limits {
		first := make(map[string]time.Time)
		var counted []time.Time
		for _, a := range r.arrivals {
			if a.target != l.whom || a.at.Before(l.from) || a.at.After(l.to) {
				continue
			}
			instance := r.at[a.id]
			if first[instance].IsZero() {
				first[instance] = a.at
			}
			isTold := a.at.Sub(first[instance]) > toldAfter && !r.stopped(instance, l.from, a.at) &&
				r.untroubled(l.from, a.at, instance, allInstances, allTargets)
			if isTold && a.at.Sub(l.from) > contactTime {
				counted = append(counted, a.at)
			}
		}
		if n, at := fake.MostArrivals(counted); n > fake.AllowedArrivals(l.perSecond) {
			r.failed("%s names a limit of %.2f a second and got %d requests in the %v from %v after that on, allowed %d",
				l.whom, l.perSecond, n, fake.LimitWindow, at.Sub(l.from), fake.AllowedArrivals(l.perSecond))
		}
	}
}

// judgeRecovery checks that requests are served once all is well for long enough.
func (r *soakRecord) judgeRecovery(calmFrom time.Time) {
	asked, served := 0, 0
	for _, c := range r.calls {
		if c.began.Before(calmFrom.Add(soakRecovery)) || c.leaves || c.left || c.isDeadly || r.isRevoked(c) {
			continue
		}
		asked++
		if c.isServed() {
			served++
		}
	}
	if asked == 0 || float64(served) < servedShare*float64(asked) {
		r.failed("%d of %d requests were served after recovery", served, asked)
	}
}

// judgeOrders checks that orders of two holders keep apart, and that no target was
// ordered to hold more than fits.
func (r *soakRecord) judgeOrders(targets []*fake.Target) {
	for _, f := range targets {
		if n := f.Overfull(); n > 0 {
			r.failed("%s was ordered %d times to load more than fits", f.ID, n)
		}
		orders := f.Orders()
		slices.SortFunc(orders, func(x, y fake.Order) int { return x.At.Compare(y.At) })
		for i := 1; i < len(orders); i++ {
			r.judgePair(f.ID, orders[i-1], orders[i])
		}
	}
}

func (r *soakRecord) judgePair(target string, x, y fake.Order) {
	if r.thawed(x) || r.thawed(y) {
		return
	}
	switch {
	case x.Holder == y.Holder:
	case y.At.Sub(x.At) < soakBounds.Handover:
		r.failed("%s: orders of %s and %s within %v", target, x.Holder, y.Holder, y.At.Sub(x.At))
	case x.Token == y.Token:
		r.failed("%s: %s and %s order with one token %d", target, x.Holder, y.Holder, x.Token)
	}
	if y.Token < x.Token {
		r.failed("%s: token %d of %s after %d of %s", target, y.Token, y.Holder, x.Token, x.Holder)
	}
}

// thawed tells whether an order's sender had just been thawed, or its link healed.
func (r *soakRecord) thawed(o fake.Order) bool {
	return slices.ContainsFunc(r.spans, func(s *soakSpan) bool {
		ended := !s.to.IsZero() && o.At.After(s.to) && o.At.Sub(s.to) < thawSlack
		return s.whom == o.Holder && (ended || s.to.IsZero() || o.At.Before(s.to) && o.At.After(s.from))
	})
}

func (w *soakWorld) summary() string {
	r := w.record
	r.mu.Lock()
	defer r.mu.Unlock()
	ends := make(map[string]int)
	for _, c := range r.calls {
		switch {
		case c.leaves:
			ends["left early"]++
		case c.left:
			ends["timed out"]++
		case c.err != nil:
			ends["cut"]++
		default:
			ends[fmt.Sprint(c.status)]++
		}
	}
	orders := 0
	for _, g := range w.targets {
		for _, f := range append(slices.Clone(g.past), g.fake) {
			orders += len(f.Orders())
		}
	}
	return fmt.Sprintf("%d calls: %v; %d probes, %d arrivals, %d orders, %d versions; %s",
		len(r.calls), ends, len(r.probes), len(r.arrivals), orders, r.version, r.teamSummary())
}
