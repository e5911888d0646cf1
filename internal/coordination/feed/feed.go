package feed

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// defaultRemovalsKept is how many removals a feed remembers; a reader that is
// further behind gets the whole table.
const defaultRemovalsKept = 4096

// Feed is a part of the routing table that readers follow.
type Feed struct {
	stream       uint64
	timer        timer.Service
	removalsKept int

	mu       sync.Mutex
	seq      uint64
	rows     map[string]row
	removals []removal
	// forgotten is the sequence number of the latest removal that was dropped.
	forgotten uint64
	changed   chan struct{}
}

type row struct {
	replica ports.Replica
	seq     uint64
}

type removal struct {
	id  string
	seq uint64
}

// Option changes a Feed under construction.
type Option func(*Feed)

// WithRemovalsKept sets how many removals the feed remembers.
func WithRemovalsKept(n int) Option {
	return func(f *Feed) { f.removalsKept = n }
}

// New returns an empty feed; stream tells its sequence from that of an earlier
// incarnation of the same entry.
func New(stream uint64, t timer.Service, opts ...Option) *Feed {
	f := &Feed{
		stream:       stream,
		timer:        t,
		removalsKept: defaultRemovalsKept,
		rows:         make(map[string]row),
		changed:      make(chan struct{}),
	}
	for _, opt := range opts {
		opt(f)
	}
	return f
}

// Change replaces rows and removes others; rows that stay the same are no news.
func (f *Feed) Change(replicas []ports.Replica, removed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.seq
	for _, r := range replicas {
		f.put(r)
	}
	for _, id := range removed {
		f.remove(id)
	}
	f.trim()
	if f.seq != before {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// Replace makes the rows for which mine holds exactly those given.
func (f *Feed) Replace(mine func(ports.Replica) bool, replicas []ports.Replica) {
	keep := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		keep[r.ID] = true
	}
	var removed []string
	f.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		if !keep[id] && mine(f.rows[id].replica) {
			removed = append(removed, id)
		}
	}
	f.mu.Unlock()
	f.Change(replicas, removed)
}

// Rows returns all replicas in order of their ids.
func (f *Feed) Rows() []ports.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]ports.Replica, 0, len(f.rows))
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		rows = append(rows, f.rows[id].replica)
	}
	return rows
}

// Pull returns what came after the reader's sequence number, and waits for
// something to come if there is nothing; after the reader's wait, or when ctx
// ends, the answer is empty.
func (f *Feed) Pull(ctx context.Context, p ports.PullTable) ports.TableDelta {
	expired := make(chan struct{})
	cancel := f.timer.After(p.Wait, func() { close(expired) })
	defer cancel()
	for {
		delta, changed := f.after(p)
		if delta.Whole || len(delta.Replicas) > 0 || len(delta.Removed) > 0 {
			return delta
		}
		select {
		case <-changed:
		case <-expired:
			return delta
		case <-ctx.Done():
			return delta
		}
	}
}

func (f *Feed) after(p ports.PullTable) (ports.TableDelta, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delta := ports.TableDelta{Stream: f.stream, Seq: f.seq}
	after := p.After
	if p.Stream != f.stream || after < f.forgotten || after > f.seq {
		delta.Whole = true
		after = 0
	}
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		if r := f.rows[id]; r.seq > after || delta.Whole {
			delta.Replicas = append(delta.Replicas, r.replica)
		}
	}
	if delta.Whole {
		return delta, f.changed
	}
	for _, r := range f.removals {
		// A row that came back after its removal is no removal any more.
		if _, back := f.rows[r.id]; !back && r.seq > after {
			delta.Removed = append(delta.Removed, r.id)
		}
	}
	return delta, f.changed
}

func (f *Feed) put(r ports.Replica) {
	if old, ok := f.rows[r.ID]; ok && same(old.replica, r) {
		return
	}
	f.seq++
	f.rows[r.ID] = row{replica: r, seq: f.seq}
}

func (f *Feed) remove(id string) {
	if _, ok := f.rows[id]; !ok {
		return
	}
	f.seq++
	delete(f.rows, id)
	f.removals = append(f.removals, removal{id: id, seq: f.seq})
}

func (f *Feed) trim() {
	if len(f.removals) <= f.removalsKept {
		return
	}
	cut := len(f.removals) / 2
	f.forgotten = f.removals[cut-1].seq
	f.removals = slices.Clone(f.removals[cut:])
}

// readyInStep is the coarseness at which a load's estimate is news: an estimate
// counts down by itself, and sending every step of it would be a row a second.
const readyInStep = 5 * time.Second

// same tells whether two rows are alike to a reader.
func same(a, b ports.Replica) bool {
	if a.Phase != b.Phase || a.Leaving != b.Leaving || a.Addr != b.Addr || a.Reason != b.Reason ||
		a.Revision != b.Revision || a.Concurrency != b.Concurrency || !slices.Equal(a.Adapters, b.Adapters) {
		return false
	}
	if loadIsNews(a, b) {
		return false
	}
	return (a.ReadyIn - b.ReadyIn).Abs() < readyInStep
}

// loadSteps is into how many steps a replica's load is divided: only a change
// by a step, to or from nothing, or of whether anything queues is news.
//
// Every entry of a zone follows every row of it. At 364 replicas a zone that
// report twice a second, each change of a count would be 70 KB/s to each entry;
// readers count their own requests anyway, so a coarse picture of the others'
// is enough to choose between two replicas.
const loadSteps = 4

func loadIsNews(a, b ports.Replica) bool {
	if (a.Running == 0) != (b.Running == 0) || (a.Queued == 0) != (b.Queued == 0) {
		return true
	}
	step := max(1, b.Concurrency/loadSteps)
	return abs(a.Running-b.Running) >= step || abs(a.Queued-b.Queued) >= step
}

func abs(n int) int {
	return max(n, -n)
}
