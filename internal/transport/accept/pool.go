package accept

import "sync"

// Pool limits the descriptors that the connections of several listeners use together. A
// part of them may be reserved for control ports.
type Pool struct {
	limit int

	mu      sync.Mutex
	reserve int
	// callers and control are the descriptors in use.
	callers, control int
}

// NewPool returns an unused pool, which has no limit if limit is 0.
func NewPool(limit int) *Pool { return &Pool{limit: limit} }

// SetReserve reserves n descriptors for the listeners with control rules.
func (p *Pool) SetReserve(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.reserve = n
}

// take uses n descriptors if they are left.
func (p *Pool) take(n int, isControl bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	inUse := p.callers + p.control
	if !isControl {
		inUse = p.callers + max(p.control, p.reserve)
	}
	if p.limit > 0 && inUse+n > p.limit {
		return false
	}
	p.add(n, isControl)
	return true
}

func (p *Pool) release(n int, isControl bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.add(-n, isControl)
}

func (p *Pool) add(n int, isControl bool) {
	if isControl {
		p.control += n
	} else {
		p.callers += n
	}
}
