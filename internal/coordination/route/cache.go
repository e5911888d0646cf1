package route

import (
	"container/list"
	"time"
)

// homesLimit bounds the prefixes remembered for one model.
const homesLimit = 512

// homes remembers which replicas are likely to have a prompt prefix cached.
//
// It is a guess by nature: it learns from the entry's own choices and from
// cache events that come late and with gaps, so it only ever moves a choice
// between replicas that load alone would accept as well.
type homes struct {
	order *list.List
	items map[uint64]*list.Element
}

type home struct {
	prefix   uint64
	replicas []string
}

func newHomes() homes {
	return homes{order: list.New(), items: make(map[uint64]*list.Element)}
}

func (h homes) has(prefix uint64, replica string) bool {
	if prefix == 0 {
		return false
	}
	e, ok := h.items[prefix]
	if !ok {
		return false
	}
	for _, id := range e.Value.(*home).replicas {
		if id == replica {
			return true
		}
	}
	return false
}

func (h homes) learn(prefix uint64, replica string) {
	if prefix == 0 {
		return
	}
	e, ok := h.items[prefix]
	if !ok {
		e = h.order.PushFront(&home{prefix: prefix})
		h.items[prefix] = e
		if h.order.Len() > homesLimit {
			last := h.order.Back()
			h.order.Remove(last)
			delete(h.items, last.Value.(*home).prefix)
		}
	}
	h.order.MoveToFront(e)
	entry := e.Value.(*home)
	if !h.has(prefix, replica) {
		entry.replicas = append(entry.replicas, replica)
	}
}

func (h homes) forget(prefix uint64, replica string) {
	e, ok := h.items[prefix]
	if !ok {
		return
	}
	entry := e.Value.(*home)
	kept := entry.replicas[:0]
	for _, id := range entry.replicas {
		if id != replica {
			kept = append(kept, id)
		}
	}
	entry.replicas = kept
	if len(kept) == 0 {
		h.order.Remove(e)
		delete(h.items, prefix)
	}
}

func (h homes) forgetReplica(replica string) {
	for prefix := range h.items {
		h.forget(prefix, replica)
	}
}

// CacheEvent tells that a prompt prefix entered or left a replica's cache.
type CacheEvent struct {
	Seq     uint64
	Replica string
	Prefix  uint64
	Evicted bool
}

// CacheEvents is a run of events of one target; First is the oldest that the
// target still remembers.
type CacheEvents struct {
	Target string
	// Boot is the engine's incarnation, in which the sequence counts.
	Boot   string
	First  uint64
	Last   uint64
	Events []CacheEvent
}

// cursor is how far the cache events of a target were followed.
type cursor struct {
	boot string
	seq  uint64
}

// EventsAfter returns the sequence number to ask a target's events after.
func (t *Table) EventsAfter(target string) uint64 {
	c, _ := t.cursors.Get(target)
	return c.seq
}

// ApplyEvents takes cache events. It returns true if events were missed, in
// which case everything believed of that target's caches was forgotten and the
// events at hand are the new beginning.
func (t *Table) ApplyEvents(events CacheEvents) (gap bool) {
	c, known := t.cursors.Get(events.Target)
	gap = known && (c.boot != events.Boot || events.First > c.seq+1)
	if gap || !known {
		t.forgetTarget(events.Target)
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
			t.forgetTarget(events.Target)
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
			m.homes.forget(ev.Prefix, ev.Replica)
			return
		}
		m.homes.learn(ev.Prefix, ev.Replica)
	})
}

func (t *Table) forgetTarget(target string) {
	ids, _ := t.targets.Get(target)
	for _, id := range ids {
		t.withReplica(id, func(m *model, _ *replica) { m.homes.forgetReplica(id) })
	}
}

// Load is what one replica was doing when its target reported.
type Load struct {
	Replica string
	Running int
	Queued  int
}

// ApplyLoad takes a target's load report, which is age old.
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
			r.report(at, load.Running+load.Queued)
		})
	}
}
