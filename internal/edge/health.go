package edge

import (
	"sync"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// leaseRecoveryTime is how long after an outage of the store the entries of live targets
// may be missing, because their leases expired during the outage.
const leaseRecoveryTime = 2 * time.Second

// storeHealth tracks whether calls to the store succeed.
type storeHealth struct {
	timer timer.Service
	log   *log.Logger
	// heartbeat is the interval at which targets renew their entries. An entry outlives two
	// renewals that fail; an outage shorter than the interval takes at most one. 0 means that it
	// is not known.
	heartbeat time.Duration

	mu   sync.Mutex
	down bool
	// adoptedUntil is the end of a removal delay that another instance has reported.
	adoptedUntil time.Time
	// answeredAt is when a call last succeeded.
	answeredAt time.Time
	// recoveredAt is when the latest outage ended, zero if there has been none.
	recoveredAt time.Time
	// heardAt is when any call was last answered.
	heardAt time.Time
	outage  outage
}

// outage is the latest time during which calls failed. Such times that are less than two
// heartbeats apart count as one, since a target's renewals may have failed in each.
type outage struct {
	// since is when a call was last answered before, zero if none was. until is when one was
	// answered after the last failure, zero if none was.
	since, until time.Time
	hasBegun     bool
}

// noteFailure records that a call has failed, the last answer having come at heardAt.
func (o *outage) noteFailure(heardAt time.Time, heartbeat time.Duration) {
	isNew := !o.until.IsZero() && heardAt.Sub(o.until) >= 2*heartbeat
	if !o.hasBegun || isNew {
		o.since = heardAt
	}
	o.until, o.hasBegun = time.Time{}, true
}

// noteAnswer records that a call was answered at a time.
func (o *outage) noteAnswer(at time.Time) {
	if o.until.IsZero() {
		o.until = at
	}
}

// isShorterThan reports whether the outage is known to be shorter than d.
func (o *outage) isShorterThan(d time.Duration, now time.Time) bool {
	until := o.until
	if until.IsZero() {
		until = now
	}
	return !o.since.IsZero() && until.Sub(o.since) < d
}

func newStoreHealth(t timer.Service, l *log.Logger, heartbeat time.Duration) *storeHealth {
	return &storeHealth{timer: t, log: l, heartbeat: heartbeat}
}

// hear records the end of any call to the store.
func (h *storeHealth) hear(status ports.KVStatus) {
	if status == ports.KVUnavailable || status == ports.KVUnknown {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.hearLocked()
}

func (h *storeHealth) hearLocked() {
	h.heardAt = h.timer.Now()
	h.outage.noteAnswer(h.heardAt)
}

// record records the result of a call.
func (h *storeHealth) record(status ports.KVStatus, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed := status == ports.KVUnavailable || status == ports.KVUnknown
	if failed {
		h.outage.noteFailure(h.heardAt, h.heartbeat)
	}
	switch {
	case failed && !h.down:
		h.log.Warn().Err(err).Msg("store unreachable")
	case !failed && h.down:
		h.recoveredAt = h.timer.Now()
		h.log.Info().Msg("store reachable again")
	}
	h.down = failed
	if !failed {
		h.answeredAt = h.timer.Now()
		h.hearLocked()
	}
}

// isDown reports whether the latest call failed.
func (h *storeHealth) isDown() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.down
}

// hasAnsweredWithin reports whether a call has succeeded within the last d.
func (h *storeHealth) hasAnsweredWithin(d time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.answeredAt.IsZero() && h.timer.Now().Sub(h.answeredAt) < d
}

// adoptRemovalDelay sets the removal delay reported by a reader whose changes this
// instance applies.
func (h *storeHealth) adoptRemovalDelay(delay time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if until := h.timer.Now().Add(delay); delay > 0 && until.After(h.adoptedUntil) {
		h.adoptedUntil = until
	}
}

// removalDelay returns how long a target that is missing from the store may still be
// alive and is to be kept.
func (h *storeHealth) removalDelay() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	adopted := max(h.adoptedUntil.Sub(now), 0)
	switch {
	case h.outage.isShorterThan(h.heartbeat, now):
		return adopted
	case h.down:
		return leaseRecoveryTime
	case h.recoveredAt.IsZero():
		return adopted
	}
	return max(leaseRecoveryTime-now.Sub(h.recoveredAt), adopted)
}
