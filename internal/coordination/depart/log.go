package depart

import (
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/state/eras"
)

// maxDepartures is the number of departures that are remembered, twice the targets of the
// largest deployment.
const maxDepartures = 8192

// Departure is what is known of a target whose entry is missing from the store.
type Departure struct {
	// Revision is the latest store revision at which the entry is known to have been missing.
	Revision eras.Revision
	// NotedAt is when this instance first learned of the departure.
	NotedAt time.Time
	// UsableUntil is until when the target may still be used, since it may be alive although
	// its entry is missing. It is never later than first set.
	UsableUntil time.Time
}

// Description is what a source says of a target whose entry is there.
type Description struct {
	ID string
	// Born is the start of the incarnation, as a Unix time in milliseconds.
	Born int64
	// Revision is that of the entry. Unknown ones count as newer than all others.
	Revision eras.Revision
	// AskedAt is when the store was asked for the entry by this instance, zero if another
	// instance has sent it.
	AskedAt time.Time
}

// Verdict is the result of comparing a description of a target with its departure.
type Verdict uint8

const (
	// Present means that no departure of the target is known.
	Present Verdict = iota
	// Returned means that the target has registered again after its departure, which is
	// forgotten.
	Returned
	// Outdated means that the description rests on an entry from before the departure.
	Outdated
	// Unproven means that the entry may be one from before the departure that the store has
	// taken over from an older copy.
	Unproven
)

// Log holds the departures of targets by their ids.
type Log struct {
	history *eras.History
	// leaseTime is how long an entry that nobody renews is there after a return of the store.
	leaseTime time.Duration

	mu   sync.Mutex
	byID map[string]Departure
	// present holds what is known of the targets that have not left.
	present map[string]sighting
}

// sighting is the newest description of a target.
type sighting struct {
	revision eras.Revision
	born     int64
}

// NewLog returns an empty Log for a store with a history. leaseTime is how long an entry that nobody
// renews is there after the store has come back.
func NewLog(history *eras.History, leaseTime time.Duration) *Log {
	return &Log{history: history, leaseTime: leaseTime, byID: make(map[string]Departure), present: make(map[string]sighting)}
}

// Leave notes at now that a target's entry was missing at a revision, and that the target
// may be used for usableFor. A departure that is known already is only ever shortened. It
// returns what is known now, and false if the target is known to have registered later.
func (l *Log) Leave(id string, revision eras.Revision, now time.Time, usableFor time.Duration) (Departure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	seen := l.present[id]
	if !revision.IsZero() && seen.revision.Era > revision.Era && l.history.IsNew(seen.revision) {
		return Departure{}, false
	}
	delete(l.present, id)
	until := now.Add(max(usableFor, 0))
	d, isKnown := l.byID[id]
	if !isKnown {
		d = Departure{NotedAt: now, UsableUntil: until}
		l.makeRoom()
	}
	d.Revision = d.Revision.Later(revision)
	if until.Before(d.UsableUntil) {
		d.UsableUntil = until
	}
	l.byID[id] = d
	return d, true
}

// makeRoom forgets the departure that was noted first if the Log is full.
func (l *Log) makeRoom() {
	if len(l.byID) < maxDepartures {
		return
	}
	var oldest string
	for id, d := range l.byID {
		if oldest == "" || d.NotedAt.Before(l.byID[oldest].NotedAt) {
			oldest = id
		}
	}
	delete(l.byID, oldest)
}

// Judge compares a description at now with the target's departure, which it returns too unless the verdict is
// Present. A read that began after the departure was noted shows the entry of a target that has
// returned, whatever its revision, unless the store has come back from an older copy since.
func (l *Log) Judge(now time.Time, t Description) (Departure, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, hasLeft := l.byID[t.ID]
	verdict := l.judge(now, t, d, hasLeft)
	switch verdict {
	case Present, Returned:
		delete(l.byID, t.ID)
		l.see(t)
	case Outdated, Unproven:
	}
	return d, verdict
}

func (l *Log) judge(now time.Time, t Description, d Departure, hasLeft bool) Verdict {
	isNewer := t.Revision.Era > d.Revision.Era
	switch {
	case !hasLeft && l.isFormerIncarnation(now, t):
		return l.unproven(t.Revision)
	case !hasLeft:
		return Present
	case t.Revision.IsZero():
		return Returned
	case t.Revision.Era < d.Revision.Era:
		return Outdated
	case isNewer && !l.isProven(now, t.Revision):
		return l.unproven(t.Revision)
	case t.Revision.After(d.Revision), t.AskedAt.After(d.NotedAt):
		return Returned
	}
	return Outdated
}

// unproven returns Unproven for an entry of the present history. One of a former history will never be
// proven.
func (l *Log) unproven(r eras.Revision) Verdict {
	if l.history.IsPresent(r) {
		return Unproven
	}
	return Outdated
}

// isProven reports whether the entry of a revision shows that its target is there: it has been written after
// the store came back, or has outlasted the lease of an entry that nobody renews.
func (l *Log) isProven(now time.Time, r eras.Revision) bool {
	age, hasReturned := l.history.Age(now)
	return l.history.IsNew(r) || hasReturned && l.history.IsPresent(r) && age >= l.leaseTime
}

// isFormerIncarnation reports whether a description is of an incarnation before the known one, from
// an entry that the store may have taken over from an older copy.
func (l *Log) isFormerIncarnation(now time.Time, t Description) bool {
	seen, isPresent := l.present[t.ID]
	return isPresent && t.Born < seen.born && t.Revision.Era > seen.revision.Era && !l.isProven(now, t.Revision)
}

// see notes a description of a target that is there.
func (l *Log) see(t Description) {
	seen := l.present[t.ID]
	if !seen.revision.After(t.Revision) {
		l.present[t.ID] = sighting{t.Revision, t.Born}
	}
}

// WaitForProof returns at now how long an Unproven description of a target is to be held back. If it still
// stands then, Judge takes it.
func (l *Log) WaitForProof(now time.Time) time.Duration {
	age, _ := l.history.Age(now)
	return max(l.leaseTime-age, 0)
}

// Find returns the departure of a target.
func (l *Log) Find(id string) (Departure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byID[id]
	return d, ok
}
