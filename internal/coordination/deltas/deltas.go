package deltas

import (
	"cmp"
	"slices"
	"sync"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Trail holds the latest change of each key in a range of revisions of the store. A
// deleted key is kept as a deletion. A Trail is safe for concurrent use.
type Trail struct {
	// maxItems is the number of droppable changes above which the older half is dropped.
	maxItems int

	mu sync.Mutex
	// All changes after the revision after, up to and including through, are known.
	after, through ports.Revision
	// isComplete means that all existing keys are known, including those that have not
	// changed since after.
	isComplete bool
	items      map[string]ports.Item
	changed    chan struct{}
}

// Told is the changes since a revision.
type Told struct {
	// Items are the changes in ascending order of their revisions, or all existing keys
	// if Whole is set.
	Items []ports.Item
	Whole bool
	// Through is the revision up to which Items are complete.
	Through ports.Revision
}

// New returns an empty Trail. It keeps up to maxItems changes; once all keys are known,
// only deletions count towards maxItems.
func New(maxItems int) *Trail {
	return &Trail{maxItems: maxItems, items: make(map[string]ports.Item), changed: make(chan struct{})}
}

// Begin announces that the changes after a revision follow. The known changes are kept if
// the new ones leave no gap.
func (t *Trail) Begin(after ports.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if after >= t.after && after <= t.through {
		return
	}
	t.after, t.through, t.isComplete = after, after, false
	clear(t.items)
}

// Set replaces the contents by a full list of the keys as of the revision through.
func (t *Trail) Set(items []ports.Item, through ports.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.after, t.through, t.isComplete = through, through, true
	clear(t.items)
	for _, item := range items {
		t.items[item.Key] = item
	}
	t.notify()
}

// Add adds the changes since the last ones, up to the revision through. Changes that are
// already known have no effect.
func (t *Trail) Add(changes []ports.Item, through ports.Revision) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, item := range changes {
		if item.Revision > t.items[item.Key].Revision {
			t.items[item.Key] = item
		}
	}
	t.through = max(t.through, through)
	t.trim()
	if len(changes) > 0 {
		t.notify()
	}
}

func (t *Trail) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// After returns the changes after a revision, or all existing keys if those changes are
// no longer known. It returns false if neither is known.
func (t *Trail) After(revision ports.Revision) (Told, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	page := Told{Through: t.through}
	if revision < t.after {
		if !t.isComplete {
			return Told{}, false
		}
		page.Whole = true
	}
	for _, item := range t.items {
		if page.Whole && !item.Deleted || !page.Whole && item.Revision > revision {
			page.Items = append(page.Items, item)
		}
	}
	slices.SortFunc(page.Items, byRevision)
	return page, true
}

// Changed returns a channel that is closed at the next change.
func (t *Trail) Changed() <-chan struct{} {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.changed
}

// trim drops the older half of the changes if there are more than maxItems. If all keys
// are known, only deletions can be dropped.
func (t *Trail) trim() {
	var old []ports.Item
	for _, item := range t.items {
		if item.Deleted || !t.isComplete {
			old = append(old, item)
		}
	}
	if len(old) <= t.maxItems {
		return
	}
	slices.SortFunc(old, byRevision)
	for _, item := range old[:len(old)/2] {
		t.after = max(t.after, item.Revision)
		delete(t.items, item.Key)
	}
}

func byRevision(a, b ports.Item) int {
	return cmp.Compare(a.Revision, b.Revision)
}
