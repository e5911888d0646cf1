package retry

import (
	"sync"
	"time"
)

// Limits bound the repeats of all instances in any window.
type Limits struct {
	Ratio  float64
	Extra  float64
	Window time.Duration
}

// Bounds of an instance's share.
const (
	// safety is the part of the limits that is used; the rest covers repeats that
	// are counted in another window than the request that earned them.
	safety = 0.7
	// unknownInstances is the size of the fleet that is assumed until it is known.
	unknownInstances = 100
)

// Budget counts the repeats of one instance, service by service.
type Budget struct {
	mu        sync.Mutex
	limits    Limits
	instances int
	services  map[string]*account
}

// account is a token bucket: requests earn a share of a repeat, and the fixed
// allowance refills once in a window.
type account struct {
	tokens float64
	filled time.Time
}

// NewBudget returns a budget in which nothing was spent.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, instances: unknownInstances, services: make(map[string]*account)}
}

// SetLimits takes new limits.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// SetInstances tells how many instances share the limits.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
}

// Earn notes a new request for a service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.tokens = min(a.tokens+safety*b.limits.Ratio, b.most())
}

// Spend takes one repeat at a service and reports whether there was one left.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// most is what can be saved up. Half of the allowance is kept as a burst and half
// refills during a window, so no window sees more than the whole.
func (b *Budget) most() float64 {
	return max(safety*b.limits.Extra/float64(b.instances)/2, 1)
}

func (b *Budget) account(service string, now time.Time) *account {
	a := b.services[service]
	if a == nil {
		a = &account{tokens: b.most(), filled: now}
		b.services[service] = a
	}
	refill := b.most() * float64(now.Sub(a.filled)) / float64(b.limits.Window)
	a.tokens = min(a.tokens+max(refill, 0), b.most())
	a.filled = now
	return a
}
