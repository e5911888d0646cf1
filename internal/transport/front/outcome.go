package front

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Status says in one word how a request ended.
type Status string

// The ends of a request.
const (
	// StatusServed means that the caller got the whole answer.
	StatusServed Status = "served"
	// StatusRefused means that the caller got a refusal and no target ran it.
	StatusRefused Status = "refused"
	// StatusFailed means that a target may have run it and the caller got no
	// whole answer.
	StatusFailed Status = "failed"
	// StatusCancelled means that the caller left first.
	StatusCancelled Status = "cancelled"
)

// Outcome is what is known of a request once it has ended.
type Outcome struct {
	RequestID string
	Tenant    string
	Class     config.Class
	Service   string
	Model     string
	Adapter   string
	Status    Status
	Code      int
	// Reason says why a request was not served.
	Reason admit.Reason
	NotRun bool
	// QueueWait is the time spent waiting for a place; Cold tells that no
	// replica was ready when the request came, so that it was a cold start.
	QueueWait time.Duration
	Cold      bool
	// FirstToken is the time from the request's arrival to the first token or
	// byte of the answer, 0 if there was none.
	FirstToken time.Duration
	Gaps       Gaps
	Elapsed    time.Duration
	// Claim is the decision on a run-once call, empty for others.
	Claim string
	// Retries and Hedges count the sends beyond the first.
	Retries   int
	Hedges    int
	PrefixHit bool
	// Ring is 0 for a target of the own zone, 1 of the own region, 2 beyond.
	Ring      int
	BytesIn   int64
	BytesOut  int64
	StartedAt time.Time
}

// GapBounds are the upper bounds of the buckets of Gaps; the last bucket of
// Gaps is for longer ones.
var GapBounds = [...]time.Duration{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond, 10 * time.Millisecond,
	20 * time.Millisecond, 31 * time.Millisecond, 50 * time.Millisecond, 100 * time.Millisecond,
	200 * time.Millisecond, 500 * time.Millisecond, time.Second, 5 * time.Second,
}

// Gaps summarises the times between tokens of one answer.
type Gaps struct {
	Count   int
	Sum     time.Duration
	Max     time.Duration
	Buckets [len(GapBounds) + 1]uint32
}

func (g *Gaps) add(d time.Duration) {
	g.Count++
	g.Sum += d
	g.Max = max(g.Max, d)
	i := 0
	for i < len(GapBounds) && d > GapBounds[i] {
		i++
	}
	g.Buckets[i]++
}
