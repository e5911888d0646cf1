package feed

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Union is the feed that other zones follow: what all owners of a zone publish,
// without the load, which those others do not need.
type Union struct {
	out *Feed

	mu      sync.Mutex
	sources map[string]map[string]ports.Replica
}

// NewUnion returns a union that publishes to out.
func NewUnion(out *Feed) *Union {
	return &Union{out: out, sources: make(map[string]map[string]ports.Replica)}
}

// Apply takes a delta of one source.
func (u *Union) Apply(source string, delta ports.TableDelta) {
	u.mu.Lock()
	defer u.mu.Unlock()
	rows := u.sources[source]
	changed := rows == nil || delta.Whole || len(delta.Removed) > 0
	if rows == nil || delta.Whole {
		rows = make(map[string]ports.Replica)
		u.sources[source] = rows
	}
	for _, r := range delta.Replicas {
		r.Running = 0
		r.Queued = 0
		if old, known := rows[r.ID]; known && same(old, r) {
			// Most deltas tell of load alone, for which nothing is published anew.
			continue
		}
		rows[r.ID] = r
		changed = true
	}
	for _, id := range delta.Removed {
		delete(rows, id)
	}
	if changed {
		u.publish()
	}
}

// Drop forgets a source.
func (u *Union) Drop(source string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sources, source)
	u.publish()
}

// Pull returns what came after the reader's sequence number, as Feed.Pull does.
func (u *Union) Pull(ctx context.Context, p ports.PullTable) ports.TableDelta {
	return u.out.Pull(ctx, p)
}

// Rows returns all replicas in order of their ids.
func (u *Union) Rows() []ports.Replica {
	return u.out.Rows()
}

// publish replaces the rows by those of all sources. While a shard changes
// hands two sources have the same replica; the row is then the last source's by
// name, and stays when either lets go of it.
func (u *Union) publish() {
	rows := make(map[string]ports.Replica)
	for _, source := range slices.Sorted(maps.Keys(u.sources)) {
		maps.Copy(rows, u.sources[source])
	}
	all := slices.Collect(maps.Values(rows))
	slices.SortFunc(all, func(a, b ports.Replica) int { return strings.Compare(a.ID, b.ID) })
	u.out.Replace(func(ports.Replica) bool { return true }, all)
}
