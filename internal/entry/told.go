package entry

import "sync"

// told remembers what has been said once, so that it is not said again and again.
type told struct {
	mu   sync.Mutex
	said map[string]bool
}

// first tells whether name has not been said before.
func (t *told) first(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.said == nil {
		t.said = make(map[string]bool)
	}
	before := t.said[name]
	t.said[name] = true
	return !before
}

// keep forgets the names for which still does not hold.
func (t *told) keep(still func(name string) bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for name := range t.said {
		if !still(name) {
			delete(t.said, name)
		}
	}
}
