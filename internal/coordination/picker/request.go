package picker

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/crash"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// engineOvercommit and plainOvercommit are the load up to which a target gets requests,
// as multiples of its slots. Plain services queue a few requests themselves, and a short
// queue there costs less time than waiting for the news of a free slot.
const (
	engineOvercommit = 1.0
	plainOvercommit  = 2.0
)

// Request describes a request that needs a target.
type Request struct {
	Service string
	// Model is empty for plain services.
	Model   string
	Adapter string
	// Team is the name of the caller's team, empty if it has none.
	Team string
	// Amount is what the request counts for its team, in the team's unit, and Weight the
	// team's quota in that unit per second; 0 stands for 1.
	Amount, Weight float64
	// Parts are the parts of the prompt that may be blocked.
	Parts []crash.Part
	// Goal is the time within which the response should begin, 0 if there is none.
	Goal time.Duration
	// Priority is the rank of the request; 0 is the most urgent.
	Priority int
	// Arrived is when the request arrived; it may be queued until Deadline.
	Arrived  time.Time
	Deadline time.Time
	// WaitUntil is when the caller stops waiting for a response to begin; the request is
	// not queued beyond it. It is zero if there is no such time before Deadline.
	WaitUntil time.Time
	// draw is a random number that decides whether the request may go to targets that have a
	// limit. It is drawn once for each load snapshot, that of drawnFor.
	draw     float64
	drawnFor time.Time
	// Exclude lists the targets that have already been tried.
	Exclude []fleet.Identity
}

// until is when queueing the request ends.
func (q *Request) until() time.Time {
	if !q.WaitUntil.IsZero() && q.WaitUntil.Before(q.Deadline) {
		return q.WaitUntil
	}
	return q.Deadline
}

func (q *Request) overcommit() float64 {
	if q.Model == "" {
		return plainOvercommit
	}
	return engineOvercommit
}

// Outcome is the result of a request at its target.
type Outcome struct {
	// Failed means that the target gave no valid response, Unreachable that it did not
	// respond at all.
	Failed      bool
	Unreachable bool
	// Answered means that the target gave a valid response, which was received whole.
	Answered bool
	// Rejected means that the target rejected the request without running it.
	Rejected bool
	// Running and Waiting are the load reported in the response; they are valid if
	// LoadKnown is set.
	LoadKnown bool
	Running   int
	Waiting   int
	// Pace is how long work takes at the target, as a multiple of the usual time; 0 if the
	// response does not say.
	Pace float64
}

// Reason is the reason for which a request was refused.
type Reason string

const (
	// ReasonDeadline means that the request's deadline has passed.
	ReasonDeadline Reason = "deadline"
	// ReasonTooLate means that the model is expected to be loaded only after the
	// request's deadline.
	ReasonTooLate Reason = "tooLate"
	// ReasonNoTarget means that no target could take the request within its queue time
	// limit.
	ReasonNoTarget Reason = "noTarget"
	// ReasonStopping means that the instance is stopping.
	ReasonStopping Reason = "stopping"
	// ReasonBackoff means that all targets have asked for a backoff.
	ReasonBackoff Reason = "resting"
	// ReasonLimit means that the rate limits of all targets leave no room for the request
	// before its deadline.
	ReasonLimit Reason = "limited"
	// ReasonBlocked means that a part of the prompt crashes targets.
	ReasonBlocked Reason = "blockedPart"
)

// Refusal is the error for a request that got no target.
type Refusal struct {
	Reason Reason
	// RetryAfter is how long the caller should wait before it tries again.
	RetryAfter time.Duration
	// Limit is the rate limit that was the reason, if one was.
	Limit Limit
}

// Error implements error.
func (r *Refusal) Error() string { return "refused: " + string(r.Reason) }

// Reservation is a request's reservation of capacity at a target. Release ends it.
type Reservation struct {
	Target fleet.Target
	// Waited is the time from the request's arrival to the reservation.
	Waited time.Duration
	// Load is the estimated number of requests at the target before this one.
	Load float64
	// Limit is the rate limit of the target, or of one that was passed over because of it.
	Limit Limit

	picker        *Picker
	state         *target
	model         string
	reservedAt    time.Time
	goal          time.Duration
	team          string
	used          float64
	responseBegan bool
	released      bool
}

// Release releases the reservation and records the outcome; only the first call has an
// effect.
func (s *Reservation) Release(out Outcome) {
	s.picker.release(s, out)
}

// SetReportedLoad records the load that a response reports while the request is still
// running.
func (s *Reservation) SetReportedLoad(running, waiting int) {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	s.state.setReportedLoad(s.picker.timer.Now(), running, waiting, s.state.inFlight)
}

// ResponseBegan records that the response has begun.
func (s *Reservation) ResponseBegan() {
	s.picker.mu.Lock()
	defer s.picker.mu.Unlock()
	if !s.responseBegan {
		s.picker.recordAnswer(s.picker.timer.Now(), s)
	}
	s.markResponseBegan()
}

func (s *Reservation) markResponseBegan() {
	if !s.responseBegan {
		s.responseBegan = true
		s.state.prefilling--
	}
}
