package entry

import "sync"

// seenNames is a set of names for which something is done only once. It is safe for
// concurrent use, and its zero value is empty.
type seenNames struct {
	mu    sync.Mutex
	names map[string]bool
}

// add adds a name and reports whether it was not in the set.
func (s *seenNames) add(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.names == nil {
		s.names = make(map[string]bool)
	}
	known := s.names[name]
	s.names[name] = true
	return !known
}

// retain removes the names for which isKept returns false.
func (s *seenNames) retain(isKept func(name string) bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for name := range s.names {
		if !isKept(name) {
			delete(s.names, name)
		}
	}
}
