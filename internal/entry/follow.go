package entry

import (
	"context"
	"net/netip"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

const (
	// pullWait is how long another entry may hold a pull without news.
	pullWait = 10 * time.Second
	// pullRetry is the pause after a pull that failed.
	pullRetry = 500 * time.Millisecond
	// ownSource names the entry's own shards as a source of the routing table.
	ownSource = "self"
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
	abroad := make(map[netip.AddrPort]string)
	for _, row := range rows {
		switch {
		case row.Kind == ports.InstanceEntry:
			entries = append(entries, row)
		case row.Kind == ports.InstanceTarget && row.Zone == e.self.Zone:
			targets = append(targets, row)
		case row.Kind == ports.InstanceTarget:
			abroad[row.Addr] = row.Zone
		}
	}
	e.view.entries.Store(&entries)
	e.view.targets.Store(&targets)
	e.learnRegions(rows, e.members())
	e.view.abroad.Store(&abroad)
	e.announced.retain(e.listedTarget)
	e.table.ApplyInstances(rows)
	e.warmup.sawList()
	e.parts.members.Post(member.ListChanged{Instances: entries})
	e.parts.toShards(owner.TargetsChanged{Targets: targets})
}

// tableChanged takes the rows of an own shard into the feed for the others and
// into the own routing table.
func (e *Entry) tableChanged(n owner.TableChanged) {
	if n.Whole {
		e.own.ReplaceWhere(func(r ports.Replica) bool { return r.Shard == n.Shard }, n.Replicas)
		e.own.Change(nil, n.Removed)
		return
	}
	e.own.Change(n.Replicas, n.Removed)
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
	failed := 0
	for ctx.Err() == nil {
		asking, end := e.pulls.begin(ctx, name)
		answer, err := e.peers.Ask(asking, s.member.Addr, pull)
		end()
		delta, ok := answer.(ports.TableDelta)
		if err != nil || !ok {
			e.log.Debug().Err(err).Str("step", "pullTable").Str("peer", s.member.ID).Msg("pulling a routing table")
			if ctx.Err() != nil {
				return
			}
			failed++
			e.failedPull(name, failed)
			e.sleep(ctx, pullRetry)
			continue
		}
		if ctx.Err() != nil {
			return
		}
		failed = 0
		e.heardOf(name)
		pull.Stream, pull.After = delta.Stream, delta.Seq
		e.took(name, delta)
	}
}

// took applies a delta to the routing table and, for rows of the own zone, to
// the feed that other zones and the status follow; the feed comes first, so that
// a replica that has served somebody is in the status.
func (e *Entry) took(name string, delta ports.TableDelta) {
	if isOwner(name) {
		e.zone.Apply(name, delta)
	}
	if strings.HasPrefix(name, witnessPrefix) {
		e.table.ApplyRepeated(name, delta)
	} else {
		e.table.Apply(name, delta)
	}
	e.warmup.sawSource(name)
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
