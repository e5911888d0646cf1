package kvmem

import (
	"sort"
	"strings"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// MaxValueBytes is the largest value that the service holds.
const MaxValueBytes = 1 << 20

// listLimit bounds the items of one list reply.
const listLimit = 1000

// tombstones bounds how many deletions are remembered for watches.
const tombstones = 10_000

// Store is the key-value service's state.
type Store struct {
	timer timer.Service

	mu       sync.Mutex
	items    map[string]ports.Item
	gone     []ports.Item
	revision ports.Revision
	leases   map[ports.LeaseID]*lease
	next     ports.LeaseID
	waiters  map[*waiter]struct{}
	// era counts how often the store has come back from a copy.
	era    uint64
	isAway bool
}

type lease struct {
	ttl    time.Duration
	due    time.Time
	cancel timer.Cancel
}

type waiter struct {
	req    ports.KVWatch
	done   func(ports.KVReply)
	cancel timer.Cancel
}

// NewStore returns an empty store whose leases run on t.
func NewStore(t timer.Service) *Store {
	return &Store{
		timer:   t,
		items:   make(map[string]ports.Item),
		leases:  make(map[ports.LeaseID]*lease),
		waiters: make(map[*waiter]struct{}),
	}
}

// Call carries out one request; done is called at once, except by a watch that
// has to wait.
func (s *Store) Call(req ports.KVRequest, done func(ports.KVReply)) {
	if w, ok := req.(ports.KVWatch); ok {
		s.watch(w, done)
		return
	}
	reply, wake := s.apply(req)
	done(reply)
	for _, f := range wake {
		f()
	}
}

// Dump returns all items in order of their keys.
func (s *Store) Dump() []ports.Item {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.under("", "")
}

func (s *Store) apply(req ports.KVRequest) (ports.KVReply, []func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isAway {
		return ports.KVReply{Status: ports.KVUnavailable}, nil
	}
	before := s.revision
	var reply ports.KVReply
	switch r := req.(type) {
	case ports.KVGet:
		reply = s.get(r)
	case ports.KVList:
		reply = s.list(r)
	case ports.KVPut:
		reply = s.put(r)
	case ports.KVDelete:
		reply = s.delete(r)
	case ports.KVGrant:
		reply = s.grant(r)
	case ports.KVRenew:
		reply = s.renew(r)
	case ports.KVRevoke:
		reply = s.revoke(r.Lease)
	}
	reply.Era = s.era
	if s.revision == before {
		return reply, nil
	}
	return reply, s.due()
}

func (s *Store) get(r ports.KVGet) ports.KVReply {
	item, ok := s.items[r.Key]
	if !ok {
		return ports.KVReply{Status: ports.KVNotFound, Revision: s.revision}
	}
	return ports.KVReply{Items: []ports.Item{item}, Revision: s.revision}
}

func (s *Store) list(r ports.KVList) ports.KVReply {
	items := s.under(r.Prefix, r.After)
	limit := r.Limit
	if limit <= 0 || limit > listLimit {
		limit = listLimit
	}
	more := len(items) > limit
	if more {
		items = items[:limit]
	}
	return ports.KVReply{Items: items, Revision: s.revision, More: more}
}

func (s *Store) put(r ports.KVPut) ports.KVReply {
	if len(r.Value) > MaxValueBytes {
		return ports.KVReply{Status: ports.KVInvalid, Revision: s.revision}
	}
	if r.Lease != 0 && s.leases[r.Lease] == nil {
		return ports.KVReply{Status: ports.KVNotFound, Revision: s.revision}
	}
	if reply, held := s.expect(r.Key, r.Expect); !held {
		return reply
	}
	s.revision++
	s.items[r.Key] = ports.Item{Key: r.Key, Value: append([]byte(nil), r.Value...), Revision: s.revision, Lease: r.Lease}
	return ports.KVReply{Revision: s.revision}
}

func (s *Store) delete(r ports.KVDelete) ports.KVReply {
	if _, ok := s.items[r.Key]; !ok {
		return ports.KVReply{Status: ports.KVNotFound, Revision: s.revision}
	}
	if reply, held := s.expect(r.Key, r.Expect); !held {
		return reply
	}
	s.remove(r.Key)
	return ports.KVReply{Revision: s.revision}
}

func (s *Store) expect(key string, want ports.Revision) (ports.KVReply, bool) {
	item, ok := s.items[key]
	if item.Revision == want {
		return ports.KVReply{}, true
	}
	reply := ports.KVReply{Status: ports.KVConflict, Revision: s.revision}
	if ok {
		reply.Items = []ports.Item{item}
	}
	return reply, false
}

func (s *Store) grant(r ports.KVGrant) ports.KVReply {
	s.next++
	id := s.next
	l := &lease{ttl: r.TTL}
	s.leases[id] = l
	s.extend(id, l)
	return ports.KVReply{Lease: id, Revision: s.revision}
}

func (s *Store) renew(r ports.KVRenew) ports.KVReply {
	l := s.leases[r.Lease]
	if l == nil {
		return ports.KVReply{Status: ports.KVNotFound, Revision: s.revision}
	}
	s.extend(r.Lease, l)
	return ports.KVReply{Lease: r.Lease, Revision: s.revision}
}

// extend moves the end of a lease; a timer of an earlier end finds that it is
// not due yet.
func (s *Store) extend(id ports.LeaseID, l *lease) {
	if l.cancel != nil {
		l.cancel()
	}
	l.due = s.timer.Now().Add(l.ttl)
	l.cancel = s.timer.After(l.ttl, func() { s.expire(id) })
}

func (s *Store) expire(id ports.LeaseID) {
	s.mu.Lock()
	l := s.leases[id]
	if l == nil || s.timer.Now().Before(l.due) {
		s.mu.Unlock()
		return
	}
	s.revoke(id)
	wake := s.due()
	s.mu.Unlock()
	for _, f := range wake {
		f()
	}
}

func (s *Store) revoke(id ports.LeaseID) ports.KVReply {
	l := s.leases[id]
	if l == nil {
		return ports.KVReply{Status: ports.KVNotFound, Revision: s.revision}
	}
	l.cancel()
	delete(s.leases, id)
	for _, item := range s.under("", "") {
		if item.Lease == id {
			s.remove(item.Key)
		}
	}
	return ports.KVReply{Revision: s.revision}
}

func (s *Store) remove(key string) {
	s.revision++
	delete(s.items, key)
	s.gone = append(s.gone, ports.Item{Key: key, Revision: s.revision, Deleted: true})
	if len(s.gone) > tombstones {
		s.gone = append([]ports.Item(nil), s.gone[tombstones/2:]...)
	}
}

// under returns the items with a prefix after a key, in order.
func (s *Store) under(prefix, after string) []ports.Item {
	var items []ports.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			items = append(items, item)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	return items
}

func (s *Store) watch(r ports.KVWatch, done func(ports.KVReply)) {
	s.mu.Lock()
	if reply, isDone := s.watchNow(r); isDone {
		s.mu.Unlock()
		done(reply)
		return
	}
	w := &waiter{req: r, done: done}
	s.waiters[w] = struct{}{}
	w.cancel = s.timer.After(r.Wait, func() { s.giveUp(w) })
	s.mu.Unlock()
}

// watchNow returns the reply to a watch that need not wait.
func (s *Store) watchNow(r ports.KVWatch) (reply ports.KVReply, isDone bool) {
	changes := s.changes(r)
	switch {
	case s.isAway:
		return ports.KVReply{Status: ports.KVUnavailable}, true
	case s.era > 0 && r.After > s.revision:
		return ports.KVReply{Status: ports.KVConflict, Revision: s.revision, Era: s.era}, true
	case len(changes) > 0:
		return ports.KVReply{Items: changes, Revision: s.revision, Era: s.era}, true
	}
	return ports.KVReply{}, false
}

func (s *Store) giveUp(w *waiter) {
	s.mu.Lock()
	_, waiting := s.waiters[w]
	delete(s.waiters, w)
	reply := ports.KVReply{Revision: s.revision, Era: s.era}
	s.mu.Unlock()
	if waiting {
		w.done(reply)
	}
}

// due removes the waiters that have something to see and returns their calls.
func (s *Store) due() []func() {
	var wake []func()
	for w := range s.waiters {
		changes := s.changes(w.req)
		if len(changes) == 0 {
			continue
		}
		delete(s.waiters, w)
		w.cancel()
		reply := ports.KVReply{Items: changes, Revision: s.revision, Era: s.era}
		wake = append(wake, func() { w.done(reply) })
	}
	return wake
}

func (s *Store) changes(r ports.KVWatch) []ports.Item {
	var changes []ports.Item
	for key, item := range s.items {
		if strings.HasPrefix(key, r.Prefix) && item.Revision > r.After {
			changes = append(changes, item)
		}
	}
	for _, item := range s.gone {
		if strings.HasPrefix(item.Key, r.Prefix) && item.Revision > r.After {
			changes = append(changes, item)
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i].Revision < changes[j].Revision })
	return changes
}
