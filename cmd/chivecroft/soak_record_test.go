package main

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// contactTime is for how long nothing may have disturbed an instance or the store
// before promises with a time bound count.
const contactTime = 3 * time.Second

// soakCall is a caller's request and what became of it.
type soakCall struct {
	id           string
	kind         callKind
	team, key    string
	tokens       int
	instance     string
	began, ended time.Time
	// leaves tells that the caller meant to leave early, left that it did not get the
	// whole answer while it waited.
	leaves, left bool
	// isDeadly tells that a part of its prompt crashes targets.
	isDeadly bool
	status   int
	signed   string
	body     string
	events   []string
	err      error
}

// isServed tells whether the caller got a whole success.
func (c *soakCall) isServed() bool { return c.status == http.StatusOK && c.err == nil }

// soakProbe is a question for the route of a version.
type soakProbe struct {
	instance     string
	incarnation  int
	version      int
	acked        time.Time
	began, ended time.Time
	status       int
}

// soakRun is one run of a request at a target.
type soakRun struct {
	target string
	// after is the event that the run goes on after.
	after        int
	began, ended time.Time
	cancelled    bool
}

// soakArrival is a request that reached a target.
type soakArrival struct {
	id, service, target, team string
	at                        time.Time
}

// soakSpan is the time of a disturbance, of which to is zero while it goes on.
type soakSpan struct {
	whom, kind string
	from, to   time.Time
}

// soakLimit is a rate limit that a target names for a time.
type soakLimit struct {
	soakSpan
	perSecond float64
}

// soakRecord is what callers, targets and the store have seen.
type soakRecord struct {
	began    time.Time
	mu       sync.Mutex
	calls    []*soakCall
	probes   []soakProbe
	runs     map[string][]*soakRun
	arrivals []soakArrival
	at       map[string]string
	spans    []*soakSpan
	stops    []*soakSpan
	limits   []*soakLimit
	pressing []*soakSpan
	drained  map[string]time.Time
	// deadly are the parts that have crashed targets.
	deadly []*deadlyPart
	// revoked says when keys were revoked, amounts what ran of each team.
	revoked  map[string]time.Time
	amounts  map[string][]fake.Arrival
	version  int
	acked    time.Time
	failures []string
}

func newSoakRecord() *soakRecord {
	return &soakRecord{
		runs: make(map[string][]*soakRun), at: make(map[string]string), drained: make(map[string]time.Time),
		revoked: make(map[string]time.Time), amounts: make(map[string][]fake.Arrival),
	}
}

func (r *soakRecord) fail(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failures = append(r.failures, fmt.Sprintf(format, args...))
}

func (r *soakRecord) called(c *soakCall) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls = append(r.calls, c)
}

func (r *soakRecord) probed(p soakProbe) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.probes = append(r.probes, p)
}

func (r *soakRecord) sentTo(id, instance string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.at[id] = instance
}

func (r *soakRecord) arrived(a soakArrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.arrivals = append(r.arrivals, a)
}

// ran notes the beginning of a run and returns what notes its end.
func (r *soakRecord) ran(id, target string, after int) func(cancelled bool) {
	run := &soakRun{target: target, after: after, began: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.runs[id] = append(r.runs[id], run)
	return func(cancelled bool) {
		r.mu.Lock()
		defer r.mu.Unlock()
		run.ended, run.cancelled = time.Now(), cancelled
	}
}

func (r *soakRecord) draining(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained[target] = time.Now()
}

func (r *soakRecord) configured(version int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if version > r.version {
		r.version, r.acked = version, time.Now()
	}
}

func (r *soakRecord) newest() (version int, acked time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.version, r.acked
}

func (r *soakRecord) span(list *[]*soakSpan, whom, kind string) func() {
	s := &soakSpan{whom: whom, kind: kind, from: time.Now()}
	r.mu.Lock()
	defer r.mu.Unlock()
	*list = append(*list, s)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		s.to = time.Now()
	}
}

// disturbed notes the beginning of an unplanned disturbance.
func (r *soakRecord) disturbed(whom, kind string) func() { return r.span(&r.spans, whom, kind) }

// stopping notes the beginning of a planned stop.
func (r *soakRecord) stopping(instance string) func() { return r.span(&r.stops, instance, "stop") }

// limited notes that a target names a rate limit and returns what notes its end.
func (r *soakRecord) limited(target string, perSecond float64) func() {
	l := &soakLimit{soakSpan{whom: target, from: time.Now()}, perSecond}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.limits = append(r.limits, l)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		l.to = time.Now()
	}
}

// calm tells whether nothing has disturbed an instance or the store from contactTime
// before a span to its end.
func (r *soakRecord) calm(instance string, from, to time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.untroubled(from, to, instance, allInstances, theStore)
}

// untroubled is calm for anybody that is named, or for all if nobody is, under the lock.
func (r *soakRecord) untroubled(from, to time.Time, whom ...string) bool {
	for _, s := range r.spans {
		if !s.overlaps(from.Add(-contactTime), to) {
			continue
		}
		if len(whom) == 0 || slices.Contains(whom, s.whom) {
			return false
		}
	}
	return true
}

// stopped tells whether an instance was being stopped, or had just been started again.
func (r *soakRecord) stopped(instance string, from, to time.Time) bool {
	for _, s := range r.stops {
		if s.whom == instance && s.overlaps(from.Add(-contactTime), to) {
			return true
		}
	}
	return false
}

func (s *soakSpan) overlaps(from, to time.Time) bool {
	return s.from.Before(to) && (s.to.IsZero() || s.to.After(from))
}
