package recent

// Set is a set that holds at most a fixed number of values and evicts the one added first
// to make space for a new one. It is not safe for concurrent use.
type Set[T comparable] struct {
	present map[T]struct{}
	// ring holds the values in the order of insertion. Once it is full, next is the index
	// of the oldest value, which the next insertion replaces.
	ring []T
	next int
	// maxSize is the maximum number of values.
	maxSize int
}

// NewSet returns an empty set of at most maxSize values; a maxSize below 1 counts as 1.
func NewSet[T comparable](maxSize int) *Set[T] {
	return &Set[T]{present: make(map[T]struct{}), maxSize: max(maxSize, 1)}
}

// Add adds a value and evicts the oldest one if the set is full. It returns false if the
// value was already in the set; its place in the order of eviction stays the same then.
func (s *Set[T]) Add(v T) bool {
	if s.Has(v) {
		return false
	}
	s.present[v] = struct{}{}
	if len(s.ring) < s.maxSize {
		s.ring = append(s.ring, v)
		return true
	}
	delete(s.present, s.ring[s.next])
	s.ring[s.next] = v
	s.next = (s.next + 1) % s.maxSize
	return true
}

// Has reports whether a value is in the set.
func (s *Set[T]) Has(v T) bool {
	_, ok := s.present[v]
	return ok
}
