package proof

import (
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// Margin is the part of the bound on revocation that is not used. It covers clocks that
// run at different speeds, ages that are rounded, and the time from the last check of a
// request to its arrival at the target.
const Margin = 500 * time.Millisecond

// Proof states that the store had acknowledged no configuration after Revision before a
// moment that was Age ago.
type Proof struct {
	Revision eras.Revision
	Age      time.Duration
}

// moment is a proof as an instance keeps it.
type moment struct {
	revision eras.Revision
	at       time.Time
}

// Tracker keeps the proof of the active configuration of one instance. It is safe for
// concurrent use.
type Tracker struct {
	mu sync.Mutex
	// active is the revision of the active configuration, covered that of the newest one
	// that was seen, given that all configurations in between were rejected.
	active, covered eras.Revision
	// newest is the newest revision that is known to exist.
	newest eras.Revision
	// provenAt is the moment before which the store had acknowledged no configuration
	// after covered, zero if there is no proof.
	provenAt time.Time
	// pending is a proof for a configuration that is not active yet.
	pending moment
}

// NewTracker returns a Tracker without a configuration.
func NewTracker() *Tracker { return &Tracker{} }

// RecordOwn records that a call to the store, sent after askedAt, has returned and showed
// that no configuration is newer than revision. It is ignored if a newer one is known to
// exist all the same.
func (t *Tracker) RecordOwn(askedAt time.Time, revision eras.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.newest.After(revision) {
		t.record(moment{revision, askedAt})
	}
}

// RecordReply records the proof that another instance has stated in its reply to a
// question sent after askedAt.
func (t *Tracker) RecordReply(askedAt time.Time, p Proof) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.record(moment{p.Revision, askedAt.Add(-max(p.Age, 0))})
}

func (t *Tracker) record(m moment) {
	t.newest = t.newest.Later(m.revision)
	switch {
	case m.revision.IsZero() || t.active.After(m.revision):
	case !m.revision.After(t.covered):
		t.provenAt = timer.Later(t.provenAt, m.at)
	case m.revision.After(t.pending.revision):
		t.pending = m
	case m.revision == t.pending.revision:
		t.pending.at = timer.Later(t.pending.at, m.at)
	}
}

// Activate records that the configuration of a revision is active. It must not be called
// before requests are checked against that configuration. The proof of an older one
// remains, since all that was acknowledged before its moment is older than revision too.
func (t *Tracker) Activate(revision eras.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.covered.After(revision) {
		t.provenAt = time.Time{}
	}
	t.active = revision
	t.cover(revision)
}

// Skip records that the configuration of a revision was rejected, so that the active one
// stays in force. previous is the revision before it if that is known, else zero: a
// configuration that was not seen may be in force elsewhere.
func (t *Tracker) Skip(previous, revision eras.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.newest = t.newest.Later(revision)
	if !t.active.IsZero() && previous == t.covered && revision.After(t.covered) {
		t.cover(revision)
	}
}

func (t *Tracker) cover(revision eras.Revision) {
	t.covered = revision
	t.newest = t.newest.Later(revision)
	if t.pending.revision == revision {
		t.provenAt = timer.Later(t.provenAt, t.pending.at)
	}
	if !t.pending.revision.After(revision) {
		t.pending = moment{}
	}
}

// HasGap reports whether a configuration is known to exist that is newer than those that
// were seen in order.
func (t *Tracker) HasGap() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.newest.After(t.covered)
}

// Proof returns the proof of the active configuration, false if there is none.
func (t *Tracker) Proof(now time.Time) (Proof, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active.IsZero() || t.provenAt.IsZero() {
		return Proof{}, false
	}
	return Proof{Revision: t.active, Age: max(now.Sub(t.provenAt), 0)}, true
}

// Accepts reports whether keys of the active configuration may be accepted, given that a
// key must not be accepted later than bound after its removal.
func (t *Tracker) Accepts(now time.Time, bound time.Duration) bool {
	p, ok := t.Proof(now)
	return ok && p.Age < bound-Margin
}
