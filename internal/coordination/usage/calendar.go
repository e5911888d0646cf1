package usage

import (
	"math"
	"time"
)

const (
	// slotTime is the resolution of a calendar.
	slotTime = 20 * time.Millisecond
	// pastSlots is how long returned amounts are credited, futureSlots how far ahead tokens
	// can be reserved.
	pastSlots   = int64(3 * time.Second / slotTime)
	futureSlots = int64(maxDelay / slotTime)
	ringSlots   = pastSlots + futureSlots + 2
)

// calendar is a token bucket with reservations. The level at the beginning of a slot is
// that of the slot before, less what was granted there, plus the refill of a slot, and at
// most the capacity. No grant makes the level of its own or of any later slot negative, so
// no span of time has more grants than the refill of that span and a full bucket, also
// after amounts were returned.
type calendar struct {
	refill, capacity float64
	// first is the oldest slot that is kept, now the present one; base and level are their
	// levels. last is the last slot with a grant.
	first, now, last int64
	base, level      float64
	granted          [ringSlots]float64
}

// newCalendar returns an empty bucket that begins to fill at a slot.
func newCalendar(rate, capacity float64, from int64) *calendar {
	return &calendar{refill: rate * slotTime.Seconds(), capacity: capacity, first: from, now: from, last: from}
}

func (c *calendar) at(slot int64) *float64 { return &c.granted[slot%ringSlots] }

// next returns the level after a slot that begins with a level.
func (c *calendar) next(slot int64, level float64) float64 {
	return min(level-*c.at(slot)+c.refill, c.capacity)
}

// advance moves the present to a slot.
func (c *calendar) advance(slot int64) {
	if slot-c.now > ringSlots {
		// Nothing that is kept matters any more.
		c.level = min(c.replay(c.now, c.last+1, c.level)+float64(max(slot-c.last-1, 0))*c.refill, c.capacity)
		c.granted = [ringSlots]float64{}
		c.first, c.now, c.last, c.base = slot, slot, slot, c.level
		return
	}
	for ; c.now < slot; c.now++ {
		c.level = c.next(c.now, c.level)
		if c.first <= c.now-pastSlots {
			c.base = c.next(c.first, c.base)
			*c.at(c.first) = 0
			c.first++
		}
	}
	c.last = max(c.last, c.now)
}

func (c *calendar) replay(from, to int64, level float64) float64 {
	for ; from < to; from++ {
		level = c.next(from, level)
	}
	return level
}

// find returns the first slot, from the present one on, in which an amount can be granted.
func (c *calendar) find(amount float64) int64 {
	slot, level := c.now, c.level
	for j := c.now; j <= c.last; j++ {
		if level-*c.at(j) < amount {
			slot = j + 1
		}
		level = c.next(j, level)
	}
	if slot <= c.last || level >= amount {
		return slot
	}
	if c.refill <= 0 {
		return math.MaxInt64
	}
	return c.last + 1 + int64(math.Ceil((amount-level)/c.refill))
}

func (c *calendar) grant(slot int64, amount float64) {
	*c.at(slot) += amount
	c.last = max(c.last, slot)
}

// giveBack credits an amount that was granted in a slot, as if it had never been granted.
func (c *calendar) giveBack(slot int64, amount float64) bool {
	if slot < c.first || slot > c.last || *c.at(slot) < amount-roundingError {
		return false
	}
	*c.at(slot) = max(*c.at(slot)-amount, 0)
	c.level = c.replay(c.first, c.now, c.base)
	return true
}

// roundingError is the error of sums of amounts.
const roundingError = 1e-6

// setBucket changes the rate and the capacity from now on. The tokens stay, so that a
// raise is no burst. What was granted before can no longer be returned.
func (c *calendar) setBucket(rate, capacity float64) {
	c.refill, c.capacity = rate*slotTime.Seconds(), capacity
	c.level = min(c.level, capacity)
	for ; c.first < c.now; c.first++ {
		*c.at(c.first) = 0
	}
	c.base = c.level
}

// current returns the present level less what is reserved, which may be negative.
func (c *calendar) current() float64 {
	level := c.level
	for j := c.now; j <= c.last; j++ {
		level -= *c.at(j)
	}
	return level
}
