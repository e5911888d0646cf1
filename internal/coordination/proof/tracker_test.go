package proof_test

import (
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/coordination/proof"
	"chivecroft.example/chivecroft/internal/state/eras"
)

const bound = 5 * time.Second

// rev returns a revision of a store that tells no era.
func rev(number uint64) eras.Revision { return eras.Revision{Number: number} }

// written is a configuration in the model's store.
type written struct {
	revision uint64
	invalid  bool
	at       time.Time
}

// node is an instance of the model: what its follower and its tracker know.
type node struct {
	tracker *proof.Tracker
	// active is the revision in force, seen the newest one that was read, and through the
	// store revision up to which all were read, 0 if unknown.
	active, seen, through uint64
}

// question is a call of a node to the store or to another node. Its reply may come at any
// later time, or never.
type question struct {
	from    *node
	askedAt time.Time
	// after is the revision that a watch continues from.
	after    uint64
	isWatch  bool
	to       *node
	answered bool

	// The reply of the store.
	revision uint64
	events   []written
	// The reply of another node.
	note            proof.Proof
	hasNote         bool
	active, through uint64
}

// model is a store and several instances that ask it and each other.
type model struct {
	now   time.Time
	store []written
	nodes []*node
	open  []*question
}

func newModel() *model {
	m := &model{now: start, store: []written{{revision: 1, at: time.Unix(999_000, 0)}}}
	for range 4 {
		m.nodes = append(m.nodes, &node{tracker: proof.NewTracker()})
	}
	return m
}

func (m *model) last() uint64 { return m.store[len(m.store)-1].revision }

// after returns the configurations after a revision.
func (m *model) after(revision uint64) []written {
	return slices.DeleteFunc(slices.Clone(m.store), func(w written) bool { return w.revision <= revision })
}

// apply handles a configuration as package edge does.
func (n *node) apply(previous uint64, w written) {
	if w.revision <= n.seen && previous > 0 {
		return
	}
	n.seen = max(n.seen, w.revision)
	if w.invalid || w.revision <= n.active {
		n.tracker.Skip(rev(previous), rev(w.revision))
		return
	}
	n.active = w.revision
	n.tracker.Activate(rev(w.revision))
}

// answer computes a reply as of now.
func (m *model) answer(q *question) {
	q.answered = true
	switch {
	case q.to != nil:
		if q.to.through > 0 && !q.to.tracker.HasGap() {
			q.through = q.to.through
		}
		q.active = q.to.active
		q.note, q.hasNote = q.to.tracker.Proof(m.now)
	case q.isWatch:
		q.events, q.revision = m.after(q.after), m.last()
	default:
		q.events, q.revision = m.store[len(m.store)-1:], m.last()
	}
}

// deliver applies a reply. A node does one thing at a time, so a reply to an outdated watch
// does not come any more.
func (m *model) deliver(q *question) {
	n := q.from
	switch {
	case q.to != nil:
		m.deliverNote(q)
	case q.isWatch && q.after != n.through:
	default:
		for _, w := range q.events {
			previous := uint64(0)
			if q.isWatch {
				previous = n.seen
			}
			n.apply(previous, w)
		}
		n.through = max(q.revision, n.through)
		n.tracker.RecordOwn(q.askedAt, rev(n.seen))
	}
}

// deliverNote applies the reply of another node, with its configuration if that is newer.
func (m *model) deliverNote(q *question) {
	n := q.from
	if q.hasNote {
		n.tracker.RecordReply(q.askedAt, q.note)
	}
	switch {
	case q.active > n.seen:
		n.apply(0, written{revision: q.active})
		n.through = q.active
	case q.through > 0:
		n.through = q.through
	}
}

// check fails if a node accepts keys although a newer configuration is older than the
// bound.
func (m *model) check(t *rapid.T) {
	limit := bound - proof.Margin
	for i, n := range m.nodes {
		if !n.tracker.Accepts(m.now, bound) {
			continue
		}
		for _, w := range m.store {
			if age := m.now.Sub(w.at); !w.invalid && w.revision > n.active && age > limit {
				t.Fatalf("instance %d accepts keys of revision %d, %v after revision %d", i, n.active, age, w.revision)
			}
		}
	}
}

// write adds a configuration to the store.
func (m *model) write(t *rapid.T) {
	next := m.last() + uint64(rapid.IntRange(1, 3).Draw(t, "step"))
	m.store = append(m.store, written{next, rapid.Bool().Draw(t, "invalid"), m.now})
}

// wait lets time pass, in which questions stay open.
func (m *model) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
}

// ask opens a question of a node to the store or to another node.
func (m *model) ask(t *rapid.T) {
	q := &question{from: rapid.SampledFrom(m.nodes).Draw(t, "from"), askedAt: m.now}
	switch rapid.SampledFrom([]string{"list", "watch", "node", "node"}).Draw(t, "question") {
	case "watch":
		q.isWatch, q.after = q.from.through > 0, q.from.through
	case "node":
		q.to = rapid.SampledFrom(m.nodes).Draw(t, "to")
	}
	m.open = append(m.open, q)
}

// proceed has an open question answered or its reply delivered. A reply may be delivered
// several times, and is lost if that never happens.
func (m *model) proceed(t *rapid.T) {
	if len(m.open) == 0 {
		return
	}
	q := rapid.SampledFrom(m.open[max(0, len(m.open)-maxOpen):]).Draw(t, "open")
	if q.answered {
		m.deliver(q)
		return
	}
	m.answer(q)
}

// restart replaces a node by one that knows nothing.
func (m *model) restart(t *rapid.T) {
	*rapid.SampledFrom(m.nodes).Draw(t, "instance") = node{tracker: proof.NewTracker()}
	m.open = nil
}

const (
	// maxOpen is how many of the latest questions proceed.
	maxOpen = 4
	// steps is the length of a play, long enough for an instance to fall behind several
	// times.
	steps = 1200
)

// TestNoKeyOutlivesItsBound plays a store, a holder, readers and instances that ask each
// other, with replies that are late or lost and freezes of any length, which are times in
// which an instance does nothing. No instance may accept keys of a configuration longer
// than the bound after a newer one.
func TestNoKeyOutlivesItsBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		actions := map[string]func(*rapid.T){"write": m.write, "wait": m.wait, "ask": m.ask, "proceed": m.proceed, "restart": m.restart}
		names := []string{"restart", "write", "write", "wait", "wait"}
		for range 8 {
			names = append(names, "ask", "proceed", "proceed", "proceed")
		}
		for range steps {
			actions[rapid.SampledFrom(names).Draw(t, "action")](t)
			m.check(t)
		}
	})
}

// start is when the cases of TestProofCounts and TestMargin begin.
var start = time.Unix(1_000_000, 0)

func at(ms int) time.Time { return start.Add(age(ms)) }

func age(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }

// step is something that a tracker is told.
type step func(*proof.Tracker)

func active(revision uint64) step {
	return func(k *proof.Tracker) { k.Activate(rev(revision)) }
}

func skipped(previous, revision uint64) step {
	return func(k *proof.Tracker) { k.Skip(rev(previous), rev(revision)) }
}

func own(askedMS int, revision uint64) step {
	return func(k *proof.Tracker) { k.RecordOwn(at(askedMS), rev(revision)) }
}

func reply(askedMS int, revision uint64, ageMS int) step {
	return func(k *proof.Tracker) {
		k.RecordReply(at(askedMS), proof.Proof{Revision: rev(revision), Age: age(ageMS)})
	}
}

// TestProofCounts checks that a proof counts from the moment before its question, with the
// age that another instance gave, and only for the configuration that it is of.
func TestProofCounts(t *testing.T) {
	for _, c := range []struct {
		name  string
		steps []step
		// want is the age at 1000 ms, below 0 for no proof.
		want time.Duration
	}{
		{"nothing known", nil, -1},
		{"active without a proof", []step{active(7)}, -1},
		{"own", []step{active(7), own(400, 7)}, age(600)},
		{"own before it is active", []step{own(400, 7), active(7)}, age(600)},
		{"another's", []step{active(7), reply(900, 7, 300)}, age(400)},
		{"an older one later", []step{active(7), own(800, 7), reply(900, 7, 300)}, age(200)},
		{"of an older configuration", []step{active(7), reply(900, 6, 0)}, -1},
		{"of a newer configuration", []step{active(7), reply(900, 8, 0)}, -1},
		{"kept when a newer one is active", []step{active(7), own(400, 7), active(8)}, age(600)},
		{"past a rejected one", []step{active(7), skipped(7, 9), own(400, 9)}, age(600)},
		{"past a rejected one and an unseen one", []step{active(7), skipped(8, 9), own(400, 9)}, -1},
		{"own, although a newer one is known", []step{active(7), reply(300, 8, 0), own(400, 7)}, -1},
	} {
		t.Run(c.name, func(t *testing.T) {
			k := proof.NewTracker()
			for _, do := range c.steps {
				do(k)
			}
			got := time.Duration(-1)
			if p, ok := k.Proof(at(1000)); ok {
				got = p.Age
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("age (-want +got):\n%s", diff)
			}
		})
	}
}

// TestMargin checks that keys are no longer accepted a margin before the bound.
func TestMargin(t *testing.T) {
	k := proof.NewTracker()
	k.Activate(rev(1))
	k.RecordOwn(start, rev(1))
	for _, c := range []struct {
		after time.Duration
		want  bool
	}{{0, true}, {bound - proof.Margin - 1, true}, {bound - proof.Margin, false}, {time.Hour, false}} {
		if got := k.Accepts(start.Add(c.after), bound); got != c.want {
			t.Errorf("after %v: %t", c.after, got)
		}
	}
}
