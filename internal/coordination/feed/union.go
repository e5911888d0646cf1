package feed

import (
	"context"
	"maps"
	"slices"
	"strings"
	"sync"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// ZoneFeed is the feed for readers in other zones: the rows of all owners of a zone without their
// load, which other zones do not need. It is safe for concurrent use.
type ZoneFeed struct {
	feed *Feed

	mu sync.Mutex
	// sources are the rows by source and id of the replica.
	sources map[string]map[string]ports.Replica
}

// NewZoneFeed returns a feed that publishes to the given one.
func NewZoneFeed(feed *Feed) *ZoneFeed {
	return &ZoneFeed{feed: feed, sources: make(map[string]map[string]ports.Replica)}
}

// Apply applies a delta from a source and publishes the result if rows have changed.
func (u *ZoneFeed) Apply(source string, delta ports.TableDelta) {
	u.mu.Lock()
	defer u.mu.Unlock()
	rows := u.sources[source]
	changed := rows == nil || delta.Full || len(delta.Removed) > 0
	if rows == nil || delta.Full {
		rows = make(map[string]ports.Replica)
		u.sources[source] = rows
	}
	for _, r := range delta.Replicas {
		r.Running = 0
		r.Queued = 0
		if old, known := rows[r.ID]; known && isSameToReaders(old, r) {
			// Most deltas change only the load, which the union does not publish.
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

// Drop removes a source and publishes the remaining rows.
func (u *ZoneFeed) Drop(source string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	delete(u.sources, source)
	u.publish()
}

// Pull returns the changes after the reader's sequence number, see Feed.Pull.
func (u *ZoneFeed) Pull(ctx context.Context, p ports.PullTable) ports.TableDelta {
	return u.feed.Pull(ctx, p)
}

// Rows returns all replicas, sorted by id.
func (u *ZoneFeed) Rows() []ports.Replica {
	return u.feed.Rows()
}

// publish replaces the rows of the feed by those of all sources. While a shard changes its
// owner, two sources have the same replica. The row is then that of the source whose name is
// last in order, and it stays if only one of them removes it.
func (u *ZoneFeed) publish() {
	rows := make(map[string]ports.Replica)
	for _, source := range slices.Sorted(maps.Keys(u.sources)) {
		maps.Copy(rows, u.sources[source])
	}
	all := slices.Collect(maps.Values(rows))
	slices.SortFunc(all, func(a, b ports.Replica) int { return strings.Compare(a.ID, b.ID) })
	u.feed.ReplaceWhere(func(ports.Replica) bool { return true }, all)
}
