package picker

import "time"

// obstacle is why a target is passed over.
type obstacle uint8

const (
	noObstacle obstacle = iota
	obstacleDraining
	obstacleGone
	obstacleRejected
	obstacleBackoff
	obstacleTried
	obstacleStartLimit
	obstacleEjected
	obstacleNotEjected
	obstacleFull
	obstacleRateLimit
	obstacleNoModel
	obstacleCost
)

// String returns the name of the obstacle, empty for none.
func (o obstacle) String() string {
	return [...]string{
		"", "draining", "gone", "rejected", "backoff", "tried", "startLimit", "ejected", "notEjected", "full",
		"rateLimit", "noModel", "cost",
	}[o]
}

// isUnhindered is a quick check for most targets: if it returns true, there is no hindrance.
func (r *target) isUnhindered(q *Request, tier choiceTier) bool {
	return !r.Draining && !r.mayPause && r.limit == 0 && len(q.Exclude) == 0 && !tier.ejected
}

// hindrance returns why a target that serves the request is no candidate of a tier, apart
// from its load and rate limit.
func (r *target) hindrance(now time.Time, q *Request, tier choiceTier) obstacle {
	if o := r.unavailable(now, q); o != noObstacle {
		return o
	}
	switch {
	case r.limit > 0 && !tier.beyondLimit && !r.isAllowed(q, tier.strained):
		return obstacleStartLimit
	case r.isEjected(now) != tier.ejected:
		return ejectionObstacle(tier.ejected)
	}
	return noObstacle
}

// isFull reports whether the target's load by the snapshot is at most times its slots.
func (r *target) isFull(most float64) bool { return r.sharedLoad() >= float64(r.Slots)*most }

// obstacleShared returns why a target that serves the request is no candidate of a tier by
// the load snapshot.
func (p *Picker) obstacleShared(now time.Time, q *Request, r *target, tier choiceTier) obstacle {
	if o := r.hindrance(now, q, tier); o != noObstacle {
		return o
	}
	switch {
	case r.isFull(q.overcommit()):
		return obstacleFull
	case p.share.Blocks(r.Identity, now):
		return obstacleRateLimit
	}
	return noObstacle
}

// obstacleAlone does the same by what this instance has observed itself.
func (p *Picker) obstacleAlone(now time.Time, q *Request, r *target, ejected bool) obstacle {
	if o := r.unavailable(now, q); o != noObstacle {
		return o
	}
	switch {
	case r.load(now) >= float64(r.Slots)*q.overcommit():
		return obstacleFull
	case r.isEjected(now) != ejected:
		return ejectionObstacle(ejected)
	case p.share.Blocks(r.Identity, now):
		return obstacleRateLimit
	}
	return noObstacle
}

// ejectionObstacle returns the obstacle of targets that are in the other state than the
// tier's.
func ejectionObstacle(ejected bool) obstacle {
	if ejected {
		return obstacleNotEjected
	}
	return obstacleEjected
}
