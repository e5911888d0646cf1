package owner

import (
	"cmp"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// slots is the shard's share of the weight store: each slot held stands for one
// load at a time and one start a second.
//
// A slot is in use for the time of a load, and its holder often has the next
// load at hand. A shard that gave a slot up only when it had no use for it would
// keep it through a long burst, while callers of another shard who came earlier
// wait for their first replica. So a shard that found no free slot leaves a wish
// with one holder, and the holder, whenever a slot comes free, compares the wish
// with its own waiting loads: the older wait goes first, and a model's first
// replica goes before anybody's further ones.
//
// For example two shards hold two slots each and a third shard none. The third
// asks both, finds the slots in use and leaves a wish that is 2 s old with one of
// them. That holder's load ends; its own next model has waited for 0.5 s, so the
// slot goes to the third shard.
type slots struct {
	// starts are the times of the load starts of the last second.
	starts []time.Time
	wishes []wish
}

// wish is another shard's wish for a slot.
type wish struct {
	id uint64
	// since is when the asker's callers began to wait, by this entry's clock.
	since time.Time
	until time.Time
}

// wishWithin is how long a holder keeps a wish; it ends before the asker's
// message does.
const wishWithin = 1500 * time.Millisecond

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

// reservedSlots is how many free slots the shard keeps when others ask: one
// while it has a use for it, and all that may stand for a start within the last
// second.
func (s *Shard) reservedSlots() int {
	if s.hasJustStarted() {
		return s.permits.held[permit.Store]
	}
	if len(s.wanting()) > 0 {
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

// wishSlot leaves a wish with one holder, and returns false if none is known.
func (s *Shard) wishSlot(b *bucket) bool {
	names := holders(b.ledger.Resources[permit.Store].Grants, s.name())
	if len(names) == 0 {
		return false
	}
	holder := names[s.random.IntN(len(names))]
	owner := s.ownerNamed(holder)
	if !owner.Addr.IsValid() {
		return false
	}
	ask := ports.YieldPermit{Resource: permit.Store, Shard: holder, Wanted: 1, Patient: true}
	if since := s.oldestWait(); !since.IsZero() {
		ask.Waiting = s.now.Sub(since)
	}
	s.askHolder(owner, ask, b)
	return true
}

// keepWish remembers a wish until a slot comes free or its time is up.
func (s *Shard) keepWish(e YieldAsked) {
	s.permits.slots.wishes = append(s.permits.slots.wishes, wish{
		id:    e.ID,
		since: s.now.Add(-e.Yield.Waiting),
		until: s.now.Add(wishWithin),
	})
}

// oldestWish is the wish that goes before all own loads, if there is one.
func (s *Shard) oldestWish() (wish, bool) {
	wishes := s.permits.slots.wishes
	if len(wishes) == 0 {
		return wish{}, false
	}
	oldest := slices.MinFunc(wishes, func(a, b wish) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	own := s.oldestWait()
	return oldest, own.IsZero() || oldest.since.Before(own)
}

// owesSlot tells whether the next free slot goes to another shard.
func (s *Shard) owesSlot() bool {
	_, owed := s.oldestWish()
	return owed
}

// grantWish gives a free slot to the oldest wish if no own load goes before it.
func (s *Shard) grantWish() {
	_, freeing := s.permits.freed[permit.Store]
	if freeing || s.hasJustStarted() || s.available(permit.Store) < 1 {
		return
	}
	granted, owed := s.oldestWish()
	if !owed {
		return
	}
	s.permits.slots.wishes = slices.DeleteFunc(s.permits.slots.wishes, func(w wish) bool { return w.id == granted.id })
	s.free(permit.Store, 1)
	s.permits.yields = append(s.permits.yields, yield{
		id: granted.id, resource: permit.Store, n: 1, until: s.now.Add(yieldWithin),
	})
}

// expireWishes answers the wishes that no slot came free for, and all if the
// shard is not this entry's any more.
func (s *Shard) expireWishes() {
	var left []wish
	for _, w := range s.permits.slots.wishes {
		if s.now.Before(w.until) && s.stage == stageOwned {
			left = append(left, w)
			continue
		}
		s.note(YieldAnswered{ID: w.id})
	}
	s.permits.slots.wishes = left
}

// oldestWait is since when callers have waited for the first replica of a model,
// zero if none do.
func (s *Shard) oldestWait() time.Time {
	var oldest time.Time
	for _, m := range s.wanting() {
		if s.decided(m.name) == 0 {
			oldest = earlier(oldest, m.since)
		}
	}
	return oldest
}
