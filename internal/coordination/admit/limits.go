package admit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/shard"
)

// burst is how much of a rate may be saved up by a tenant that was quiet.
const burst = time.Second

// defaultPenalty is the advice to a tenant over its concurrency limit, for
// which no end can be computed.
const defaultPenalty = time.Second

// Limits holds the rates and concurrency of tenants at one entry; it is safe
// for use by several goroutines.
//
// A tenant's limit is for its zone. Each entry grants limit/n of it, n being
// the number of entries that the members' gossip shows alive, so no call is
// made for a request. The error: a tenant whose calls all arrive at one of n
// entries gets only limit/n; for as long as an entry has not noticed that m
// entries are left of n, the zone grants m/n of the limit, and n/m of it while
// new ones are unknown to the others. A concurrency limit below n is rounded up
// to one call an entry, so such a tenant may have n calls in flight.
type Limits struct {
	entries atomic.Int64
	tenants *shard.Map[string, *usage]
}

// usage is a token bucket and a count of calls in flight.
type usage struct {
	mu     sync.Mutex
	tokens float64
	filled time.Time
	flying int
}

// NewLimits returns limits for a zone with a single entry.
func NewLimits() *Limits {
	l := &Limits{tenants: shard.NewMap[string, *usage]()}
	l.entries.Store(1)
	return l
}

// SetEntries tells how many entries of the zone are alive, this one included.
func (l *Limits) SetEntries(n int) {
	l.entries.Store(int64(max(n, 1)))
}

// Admit charges one call to a tenant; the returned function ends the call.
func (l *Limits) Admit(name string, tenant config.Tenant, now time.Time) (func(), *Refusal) {
	if tenant.RequestsPerSecond <= 0 && tenant.Concurrency <= 0 {
		return func() {}, nil
	}
	u := l.usage(name, now)
	if refusal := u.take(tenant, float64(l.entries.Load()), now); refusal != nil {
		return nil, refusal
	}
	return sync.OnceFunc(u.release), nil
}

func (l *Limits) usage(name string, now time.Time) *usage {
	var u *usage
	l.tenants.Update(name, func(old *usage, present bool) (*usage, bool) {
		if !present {
			old = &usage{tokens: math.Inf(1), filled: now}
		}
		u = old
		return old, true
	})
	return u
}

func (u *usage) take(tenant config.Tenant, entries float64, now time.Time) *Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	if tenant.Concurrency > 0 {
		share := int(math.Ceil(float64(tenant.Concurrency) / entries))
		if u.flying >= share {
			return &Refusal{
				Reason: ReasonTenantConcurrency, RetryAfter: defaultPenalty,
				Detail: "the tenant has too many calls in flight",
			}
		}
	}
	if tenant.RequestsPerSecond > 0 {
		rate := tenant.RequestsPerSecond / entries
		if wait := u.charge(rate, now); wait > 0 {
			return &Refusal{Reason: ReasonTenantRate, RetryAfter: wait, Detail: "the tenant's request rate is used up"}
		}
	}
	u.flying++
	return nil
}

// charge takes one token, or returns how long it takes until there is one.
func (u *usage) charge(rate float64, now time.Time) time.Duration {
	depth := math.Max(1, rate*burst.Seconds())
	u.tokens = math.Min(depth, u.tokens+rate*now.Sub(u.filled).Seconds())
	u.filled = now
	if u.tokens >= 1 {
		u.tokens--
		return 0
	}
	return time.Duration((1 - u.tokens) / rate * float64(time.Second))
}

func (u *usage) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.flying--
}
