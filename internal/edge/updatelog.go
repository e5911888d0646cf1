package edge

import (
	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/coordination/picker"
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
}

func newUpdateLog() *updateLog {
	return &updateLog{entries: make(map[string]*updateEntry), index: load.NewIndex()}
}

// set adds an update of a target unless it equals the last.
func (r *updateLog) set(n picker.Update) {
	if !n.Gone {
		n.Index = r.index.Assign(n.ID, n.Slots)
	}
	entry := r.entries[n.ID]
	if entry != nil && entry.update.Equal(&n) {
		return
	}
	r.version++
	r.entries[n.ID] = &updateEntry{version: r.version, update: n}
}

// remove adds an update that a target is gone, its entry having been missing at a revision of
// the store. It returns the target's former number for load reports, 0 if it had none.
func (r *updateLog) remove(id string, revision uint64) int {
	if entry := r.entries[id]; entry == nil || entry.update.Gone {
		return 0
	}
	n := picker.Update{Gone: true, Revision: revision}
	n.ID = id
	r.set(n)
	return r.index.Release(id)
}

// after returns the updates after a version. For version 0 it returns those of all
// targets that exist.
func (r *updateLog) after(version uint64) []picker.Update {
	var out []picker.Update
	for _, entry := range r.entries {
		if entry.version > version && (version > 0 || !entry.update.Gone) {
			out = append(out, entry.update)
		}
	}
	return out
}
