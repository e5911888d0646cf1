package link

import (
	"math"
	"time"
)

// Priority says what gives way to what on the link.
type Priority uint8

// The priorities, the first to go first.
const (
	// Control is the entries' own traffic, which never waits.
	Control Priority = iota
	// Interactive is for callers who wait for the answer.
	Interactive
	// Deferrable is for work that can wait and for the rest of large bodies.
	Deferrable
)

// depthTime is how much unused rate is saved up.
const depthTime = time.Second

// deferrableFloor is the part of the depth that deferrable traffic leaves to
// the others, so that theirs finds room at once.
const deferrableFloor = 0.5

// startFloor is the same for deferrable work that has yet to begin: lower, so that
// large bodies on their way, which take all down to their floor, do not keep it
// from beginning.
const startFloor = 0.25

// bucket is a token bucket of bytes that may fall below zero: what has crossed
// is charged in any case, and later traffic waits for it.
type bucket struct {
	// rate is in bytes a second, 0 for no limit.
	rate  float64
	level float64
	at    time.Time
}

// setRate changes the rate; what was saved up is bounded by the new depth.
func (b *bucket) setRate(now time.Time, rate float64) {
	first := b.rate == 0
	b.refill(now)
	b.rate = rate
	b.level = min(b.level, b.depth())
	if first {
		b.level = b.depth()
	}
}

func (b *bucket) depth() float64 {
	return b.rate * depthTime.Seconds()
}

func (b *bucket) refill(now time.Time) {
	if passed := now.Sub(b.at); passed > 0 {
		b.level = min(b.level+b.rate*passed.Seconds(), b.depth())
		b.at = now
	}
}

func (b *bucket) spend(now time.Time, n int) {
	b.refill(now)
	b.level -= float64(n)
}

func (b *bucket) floor(p Priority) float64 {
	switch p {
	case Control:
		return math.Inf(-1)
	case Interactive:
		return 0
	case Deferrable:
	}
	return deferrableFloor * b.depth()
}

// wait returns how long traffic of a priority has to wait, 0 if it may go.
func (b *bucket) wait(now time.Time, p Priority) time.Duration {
	return b.until(now, b.floor(p))
}

// startWait returns how long new work of a priority has to wait.
func (b *bucket) startWait(now time.Time, p Priority) time.Duration {
	if p == Deferrable {
		return b.until(now, startFloor*b.depth())
	}
	return b.wait(now, p)
}

// until returns how long it takes to rise above a level.
func (b *bucket) until(now time.Time, level float64) time.Duration {
	b.refill(now)
	missing := level - b.level
	if b.rate == 0 || missing < 0 {
		return 0
	}
	// A millisecond more, so that rounding does not end the wait just before.
	return time.Duration(missing/b.rate*float64(time.Second)) + time.Millisecond
}
