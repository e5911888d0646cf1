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

// recallPermit asks the holders of a resource, starting with the one that has the most,
// for an unused permit.
func (s *Shard) recallPermit(resource string, b *bucket) {
	rc := s.recallFor(resource)
	if rc.busy || rc.pausedUntil.After(s.now) {
		return
	}
	grants := b.ledger.Resources[resource].Grants
	for _, holder := range holders(grants, s.ledgerName()) {
		if rc.askedHolders[holder] {
			continue
		}
		rc.askedHolders[holder] = true
		if rc.hint == "" {
			rc.hint = holder
		}
		if owner := s.ownerByLedgerName(holder); owner.Addr.IsValid() {
			s.askHolder(owner, ports.YieldPermit{Resource: resource, Shard: holder, Wanted: 1}, b)
			return
		}
	}
	clear(rc.askedHolders)
	if resource == permit.Store && s.requestSlot(b) {
		return
	}
	delete(s.permits.requested, resource)
	rc.pausedUntil = s.now.Add(recallRetryDelay + s.jitter(recallRetryDelay/2))
}

func (s *Shard) askHolder(owner ports.Member, ask ports.YieldPermit, b *bucket) {
	rc := s.recallFor(ask.Resource)
	rc.busy = true
	s.peer(owner, ask, func(reply ports.PeerReply) {
		rc.busy = false
		if yielded, ok := reply.Msg.(ports.YieldReply); ok && reply.Err == nil && yielded.Yielded > 0 {
			// The ledger has changed; the request remains and is retried on the new
			// ledger.
			b.readAt = time.Time{}
			clear(rc.askedHolders)
		}
	})
}

func holders(grants map[string]int, except string) []string {
	names := slices.Sorted(maps.Keys(grants))
	names = slices.DeleteFunc(names, func(name string) bool { return name == except || grants[name] == 0 })
	slices.SortStableFunc(names, func(a, b string) int { return cmp.Compare(grants[b], grants[a]) })
	return names
}

// ownerByLedgerName returns the owner of the shard with a name in the ledger.
func (s *Shard) ownerByLedgerName(name string) ports.Member {
	zone, number, ok := cutLast(name, "/")
	shard, err := strconv.Atoi(number)
	if !ok || err != nil {
		return ports.Member{}
	}
	owner := s.ownerOf(zone, shard)
	if owner.ID == "" && zone == s.settings.Zone {
		// No other entry claims to own the shard; this one may.
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

// handleYield gives up permits that are neither in use nor needed here.
func (s *Shard) handleYield(e YieldAsked) {
	resource := e.Yield.Resource
	n := 0
	_, freeing := s.permits.releasing[resource]
	if s.stage == stageOwned && s.config != nil && !freeing {
		n = min(e.Yield.Wanted, s.availablePermits(resource)-s.reservedPermits(resource))
	}
	if n <= 0 && e.Yield.Patient && resource == permit.Store && s.stage == stageOwned {
		s.queueSlotRequest(e)
		return
	}
	if n <= 0 {
		s.notify(YieldAnswered{ID: e.ID})
		s.reconcile(resource)
		return
	}
	s.releasePermits(resource, n)
	s.permits.yields = append(s.permits.yields, pendingYield{id: e.ID, resource: resource, n: n, until: s.now.Add(yieldTimeout)})
}

// reconcile has the ledger compared with the shard's permits, because a crash between the
// two writes may have left grants that no shard holds.
func (s *Shard) reconcile(resource string) {
	_, wanted := s.permits.requested[resource]
	if s.stage != stageOwned || wanted {
		return
	}
	if _, freeing := s.permits.releasing[resource]; !freeing {
		s.permits.releasing[resource] = s.writer.lastChange
	}
}

// reservedPermits returns how many unused permits this shard needs itself.
func (s *Shard) reservedPermits(resource string) int {
	if resource == permit.Store {
		return s.reservedSlots()
	}
	m, known := s.models[resource]
	if !known || m.refusal != "" {
		return 0
	}
	return max(0, s.wantedReplicas(m)-s.plannedReplicas(resource))
}

func (s *Shard) expireYields() {
	var left []pendingYield
	for _, y := range s.permits.yields {
		if s.now.Before(y.until) {
			left = append(left, y)
			continue
		}
		s.notify(YieldAnswered{ID: y.id})
	}
	s.permits.yields = left
}

// rejectYields answers all pending requests for permits of this shard.
func (s *Shard) rejectYields() {
	for _, y := range s.permits.yields {
		s.notify(YieldAnswered{ID: y.id})
	}
	for _, w := range s.permits.slots.requests {
		s.notify(YieldAnswered{ID: w.id})
	}
}
