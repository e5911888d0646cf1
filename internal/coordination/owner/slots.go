package owner

import (
	"cmp"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// storeSlots is the shard's share of the weight store: each slot held allows one load at
// a time and one load start per second.
//
// A slot is in use for the duration of a load, and its holder often has the next load
// ready. If a shard gave a slot up only when it had no use for it, it would keep the slot
// through a long burst, while callers of another shard that came earlier wait for their
// first replica. So a shard that finds no free slot queues a request with one holder.
// Whenever a slot becomes free, the holder compares the request with its own waiting
// loads: the one that has waited longer goes first, and the first replica of a model goes
// before further replicas of any model.
//
// For example, two shards hold two slots each and a third shard holds none. The third
// asks both, finds the slots in use and queues a request that is 2 s old with one of
// them. A load of that holder ends; its own next model has waited for 0.5 s, so the slot
// goes to the third shard.
type storeSlots struct {
	// starts are the times of the load starts within the last second.
	starts   []time.Time
	requests []slotRequest
}

// slotRequest is another shard's queued request for a slot.
type slotRequest struct {
	id uint64
	// since is when the requester's callers began to wait, by this entry's clock.
	since time.Time
	until time.Time
}

// slotRequestTimeout is how long a holder queues a request. It is shorter than the
// timeout of the requester's message.
const slotRequestTimeout = 1500 * time.Millisecond

// takeStoreSlot uses a slot and one start of its rate for a load, or requests another
// slot.
func (s *Shard) takeStoreSlot() bool {
	slots := &s.permits.slots
	heldSlots := s.permits.held[permit.Store]
	var recent []time.Time
	for _, at := range slots.starts {
		if s.now.Sub(at) < time.Second {
			recent = append(recent, at)
		}
	}
	slots.starts = recent
	if s.availablePermits(permit.Store) < 1 {
		s.requestPermits(permit.Store, heldSlots+1)
		return false
	}
	if len(recent) >= heldSlots || s.owesStoreSlot() {
		return false
	}
	slots.starts = append(recent, s.now)
	return true
}

// reservedSlots returns how many free slots the shard keeps when others ask: one while it
// has a load for it, and all held while one of them may have been used for a start within
// the last second.
func (s *Shard) reservedSlots() int {
	if s.hasRecentStart() {
		return s.permits.held[permit.Store]
	}
	if len(s.modelsToLoad()) > 0 {
		return 1
	}
	return 0
}

// hasRecentStart reports whether a start still counts against the rate. A slot that went
// to another shard then could be used for two starts within a second.
func (s *Shard) hasRecentStart() bool {
	starts := s.permits.slots.starts
	return len(starts) > 0 && s.now.Sub(starts[len(starts)-1]) < time.Second
}

// requestSlot queues a request with one holder, and returns false if no holder is known.
func (s *Shard) requestSlot(b *bucket) bool {
	names := holders(b.ledger.Resources[permit.Store].Grants, s.ledgerName())
	if len(names) == 0 {
		return false
	}
	holder := names[s.random.IntN(len(names))]
	owner := s.ownerByLedgerName(holder)
	if !owner.Addr.IsValid() {
		return false
	}
	ask := ports.YieldPermit{Resource: permit.Store, Shard: holder, Wanted: 1, Patient: true}
	if since := s.oldestDemandSince(); !since.IsZero() {
		ask.Waiting = s.now.Sub(since)
	}
	s.askHolder(owner, ask, b)
	return true
}

// queueSlotRequest keeps a request until a slot becomes free or the request times out.
func (s *Shard) queueSlotRequest(e YieldAsked) {
	s.permits.slots.requests = append(s.permits.slots.requests, slotRequest{
		id:    e.ID,
		since: s.now.Add(-e.Yield.Waiting),
		until: s.now.Add(slotRequestTimeout),
	})
}

// oldestSlotRequest returns the oldest request, and whether it goes before all own loads.
func (s *Shard) oldestSlotRequest() (slotRequest, bool) {
	requests := s.permits.slots.requests
	if len(requests) == 0 {
		return slotRequest{}, false
	}
	oldest := slices.MinFunc(requests, func(a, b slotRequest) int {
		return cmp.Or(a.since.Compare(b.since), cmp.Compare(a.id, b.id))
	})
	ownSince := s.oldestDemandSince()
	return oldest, ownSince.IsZero() || oldest.since.Before(ownSince)
}

// owesStoreSlot reports whether the next free slot goes to another shard.
func (s *Shard) owesStoreSlot() bool {
	_, owed := s.oldestSlotRequest()
	return owed
}

// grantSlotRequest gives a free slot to the oldest request unless an own load goes before
// it.
func (s *Shard) grantSlotRequest() {
	_, freeing := s.permits.releasing[permit.Store]
	if freeing || s.hasRecentStart() || s.availablePermits(permit.Store) < 1 {
		return
	}
	granted, owed := s.oldestSlotRequest()
	if !owed {
		return
	}
	s.permits.slots.requests = slices.DeleteFunc(s.permits.slots.requests, func(w slotRequest) bool { return w.id == granted.id })
	s.releasePermits(permit.Store, 1)
	s.permits.yields = append(s.permits.yields, pendingYield{
		id: granted.id, resource: permit.Store, n: 1, until: s.now.Add(yieldTimeout),
	})
}

// expireSlotRequests answers the requests that timed out, and all of them if this entry
// no longer owns the shard.
func (s *Shard) expireSlotRequests() {
	var left []slotRequest
	for _, w := range s.permits.slots.requests {
		if s.now.Before(w.until) && s.stage == stageOwned {
			left = append(left, w)
			continue
		}
		s.notify(YieldAnswered{ID: w.id})
	}
	s.permits.slots.requests = left
}

// oldestDemandSince returns since when callers have waited for the first replica of a
// model, or zero if none wait.
func (s *Shard) oldestDemandSince() time.Time {
	var oldest time.Time
	for _, m := range s.modelsToLoad() {
		if s.plannedReplicas(m.name) == 0 {
			oldest = earlier(oldest, m.demandSince)
		}
	}
	return oldest
}
