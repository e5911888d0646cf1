package edge

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// updateLog holds the latest update of each target that the holder sends to the other
// instances, numbered in the order of their changes.
type updateLog struct {
	version uint64
	entries map[string]*updateEntry
	// index numbers the targets for load reports and snapshots.
	index *load.Index
}

type updateEntry struct {
	version uint64
	update  picker.Update
	// usableUntil is until when a target that has left may be used; zero if it has not.
	usableUntil time.Time
}

func newUpdateLog() *updateLog {
	return &updateLog{entries: make(map[string]*updateEntry), index: load.NewIndex()}
}

// set adds an update of a target, which may be used until a time if that is not zero, unless it
// equals the last.
func (r *updateLog) set(n picker.Update, usableUntil time.Time) {
	if !n.Gone {
		n.Index = r.index.Assign(n.ID, n.Slots)
	}
	entry := r.entries[n.ID]
	if entry != nil && entry.update.Equal(&n) && entry.usableUntil.Equal(usableUntil) {
		return
	}
	r.version++
	r.entries[n.ID] = &updateEntry{version: r.version, update: n, usableUntil: usableUntil}
}

// remove adds an update that a target is gone, its entry having been missing at a revision of
// the store. It returns the target's former number for load reports, 0 if it had none.
func (r *updateLog) remove(id string, revision eras.Revision) int {
	if entry := r.entries[id]; entry == nil || entry.update.Gone {
		return 0
	}
	n := picker.Update{Gone: true, Revision: revision}
	n.ID = id
	r.set(n, time.Time{})
	return r.index.Release(id)
}

// after returns the updates after a version, as they are sent at now. For version 0 it returns
// those of all targets that exist.
func (r *updateLog) after(version uint64, now time.Time) []picker.Update {
	var out []picker.Update
	for _, entry := range r.entries {
		if entry.version > version && (version > 0 || !entry.update.Gone) {
			out = append(out, entry.update.WithRemoval(entry.usableUntil, now))
		}
	}
	return out
}
