package owner

import (
	"cmp"
	"maps"
	"slices"
	"strconv"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// recall asks the holders of a resource, those with the most first, for a
// permit that they do not use.
func (s *Shard) recall(resource string, b *bucket) {
	rc := s.recallOf(resource)
	if rc.busy || rc.emptyUntil.After(s.now) {
		return
	}
	grants := b.ledger.Resources[resource].Grants
	for _, holder := range holders(grants, s.name()) {
		if rc.asked[holder] {
			continue
		}
		rc.asked[holder] = true
		if rc.hint == "" {
			rc.hint = holder
		}
		if owner := s.ownerNamed(holder); owner.Addr.IsValid() {
			s.askHolder(owner, ports.YieldPermit{Resource: resource, Shard: holder, Wanted: 1}, b)
			return
		}
	}
	clear(rc.asked)
	if resource == permit.Store && s.wishSlot(b) {
		return
	}
	delete(s.permits.wants, resource)
	rc.emptyUntil = s.now.Add(recallPause + s.jitter(recallPause/2))
}

func (s *Shard) askHolder(owner ports.Member, ask ports.YieldPermit, b *bucket) {
	rc := s.recallOf(ask.Resource)
	rc.busy = true
	s.peer(owner, ask, func(reply ports.PeerReply) {
		rc.busy = false
		if yielded, ok := reply.Msg.(ports.YieldReply); ok && reply.Err == nil && yielded.Yielded > 0 {
			// The ledger has changed; the wish stands and is tried again on it.
			b.readAt = time.Time{}
			clear(rc.asked)
		}
	})
}

func holders(grants map[string]int, except string) []string {
	names := slices.Sorted(maps.Keys(grants))
	names = slices.DeleteFunc(names, func(name string) bool { return name == except || grants[name] == 0 })
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(grants[b], grants[a]) })
	return names
}

// ownerNamed returns the owner of a shard by its name in the ledger.
func (s *Shard) ownerNamed(name string) ports.Member {
	zone, number, ok := cutLast(name, "/")
	shard, err := strconv.Atoi(number)
	if !ok || err != nil {
		return ports.Member{}
	}
	owner := s.ownerOf(zone, shard)
	if owner.ID == "" && zone == s.settings.Zone {
		// No other entry says that it owns the shard; this one may.
		return s.settings.Self
	}
	return owner
}

func cutLast(s, sep string) (before, after string, found bool) {
	i := strings.LastIndex(s, sep)
	if i < 0 {
		return s, "", false
	}
	return s[:i], s[i+len(sep):], true
}

// takeYield gives up permits that are neither in use nor wanted here.
func (s *Shard) takeYield(e YieldAsked) {
	resource := e.Yield.Resource
	n := 0
	_, freeing := s.permits.freed[resource]
	if s.stage == stageOwned && s.config != nil && !freeing {
		n = min(e.Yield.Wanted, s.available(resource)-s.reserved(resource))
	}
	if n <= 0 && e.Yield.Patient && resource == permit.Store && s.stage == stageOwned {
		s.keepWish(e)
		return
	}
	if n <= 0 {
		s.note(YieldAnswered{ID: e.ID})
		s.reconcile(resource)
		return
	}
	s.free(resource, n)
	s.permits.yields = append(s.permits.yields, yield{id: e.ID, resource: resource, n: n, until: s.now.Add(yieldWithin)})
}

// reconcile has the ledger compared with what the shard holds, since a crash
// between the two writes may have left permits that nobody holds.
func (s *Shard) reconcile(resource string) {
	_, wanted := s.permits.wants[resource]
	if s.stage != stageOwned || wanted {
		return
	}
	if _, freeing := s.permits.freed[resource]; !freeing {
		s.permits.freed[resource] = s.journal.changed
	}
}

// reserved is how many unspent permits this shard has a use for itself.
func (s *Shard) reserved(resource string) int {
	if resource == permit.Store {
		return s.reservedSlots()
	}
	m, known := s.models[resource]
	if !known || m.refused != "" {
		return 0
	}
	return max(0, s.wanted(m)-s.decided(resource))
}

func (s *Shard) expireYields() {
	var left []yield
	for _, y := range s.permits.yields {
		if s.now.Before(y.until) {
			left = append(left, y)
			continue
		}
		s.note(YieldAnswered{ID: y.id})
	}
	s.permits.yields = left
}

// refuseYields answers whoever still waits for a permit of this shard.
func (s *Shard) refuseYields() {
	for _, y := range s.permits.yields {
		s.note(YieldAnswered{ID: y.id})
	}
	for _, w := range s.permits.slots.wishes {
		s.note(YieldAnswered{ID: w.id})
	}
}
