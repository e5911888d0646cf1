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

	mu   sync.Mutex
	down bool
	// adoptedUntil is the end of a removal delay that another instance has reported.
	adoptedUntil time.Time
	// answeredAt is when a call last succeeded.
	answeredAt time.Time
	// recoveredAt is when the latest outage ended, zero if there has been none.
	recoveredAt time.Time
}

func newStoreHealth(t timer.Service, l *log.Logger) *storeHealth {
	return &storeHealth{timer: t, log: l}
}

// record records the result of a call.
func (h *storeHealth) record(status ports.KVStatus, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed := status == ports.KVUnavailable || status == ports.KVUnknown
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
	if h.down {
		return leaseRecoveryTime
	}
	now := h.timer.Now()
	adopted := max(h.adoptedUntil.Sub(now), 0)
	if h.recoveredAt.IsZero() {
		return adopted
	}
	return max(leaseRecoveryTime-now.Sub(h.recoveredAt), adopted)
}
