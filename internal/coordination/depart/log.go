package depart

import (
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// maxDepartures is the number of departures that are remembered, twice the targets of the
// largest deployment.
const maxDepartures = 8192

// Departure is what is known of a target whose entry is missing from the store.
type Departure struct {
	// Revision is the latest store revision at which the entry is known to have been missing.
	Revision ports.Revision
	// NotedAt is when this instance first learned of the departure.
	NotedAt time.Time
	// UsableUntil is until when the target may still be used, since it may be alive although
	// its entry is missing. It is never later than first set.
	UsableUntil time.Time
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
)

// Log holds the departures of targets by their ids. Revisions are compared, so a Log
// belongs to one history of the store.
type Log struct {
	mu   sync.Mutex
	byID map[string]Departure
}

// NewLog returns an empty Log.
func NewLog() *Log { return &Log{byID: make(map[string]Departure)} }

// Leave notes at now that a target's entry was missing at a revision, and that the target
// may be used for usableFor. A departure that is known already is only ever shortened. It
// returns what is known now.
func (l *Log) Leave(id string, revision ports.Revision, now time.Time, usableFor time.Duration) Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.Add(max(usableFor, 0))
	d, isKnown := l.byID[id]
	if !isKnown {
		d = Departure{NotedAt: now, UsableUntil: until}
		l.makeRoom()
	}
	d.Revision = max(d.Revision, revision)
	if until.Before(d.UsableUntil) {
		d.UsableUntil = until
	}
	l.byID[id] = d
	return d
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

// Judge compares a description that rests on an entry as of a revision with the target's
// departure, which it returns too unless the verdict is Present. askedAt is when the store
// was asked for the entry by this instance, zero if another instance has sent it. A read
// that began after the departure was noted shows the entry of a target that has returned,
// whatever its revision. Revision 0 stands for an unknown one, which counts as newer.
func (l *Log) Judge(id string, revision ports.Revision, askedAt time.Time) (Departure, Verdict) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, isKnown := l.byID[id]
	switch {
	case !isKnown:
		return Departure{}, Present
	case revision > d.Revision, revision == 0, askedAt.After(d.NotedAt):
		delete(l.byID, id)
		return d, Returned
	}
	return d, Outdated
}

// Find returns the departure of a target.
func (l *Log) Find(id string) (Departure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byID[id]
	return d, ok
}
