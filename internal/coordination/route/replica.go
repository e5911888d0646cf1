package route

import (
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// slowStartTime is the time over which the share of a new replica rises to 1.
	slowStartTime = 5 * time.Second
	// minSlowStartShare is the initial share of a new replica.
	minSlowStartShare = 0.2
	// maxFailures is the number of consecutive failures after which a replica is ejected.
	maxFailures = 3
	// firstEjectionTime is the duration of the first ejection; each further one doubles it.
	firstEjectionTime = 5 * time.Second
	// maxEjectionTime is the maximum duration of an ejection.
	maxEjectionTime = 60 * time.Second
	// reportLifetime is how long a load report is used without a newer one.
	reportLifetime = 5 * time.Second
	// meanWeight is the weight of one report in othersMean.
	meanWeight = 0.2
	// minDuration is the minimum call duration assumed when a load report is aged, also used
	// if the duration is unknown.
	minDuration = 100 * time.Millisecond
	// defaultConcurrency is the concurrency of a replica whose row has none.
	defaultConcurrency = 16
)

// replica is a row of the table with the state that this entry keeps for it.
type replica struct {
	row    ports.Replica
	source string
	ring   int
	// inFlight is the number of calls that this entry has in flight.
	inFlight int
	// othersInFlight is the number of calls of other entries by the latest report.
	othersInFlight int
	// othersMean is the moving average of othersInFlight.
	othersMean float64
	reportedAt time.Time
	readyAt    time.Time
	// needsSlowStart is set if the model had other replicas when this one was added. The only
	// replica of a model has to take all requests from the start.
	needsSlowStart bool
	failures       int
	ejections      int
	ejectedUntil   time.Time
	adaptive       *admit.AdaptiveLimit
	// hasLeft is set once the target itself has reported that it is leaving. It is never
	// reset, since later rows may be older than the report and ids of replicas are not reused.
	hasLeft bool
}

func newReplica(id string, needsSlowStart bool, now time.Time) *replica {
	return &replica{row: ports.Replica{ID: id}, needsSlowStart: needsSlowStart, readyAt: now}
}

func (r *replica) update(from string, row ports.Replica, ring int, now time.Time) {
	if row.Phase == ports.PhaseReady && r.row.Phase != ports.PhaseReady {
		r.readyAt = now
	}
	r.row = row
	r.row.Adapters = slices.Clone(row.Adapters)
	r.source = from
	r.ring = ring
	if isService(row) && r.adaptive == nil {
		r.adaptive = admit.NewAdaptiveLimit()
	}
	if !isService(row) {
		r.applyReport(now, row.Running+row.Queued)
	}
}

// applyReport applies the number of requests that the target reported at a past time. The
// entry's own calls are subtracted, since their current number is known.
func (r *replica) applyReport(now time.Time, total int) {
	r.othersInFlight = max(total-r.inFlight, 0)
	if r.reportedAt.IsZero() {
		r.othersMean = float64(r.othersInFlight)
	}
	r.othersMean += meanWeight * (float64(r.othersInFlight) - r.othersMean)
	r.reportedAt = now
}

// load estimates the number of calls that the replica has now. The calls of other entries in
// the latest report are replaced by their average over the duration of a call, after which
// most of the reported calls have ended and others have come. If reports were used unchanged
// for longer, all entries would pick the replica that was least loaded half a second ago.
func (r *replica) load(now time.Time, avgDuration time.Duration) float64 {
	age := elapsed(r.reportedAt, now)
	if age > reportLifetime {
		return float64(r.inFlight)
	}
	weight := math.Exp(-float64(age) / float64(max(avgDuration, minDuration)))
	return float64(r.inFlight) + r.othersMean + weight*(float64(r.othersInFlight)-r.othersMean)
}

func (r *replica) limit() int {
	switch {
	case r.adaptive != nil:
		return r.adaptive.Limit()
	case r.row.Concurrency > 0:
		return r.row.Concurrency
	}
	return defaultConcurrency
}

// slowStartShare returns the share of its limit that the replica should get now, between
// minSlowStartShare and 1.
func (r *replica) slowStartShare(now time.Time) float64 {
	if !r.needsSlowStart {
		return 1
	}
	age := float64(elapsed(r.readyAt, now)) / float64(slowStartTime)
	return min(max(age, minSlowStartShare), 1)
}

// cost returns the load with one more call, relative to what the replica can take now.
func (r *replica) cost(now time.Time, avgDuration time.Duration) float64 {
	return (r.load(now, avgDuration) + 1) / (float64(r.limit()) * r.slowStartShare(now))
}

func (r *replica) isUsable(q Query) bool {
	if r.row.Phase != ports.PhaseReady || r.isLeaving() {
		return false
	}
	if q.Adapter != "" && !slices.Contains(r.row.Adapters, q.Adapter) {
		return false
	}
	return !slices.Contains(q.Exclude, r.row.ID)
}

func (r *replica) isLeaving() bool {
	return r.hasLeft || r.row.Leaving
}

func (r *replica) isEjected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

// release records the end of a call and ejects the replica after maxFailures consecutive
// failures.
func (r *replica) release(now time.Time, result Result) {
	r.inFlight--
	if r.adaptive != nil {
		r.adaptive.Observe(now, result.Latency, result.Overloaded, r.inFlight+1)
	}
	if !result.Failed {
		r.failures = 0
		if !r.isEjected(now) {
			r.ejections = 0
		}
		return
	}
	r.failures++
	if r.failures < maxFailures || r.isEjected(now) {
		return
	}
	r.ejectedUntil = now.Add(min(firstEjectionTime<<min(r.ejections, 8), maxEjectionTime))
	r.ejections++
	r.failures = 0
}

func isService(row ports.Replica) bool {
	return len(row.Model) > 0 && row.Model[0] == 0
}

// ringOf returns 0 for the own zone, 1 for the own region and 2 for other regions.
func ringOf(zone, region string, row ports.Replica) int {
	switch {
	case row.Zone == zone:
		return 0
	case row.Region == region:
		return 1
	}
	return 2
}
