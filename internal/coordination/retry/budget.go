package retry

import (
	"math/rand/v2"
	"slices"
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
	// drawnShare is the share of the fixed allowance that is drawn at random in a large
	// fleet, by drawsPerWindow draws of each instance in a window. Less than usableShare,
	// since the number of successful draws varies.
	drawnShare     = 0.5
	drawsPerWindow = 2
	// earnedShare is the part of the window for which a drawn retry may be used that
	// requests have earned.
	earnedShare = 0.25
)

// Budget limits the retries of one instance, separately for each service. It is safe for
// concurrent use.
//
// In a small fleet an instance saves up its part of the fixed allowance. In a large one
// that part is less than one retry, and one saved up at each instance would be more than
// the allowance of all. There, retries are drawn at random, so that all instances together
// have what the limits allow, and are not saved up.
type Budget struct {
	random    func() float64
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
	// drawn holds when each retry expires that was drawn, nextDraw when the next draw of
	// the fixed allowance is due.
	drawn    []time.Time
	nextDraw time.Time
}

// Option configures a Budget.
type Option func(*Budget)

// WithRandom sets the source of random numbers in [0, 1).
func WithRandom(f func() float64) Option {
	return func(b *Budget) { b.random = f }
}

// NewBudget returns a Budget from which nothing has been spent.
func NewBudget(limits Limits, opts ...Option) *Budget {
	b := &Budget{random: rand.Float64, limits: limits, instances: assumedInstances, services: make(map[string]*bucket)}
	for _, opt := range opts {
		opt(b)
	}
	return b
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
	earned := usableShare * b.limits.RetriesPerRequest
	if !b.isDrawn() {
		a.tokens = min(a.tokens+earned, b.maxTokens())
		return
	}
	if b.random() < earned {
		a.drawn = append(a.drawn, now.Add(time.Duration(earnedShare*float64(b.limits.Window))))
	}
}

// Spend takes a token for one retry at a service and reports whether there was one.
func (b *Budget) Spend(service string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.refilledBucket(service, now)
	if b.isDrawn() {
		if len(a.drawn) == 0 {
			return false
		}
		a.drawn = a.drawn[1:]
		return true
	}
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
	return usableShare * b.limits.RetriesPerWindow / float64(b.instances) / 2
}

// isDrawn reports whether the fleet is so large that a bucket would not hold a token.
func (b *Budget) isDrawn() bool { return b.maxTokens() < 1 }

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
	if b.isDrawn() {
		b.draw(a, now)
	}
	return a
}

// draw drops the retries that have expired and draws the fixed allowance when it is due.
func (b *Budget) draw(a *bucket, now time.Time) {
	a.drawn = slices.DeleteFunc(a.drawn, func(until time.Time) bool { return !now.Before(until) })
	if now.Before(a.nextDraw) {
		return
	}
	a.nextDraw = now.Add(b.limits.Window / drawsPerWindow)
	// A window may touch one draw more than it holds.
	part := drawnShare * b.limits.RetriesPerWindow / float64(b.instances) / (drawsPerWindow + 1)
	if b.random() < part {
		a.drawn = append(a.drawn, a.nextDraw)
	}
}
