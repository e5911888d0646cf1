package relay

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// Position identifies a state of the holder's updates.
type Position struct {
	// Term identifies the term of the holder, Version the last update in it.
	Term    int64
	Version uint64
}

// State is a position and the store revisions that belong to it.
type State struct {
	Position
	// Config is the revision of the configuration, ConfigVersion its version.
	Config        eras.Revision
	ConfigVersion int64
	// ConfigThrough and TargetsThrough are the revisions up to which the holder has read
	// configurations and targets. ConfigThrough is unknown if it may lack a configuration.
	ConfigThrough, TargetsThrough eras.Revision
}

// Copy is an instance's copy of the holder's updates. It is not safe for concurrent use.
//
// An entry's version is that of the message which brought it, at least the holder's own
// number. So an instance of a version gets all updates that it lacks, and perhaps some
// that it has, which are of its own version or later.
type Copy struct {
	state State
	// asOf is when the holder sent the state or earlier.
	asOf time.Time
	// base is the version of the full list with which the copy began. What was removed
	// before is not known.
	base    uint64
	entries map[string]copyEntry
}

type copyEntry struct {
	version uint64
	update  picker.Update
	// usableUntil is until when a target that has left may be used; zero if it has not.
	usableUntil time.Time
}

func newCopyEntry(version uint64, asOf time.Time, u picker.Update) copyEntry {
	e := copyEntry{version: version, update: u}
	if u.RemovalMS > 0 {
		e.usableUntil = asOf.Add(time.Duration(u.RemovalMS) * time.Millisecond)
	}
	return e
}

// NewCopy returns an empty Copy.
func NewCopy() *Copy { return &Copy{entries: make(map[string]copyEntry)} }

// State returns the state that the copy has reached.
func (c *Copy) State() State { return c.state }

// Age returns the time since the holder sent the state, or more.
func (c *Copy) Age(now time.Time) time.Duration { return now.Sub(c.asOf) }

// Adopt records a message whose sender, the holder, was in a state at asOf or later.
// isFull means that targets without an update are gone. It returns false, and changes
// nothing, if the copy has more already. Terms cannot be ordered by their numbers, but the
// messages of a holder end well before those of the next one begin.
func (c *Copy) Adopt(s State, asOf time.Time, isFull bool, updates []picker.Update) bool {
	isSameTerm := s.Term == c.state.Term
	isNews := asOf.After(c.asOf) || isSameTerm && c.isBehind(s)
	switch {
	case !isNews:
		return false
	case isSameTerm && s.Version < c.state.Version, !isSameTerm && !isFull:
		return false
	}
	if isFull {
		c.entries = make(map[string]copyEntry, len(updates))
		c.base = s.Version
	}
	for i := range updates {
		c.entries[updates[i].ID] = newCopyEntry(s.Version, asOf, updates[i])
	}
	if isSameTerm {
		// Messages of the same time may name older revisions with a newer version.
		s.Config = s.Config.Later(c.state.Config)
		s.ConfigVersion = max(s.ConfigVersion, c.state.ConfigVersion)
		if !s.ConfigThrough.IsZero() {
			s.ConfigThrough = s.ConfigThrough.Later(c.state.ConfigThrough)
		}
		s.TargetsThrough = s.TargetsThrough.Later(c.state.TargetsThrough)
	}
	if !isSameTerm || asOf.After(c.asOf) {
		c.asOf = asOf
	}
	c.state = s
	return true
}

// isBehind reports whether a state of the same term has something that the copy lacks.
func (c *Copy) isBehind(s State) bool {
	return s.Version > c.state.Version || s.Config.After(c.state.Config) || s.ConfigVersion > c.state.ConfigVersion ||
		s.ConfigThrough.After(c.state.ConfigThrough) || s.TargetsThrough.After(c.state.TargetsThrough)
}

// After returns the updates that an instance at a position lacks. isFull means that these
// are all targets.
func (c *Copy) After(at Position) (updates []picker.Update, isFull bool) {
	isFull = at.Term != c.state.Term || at.Version < c.base || at.Version == 0
	for _, entry := range c.entries {
		if isFull && !entry.update.Gone || !isFull && entry.version > at.Version {
			updates = append(updates, entry.update.WithRemoval(entry.usableUntil, c.asOf))
		}
	}
	return updates, isFull
}
