package entry

import (
	"context"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// pullWait is how long another entry may hold a pull without news.
	pullWait = 10 * time.Second
	// followEvery is how often the sources to follow are chosen anew.
	followEvery = time.Second
	// pullRetry is the pause after a pull that failed.
	pullRetry = 500 * time.Millisecond
	// ownSource names the entry's own shards as a source of the routing table.
	ownSource = "self"
	// zonePrefix begins the names of other zones as sources.
	zonePrefix = "zone/"
)

// followList reads the instance list and hands it to everybody who needs it.
func (e *Entry) followList(ctx context.Context) {
	for {
		e.kv.Instances(func(rows []ports.Instance, err error) {
			if err != nil {
				e.log.Debug().Err(err).Str("step", "list").Msg("reading the instance list")
				return
			}
			e.listed(rows)
		})
		if !e.sleep(ctx, e.settings.Platform.ListEvery) {
			return
		}
	}
}

func (e *Entry) listed(rows []ports.Instance) {
	var entries, targets []ports.Instance
	for _, row := range rows {
		switch {
		case row.Kind == ports.InstanceEntry:
			entries = append(entries, row)
		case row.Kind == ports.InstanceTarget && row.Zone == e.self.Zone:
			targets = append(targets, row)
		}
	}
	e.view.targets.Store(&targets)
	e.told.keep(e.listedTarget)
	e.table.ApplyInstances(rows)
	e.warmup.sawList()
	e.parts.members.Post(member.ListChanged{Instances: entries})
	e.parts.toShards(owner.TargetsChanged{Targets: targets})
}

// tableChanged takes the rows of an own shard into the feed for the others and
// into the own routing table.
func (e *Entry) tableChanged(n owner.TableChanged) {
	if n.Whole {
		e.own.Replace(func(r ports.Replica) bool { return r.Shard == n.Shard }, n.Replicas)
		e.own.Change(nil, n.Removed)
		return
	}
	e.own.Change(n.Replicas, n.Removed)
}

// source is one pull that goes on for as long as the source is chosen.
type source struct {
	member  ports.Member
	summary bool
	cancel  context.CancelFunc
}

// followTables keeps a pull running to each owner of the own zone and to one
// entry of each other zone, so that what an entry follows grows with its zone
// and the number of zones, not with the fleet.
func (e *Entry) followTables(ctx context.Context) {
	e.spawn(e.followOwn)
	running := make(map[string]*source)
	for {
		wanted := e.sources()
		for name, s := range running {
			if w, ok := wanted[name]; !ok || w.member.ID != s.member.ID || w.member.Incarnation != s.member.Incarnation {
				s.cancel()
				delete(running, name)
				e.forget(name, ok)
			}
		}
		for name, s := range wanted {
			if _, ok := running[name]; ok {
				continue
			}
			var pull context.Context
			pull, s.cancel = context.WithCancel(ctx)
			running[name] = s
			e.spawn(func(context.Context) { e.follow(pull, name, s) })
		}
		if !e.sleep(ctx, followEvery) {
			return
		}
	}
}

// forget drops the rows of a source that has none to take its place. A source
// whose place was taken keeps them until the new one sends its whole table, so
// that a takeover makes no replica unknown.
func (e *Entry) forget(name string, replaced bool) {
	if replaced {
		return
	}
	e.table.Drop(name)
	e.zone.Drop(name)
}

// sources are whom to follow: by shard in the own zone, by zone beyond it.
func (e *Entry) sources() map[string]*source {
	chosen := make(map[string]*source)
	for _, m := range e.members() {
		if m.ID == e.self.ID || m.Phase == ports.MemberGone || m.Phase == ports.MemberSilent {
			continue
		}
		if m.Zone != e.self.Zone {
			name := e.sourceOf(m)
			if old, ok := chosen[name]; !ok || preferred(e.self.ID, m.ID, old.member.ID) {
				chosen[name] = &source{member: m, summary: true}
			}
			continue
		}
		if len(m.Shards) > 0 {
			chosen[e.sourceOf(m)] = &source{member: m}
		}
	}
	return chosen
}

// sourceOf is the name of the source that tells of a member's replicas.
func (e *Entry) sourceOf(m ports.Member) string {
	if m.Zone != e.self.Zone {
		return zonePrefix + m.Zone
	}
	return "entry/" + m.ID
}

// preferred spreads the entries that follow another zone over its members.
func preferred(self, a, b string) bool {
	first := member.Choose([]string{a, b}, "follow/"+self, 1)
	return first[0] == a
}

// followOwn takes the own shards' rows into the routing table.
func (e *Entry) followOwn(ctx context.Context) {
	pull := ports.PullTable{Wait: pullWait}
	for ctx.Err() == nil {
		delta := e.own.Pull(ctx, pull)
		pull.Stream, pull.After = delta.Stream, delta.Seq
		e.took(ownSource, delta)
	}
}

func (e *Entry) follow(ctx context.Context, name string, s *source) {
	pull := ports.PullTable{Summary: s.summary, Wait: pullWait}
	for ctx.Err() == nil {
		asking, end := e.pulls.begin(ctx, name)
		answer, err := e.peers.Ask(asking, s.member.Addr, pull)
		end()
		delta, ok := answer.(ports.TableDelta)
		if err != nil || !ok {
			e.log.Debug().Err(err).Str("step", "pullTable").Str("peer", s.member.ID).Msg("pulling a routing table")
			e.sleep(ctx, pullRetry)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		pull.Stream, pull.After = delta.Stream, delta.Seq
		e.took(name, delta)
	}
}

// took applies a delta to the routing table and, for rows of the own zone, to
// the feed that other zones follow.
func (e *Entry) took(name string, delta ports.TableDelta) {
	e.table.Apply(name, delta)
	e.warmup.sawSource(name)
	if !strings.HasPrefix(name, zonePrefix) {
		e.zone.Apply(name, delta)
	}
}

// idleEvery is the period in which idle accelerator time is counted.
const idleEvery = time.Second

// countIdle adds up the time for which replicas of the own shards are ready and
// have nothing to do; only a shard's owner counts, so nothing is counted twice.
func (e *Entry) countIdle(ctx context.Context) {
	last := e.timer.Now()
	for e.sleep(ctx, idleEvery) {
		now := e.timer.Now()
		passed := now.Sub(last)
		last = now
		for _, r := range e.own.Rows() {
			if r.Phase == ports.PhaseReady && r.Running == 0 && r.Queued == 0 {
				e.recorder.IdleAccelerator(r.Model, passed)
				e.meter.IdleAccelerator(r.Model, passed)
			}
		}
	}
}
