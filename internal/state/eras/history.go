package eras

import (
	"math"
	"sync"
	"time"
)

// History is what an instance knows of the store's present history. It is safe for concurrent use.
type History struct {
	onReturn func(Return)

	mu     sync.Mutex
	hasEra bool
	era    uint64
	// hasReturned means that the present history began while this instance ran. It was first heard
	// of at since. The store had reached first when it had come back, or less; it is noRevision as
	// long as no reply has told.
	hasReturned bool
	since       time.Time
	first       uint64
	// dropped counts what was thrown away since then as told in a former history.
	dropped int
}

// noRevision is above all revisions.
const noRevision = math.MaxUint64

// Return tells that the store has come back from an older copy.
type Return struct {
	Era, EraBefore uint64
	// Dropped is how much this instance has thrown away of histories before the former one.
	Dropped int
}

// NewHistory returns a History that knows no era. onReturn is called for each return of the store,
// without a lock.
func NewHistory(onReturn func(Return)) *History { return &History{onReturn: onReturn} }

// Note records at now that the store has reached a revision, whose number is 0 if a reply told only its
// era. It returns false if that is of a former history: what was told with it is to be thrown away.
func (h *History) Note(now time.Time, r Revision) bool {
	h.mu.Lock()
	was := h.era
	switch {
	case !h.hasEra:
		h.hasEra, h.era = true, r.Era
		h.mu.Unlock()
		return true
	case r.Era < h.era:
		h.dropped++
		h.mu.Unlock()
		return false
	case r.Era == h.era:
		h.lowerFirst(r.Number)
		h.mu.Unlock()
		return true
	}
	out := Return{Era: r.Era, EraBefore: was, Dropped: h.dropped}
	h.era, h.hasReturned, h.since, h.first, h.dropped = r.Era, true, now, noRevision, 0
	h.lowerFirst(r.Number)
	h.mu.Unlock()
	h.onReturn(out)
	return true
}

// Adopt records at now what another instance knows of the return with which the present history began: the
// lowest revision that the store had reached afterwards. An instance that has started since knows nothing of it.
func (h *History) Adopt(now time.Time, first Revision) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if first.IsZero() || !h.hasEra || first.Era != h.era {
		return
	}
	if !h.hasReturned {
		h.hasReturned, h.since, h.first = true, now, noRevision
	}
	h.lowerFirst(first.Number)
}

// lowerFirst notes that the store had reached a number when it had come back.
func (h *History) lowerFirst(number uint64) {
	if h.hasReturned && number > 0 {
		h.first = min(h.first, number)
	}
}

// Era returns the era of the present history, 0 if none is known.
func (h *History) Era() uint64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.era
}

// IsPresent reports whether a revision is of the present history.
func (h *History) IsPresent(r Revision) bool { return r.Era == h.Era() }

// First returns the lowest revision that the store is known to have reached after it came back,
// unknown if this instance has not heard of its return.
func (h *History) First() Revision {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.hasReturned || h.first == noRevision {
		return Revision{}
	}
	return Revision{h.era, h.first}
}

// IsNew reports whether the change of a revision was certainly made in the present history: the copy with
// which it began has no higher number than the store had reached afterwards. An instance that has not heard of
// the return knows nothing older.
func (h *History) IsNew(r Revision) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return r.Era == h.era && (!h.hasReturned || r.Number > h.first)
}

// Age returns for how long the present history is known at now, and false if the store has not come
// back while this instance ran.
func (h *History) Age(now time.Time) (age time.Duration, hasReturned bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return now.Sub(h.since), h.hasReturned
}
