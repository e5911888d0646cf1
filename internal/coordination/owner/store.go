package owner

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
)

// slots is the shard's share of the weight store: each slot held stands for one
// load at a time and one start a second.
//
// Slots are fewer than the shards that may want one, so a shard keeps a slot
// for a turn only while others ask for it:
//
//	another shard asks while the slot is in use       owedUntil is set
//	the load ends, and the turn is over               the slot goes to the ledger
//	the asker asks the ledger again, and finds it;    this shard waits, so that
//	the asker is first
type slots struct {
	// starts are the times of the load starts of the last second.
	starts []time.Time
	// since is when the latest slot was acquired.
	since time.Time
	// owedUntil is until when a freed slot goes to others.
	owedUntil time.Time
	// notBefore is when this shard may ask for a slot again.
	notBefore time.Time
}

const (
	// slotTurn is how long a shard keeps a slot that others ask for.
	slotTurn = 2 * time.Second
	// slotOwed is how long an unmet wish for a slot is remembered; askers ask
	// again within it.
	slotOwed = 8 * time.Second
	// slotRest is the wait of a shard that gave a slot away although it had a
	// use for it.
	slotRest = 3 * time.Second
	// slotRecallPause is the wait after all holders of slots said no.
	slotRecallPause = time.Second
)

// takeSlot takes a slot and a start from its rate, or asks for more slots.
func (s *Shard) takeSlot() bool {
	sl := &s.permits.slots
	held := s.permits.held[permit.Store]
	var recent []time.Time
	for _, at := range sl.starts {
		if s.now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	sl.starts = recent
	if s.available(permit.Store) < 1 {
		s.acquire(permit.Store, held+1)
		return false
	}
	if len(recent) >= held || s.owesSlot() {
		return false
	}
	sl.starts = append(recent, s.now)
	return true
}

// owesSlot tells whether the next free slot goes to others.
func (s *Shard) owesSlot() bool {
	sl := &s.permits.slots
	return s.now.Before(sl.owedUntil) && s.now.Sub(sl.since) >= slotTurn
}

// giveSlot gives a free slot to whoever asked for it while it was in use.
func (s *Shard) giveSlot() {
	_, freeing := s.permits.freed[permit.Store]
	if freeing || !s.owesSlot() || s.hasJustStarted() || s.available(permit.Store) < 1 {
		return
	}
	s.free(permit.Store, 1)
	s.permits.slots.owedUntil = time.Time{}
	s.permits.slots.notBefore = s.now.Add(slotRest + s.jitter(slotRest/2))
}

// reservedSlots is how many free slots the shard keeps when others ask: one
// while it has a use for it and its turn lasts, and all that may stand for a
// start within the last second.
func (s *Shard) reservedSlots() int {
	if s.hasJustStarted() {
		return s.permits.held[permit.Store]
	}
	if len(s.wanting()) > 0 && s.now.Sub(s.permits.slots.since) < slotTurn {
		return 1
	}
	return 0
}

// hasJustStarted tells whether a start still counts against the rate, in which
// case a slot that went to another shard could start twice in a second.
func (s *Shard) hasJustStarted() bool {
	starts := s.permits.slots.starts
	return len(starts) > 0 && s.now.Sub(starts[len(starts)-1]) < time.Second
}

// oweSlot remembers that another shard wants a slot.
func (s *Shard) oweSlot() {
	s.permits.slots.owedUntil = s.now.Add(slotOwed)
}
