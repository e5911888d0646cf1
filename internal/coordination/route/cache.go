package route

import (
	"container/list"
	"time"
)

// maxPrefixes is the maximum number of prefixes in the index of one model.
const maxPrefixes = 512

// prefixIndex remembers which replicas are likely to have a prompt prefix cached.
//
// It is only an estimate: it is built from the entry's own picks and from cache events that
// come late and with gaps. Therefore it only decides between replicas that are acceptable by
// load.
type prefixIndex struct {
	lru   *list.List
	items map[uint64]*list.Element
}

type prefixEntry struct {
	prefix   uint64
	replicas []string
}

func newPrefixIndex() prefixIndex {
	return prefixIndex{lru: list.New(), items: make(map[uint64]*list.Element)}
}

func (h prefixIndex) has(prefix uint64, replica string) bool {
	if prefix == 0 {
		return false
	}
	e, ok := h.items[prefix]
	if !ok {
		return false
	}
	for _, id := range e.Value.(*prefixEntry).replicas {
		if id == replica {
			return true
		}
	}
	return false
}

func (h prefixIndex) add(prefix uint64, replica string) {
	if prefix == 0 {
		return
	}
	e, ok := h.items[prefix]
	if !ok {
		e = h.lru.PushFront(&prefixEntry{prefix: prefix})
		h.items[prefix] = e
		if h.lru.Len() > maxPrefixes {
			last := h.lru.Back()
			h.lru.Remove(last)
			delete(h.items, last.Value.(*prefixEntry).prefix)
		}
	}
	h.lru.MoveToFront(e)
	entry := e.Value.(*prefixEntry)
	if !h.has(prefix, replica) {
		entry.replicas = append(entry.replicas, replica)
	}
}

func (h prefixIndex) remove(prefix uint64, replica string) {
	e, ok := h.items[prefix]
	if !ok {
		return
	}
	entry := e.Value.(*prefixEntry)
	kept := entry.replicas[:0]
	for _, id := range entry.replicas {
		if id != replica {
			kept = append(kept, id)
		}
	}
	entry.replicas = kept
	if len(kept) == 0 {
		h.lru.Remove(e)
		delete(h.items, prefix)
	}
}

func (h prefixIndex) removeReplica(replica string) {
	for prefix := range h.items {
		h.remove(prefix, replica)
	}
}

// CacheEvent reports that a prompt prefix was added to a replica's cache or evicted from it.
type CacheEvent struct {
	Seq     uint64
	Replica string
	Prefix  uint64
	Evicted bool
}

// CacheEvents is a sequence of cache events of one target.
type CacheEvents struct {
	Target string
	// Boot is the incarnation of the engine; sequence numbers start anew in each.
	Boot string
	// First is the sequence number of the oldest event that the target still keeps.
	First  uint64
	Last   uint64
	Events []CacheEvent
}

// cursor is the position up to which the cache events of a target were applied.
type cursor struct {
	boot string
	seq  uint64
}

// EventsAfter returns the sequence number of the latest event applied from a target; the next
// request asks for the events after it.
func (t *Table) EventsAfter(target string) uint64 {
	c, _ := t.cursors.Get(target)
	return c.seq
}

// ApplyEvents applies cache events. It returns true if events were missed; in that case the
// prefixes of the target's replicas are cleared before the remaining events are applied.
func (t *Table) ApplyEvents(events CacheEvents) (gap bool) {
	c, known := t.cursors.Get(events.Target)
	gap = known && (c.boot != events.Boot || events.First > c.seq+1)
	if gap || !known {
		t.clearPrefixes(events.Target)
		c = cursor{boot: events.Boot}
		if events.First > 0 {
			c.seq = events.First - 1
		}
	}
	for _, ev := range events.Events {
		if ev.Seq <= c.seq {
			continue
		}
		if ev.Seq != c.seq+1 {
			gap = true
			t.clearPrefixes(events.Target)
		}
		c.seq = ev.Seq
		t.applyEvent(ev)
	}
	t.cursors.Put(events.Target, c)
	return gap
}

func (t *Table) applyEvent(ev CacheEvent) {
	t.withReplica(ev.Replica, func(m *model, _ *replica) {
		if ev.Evicted {
			m.prefixes.remove(ev.Prefix, ev.Replica)
			return
		}
		m.prefixes.add(ev.Prefix, ev.Replica)
	})
}

// clearPrefixes removes the replicas of a target from the prefix indexes.
func (t *Table) clearPrefixes(target string) {
	ids, _ := t.targets.Get(target)
	for _, id := range ids {
		t.withReplica(id, func(m *model, _ *replica) { m.prefixes.removeReplica(id) })
	}
}

// Load is the number of requests of one replica at the time of its target's report.
type Load struct {
	Replica string
	Running int
	Queued  int
}

// ApplyLoad applies a load report that a target made the duration age ago. Reports older than
// the latest one of a replica are ignored.
func (t *Table) ApplyLoad(target string, leaving bool, age time.Duration, loads []Load) {
	at := t.timer.Now().Add(-age)
	if leaving {
		t.MarkLeaving(target)
	}
	for _, load := range loads {
		t.withReplica(load.Replica, func(_ *model, r *replica) {
			if at.Before(r.reportedAt) {
				return
			}
			r.applyReport(at, load.Running+load.Queued)
		})
	}
}
