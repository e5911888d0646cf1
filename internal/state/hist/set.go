package hist

import (
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/state/shard"
)

// Set is histograms by key, sharded so that goroutines recording under
// different keys rarely wait for each other.
type Set[K comparable] struct {
	precision Precision
	limit     int64
	other     K
	keys      atomic.Int64
	hists     *shard.Map[K, *Hist]
}

// NewSet returns an empty set that holds at most limit keys; what comes under
// further ones is recorded under other, which does not count.
func NewSet[K comparable](p Precision, limit int, other K) *Set[K] {
	return &Set[K]{precision: p, limit: int64(limit), other: other, hists: shard.NewMap[K, *Hist]()}
}

// Record adds one duration under key.
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

// record returns false if key is new and there is no room for it.
func (s *Set[K]) record(key K, d time.Duration) bool {
	if key == s.other {
		return false
	}
	recorded := true
	s.hists.Update(key, func(h *Hist, present bool) (*Hist, bool) {
		if !present {
			if s.keys.Add(1) > s.limit {
				s.keys.Add(-1)
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

// Snapshot returns copies of all histograms by key.
func (s *Set[K]) Snapshot() map[K]*Hist {
	all := make(map[K]*Hist, s.hists.Len())
	s.hists.Each(func(key K, h *Hist) bool {
		all[key] = h.Clone()
		return true
	})
	return all
}
