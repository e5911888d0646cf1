package deltas

import (
	"cmp"
	"slices"
	"sync"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// Log holds the latest change of each key in a range of revisions of one history of the store. A
// deleted key is kept as a deletion. A Log is safe for concurrent use.
type Log struct {
	// maxItems is the number of droppable changes above which the older half is dropped.
	maxItems int

	mu sync.Mutex
	// All changes after the revision after, up to and including through, are known. Both are of the
	// same era, as are the items.
	after, through eras.Revision
	// isComplete means that all existing keys are known, including those that have not
	// changed since after.
	isComplete bool
	items      map[string]ports.Item
	changed    chan struct{}
}

// Changes is the changes since a revision.
type Changes struct {
	// Items are the changes in ascending order of their revisions, or all existing keys
	// if IsFullList is set.
	Items      []ports.Item
	IsFullList bool
	// Through is the revision up to which Items are complete. Their revisions are of its era.
	Through eras.Revision
}

// New returns an empty Log. It keeps up to maxItems changes; once all keys are known,
// only deletions count towards maxItems.
func New(maxItems int) *Log {
	return &Log{maxItems: maxItems, items: make(map[string]ports.Item), changed: make(chan struct{})}
}

// StartAfter announces that the changes after a revision follow. The known changes are
// kept if the new ones leave no gap.
func (l *Log) StartAfter(after eras.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.after.After(after) && !after.After(l.through) {
		return
	}
	l.after, l.through, l.isComplete = after, after, false
	clear(l.items)
}

// Replace replaces the contents by a full list of the keys as of the revision through.
func (l *Log) Replace(items []ports.Item, through eras.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.after, l.through, l.isComplete = through, through, true
	clear(l.items)
	for _, item := range items {
		l.items[item.Key] = item
	}
	l.notify()
}

// Add adds the changes since the last ones, up to the revision through. Changes that are
// already known have no effect, nor have those of another history.
func (l *Log) Add(changes []ports.Item, through eras.Revision) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if through.Era != l.through.Era {
		return
	}
	for _, item := range changes {
		if item.Revision > l.items[item.Key].Revision {
			l.items[item.Key] = item
		}
	}
	l.through = l.through.Later(through)
	l.trim()
	if len(changes) > 0 {
		l.notify()
	}
}

func (l *Log) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// Since returns the changes after a revision, or all existing keys if those changes are
// no longer known or the revision is of another history. It returns false if neither is known.
func (l *Log) Since(revision eras.Revision) (Changes, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	page := Changes{Through: l.through}
	if revision.Era != l.through.Era || l.after.After(revision) {
		if !l.isComplete {
			return Changes{}, false
		}
		page.IsFullList = true
	}
	for _, item := range l.items {
		if page.IsFullList && !item.Deleted || !page.IsFullList && uint64(item.Revision) > revision.Number {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, byRevision)
	return page, true
}

// Changed returns a channel that is closed at the next change.
func (l *Log) Changed() <-chan struct{} {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.changed
}

// trim drops the older half of the changes if there are more than maxItems. If all keys
// are known, only deletions can be dropped.
func (l *Log) trim() {
	var old []ports.Item
	for _, item := range l.items {
		if item.Deleted || !l.isComplete {
			old = append(old, item)
		}
	}
	if len(old) <= l.maxItems {
		return
	}
	slices.SortFunc(old, byRevision)
	for _, item := range old[:len(old)/2] {
		l.after.Number = max(l.after.Number, uint64(item.Revision))
		delete(l.items, item.Key)
	}
}

func byRevision(a, b ports.Item) int {
	return cmp.Compare(a.Revision, b.Revision)
}
