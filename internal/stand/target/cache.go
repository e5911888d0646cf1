package target

import (
	"container/list"
	"math/rand/v2"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// keptEvents bounds the cache events that the engine remembers.
const keptEvents = 1000

// cache holds the prompt prefixes of all replicas, the least recently used of
// each replica leaving first, and publishes what enters and leaves: late, and
// with gaps.
type cache struct {
	timer timer.Service
	size  int
	lag   time.Duration
	loss  float64

	mu       sync.Mutex
	random   *rand.Rand
	replicas map[string]*prefixes
	seq      uint64
	events   []wire.CacheEvent
}

// prefixes are those of one replica, most recently used first.
type prefixes struct {
	order *list.List
	known map[uint64]*list.Element
}

func newCache(t timer.Service, size int, lag time.Duration, loss float64, seed uint64) *cache {
	return &cache{
		timer:    t,
		size:     size,
		lag:      lag,
		loss:     loss,
		random:   rand.New(rand.NewPCG(seed, seed)),
		replicas: make(map[string]*prefixes),
	}
}

// use reports whether a prefix was cached, and caches it.
func (c *cache) use(replica string, prefix uint64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	p := c.replicas[replica]
	if p == nil {
		p = &prefixes{order: list.New(), known: make(map[uint64]*list.Element)}
		c.replicas[replica] = p
	}
	if e := p.known[prefix]; e != nil {
		p.order.MoveToFront(e)
		return true
	}
	p.known[prefix] = p.order.PushFront(prefix)
	c.publish(wire.CacheEvent{Replica: replica, Prefix: prefix})
	if p.order.Len() > c.size {
		last := p.order.Remove(p.order.Back()).(uint64)
		delete(p.known, last)
		c.publish(wire.CacheEvent{Replica: replica, Prefix: last, Evicted: true})
	}
	return false
}

// keep forgets all replicas but those that are loaded.
func (c *cache) keep(loaded map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for replica := range c.replicas {
		if !loaded[replica] {
			delete(c.replicas, replica)
		}
	}
}

// publish numbers an event; a lost one leaves a gap in the numbers.
func (c *cache) publish(e wire.CacheEvent) {
	c.seq++
	e.Seq = c.seq
	if c.random.Float64() < c.loss {
		return
	}
	c.timer.After(c.lag, func() { c.show(e) })
}

func (c *cache) show(e wire.CacheEvent) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, e)
	if len(c.events) > keptEvents {
		c.events = append([]wire.CacheEvent(nil), c.events[keptEvents/2:]...)
	}
}

func (c *cache) after(seq uint64) wire.CacheEvents {
	c.mu.Lock()
	defer c.mu.Unlock()
	var answer wire.CacheEvents
	for _, e := range c.events {
		if answer.First == 0 || e.Seq < answer.First {
			answer.First = e.Seq
		}
		answer.Last = max(answer.Last, e.Seq)
		if e.Seq > seq {
			answer.Events = append(answer.Events, e)
		}
	}
	return answer
}
