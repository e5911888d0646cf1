package depart

import (
	"sync"
	"time"
)

// maxDepartures is the number of departures that are remembered, twice the targets of the
// largest deployment.
const maxDepartures = 8192

// Departure is what is known of a target whose entry is missing from the store.
type Departure struct {
	// NotedAt is when this instance first learned of the departure.
	NotedAt time.Time
	// UsableUntil is until when the target may still be used, since it may be alive although
	// its entry is missing. It is never later than first set.
	UsableUntil time.Time
}

// Log holds the departures of targets by their ids.
type Log struct {
	mu   sync.Mutex
	byID map[string]Departure
}

// NewLog returns an empty Log.
func NewLog() *Log { return &Log{byID: make(map[string]Departure)} }

// Leave notes at now that a target's entry is missing, and that the target may be used for
// usableFor. A departure that is known already is only ever shortened. It returns what is
// known now.
func (l *Log) Leave(id string, now time.Time, usableFor time.Duration) Departure {
	l.mu.Lock()
	defer l.mu.Unlock()
	until := now.Add(max(usableFor, 0))
	d, isKnown := l.byID[id]
	if !isKnown {
		d = Departure{NotedAt: now, UsableUntil: until}
		l.makeRoom()
	}
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

// Return forgets the departure of a target that has registered again.
func (l *Log) Return(id string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.byID, id)
}

// Find returns the departure of a target.
func (l *Log) Find(id string) (Departure, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	d, ok := l.byID[id]
	return d, ok
}
