package admit

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/shard"
)

// burstTime is the capacity of a tenant's token bucket, as a time at the tenant's rate.
const burstTime = time.Second

// concurrencyRetryAfter is the retry time for a tenant over its concurrency limit. It is fixed,
// since the end of the calls in flight is not known.
const concurrencyRetryAfter = time.Second

// TenantLimits enforces the request rates and concurrency of tenants at one entry. It is safe for
// concurrent use.
//
// A tenant's limit applies to a zone. Each entry grants limit/n of it, where n is the number
// of entries that the membership gossip shows alive, so that no call is made per request.
// This is inexact in four cases. A tenant whose calls all arrive at one of n entries gets
// only limit/n. After n entries have become m, the zone grants m/n of the limit until the
// entries have noticed: less if entries died, more if entries were added. A concurrency limit
// below n is rounded up to one call per entry, so that such a tenant may have n calls in
// flight. A rate below n is one request of burst per entry, so that after a quiet time such a
// tenant may make n calls at once.
type TenantLimits struct {
	entries atomic.Int64
	tenants *shard.Map[string, *usage]
}

// usage is the token bucket of a tenant and its number of calls in flight.
type usage struct {
	mu         sync.Mutex
	tokens     float64
	refilledAt time.Time
	inFlight   int
}

// NewTenantLimits returns TenantLimits for a zone with one entry.
func NewTenantLimits() *TenantLimits {
	l := &TenantLimits{tenants: shard.NewMap[string, *usage]()}
	l.entries.Store(1)
	return l
}

// SetEntries sets the number of entries of the zone that are alive, including this one.
func (l *TenantLimits) SetEntries(n int) {
	l.entries.Store(int64(max(n, 1)))
}

// Admit charges one call to a tenant, or returns a refusal. The returned function ends the
// call; calling it again has no effect.
func (l *TenantLimits) Admit(name string, tenant config.Tenant, now time.Time) (func(), *Refusal) {
	if tenant.RequestsPerSecond <= 0 && tenant.Concurrency <= 0 {
		return func() {}, nil
	}
	u := l.usage(name, now)
	if refusal := u.admit(tenant, float64(l.entries.Load()), now); refusal != nil {
		return nil, refusal
	}
	return sync.OnceFunc(u.release), nil
}

// usage returns the usage of a tenant, created with a full token bucket if there is none.
func (l *TenantLimits) usage(name string, now time.Time) *usage {
	var u *usage
	l.tenants.Update(name, func(old *usage, present bool) (*usage, bool) {
		if !present {
			old = &usage{tokens: math.Inf(1), refilledAt: now}
		}
		u = old
		return old, true
	})
	return u
}

// admit counts a call, or returns a refusal if the entry's share of a limit is used up.
func (u *usage) admit(tenant config.Tenant, entries float64, now time.Time) *Refusal {
	u.mu.Lock()
	defer u.mu.Unlock()
	if tenant.Concurrency > 0 {
		share := int(math.Ceil(float64(tenant.Concurrency) / entries))
		if u.inFlight >= share {
			return &Refusal{
				Reason: ReasonTenantConcurrency, RetryAfter: concurrencyRetryAfter,
				Detail: "the tenant has too many calls in flight",
			}
		}
	}
	if tenant.RequestsPerSecond > 0 {
		rate := tenant.RequestsPerSecond / entries
		if wait := u.takeToken(rate, now); wait > 0 {
			return &Refusal{Reason: ReasonTenantRate, RetryAfter: wait, Detail: "the tenant's request rate is used up"}
		}
	}
	u.inFlight++
	return nil
}

// takeToken takes one token and returns 0, or returns the time until there is one.
func (u *usage) takeToken(rate float64, now time.Time) time.Duration {
	capacity := math.Max(1, rate*burstTime.Seconds())
	u.tokens = math.Min(capacity, u.tokens+rate*now.Sub(u.refilledAt).Seconds())
	u.refilledAt = now
	if u.tokens >= 1 {
		u.tokens--
		return 0
	}
	return time.Duration((1 - u.tokens) / rate * float64(time.Second))
}

func (u *usage) release() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}
