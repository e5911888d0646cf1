package retry

import (
	"sync"
	"time"
)

// Limits limit the retries of all instances together in any window of time.
type Limits struct {
	// RetriesPerRequest is the number of retries allowed for each request.
	RetriesPerRequest float64
	// RetriesPerWindow is the number of retries allowed in a window in addition.
	RetriesPerWindow float64
	Window           time.Duration
}

const (
	// usableShare is the share of the limits that is used. The rest covers retries that
	// are counted in another window than the request that earned them.
	usableShare = 0.7
	// assumedInstances is the assumed number of instances until it is known.
	assumedInstances = 100
)

// Budget limits the retries of one instance, separately for each service. It is safe for
// concurrent use.
type Budget struct {
	mu        sync.Mutex
	limits    Limits
	instances int
	services  map[string]*bucket
}

// bucket is a token bucket. Each request adds a fraction of a token, and the fixed
// allowance is refilled once per window.
type bucket struct {
	tokens     float64
	refilledAt time.Time
}

// NewBudget returns a Budget from which nothing has been spent.
func NewBudget(limits Limits) *Budget {
	return &Budget{limits: limits, instances: assumedInstances, services: make(map[string]*bucket)}
}

// SetLimits sets the limits.
func (b *Budget) SetLimits(limits Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = limits
}

// SetInstances sets the number of instances that share the limits.
func (b *Budget) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
}

// Earn credits a new request for a service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.refilledBucket(service, now)
	a.tokens = min(a.tokens+usableShare*b.limits.RetriesPerRequest, b.maxTokens())
}

// Spend takes a token for one retry at a service and reports whether there was one.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.refilledBucket(service, now)
	if a.tokens < 1 {
		return false
	}
	a.tokens--
	return true
}

// maxTokens returns the capacity of a bucket. Half of the fixed allowance can be saved up
// as a burst and half is refilled during a window, so that no window exceeds the
// allowance.
func (b *Budget) maxTokens() float64 {
	return max(usableShare*b.limits.RetriesPerWindow/float64(b.instances)/2, 1)
}

// refilledBucket returns the bucket of a service after adding the tokens due since the
// last refill.
func (b *Budget) refilledBucket(service string, now time.Time) *bucket {
	a := b.services[service]
	if a == nil {
		a = &bucket{tokens: b.maxTokens(), refilledAt: now}
		b.services[service] = a
	}
	refill := b.maxTokens() * float64(now.Sub(a.refilledAt)) / float64(b.limits.Window)
	a.tokens = min(a.tokens+max(refill, 0), b.maxTokens())
	a.refilledAt = now
	return a
}
