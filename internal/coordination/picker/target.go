package picker

import (
	"math"
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	// loadHalfLife is the half-life of a reported load.
	loadHalfLife = 2 * time.Second
	// failureWeight is the weight of one outcome in the moving average of a failure rate.
	failureWeight = 0.15
	// failureHalfLife is the half-life of a failure rate without requests, so that a
	// target that gets none is tried again.
	failureHalfLife = 3 * time.Second
	// ejectThreshold is how far a target's failure rate may exceed the average of its
	// service before the target is ejected.
	ejectThreshold = 0.35
	// minEjection and maxEjection bound the duration of an ejection, which doubles while
	// the target keeps failing.
	minEjection = 500 * time.Millisecond
	maxEjection = 8 * time.Second
	// fullBackoff is how long a target gets no requests after it has rejected one because
	// it was full.
	fullBackoff = 100 * time.Millisecond
	// updateTTL is how long the lease holder's updates take precedence over the
	// platform's list.
	updateTTL = 3 * time.Second
)

// target holds the state of one target.
type target struct {
	fleet.Target
	// rank orders targets of equal cost; the order differs between instances.
	rank uint64
	// update is the lease holder's latest update of the target, nil if there is none.
	update *Update
	// index is the number that the lease holder has given the target, 0 for none.
	index int
	// distance is the cost of the distance to the target's zone, in requests in flight.
	distance float64
	// inFlight counts this instance's requests in flight at the target; inFlightByModel
	// splits them by model.
	inFlight        int
	inFlightByModel map[string]int
	// prefilling counts the requests in flight whose response has not begun. The target
	// processes their prompts between the tokens of all other requests.
	prefilling int
	// otherLoad is the load caused by other instances as of otherLoadAt.
	otherLoad   float64
	otherLoadAt time.Time
	// others is the same according to the load snapshot, or to a later response.
	others otherLoad
	// pace is how long work takes at the target. figures are those since the last load
	// report, all from paceSource.
	pace       load.Pace
	figures    load.Figures
	paceSource load.Source
	// slowness is the pace as of the latest figure or snapshot.
	slowness float64
	// limit is the limit of all instances' requests in flight while the target ramps up, 0
	// for none. A request may go there with probability chance, or strainedChance if the other
	// targets are busy, its random number shifted by phase.
	limit  int
	chance float64

	strainedChance float64
	phase          float64
	// outcomes are those since the last load report, rejectedAt is when the target has last
	// rejected a request or could not be reached.
	outcomes   load.Outcomes
	rejectedAt time.Time
	// expected is the number of requests at the target when it was last chosen on the
	// basis of a load snapshot.
	expected float64

	// failureRate is a moving average, between 0 and 1, as of failureRateAt.
	failureRate   float64
	failureRateAt time.Time
	// mayPause is set with any of the times that follow, and cleared once all are over. A
	// choice need not compare the times of targets for which it is not set.
	mayPause bool
	// ejectedUntil is the end of the latest ejection, ejection its duration.
	ejectedUntil time.Time
	ejection     time.Duration
	// fullUntil is the end of the backoff after a rejected request.
	fullUntil time.Time
	// backoffUntil is the end of the backoff that the target has asked for.
	backoffUntil time.Time
	// expiresAt is when a target that has disappeared from the platform's list is no
	// longer used; it is zero while the target is listed.
	expiresAt time.Time
	// announcedLeaving means that the target has announced in a response that it is
	// leaving.
	announcedLeaving bool
}

// Update is the lease holder's update of one target.
type Update struct {
	fleet.Identity
	Service  string         `json:"service"`
	Addr     netip.AddrPort `json:"addr"`
	Zone     string         `json:"zone"`
	Slots    int            `json:"slots"`
	Draining bool           `json:"draining,omitempty"`
	Models   []fleet.Loaded `json:"models,omitempty"`
	// Limit is the rate limit that the target has named, in requests a second; 0 for none.
	Limit float64 `json:"limit,omitempty"`
	// Index is the target's number in load reports and snapshots of the holder's term.
	Index int `json:"index,omitempty"`
	// Gone means that the target has left the platform's list; only its id and the revision
	// are set then.
	Gone bool `json:"gone,omitempty"`
	// Revision is a revision of the store at which the target's entry was there or, if the
	// target is gone or is to be removed, at which it was missing.
	Revision eras.Revision `json:"revision,omitzero"`
	// RemovalMS is how long the target may still be used, in milliseconds, if its entry is
	// missing although it may be alive; 0 if the entry is there.
	RemovalMS int64 `json:"removalMs,omitempty"`
}

// NewUpdate returns an update that says that a target serves models.
func NewUpdate(r *fleet.Target, models []fleet.Loaded) Update {
	return Update{
		Identity: r.Identity, Service: r.Service, Addr: r.Addr, Zone: r.Zone, Slots: r.Slots,
		Draining: r.Draining, Models: models, Revision: r.Revision,
	}
}

// Equal reports whether two updates are equal, but for the time until a removal.
func (n *Update) Equal(o *Update) bool {
	return n.Identity == o.Identity && n.Service == o.Service && n.Addr == o.Addr && n.Zone == o.Zone &&
		n.Index == o.Index && n.Slots == o.Slots && n.Limit == o.Limit && n.Draining == o.Draining && n.Gone == o.Gone && n.Revision == o.Revision &&
		slices.EqualFunc(n.Models, o.Models, func(x, y fleet.Loaded) bool {
			return x.Model == y.Model && slices.Equal(x.Adapters, y.Adapters)
		})
}

// WithRemoval returns the update as it is sent at a time, of a target that has left and may be
// used until another one. If that is zero the target has not left.
func (n Update) WithRemoval(until, at time.Time) Update {
	if !until.IsZero() {
		n.RemovalMS = max(until.Sub(at).Milliseconds(), 1)
	}
	return n
}

func (n *Update) target() fleet.Target {
	return fleet.Target{
		Identity: n.Identity, Service: n.Service, Addr: n.Addr, Zone: n.Zone, Slots: n.Slots,
		Draining: n.Draining, Holding: fleet.Holding{Models: n.Models}, Revision: n.Revision,
	}
}

// servesModel reports whether the target serves a model and adapter. A fresh update of
// the lease holder takes precedence, since it is ahead of the platform's list.
func (r *target) servesModel(model, adapter string, fresh bool) bool {
	if fresh && r.update != nil && r.update.Born == r.Born {
		h := fleet.Holding{Models: r.update.Models}
		return h.Has(model, adapter)
	}
	return r.Has(model, adapter)
}

// load estimates the number of requests at the target.
func (r *target) load(now time.Time) float64 {
	age := now.Sub(r.otherLoadAt).Seconds() / loadHalfLife.Seconds()
	return float64(r.inFlight) + r.otherLoad*math.Exp2(-age)
}

// currentFailureRate returns the failure rate, which decays while there are no requests.
func (r *target) currentFailureRate(now time.Time) float64 {
	age := now.Sub(r.failureRateAt).Seconds() / failureHalfLife.Seconds()
	return r.failureRate * math.Exp2(-age)
}

// setReportedLoad derives the load of other instances from a load that the target has
// reported while own requests of this instance were there.
func (r *target) setReportedLoad(now time.Time, running, waiting, own int) {
	r.otherLoad = max(float64(running+waiting-r.inFlight), 0)
	r.otherLoadAt = now
	r.others = otherLoad{count: max(float64(running+waiting-own), 0), at: now}
}

// isExpired reports whether the removal delay of a target that is no longer listed is
// over.
func (r *target) isExpired(now time.Time) bool {
	return !r.expiresAt.IsZero() && !now.Before(r.expiresAt)
}

// canAccept reports whether the target has capacity for a request and is in no backoff.
func (r *target) canAccept(now time.Time, q *Request, fresh bool) bool {
	if !r.isAvailable(now, q) || q.Model != "" && !r.servesModel(q.Model, q.Adapter, fresh) {
		return false
	}
	return r.load(now) < float64(r.Slots)*q.overcommit()
}

// isAvailable reports whether a target that serves the request's model takes requests,
// regardless of its load.
func (r *target) isAvailable(now time.Time, q *Request) bool {
	return r.unavailable(now, q) == noObstacle
}

// unavailable returns why a target takes no requests regardless of its load.
func (r *target) unavailable(now time.Time, q *Request) obstacle {
	if r.Draining {
		return obstacleDraining
	}
	if r.mayPause {
		if o := r.paused(now); o != noObstacle {
			return o
		}
	}
	if len(q.Exclude) > 0 && slices.Contains(q.Exclude, r.Identity) {
		return obstacleTried
	}
	return noObstacle
}

// paused returns why the target takes no requests at present.
func (r *target) paused(now time.Time) obstacle {
	switch {
	case r.isExpired(now):
		return obstacleGone
	case now.Before(r.fullUntil):
		return obstacleRejected
	case now.Before(r.backoffUntil):
		return obstacleBackoff
	}
	r.mayPause = !r.expiresAt.IsZero() || now.Before(r.ejectedUntil)
	return noObstacle
}

// isEjected reports whether an ejection is in force.
func (r *target) isEjected(now time.Time) bool { return r.mayPause && now.Before(r.ejectedUntil) }

// isCandidate reports whether the target could serve the request, regardless of its load.
func (r *target) isCandidate(now time.Time, q *Request, fresh bool) bool {
	switch {
	case r.Draining, r.isExpired(now), slices.Contains(q.Exclude, r.Identity):
		return false
	}
	return q.Model == "" || r.servesModel(q.Model, q.Adapter, fresh)
}

// eject ejects the target, for twice the duration of the previous ejection.
func (r *target) eject(now time.Time) {
	r.ejection = min(max(2*r.ejection, minEjection), maxEjection)
	r.ejectedUntil = now.Add(r.ejection)
	r.mayPause = true
}

// recordOutcome updates the failure rate, ejection and backoff after a request. mean is
// the average failure rate of the service.
func (r *target) recordOutcome(now time.Time, out Outcome, mean float64) {
	value := 0.0
	if out.Failed {
		value = 1
	}
	r.failureRate = r.currentFailureRate(now)
	r.failureRate += failureWeight * (value - r.failureRate)
	r.failureRateAt = now
	switch {
	case out.Unreachable:
		r.eject(now)
	case out.Failed && r.failureRate > mean+ejectThreshold:
		r.eject(now)
	case out.Rejected:
		r.fullUntil = now.Add(fullBackoff)
		r.mayPause = true
	case !out.Failed:
		r.ejection = 0
	}
}
