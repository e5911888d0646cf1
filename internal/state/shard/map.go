package shard

import (
	"hash/maphash"
	"sync"
)

// shardCount is the number of locks in a Map.
const shardCount = 64

// Map is a map split into shards, each under its own lock, so that goroutines
// working on different keys rarely wait for each other.
type Map[K comparable, V any] struct {
	seed   maphash.Seed
	shards [shardCount]part[K, V]
}

type part[K comparable, V any] struct {
	mu    sync.Mutex
	items map[K]V
}

// NewMap returns an empty sharded map.
func NewMap[K comparable, V any]() *Map[K, V] {
	m := &Map[K, V]{seed: maphash.MakeSeed()}
	for i := range m.shards {
		m.shards[i].items = make(map[K]V)
	}
	return m
}

// Get returns the value of key and whether it is present.
func (m *Map[K, V]) Get(key K) (V, bool) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	v, ok := p.items[key]
	return v, ok
}

// Put sets the value of key.
func (m *Map[K, V]) Put(key K, value V) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	p.items[key] = value
}

// Delete removes key.
func (m *Map[K, V]) Delete(key K) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.items, key)
}

// Update replaces the value of key by what change returns, under the shard's
// lock; a false second result removes the key.
func (m *Map[K, V]) Update(key K, change func(old V, present bool) (V, bool)) {
	p := m.part(key)
	p.mu.Lock()
	defer p.mu.Unlock()
	old, present := p.items[key]
	v, keep := change(old, present)
	if !keep {
		delete(p.items, key)
		return
	}
	p.items[key] = v
}

// Each calls visit for every entry, one shard at a time and in no fixed order,
// until visit returns false; visit must not call back into the map.
func (m *Map[K, V]) Each(visit func(K, V) bool) {
	for i := range m.shards {
		if !m.shards[i].each(visit) {
			return
		}
	}
}

// Len returns the number of entries.
func (m *Map[K, V]) Len() int {
	n := 0
	for i := range m.shards {
		p := &m.shards[i]
		p.mu.Lock()
		n += len(p.items)
		p.mu.Unlock()
	}
	return n
}

func (m *Map[K, V]) part(key K) *part[K, V] {
	return &m.shards[maphash.Comparable(m.seed, key)%shardCount]
}

func (p *part[K, V]) each(visit func(K, V) bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for k, v := range p.items {
		if !visit(k, v) {
			return false
		}
	}
	return true
}
