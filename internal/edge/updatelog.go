package edge

import (
	"chivecroft.example/chivecroft/internal/coordination/picker"
)

// updateLog holds the latest update of each target that the holder sends to the other
// instances, numbered in the order of their changes.
type updateLog struct {
	version uint64
	entries map[string]*updateEntry
}

type updateEntry struct {
	version uint64
	news    picker.News
}

func newUpdateLog() *updateLog {
	return &updateLog{entries: make(map[string]*updateEntry)}
}

// set adds an update of a target unless it equals the last.
func (r *updateLog) set(n picker.News) {
	entry := r.entries[n.ID]
	if entry != nil && entry.news.Same(&n) {
		return
	}
	r.version++
	r.entries[n.ID] = &updateEntry{version: r.version, news: n}
}

// remove adds an update that a target is gone.
func (r *updateLog) remove(id string) {
	if entry := r.entries[id]; entry == nil || entry.news.Gone {
		return
	}
	n := picker.News{Gone: true}
	n.ID = id
	r.set(n)
}

// after returns the updates after a version. For version 0 it returns those of all
// targets that exist.
func (r *updateLog) after(version uint64) []picker.News {
	var out []picker.News
	for _, entry := range r.entries {
		if entry.version > version && (version > 0 || !entry.news.Gone) {
			out = append(out, entry.news)
		}
	}
	return out
}
