package link

import (
	"math"
	"time"
)

// Priority is the priority of traffic on the link.
type Priority uint8

// The priorities, highest first.
const (
	// Control is the entries' own traffic, which never waits.
	Control Priority = iota
	// Interactive is for callers that wait for the response.
	Interactive
	// Deferrable is for work that can wait and for the rest of large bodies.
	Deferrable
)

// burstTime is the capacity of a bucket, as a time at its rate.
const burstTime = time.Second

// deferrableFloorShare is the share of the bucket's capacity below which deferrable traffic
// has to wait, so that tokens are left for the other priorities.
const deferrableFloorShare = 0.5

// startFloorShare is the same share for deferrable work that has not started yet. It is lower,
// since otherwise large bodies in transfer, which use all tokens down to deferrableFloorShare,
// would keep new work from starting.
const startFloorShare = 0.25

// bucket is a token bucket of bytes. Its tokens may become negative: bytes that have already
// crossed are always charged, and later traffic waits until the debt is refilled.
type bucket struct {
	// rate is in bytes per second, 0 for no limit.
	rate       float64
	tokens     float64
	refilledAt time.Time
}

// setRate changes the rate and limits the tokens to the new capacity. A bucket that had no
// rate starts full.
func (b *bucket) setRate(now time.Time, rate float64) {
	first := b.rate == 0
	b.refill(now)
	b.rate = rate
	b.tokens = min(b.tokens, b.capacity())
	if first {
		b.tokens = b.capacity()
	}
}

func (b *bucket) capacity() float64 {
	return b.rate * burstTime.Seconds()
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.refilledAt); passed > 0 {
		b.tokens = min(b.tokens+b.rate*passed.Seconds(), b.capacity())
		b.refilledAt = now
	}
}

func (b *bucket) spend(now time.Time, n int) {
	b.refill(now)
	b.tokens -= float64(n)
}

// floor returns the number of tokens above which traffic of a priority may pass.
func (b *bucket) floor(p Priority) float64 {
	switch p {
	case Control:
		return math.Inf(-1)
	case Interactive:
		return 0
	case Deferrable:
	}
	return deferrableFloorShare * b.capacity()
}

// wait returns how long traffic of a priority has to wait, 0 if it may cross now.
func (b *bucket) wait(now time.Time, p Priority) time.Duration {
	return b.timeUntil(now, b.floor(p))
}

// startWait returns how long new work of a priority has to wait, 0 if it may start now.
func (b *bucket) startWait(now time.Time, p Priority) time.Duration {
	if p == Deferrable {
		return b.timeUntil(now, startFloorShare*b.capacity())
	}
	return b.wait(now, p)
}

// timeUntil returns the time until the tokens exceed a level.
func (b *bucket) timeUntil(now time.Time, level float64) time.Duration {
	b.refill(now)
	missing := level - b.tokens
	if b.rate == 0 || missing < 0 {
		return 0
	}
	// The millisecond keeps rounding from ending the wait too early.
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Millisecond
}
