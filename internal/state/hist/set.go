package hist

import (
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/state/shard"
)

// Set holds histograms by key. It is safe for concurrent use, and goroutines that record
// under different keys rarely wait for each other.
type Set[K comparable] struct {
	precision Precision
	// maxKeys is the maximum number of keys besides other.
	maxKeys int64
	// other is the key for durations under keys that are not stored.
	other K
	// keyCount is the number of stored keys besides other.
	keyCount atomic.Int64
	hists    *shard.Map[K, *Hist]
}

// NewSet returns an empty set that holds at most maxKeys keys. Durations under any further
// key are recorded under other, which does not count towards the limit.
func NewSet[K comparable](p Precision, maxKeys int, other K) *Set[K] {
	return &Set[K]{precision: p, maxKeys: int64(maxKeys), other: other, hists: shard.NewMap[K, *Hist]()}
}

// Record adds one duration under key, or under other if the set is full.
func (s *Set[K]) Record(key K, d time.Duration) {
	if s.record(key, d) {
		return
	}
	s.hists.Update(s.other, func(h *Hist, present bool) (*Hist, bool) {
		if !present {
			h = New(s.precision)
		}
		h.Record(d)
		return h, true
	})
}

// record adds a duration under key. It returns false if key is other or if it is a new key
// and the set is full.
func (s *Set[K]) record(key K, d time.Duration) bool {
	if key == s.other {
		return false
	}
	recorded := true
	s.hists.Update(key, func(h *Hist, present bool) (*Hist, bool) {
		if !present {
			if s.keyCount.Add(1) > s.maxKeys {
				s.keyCount.Add(-1)
				recorded = false
				return nil, false
			}
			h = New(s.precision)
		}
		h.Record(d)
		return h, true
	})
	return recorded
}

// Snapshot returns copies of all histograms by key. Each is consistent in itself; durations
// recorded meanwhile may be missing.
func (s *Set[K]) Snapshot() map[K]*Hist {
	all := make(map[K]*Hist, s.hists.Len())
	s.hists.Each(func(key K, h *Hist) bool {
		all[key] = h.Clone()
		return true
	})
	return all
}
