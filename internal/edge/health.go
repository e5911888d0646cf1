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

const (
	// leaseHeartbeats is the number of heartbeats after which an entry expires that is not
	// renewed.
	leaseHeartbeats = 3
	// maxAnswerGap is the longest time between two answers of a store that is there all the
	// while. The holder, which renews its lease, gets one at least twice as often.
	maxAnswerGap = 500 * time.Millisecond
)

// unknownEntryLease is how long the entry of a target that has ended is there at most after a return of the
// store, if the interval of heartbeats is not known.
const unknownEntryLease = 10 * time.Second

// entryLease is how long the entry of a target that has ended is there at most after a return of the
// store: its lease begins anew.
func entryLease(heartbeat time.Duration) time.Duration {
	if heartbeat <= 0 {
		return unknownEntryLease
	}
	return leaseHeartbeats*heartbeat + leaseRecoveryTime
}

// storeHealth tracks whether calls to the store succeed.
type storeHealth struct {
	timer timer.Service
	log   *log.Logger
	// heartbeat is the interval at which targets renew their entries, 0 if it is not known.
	heartbeat time.Duration

	mu   sync.Mutex
	down bool
	// adoptedUntil is the end of a removal delay that another instance has reported.
	adoptedUntil time.Time
	// answeredAt is when a call last succeeded.
	answeredAt time.Time
	// recoveredAt is when the latest outage ended, zero if there has been none.
	recoveredAt time.Time
	// heardAt is when any call was last answered, steadySince since when answers have come
	// without a gap.
	heardAt, steadySince time.Time
}

func newStoreHealth(t timer.Service, l *log.Logger, heartbeat time.Duration) *storeHealth {
	return &storeHealth{timer: t, log: l, heartbeat: heartbeat}
}

// isUnanswered reports whether the store has given no answer to a call that ended so.
func isUnanswered(status ports.KVStatus) bool {
	return status == ports.KVUnavailable || status == ports.KVUnknown
}

// hear records the end of any call to the store.
func (h *storeHealth) hear(status ports.KVStatus) {
	if isUnanswered(status) {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	if now.Sub(h.heardAt) > maxAnswerGap {
		h.steadySince = now
	}
	h.heardAt = now
}

// isSteady reports whether answers have come without a gap for as long as an entry lives that is
// not renewed, so that none has expired because the store was away.
func (h *storeHealth) isSteady(now time.Time) bool {
	return h.heartbeat > 0 && now.Sub(h.heardAt) <= maxAnswerGap && now.Sub(h.steadySince) >= leaseHeartbeats*h.heartbeat
}

// record records the result of a follower's call, which hear has been told of as well.
func (h *storeHealth) record(status ports.KVStatus, err error) {
	h.mu.Lock()
	defer h.mu.Unlock()
	failed := isUnanswered(status)
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

// recordReturn records that the store has come back from an older copy. Entries that were written since
// are missing until their targets write them again.
func (h *storeHealth) recordReturn() {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.timer.Now()
	h.recoveredAt, h.steadySince = now, now
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
	case h.isSteady(now):
		return adopted
	case h.down:
		return leaseRecoveryTime
	case h.recoveredAt.IsZero():
		return adopted
	}
	return max(leaseRecoveryTime-now.Sub(h.recoveredAt), adopted)
}
