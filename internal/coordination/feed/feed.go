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

// defaultRemovalsKept is the maximum number of removals that a feed keeps. A reader that has
// missed a removal which is no longer kept gets the full table.
const defaultRemovalsKept = 4096

// Feed is a log of changes to a set of rows, which readers pull. It is safe for concurrent use.
type Feed struct {
	stream       uint64
	timer        timer.Service
	removalsKept int

	mu       sync.Mutex
	seq      uint64
	rows     map[string]row
	removals []removal
	// trimmedSeq is the sequence number of the latest removal that is no longer kept.
	trimmedSeq uint64
	// changed is closed and replaced on every change.
	changed chan struct{}
}

// row is a replica with the sequence number of its latest change.
type row struct {
	replica ports.Replica
	seq     uint64
}

// removal is the id of a removed replica with the sequence number of the removal.
type removal struct {
	id  string
	seq uint64
}

// Option configures a Feed.
type Option func(*Feed)

// WithRemovalsKept sets the maximum number of removals that the feed keeps.
func WithRemovalsKept(n int) Option {
	return func(f *Feed) { f.removalsKept = n }
}

// New returns an empty feed. The stream distinguishes its sequence numbers from those of an
// earlier incarnation of the same entry.
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

// Change adds or updates replicas and removes others by id. Rows that do not change for readers
// get no new sequence number.
func (f *Feed) Change(replicas []ports.Replica, removed []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	oldSeq := f.seq
	for _, r := range replicas {
		f.put(r)
	}
	for _, id := range removed {
		f.remove(id)
	}
	f.trim()
	if f.seq != oldSeq {
		close(f.changed)
		f.changed = make(chan struct{})
	}
}

// ReplaceWhere adds or updates replicas and removes all other rows for which match returns true.
func (f *Feed) ReplaceWhere(match func(ports.Replica) bool, replicas []ports.Replica) {
	keep := make(map[string]bool, len(replicas))
	for _, r := range replicas {
		keep[r.ID] = true
	}
	var removed []string
	f.mu.Lock()
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		if !keep[id] && match(f.rows[id].replica) {
			removed = append(removed, id)
		}
	}
	f.mu.Unlock()
	f.Change(replicas, removed)
}

// Rows returns all replicas, sorted by id.
func (f *Feed) Rows() []ports.Replica {
	f.mu.Lock()
	defer f.mu.Unlock()
	rows := make([]ports.Replica, 0, len(f.rows))
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		rows = append(rows, f.rows[id].replica)
	}
	return rows
}

// Pull returns the changes after the reader's sequence number, or the full table if the reader
// has another stream or is too far behind. If there is no change, Pull waits for one until
// p.Wait has passed or ctx ends, and then returns an empty delta.
func (f *Feed) Pull(ctx context.Context, p ports.PullTable) ports.TableDelta {
	expired := make(chan struct{})
	cancel := f.timer.After(p.Wait, func() { close(expired) })
	defer cancel()
	for {
		delta, changed := f.deltaAfter(p)
		if delta.Full || len(delta.Replicas) > 0 || len(delta.Removed) > 0 {
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

func (f *Feed) deltaAfter(p ports.PullTable) (ports.TableDelta, <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delta := ports.TableDelta{Stream: f.stream, Seq: f.seq}
	after := p.After
	if p.Stream != f.stream || after < f.trimmedSeq || after > f.seq {
		delta.Full = true
		after = 0
	}
	for _, id := range slices.Sorted(maps.Keys(f.rows)) {
		if r := f.rows[id]; r.seq > after || delta.Full {
			delta.Replicas = append(delta.Replicas, r.replica)
		}
	}
	if delta.Full {
		return delta, f.changed
	}
	for _, r := range f.removals {
		// A replica that was added again after its removal is not removed.
		if _, back := f.rows[r.id]; !back && r.seq > after {
			delta.Removed = append(delta.Removed, r.id)
		}
	}
	return delta, f.changed
}

func (f *Feed) put(r ports.Replica) {
	if old, ok := f.rows[r.ID]; ok && isSameToReaders(old.replica, r) {
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
	f.trimmedSeq = f.removals[cut-1].seq
	f.removals = slices.Clone(f.removals[cut:])
}

// readyInStep is the minimum change of a load's estimated remaining time that is published.
// The estimate counts down by itself, and publishing all its changes would send a row a second.
const readyInStep = 5 * time.Second

// isSameToReaders reports whether a row need not be published again because its changes are
// irrelevant to readers.
func isSameToReaders(a, b ports.Replica) bool {
	if a.Phase != b.Phase || a.Leaving != b.Leaving || a.Addr != b.Addr || a.Reason != b.Reason ||
		a.Revision != b.Revision || a.Concurrency != b.Concurrency || !slices.Equal(a.Adapters, b.Adapters) {
		return false
	}
	if hasLoadChanged(a, b) {
		return false
	}
	return (a.ReadyIn - b.ReadyIn).Abs() < readyInStep
}

// loadSteps is the number of steps into which a replica's concurrency is divided. A change of
// its load is published only if it is at least a step, or if the number of running or queued
// requests changes to or from zero.
//
// Every entry of a zone pulls all rows of the zone. With 364 replicas per zone that report
// twice a second, publishing each change of a count would send 70 KB/s to each entry. Readers
// count their own requests, so a rough figure for those of others is enough to choose between
// two replicas.
const loadSteps = 4

// hasLoadChanged reports whether the change of load from a to b has to be published.
func hasLoadChanged(a, b ports.Replica) bool {
	if (a.Running == 0) != (b.Running == 0) || (a.Queued == 0) != (b.Queued == 0) {
		return true
	}
	step := max(1, b.Concurrency/loadSteps)
	return abs(a.Running-b.Running) >= step || abs(a.Queued-b.Queued) >= step
}

func abs(n int) int {
	return max(n, -n)
}
