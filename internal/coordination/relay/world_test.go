package relay

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/picker"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// world is a holder, two relays and their children, whose messages may be lost.
type world struct {
	t   *rapid.T
	now time.Time

	term, version uint64
	// targets holds the state of each target at the holder, log what changed when.
	targets map[string]int
	log     map[string]entryAt
	// demands holds the latest demand of each sender, counters its counter.
	demands  map[string]demandAt
	counters map[string]*Counter
	counted  int

	relays, children []*node
	arrived          int
}

type entryAt struct {
	version uint64
	update  picker.Update
}

type demandAt struct {
	at     time.Time
	demand []picker.Demand
}

// node is an instance. Only relays use the table.
type node struct {
	name   string
	copy   *Copy
	outbox *Outbox
	table  *Table
	// known holds the targets that the instance has applied.
	known map[string]int
	// queued is its gauge, fresh the arrivals that it has not packed.
	queued, fresh int
}

func newWorld(t *rapid.T) *world {
	w := &world{t: t, now: time.UnixMilli(1e12), term: 1}
	w.targets, w.log = make(map[string]int), make(map[string]entryAt)
	w.reset()
	for i := range 6 {
		n := &node{name: fmt.Sprint("i", i), copy: NewCopy(), outbox: NewOutbox(w.now), table: NewTable(), known: make(map[string]int)}
		if i < 2 {
			w.relays = append(w.relays, n)
		} else {
			w.children = append(w.children, n)
		}
	}
	return w
}

func (w *world) reset() {
	w.demands, w.counters = make(map[string]demandAt), make(map[string]*Counter)
	w.counted = 0
}

// newTerm begins the term of another holder, some time after the last one's.
func (w *world) newTerm() {
	w.now = w.now.Add(time.Second)
	w.term++
	w.version = 0
	clear(w.log)
	for id := range w.targets {
		w.publish(id, false)
	}
	w.reset()
}

func (w *world) publish(id string, isGone bool) {
	w.version++
	u := picker.Update{Slots: w.targets[id], Gone: isGone}
	u.ID = id
	w.log[id] = entryAt{w.version, u}
}

// receive is the holder's part of an exchange.
func (w *world) receive(from string, seq uint64, demand []picker.Demand, resent []Batch) {
	c := w.counters[from]
	if c == nil {
		c = &Counter{}
		w.counters[from] = c
	}
	got, isLatest := c.CountInto(seq, demand, resent)
	if !isLatest {
		return
	}
	for _, d := range got {
		w.counted += d.Arrived
	}
	w.demands[from] = demandAt{w.now, got}
}

func (w *world) state() State {
	return State{Position: Position{int64(w.term), w.version}, TargetsThrough: eras.Revision{Number: w.version}} //nolint:gosec // small
}

func (w *world) after(at Position) ([]picker.Update, bool) {
	isFull := at.Term != int64(w.term) || at.Version == 0 //nolint:gosec // small
	var out []picker.Update
	for _, e := range w.log {
		if isFull && !e.update.Gone || !isFull && e.version > at.Version {
			out = append(out, e.update)
		}
	}
	return out, isFull
}

// fate is what becomes of a message.
type fate int

const (
	delivered fate = iota
	replyLost
	lost
	refused
)

func (n *node) demand() []picker.Demand {
	d := []picker.Demand{{Service: "s", Model: "m", Queued: n.queued, Arrived: n.fresh}}
	n.fresh = 0
	return d
}

func (w *world) apply(n *node, s State, asOf time.Time, isFull bool, updates []picker.Update) {
	was := n.copy.State()
	if !n.copy.Adopt(s, asOf, isFull, updates) {
		return
	}
	if s.Term < was.Term || s.Term == was.Term && s.Version < was.Version {
		w.t.Fatalf("%s goes back from %+v to %+v", n.name, was, s)
	}
	if isFull {
		clear(n.known)
	}
	for _, u := range updates {
		if u.Gone {
			delete(n.known, u.ID)
		} else {
			n.known[u.ID] = u.Slots
		}
	}
}

// exchange sends a message of n. receive is called if it arrives, reply if its reply does.
func (w *world) exchange(n *node, to string, demand []picker.Demand, f fate,
	receive func(uint64, []picker.Demand, []Batch), reply func(),
) {
	packed, seq, resent := n.outbox.Pack(w.now, to, demand)
	if f == delivered || f == replyLost {
		receive(seq, packed, resent)
	}
	switch f {
	case delivered:
		n.outbox.Ack(to, seq)
		reply()
	case refused:
		n.outbox.Release(to, seq)
	case replyLost, lost:
	}
}

func (w *world) toHolder(n *node, f fate) {
	asOf, at := w.now, n.copy.State().Position
	w.exchange(n, "holder", n.table.Take(w.now, n.demand()), f, func(seq uint64, d []picker.Demand, resent []Batch) {
		w.receive(n.name, seq, d, resent)
		for _, c := range n.table.Live(w.now) {
			delete(w.demands, c.Name)
		}
	}, func() {
		updates, isFull := w.after(at)
		w.apply(n, w.state(), asOf, isFull, updates)
	})
}

func (w *world) toRelay(n, r *node, f fate) {
	at := n.copy.State().Position
	w.exchange(n, r.name, n.demand(), f, func(seq uint64, d []picker.Demand, resent []Batch) {
		r.table.Put(w.now, Message{Child: Child{Name: n.name}, Seq: seq, Demand: d, Resent: resent})
	}, func() {
		updates, isFull := r.copy.After(at)
		w.apply(n, r.copy.State(), w.now.Add(-r.copy.Age(w.now)), isFull, updates)
	})
}

// step does one random thing.
func (w *world) step() {
	pick := func(from []*node) *node { return from[rapid.IntRange(0, len(from)-1).Draw(w.t, "instance")] }
	f := fate(rapid.IntRange(0, 3).Draw(w.t, "fate"))
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 100).Draw(w.t, "ms")) * time.Millisecond)
	switch rapid.IntRange(0, 9).Draw(w.t, "step") {
	case 0, 1:
		id := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(w.t, "target"))
		w.targets[id]++
		w.publish(id, false)
	case 2:
		id := fmt.Sprint("t", rapid.IntRange(0, 3).Draw(w.t, "target"))
		if _, ok := w.targets[id]; ok {
			delete(w.targets, id)
			w.publish(id, true)
		}
	case 3:
		n := pick(slices.Concat(w.relays, w.children))
		n.fresh++
		w.arrived++
		n.queued = rapid.IntRange(0, 5).Draw(w.t, "queued")
	case 4, 5:
		w.toHolder(pick(w.relays), f)
	case 6, 7, 8:
		w.toRelay(pick(w.children), pick(w.relays), f)
	case 9:
		if rapid.IntRange(0, 4).Draw(w.t, "term") == 0 {
			w.newTerm()
		} else {
			w.toHolder(pick(w.children), f)
		}
	}
}

// settle lets all messages arrive, with each child at one relay in the end.
func (w *world) settle() {
	for _, n := range w.children {
		for _, r := range w.relays {
			w.toRelay(n, r, delivered)
		}
		w.toHolder(n, delivered)
	}
	w.now = w.now.Add(childTTL + time.Millisecond)
	for _, r := range w.relays {
		w.toHolder(r, delivered)
	}
	for i, n := range w.children {
		w.toRelay(n, w.relays[i%2], delivered)
	}
	for _, r := range w.relays {
		w.toHolder(r, delivered)
	}
}

// TestWorld checks what must hold after any sequence of messages, losses, changes of relay
// and changes of holder: instances know the holder's targets, and the holder's sums are
// those of the instances, with each arrival counted once.
func TestWorld(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for range rapid.IntRange(1, 80).Draw(t, "steps") {
			w.step()
		}
		w.settle()
		queued, want := 0, 0
		for _, d := range w.demands {
			if w.now.Sub(d.at) <= childTTL {
				queued += d.demand[0].Queued
			}
		}
		for _, n := range slices.Concat(w.relays, w.children) {
			want += n.queued
			if diff := cmp.Diff(w.targets, n.known); diff != "" {
				t.Fatalf("targets at %s (-holder +instance):\n%s", n.name, diff)
			}
		}
		if queued != want {
			t.Fatalf("the holder sums up %d queued requests of %d", queued, want)
		}
		if w.term == 1 && w.counted != w.arrived {
			t.Fatalf("the holder has counted %d arrivals of %d", w.counted, w.arrived)
		}
	})
}
