package relay

import (
	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// Position identifies a state of the holder's updates.
type Position struct {
	// Term identifies the term of the holder, Version the last update in it.
	Term    int64
	Version uint64
}

// Copy is an instance's copy of the holder's updates. It is not safe for concurrent use.
//
// An entry's version is that of the message which brought it, at least the holder's own
// number. So an instance of a version gets all updates that it lacks, and perhaps some
// that it has, which are of its own version or later.
type Copy struct {
	at Position
	// base is the version of the full list with which the copy began. What was removed
	// before is not known.
	base    uint64
	entries map[string]copyEntry
}

type copyEntry struct {
	version uint64
	update  picker.Update
}

// NewCopy returns an empty Copy.
func NewCopy() *Copy { return &Copy{entries: make(map[string]copyEntry)} }

// Position returns the state that the copy has reached.
func (c *Copy) Position() Position { return c.at }

// Adopt records the updates of a message that lead to a position. isFull means that
// targets without an update are gone. It returns false, and changes nothing, if the
// updates don't follow on what the copy has.
func (c *Copy) Adopt(at Position, isFull bool, updates []picker.Update) bool {
	switch {
	case isFull && (at.Term != c.at.Term || at.Version >= c.at.Version):
		c.entries = make(map[string]copyEntry, len(updates))
		c.base = at.Version
	case isFull, at.Term != c.at.Term, at.Version < c.at.Version:
		return false
	}
	c.at = at
	for i := range updates {
		c.entries[updates[i].ID] = copyEntry{at.Version, updates[i]}
	}
	return true
}

// After returns the updates that an instance at a position lacks. isFull means that these
// are all targets.
func (c *Copy) After(at Position) (updates []picker.Update, isFull bool) {
	isFull = at.Term != c.at.Term || at.Version < c.base || at.Version == 0
	for _, entry := range c.entries {
		if isFull && !entry.update.Gone || !isFull && entry.version > at.Version {
			updates = append(updates, entry.update)
		}
	}
	return updates, isFull
}
