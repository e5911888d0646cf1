package shard

import (
	"hash/maphash"
	"sync"
)

// stripeCount is the number of stripes of a Map, each with its own lock.
const stripeCount = 64

// Map is a map for concurrent use, split into stripes with a lock each, so that goroutines
// that use different keys rarely wait for each other.
type Map[K comparable, V any] struct {
	seed    maphash.Seed
	stripes [stripeCount]stripe[K, V]
}

type stripe[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]V
}

// NewMap returns an empty map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.stripes {
		m.stripes[i].items = make(map[K]V)
	}
	return m
}

// Get returns the value of key and reports whether the key is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	v, ok := s.items[key]
	return v, ok
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.items[key] = value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.items, key)
}

// Update replaces the value of key by the first result of change, or removes the key if the
// second result is false. It calls change with the stripe locked, so change must not use
// the map.
func (m *Map[K, V]) Update(key K, change func(old V, present bool) (V, bool)) {
	s := m.stripe(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	old, present := s.items[key]
	v, keep := change(old, present)
	if !keep {
		delete(s.items, key)
		return
	}
	s.items[key] = v
}

// Each calls visit for every entry, in no fixed order, until visit returns false. It locks
// one stripe at a time, so the entries are not a consistent snapshot of the map, and visit
// must not use the map.
func (m *Map[K, V]) Each(visit func(K, V) bool) {
	for i := range m.stripes {
		if !m.stripes[i].each(visit) {
			return
		}
	}
}

// Len returns the number of entries. It locks one stripe at a time.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.stripes {
		s := &m.stripes[i]
		s.mu.Lock()
		n += len(s.items)
		s.mu.Unlock()
	}
	return n
}

func (m *Map[K, V]) stripe(key K) *stripe[K, V] {
	return &m.stripes[maphash.Comparable(m.seed, key)%stripeCount]
}

// each calls visit for every entry of the stripe and reports whether all calls returned
// true.
func (s *stripe[K, V]) each(visit func(K, V) bool) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for k, v := range s.items {
		if !visit(k, v) {
			return false
		}
	}
	return true
}
