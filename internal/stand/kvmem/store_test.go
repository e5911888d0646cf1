package kvmem

import (
	stdcmp "cmp"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"github.com/google/go-cmp/cmp/cmpopts"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// oracle is a key-value service as a list of everything that was ever written.
type oracle struct {
	log    []ports.Item
	leases map[ports.LeaseID]*term
	issued ports.LeaseID
	serial int
}

// term is a lease; serial orders those that end at the same instant.
type term struct {
	ttl    time.Duration
	due    time.Time
	serial int
}

func (o *oracle) extend(l *term, now time.Time) {
	o.serial++
	l.due, l.serial = now.Add(l.ttl), o.serial
}

// expired returns the leases that have ended, in the order of their ends.
func (o *oracle) expired(now time.Time) []ports.LeaseID {
	var ids []ports.LeaseID
	for id, l := range o.leases {
		if !now.Before(l.due) {
			ids = append(ids, id)
		}
	}
	slices.SortFunc(ids, func(a, b ports.LeaseID) int {
		x, y := o.leases[a], o.leases[b]
		return stdcmp.Or(x.due.Compare(y.due), x.serial-y.serial)
	})
	return ids
}

// latest folds the changes after a revision to the last one of each key.
func latest(changes []ports.Item, prefix string, after ports.Revision) map[string]string {
	last := make(map[string]string)
	for _, item := range changes {
		if item.Revision > after && strings.HasPrefix(item.Key, prefix) {
			last[item.Key] = fmt.Sprintf("%d %q %d %t", item.Revision, item.Value, item.Lease, item.Deleted)
		}
	}
	return last
}

func (o *oracle) item(key string) ports.Item {
	for _, item := range slices.Backward(o.log) {
		if item.Key == key && !item.Deleted {
			return item
		}
		if item.Key == key {
			break
		}
	}
	return ports.Item{}
}

func (o *oracle) write(item ports.Item) ports.KVReply {
	item.Revision = o.revision() + 1
	o.log = append(o.log, item)
	return ports.KVReply{Revision: item.Revision}
}

func (o *oracle) revision() ports.Revision {
	return ports.Revision(len(o.log))
}

// held returns the reply to a write whose expectation does not hold.
func (o *oracle) held(key string, want ports.Revision) *ports.KVReply {
	now := o.item(key)
	if now.Revision == want {
		return nil
	}
	reply := &ports.KVReply{Status: ports.KVConflict, Revision: o.revision()}
	if now.Revision != 0 {
		reply.Items = []ports.Item{now}
	}
	return reply
}

func (o *oracle) put(r ports.KVPut) ports.KVReply {
	if r.Lease != 0 && o.leases[r.Lease] == nil {
		return ports.KVReply{Status: ports.KVNotFound, Revision: o.revision()}
	}
	if reply := o.held(r.Key, r.Expect); reply != nil {
		return *reply
	}
	return o.write(ports.Item{Key: r.Key, Value: r.Value, Lease: r.Lease})
}

func (o *oracle) delete(r ports.KVDelete) ports.KVReply {
	if o.item(r.Key).Revision == 0 {
		return ports.KVReply{Status: ports.KVNotFound, Revision: o.revision()}
	}
	if reply := o.held(r.Key, r.Expect); reply != nil {
		return *reply
	}
	return o.write(ports.Item{Key: r.Key, Deleted: true})
}

func (o *oracle) end(id ports.LeaseID) {
	delete(o.leases, id)
	for _, key := range keys {
		if item := o.item(key); item.Revision != 0 && item.Lease == id {
			o.write(ports.Item{Key: key, Deleted: true})
		}
	}
}

var keys = []string{"a/1", "a/2", "b/1"}

type machine struct {
	clock  *timer.Virtual
	store  *Store
	oracle *oracle
}

func (m *machine) call(req ports.KVRequest) ports.KVReply {
	var reply ports.KVReply
	m.store.Call(req, func(r ports.KVReply) { reply = r })
	return reply
}

func (m *machine) same(t *rapid.T, step string, want, got ports.KVReply) {
	if diff := cmp.Diff(want, got, cmpopts.EquateEmpty()); diff != "" {
		t.Fatalf("%s (-want +got):\n%s", step, diff)
	}
}

func (m *machine) drawRevision(t *rapid.T, key string) ports.Revision {
	if rapid.Bool().Draw(t, "right") {
		return m.oracle.item(key).Revision
	}
	return ports.Revision(rapid.IntRange(0, len(m.oracle.log)).Draw(t, "expect"))
}

func (m *machine) drawLease(t *rapid.T) ports.LeaseID {
	return ports.LeaseID(rapid.IntRange(0, int(m.oracle.issued)+1).Draw(t, "lease"))
}

func (m *machine) put(t *rapid.T) {
	key := rapid.SampledFrom(keys).Draw(t, "key")
	value := []byte(rapid.StringN(0, 2, 2).Draw(t, "value"))
	r := ports.KVPut{Key: key, Value: value, Expect: m.drawRevision(t, key), Lease: m.drawLease(t)}
	m.same(t, "put", m.oracle.put(r), m.call(r))
}

func (m *machine) delete(t *rapid.T) {
	key := rapid.SampledFrom(keys).Draw(t, "key")
	r := ports.KVDelete{Key: key, Expect: m.drawRevision(t, key)}
	m.same(t, "delete", m.oracle.delete(r), m.call(r))
}

func (m *machine) grant(t *rapid.T) {
	ttl := time.Duration(rapid.IntRange(1, 5).Draw(t, "ttl")) * time.Second
	m.oracle.issued++
	l := &term{ttl: ttl}
	m.oracle.leases[m.oracle.issued] = l
	m.oracle.extend(l, m.clock.Now())
	want := ports.KVReply{Lease: m.oracle.issued, Revision: m.oracle.revision()}
	m.same(t, "grant", want, m.call(ports.KVGrant{TTL: ttl}))
}

func (m *machine) renew(t *rapid.T) {
	id := m.drawLease(t)
	want := ports.KVReply{Status: ports.KVNotFound, Revision: m.oracle.revision()}
	if l := m.oracle.leases[id]; l != nil {
		m.oracle.extend(l, m.clock.Now())
		want = ports.KVReply{Lease: id, Revision: m.oracle.revision()}
	}
	m.same(t, "renew", want, m.call(ports.KVRenew{Lease: id}))
}

func (m *machine) revoke(t *rapid.T) {
	id := m.drawLease(t)
	want := ports.KVReply{Status: ports.KVNotFound, Revision: m.oracle.revision()}
	if m.oracle.leases[id] != nil {
		m.oracle.end(id)
		want = ports.KVReply{Revision: m.oracle.revision()}
	}
	m.same(t, "revoke", want, m.call(ports.KVRevoke{Lease: id}))
}

func (m *machine) pass(t *rapid.T) {
	for range rapid.IntRange(1, 6).Draw(t, "halves") {
		m.clock.Advance(time.Second / 2)
		for _, id := range m.oracle.expired(m.clock.Now()) {
			m.oracle.end(id)
		}
	}
}

// watch waits from some revision on while one more step is made.
func (m *machine) watch(t *rapid.T) {
	prefix := rapid.SampledFrom([]string{"", "a/", "b/1", "c"}).Draw(t, "prefix")
	after := ports.Revision(rapid.IntRange(0, len(m.oracle.log)).Draw(t, "after"))
	var replies []ports.KVReply
	done := func(r ports.KVReply) { replies = append(replies, r) }
	m.store.Call(ports.KVWatch{Prefix: prefix, After: after, Wait: time.Minute}, done)
	if len(replies) == 0 {
		m.put(t)
	}
	want := latest(m.oracle.log, prefix, after)
	if len(want) == 0 {
		if len(replies) != 0 {
			t.Fatalf("a watch without changes ended: %+v", replies)
		}
		return
	}
	if len(replies) != 1 {
		t.Fatalf("a watch with changes ended %d times", len(replies))
	}
	if diff := cmp.Diff(want, latest(replies[0].Items, prefix, after)); diff != "" {
		t.Fatalf("watch of %q after %d (-want +got):\n%s", prefix, after, diff)
	}
}

func (m *machine) check(t *rapid.T) {
	var want []ports.Item
	for _, key := range keys {
		if item := m.oracle.item(key); item.Revision != 0 {
			want = append(want, item)
		}
	}
	m.same(t, "list", ports.KVReply{Items: want, Revision: m.oracle.revision()}, m.call(ports.KVList{}))
	for _, key := range keys {
		reply := ports.KVReply{Status: ports.KVNotFound, Revision: m.oracle.revision()}
		if item := m.oracle.item(key); item.Revision != 0 {
			reply = ports.KVReply{Items: []ports.Item{item}, Revision: m.oracle.revision()}
		}
		m.same(t, "get", reply, m.call(ports.KVGet{Key: key}))
	}
}

// TestStore compares the store with the oracle.
func TestStore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		clock := timer.NewVirtual(time.Unix(0, 0))
		m := &machine{clock: clock, store: NewStore(clock), oracle: &oracle{leases: make(map[ports.LeaseID]*term)}}
		t.Repeat(map[string]func(*rapid.T){
			"put": m.put, "delete": m.delete, "grant": m.grant, "renew": m.renew,
			"revoke": m.revoke, "pass": m.pass, "watch": m.watch, "": m.check,
		})
	})
}
