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

// obstacleShared returns why a target that serves the request is no candidate of a tier by
// the load snapshot. most is the load limit in multiples of the slots, limited whether any
// rate limit is in force.
func (p *Picker) obstacleShared(now time.Time, q *Request, r *target, tier choiceTier, most float64, limited bool) obstacle {
	if o := r.unavailable(now, q); o != noObstacle {
		return o
	}
	switch {
	case r.limit > 0 && !tier.beyondLimit && !r.isAllowed(q):
		return obstacleStartLimit
	case r.isEjected(now) != tier.ejected:
		return ejectionObstacle(tier.ejected)
	case r.sharedLoad() >= float64(r.Slots)*most:
		return obstacleFull
	case limited && p.share.Blocks(r.Identity, now):
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
