package entry

import (
	"context"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// followEvery is how often the sources to follow are chosen anew if nothing is
	// heard of the members.
	followEvery = time.Second
	// orphanSettle is how long after all shards of the zone have owners the rows
	// of an owner that is gone are dropped; by then the new ones have published.
	orphanSettle = 5 * time.Second
)

// The kinds of sources, as their names begin.
const (
	// zonePrefix begins the names of other zones.
	zonePrefix = "zone/"
	// ownerPrefix begins the names of owners in the own zone.
	ownerPrefix = "entry/"
	// witnessPrefix begins the name of an entry of the own zone that tells what it
	// knows of shards without an owner.
	witnessPrefix = "witness/"
)

// isOwner tells whether a source owns the shards that it tells of. Only what
// owners say is passed on to others: two entries that passed on what they heard
// of each other would keep a row alive between them for ever.
func isOwner(source string) bool {
	return source == ownSource || strings.HasPrefix(source, ownerPrefix)
}

// source is one pull that goes on for as long as the source is chosen.
type source struct {
	member  ports.Member
	summary bool
	cancel  context.CancelFunc
}

// following is what an entry follows.
type following struct {
	entry   *Entry
	running map[string]*source
	// orphans are owners that are gone, by when every shard had an owner again,
	// zero for not yet.
	orphans map[string]time.Time
}

// followTables keeps a pull running to each owner of the own zone and to one
// entry of each other zone, so that what an entry follows grows with its zone
// and the number of zones, not with the fleet.
//
// The sources are chosen at each news of the members and not at intervals alone:
// what an owner loads before it is followed, nobody else knows, and if the owner
// dies then, the model is warm and out of reach until a successor tells of it.
func (e *Entry) followTables(ctx context.Context) {
	e.spawn(e.followOwn)
	f := &following{entry: e, running: make(map[string]*source), orphans: make(map[string]time.Time)}
	for {
		wanted := e.sources()
		f.stop(wanted)
		f.start(ctx, wanted)
		f.dropOrphans()
		if !e.sleepOr(ctx, followEvery, e.membersNews) {
			return
		}
	}
}

// stop ends the pulls of sources that are not wanted any more, or that are now
// told of by another entry.
func (f *following) stop(wanted map[string]*source) {
	for name, s := range f.running {
		w, ok := wanted[name]
		if ok && w.member.ID == s.member.ID && w.member.Incarnation == s.member.Incarnation {
			continue
		}
		s.cancel()
		delete(f.running, name)
		if !ok {
			f.lose(name)
		}
	}
}

func (f *following) start(ctx context.Context, wanted map[string]*source) {
	for name, s := range wanted {
		if _, ok := f.running[name]; ok {
			continue
		}
		var pull context.Context
		pull, s.cancel = context.WithCancel(ctx)
		f.running[name] = s
		delete(f.orphans, name)
		f.entry.spawn(func(context.Context) { f.entry.follow(pull, name, s) })
	}
}

// lose forgets a source that nobody takes the place of. The rows of an owner are
// kept as orphans: its death says nothing of its targets, whose warm replicas go
// on answering, and while the KV service is down nobody can take the shard over
// and tell of them. A replica that is gone as well fails its calls and is
// ejected. Another zone's rows go at once, since its targets cannot be reached
// either.
func (f *following) lose(name string) {
	if strings.HasPrefix(name, ownerPrefix) {
		f.orphans[name] = time.Time{}
		return
	}
	f.drop(name)
}

func (f *following) drop(name string) {
	f.entry.table.RemoveSource(name)
	f.entry.zone.Drop(name)
}

// dropOrphans drops the rows of owners that are gone once all shards have owned
// and published for a while.
func (f *following) dropOrphans() {
	now := f.entry.timer.Now()
	owned := f.entry.allOwned()
	for name, since := range f.orphans {
		switch {
		case !owned:
			f.orphans[name] = time.Time{}
		case since.IsZero():
			f.orphans[name] = now
		case now.Sub(since) >= orphanSettle:
			delete(f.orphans, name)
			f.drop(name)
		}
	}
}

// sources are whom to follow: owners in the own zone, one entry of each other
// zone, and while a shard of the own zone has no owner one more entry of the
// zone, which may know what the owner had told.
func (e *Entry) sources() map[string]*source {
	chosen := make(map[string]*source)
	witnessed := !e.allOwned()
	for _, m := range e.members() {
		if m.ID == e.self.ID || m.Phase == ports.MemberGone || m.Phase == ports.MemberSilent {
			continue
		}
		if m.Zone == e.self.Zone && len(m.Shards) > 0 {
			chosen[e.sourceOf(m)] = &source{member: m}
		}
		name := e.sourceOf(m)
		if m.Zone == e.self.Zone {
			if !witnessed {
				continue
			}
			name = witnessPrefix + m.Zone
		}
		if old, ok := chosen[name]; !ok || preferred(e.self.ID, m.ID, old.member.ID) {
			chosen[name] = &source{member: m, summary: true}
		}
	}
	return chosen
}

// allOwned tells whether every shard of the own zone has a living owner.
func (e *Entry) allOwned() bool {
	owned := make(map[int]bool)
	for _, m := range e.members() {
		if m.Zone != e.self.Zone || m.Phase == ports.MemberGone || m.Phase == ports.MemberSilent {
			continue
		}
		for _, shard := range m.Shards {
			owned[shard] = true
		}
	}
	return len(owned) >= e.settings.Control.Shards
}

// sourceOf is the name of the source that tells of a member's replicas.
func (e *Entry) sourceOf(m ports.Member) string {
	if m.Zone != e.self.Zone {
		return zonePrefix + m.Zone
	}
	return ownerPrefix + m.ID
}

// preferred spreads the entries that follow the same zone over its members.
func preferred(self, a, b string) bool {
	first := member.PickByHash([]string{a, b}, "follow/"+self, 1)
	return first[0] == a
}
