package fairq

import (
	"cmp"
	"container/heap"
	"iter"
)

// minSweepSize is the number of flows from which on those without items are forgotten.
const minSweepSize = 64

// Schedule orders flows, which are identified by K and keep their items in an F. It is not
// safe for concurrent use.
type Schedule[K cmp.Ordered, F any] struct {
	flows       map[K]*Flow[K, F]
	virtualTime float64
	// count is the number of items of all flows, maxTag the highest start tag.
	count     int
	maxTag    float64
	sweepSize int
	// walk is kept from one call of Walk to the next to save allocations.
	walk flowHeap[K, F]
}

// Flow is a flow of items.
type Flow[K cmp.Ordered, F any] struct {
	Key K
	// Items belongs to the caller.
	Items F

	startTag float64
	lead     float64
	count    int
}

// New returns a Schedule without flows.
func New[K cmp.Ordered, F any]() *Schedule[K, F] {
	return &Schedule[K, F]{flows: make(map[K]*Flow[K, F]), sweepSize: minSweepSize}
}

// Flow returns the flow with a key, nil if it is unknown.
func (s *Schedule[K, F]) Flow(key K) *Flow[K, F] { return s.flows[key] }

// Ensure returns the flow with a key, which is created if it is unknown.
func (s *Schedule[K, F]) Ensure(key K) *Flow[K, F] {
	f := s.flows[key]
	if f == nil {
		s.sweep()
		f = &Flow[K, F]{Key: key, startTag: s.virtualTime}
		s.flows[key] = f
	}
	return f
}

// sweep forgets flows that have no items and whose state equals that of a new flow.
func (s *Schedule[K, F]) sweep() {
	if len(s.flows) < s.sweepSize {
		return
	}
	for key, f := range s.flows {
		if f.count == 0 && f.startTag <= s.virtualTime {
			delete(s.flows, key)
		}
	}
	s.sweepSize = max(minSweepSize, 2*len(s.flows))
}

// Add counts one more item of a flow.
func (s *Schedule[K, F]) Add(f *Flow[K, F]) {
	if f.count == 0 {
		f.startTag = max(f.startTag, s.virtualTime)
	}
	f.count++
	s.count++
}

// Remove counts one item of a flow less. Once there are no items, what flows have received
// no longer counts.
func (s *Schedule[K, F]) Remove(f *Flow[K, F]) {
	f.count--
	s.count--
	if s.count == 0 {
		s.virtualTime = max(s.virtualTime, s.maxTag)
	}
}

// Charge records that an item of a flow is served. The flow need not have been next.
func (s *Schedule[K, F]) Charge(f *Flow[K, F], tokens, weight float64) {
	if f.count > 0 {
		s.virtualTime = max(s.virtualTime, f.order())
	} else {
		f.startTag = max(f.startTag, s.virtualTime)
	}
	f.startTag += tokens / weight
	s.maxTag = max(s.maxTag, f.startTag)
}

// Next returns the flow with items that is served next, nil if no flow has any.
func (s *Schedule[K, F]) Next() *Flow[K, F] {
	var best *Flow[K, F]
	for _, f := range s.flows {
		if f.count > 0 && (best == nil || f.isBefore(best)) {
			best = f
		}
	}
	return best
}

// Active yields the flows that have items, in no order.
func (s *Schedule[K, F]) Active() iter.Seq[*Flow[K, F]] {
	return func(yield func(*Flow[K, F]) bool) {
		for _, f := range s.flows {
			if f.count > 0 && !yield(f) {
				return
			}
		}
	}
}

// Walk calls visit for the flow that is next, until it has returned false for each flow
// with items. visit may serve and remove items of that flow. A flow that was passed over
// gets no credit for it: otherwise it would delay all others once its items can be served.
func (s *Schedule[K, F]) Walk(visit func(*Flow[K, F]) bool) {
	s.walk = s.walk[:0]
	for f := range s.Active() {
		s.walk = append(s.walk, f)
	}
	heap.Init(&s.walk)
	for len(s.walk) > 0 {
		if visit(s.walk[0]) {
			heap.Fix(&s.walk, 0)
		} else {
			heap.Pop(&s.walk)
		}
	}
	for f := range s.Active() {
		f.startTag = max(f.startTag, s.virtualTime-f.lead)
	}
}

// Len returns the number of the flow's items.
func (f *Flow[K, F]) Len() int { return f.count }

// SetLead sets what the flow has received elsewhere beyond its share, in tokens over its
// weight. It comes later by as much, and replaces the former lead.
func (f *Flow[K, F]) SetLead(lead float64) { f.lead = max(lead, 0) }

// order is the virtual time at which the flow is served next.
func (f *Flow[K, F]) order() float64 { return f.startTag + f.lead }

func (f *Flow[K, F]) isBefore(other *Flow[K, F]) bool {
	x, y := f.order(), other.order()
	return x < y || x == y && f.Key < other.Key
}

// flowHeap implements heap.Interface, the flow that is served next first.
type flowHeap[K cmp.Ordered, F any] []*Flow[K, F]

func (h flowHeap[K, F]) Len() int           { return len(h) }
func (h flowHeap[K, F]) Less(i, j int) bool { return h[i].isBefore(h[j]) }
func (h flowHeap[K, F]) Swap(i, j int)      { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *flowHeap[K, F]) Push(x any) { *h = append(*h, x.(*Flow[K, F])) }

// Pop implements heap.Interface.
func (h *flowHeap[K, F]) Pop() any {
	last := len(*h) - 1
	f := (*h)[last]
	(*h)[last] = nil
	*h = (*h)[:last]
	return f
}
