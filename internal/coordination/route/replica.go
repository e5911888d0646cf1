package route

import (
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Bounds of slow-start and of outlier ejection.
const (
	// slowStart is the time over which a fresh replica comes to its full share.
	slowStart = 5 * time.Second
	// slowStartLeast is the share that a fresh replica begins with.
	slowStartLeast = 0.2
	// ejectAfter is the number of failures in a row that ejects a replica.
	ejectAfter = 3
	// ejectTime is the length of a first ejection; each further one doubles it.
	ejectTime = 5 * time.Second
	// ejectMost bounds the doubling.
	ejectMost = 60 * time.Second
	// reportTrust is how long a load report counts without a newer one.
	reportTrust = 5 * time.Second
	// meanWeight is the weight of one report in the average.
	meanWeight = 0.2
	// leastTook is taken for the time of a call that is shorter or not known.
	leastTook = 100 * time.Millisecond
	// defaultConcurrency is used for a replica whose row does not tell.
	defaultConcurrency = 16
)

// replica is one row with what this entry knows of it.
type replica struct {
	row    ports.Replica
	source string
	ring   int
	// flying is what this entry has in flight at it.
	flying int
	// others is what other entries had in flight by the latest report, mean what
	// they have on the average.
	others     int
	mean       float64
	reportedAt time.Time
	readyAt    time.Time
	// fresh tells that other replicas were there before this one, so that it
	// starts slowly; the only replica of a model has to take everything.
	fresh        bool
	failures     int
	ejections    int
	ejectedUntil time.Time
	adaptive     *admit.Adaptive
	// left stays set once the target itself has said that it leaves, whatever
	// lagging rows say later; a replica's name is never used again.
	left bool
}

func newReplica(id string, fresh bool, now time.Time) *replica {
	return &replica{row: ports.Replica{ID: id}, fresh: fresh, readyAt: now}
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
		r.adaptive = admit.NewAdaptive()
	}
	if !isService(row) {
		r.report(now, row.Running+row.Queued)
	}
}

// report takes the number of requests that the target had a while ago. What is
// in flight from here is known better, so only the rest of it counts.
func (r *replica) report(now time.Time, total int) {
	r.others = max(total-r.flying, 0)
	if r.reportedAt.IsZero() {
		r.mean = float64(r.others)
	}
	r.mean += meanWeight * (float64(r.others) - r.mean)
	r.reportedAt = now
}

// load estimates what the replica has now. What others had by the latest report
// is replaced by what they have on the average in the time that a call takes:
// after that, most of the calls reported have ended and others have come. Taking
// a report at its word for longer sends all entries to the replica that was
// least busy half a second ago.
func (r *replica) load(now time.Time, took time.Duration) float64 {
	age := since(r.reportedAt, now)
	if age > reportTrust {
		return float64(r.flying)
	}
	trust := math.Exp(-float64(age) / float64(max(took, leastTook)))
	return float64(r.flying) + r.mean + trust*(float64(r.others)-r.mean)
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

// share is between slowStartLeast and 1.
func (r *replica) share(now time.Time) float64 {
	if !r.fresh {
		return 1
	}
	age := float64(since(r.readyAt, now)) / float64(slowStart)
	return min(max(age, slowStartLeast), 1)
}

// cost is the load relative to what the replica can take now.
func (r *replica) cost(now time.Time, took time.Duration) float64 {
	return (r.load(now, took) + 1) / (float64(r.limit()) * r.share(now))
}

func (r *replica) usable(q Query) bool {
	if r.row.Phase != ports.PhaseReady || r.leaving() {
		return false
	}
	if q.Adapter != "" && !slices.Contains(r.row.Adapters, q.Adapter) {
		return false
	}
	return !slices.Contains(q.Exclude, r.row.ID)
}

func (r *replica) leaving() bool {
	return r.left || r.row.Leaving
}

func (r *replica) ejected(now time.Time) bool {
	return now.Before(r.ejectedUntil)
}

// done counts the end of a call.
func (r *replica) done(now time.Time, result Result) {
	r.flying--
	if r.adaptive != nil {
		r.adaptive.Observe(now, result.Latency, result.Overloaded, r.flying+1)
	}
	if !result.Failed {
		r.failures = 0
		if !r.ejected(now) {
			r.ejections = 0
		}
		return
	}
	r.failures++
	if r.failures < ejectAfter || r.ejected(now) {
		return
	}
	r.ejectedUntil = now.Add(min(ejectTime<<min(r.ejections, 8), ejectMost))
	r.ejections++
	r.failures = 0
}

func isService(row ports.Replica) bool {
	return len(row.Model) > 0 && row.Model[0] == 0
}

// distance is 0 for the own zone, 1 for the own region and 2 beyond.
func distance(zone, region string, row ports.Replica) int {
	switch {
	case row.Zone == zone:
		return 0
	case row.Region == region:
		return 1
	}
	return 2
}
