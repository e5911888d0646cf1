package kvmem

import (
	"maps"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Copy is the state of a Store at the time of a backup.
type Copy struct {
	items    map[string]ports.Item
	gone     []ports.Item
	revision ports.Revision
	leases   map[ports.LeaseID]time.Duration
	next     ports.LeaseID
}

// Copy returns the present state.
func (s *Store) Copy() *Copy {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := &Copy{
		items: maps.Clone(s.items), gone: slices.Clone(s.gone), revision: s.revision,
		leases: make(map[ports.LeaseID]time.Duration), next: s.next,
	}
	for id, l := range s.leases {
		c.leases[id] = l.ttl
	}
	return c
}

// SetAway makes all calls fail without effect while isAway is set, and ends the watches that
// wait.
func (s *Store) SetAway(isAway bool) {
	s.mu.Lock()
	s.isAway = isAway
	var ended []*waiter
	if isAway {
		ended = s.takeWaiters()
	}
	s.mu.Unlock()
	endAll(ended)
}

// Restore replaces the state with that of a copy and begins the next era. Revisions and the
// numbers of leases are given out again, and the TTLs of the copy's leases start again.
// Watches that wait end.
func (s *Store) Restore(c *Copy) {
	s.mu.Lock()
	for _, l := range s.leases {
		l.cancel()
	}
	s.items, s.gone = maps.Clone(c.items), slices.Clone(c.gone)
	s.revision, s.next = c.revision, c.next
	s.leases = make(map[ports.LeaseID]*lease)
	for _, id := range slices.Sorted(maps.Keys(c.leases)) {
		l := &lease{ttl: c.leases[id]}
		s.leases[id] = l
		s.extend(id, l)
	}
	s.era++
	ended := s.takeWaiters()
	s.mu.Unlock()
	endAll(ended)
}

// Era returns how often the store has come back from a copy.
func (s *Store) Era() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.era
}

// takeWaiters removes all watches that wait.
func (s *Store) takeWaiters() []*waiter {
	taken := slices.Collect(maps.Keys(s.waiters))
	clear(s.waiters)
	for _, w := range taken {
		w.cancel()
	}
	return taken
}

// endAll ends watches as a store that goes away does.
func endAll(waiters []*waiter) {
	for _, w := range waiters {
		w.done(ports.KVReply{Status: ports.KVUnavailable})
	}
}
