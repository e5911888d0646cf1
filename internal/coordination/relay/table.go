package relay

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	// childTTL is how long a child's demand counts and the child is named to the holder.
	childTTL = 2 * time.Second
	// counterTTL is how long the number of a child's last message is kept. A child may
	// send a message again for maxBatchAge.
	counterTTL = 3 * maxBatchAge
)

// Message is what a relay records of a child's message.
type Message struct {
	Child  Child
	Seq    uint64
	Demand []picker.Demand
	Resent []Batch
	// Leaving lists targets that have announced that they are leaving.
	Leaving []fleet.Identity
}

// child is what a relay knows of one of its children.
type child struct {
	info    Child
	at      time.Time
	counter Counter
	demand  []picker.Demand
}

// Table is what a relay knows of its children. It is safe for concurrent use.
type Table struct {
	mu       sync.Mutex
	children map[string]*child
	// arrived holds the arrivals at children that have not been reported.
	arrived map[modelKey]int
	// leaving holds when a child last named a target that is leaving. A child names it
	// until the holder's updates do.
	leaving map[fleet.Identity]time.Time
}

// NewTable returns a Table without children.
func NewTable() *Table {
	return &Table{
		children: make(map[string]*child), arrived: make(map[modelKey]int), leaving: make(map[fleet.Identity]time.Time),
	}
}

// Put records a child's message. It reports whether the holder should hear of it at once:
// more requests wait at the child than before, or a target is leaving.
func (t *Table) Put(now time.Time, m Message) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.children[m.Child.Name]
	if c == nil {
		c = &child{}
		t.children[m.Child.Name] = c
	}
	if m.Child.Peer.IsValid() || c.info.Name == "" {
		c.info = m.Child
	}
	c.at = now
	isUrgent := t.noteLeaving(now, m.Leaving)
	arrivals, isNew := c.counter.Count(m.Seq, m.Demand, m.Resent)
	if !isNew {
		return isUrgent
	}
	for _, a := range arrivals {
		t.arrived[modelKey{a.Service, a.Model}] += a.Count
	}
	waited := queued(c.demand)
	c.demand = m.Demand
	return isUrgent || queued(m.Demand) > waited
}

// noteLeaving records targets that are leaving and reports whether one was not known.
func (t *Table) noteLeaving(now time.Time, targets []fleet.Identity) bool {
	isNew := false
	for _, id := range targets {
		_, known := t.leaving[id]
		isNew = isNew || !known
		t.leaving[id] = now
	}
	return isNew
}

// Leaving returns the targets that children have lately said to be leaving.
func (t *Table) Leaving(now time.Time) []fleet.Identity {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.leaving, func(_ fleet.Identity, at time.Time) bool { return now.Sub(at) > childTTL })
	return slices.Collect(maps.Keys(t.leaving))
}

// Take returns the sum of the demand of the relay itself and of its children, with the
// arrivals since the last call.
func (t *Table) Take(now time.Time, own []picker.Demand) []picker.Demand {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.prune(now)
	s := newSum()
	s.add(own)
	for _, c := range t.children {
		if now.Sub(c.at) <= childTTL {
			s.add(WithoutArrivals(c.demand))
		}
	}
	out := addArrivals(s.list(), t.arrived)
	clear(t.arrived)
	return out
}

// Live returns the children that have sent a message lately, in the order of their names.
func (t *Table) Live(now time.Time) []Child {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Child
	for _, c := range t.children {
		if now.Sub(c.at) <= childTTL {
			out = append(out, c.info)
		}
	}
	slices.SortFunc(out, func(a, b Child) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// HasChildren reports whether any child has sent a message lately, and HasQueued whether
// requests wait for a model at one.
func (t *Table) HasChildren(now time.Time) bool {
	return t.any(now, func(*child) bool { return true })
}

// HasQueued reports whether requests wait for a model at any child.
func (t *Table) HasQueued(now time.Time) bool {
	return t.any(now, func(c *child) bool { return queued(c.demand) > 0 })
}

func (t *Table) any(now time.Time, holds func(*child) bool) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range t.children {
		if now.Sub(c.at) <= childTTL && holds(c) {
			return true
		}
	}
	return false
}

func (t *Table) prune(now time.Time) {
	maps.DeleteFunc(t.children, func(_ string, c *child) bool { return now.Sub(c.at) > counterTTL })
}

func queued(demand []picker.Demand) int {
	n := 0
	for i := range demand {
		n += demand[i].Queued
	}
	return n
}
