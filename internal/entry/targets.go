package entry

import (
	"context"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/shard"
)

const (
	// targetsEvery is how often cache events and load reports are read.
	targetsEvery = time.Second
	// targetsKept is how long after its last request a target is followed.
	targetsKept = 10 * time.Second
	// targetsMost bounds the targets that are read in one round.
	targetsMost = 8
	// targetTimeout bounds one read.
	targetTimeout = 2 * time.Second
)

// usedTargets are the targets that this entry has sent requests to lately. Only
// those are followed: if every entry read every target of its zone, the reads
// would grow with the product of both.
type usedTargets struct {
	last *shard.Map[netip.AddrPort, time.Time]
}

func newUsedTargets() *usedTargets {
	return &usedTargets{last: shard.NewMap[netip.AddrPort, time.Time]()}
}

// use notes a request to a target.
func (u *usedTargets) use(at netip.AddrPort, now time.Time) {
	u.last.Put(at, now)
}

// recent returns some of the targets used lately and forgets the others.
func (u *usedTargets) recent(now time.Time) []netip.AddrPort {
	var recent, old []netip.AddrPort
	u.last.Each(func(at netip.AddrPort, last time.Time) bool {
		if now.Sub(last) > targetsKept {
			old = append(old, at)
		} else if len(recent) < targetsMost {
			recent = append(recent, at)
		}
		return true
	})
	for _, at := range old {
		u.last.Delete(at)
	}
	return recent
}

// followTargets reads cache events and load reports of the targets in use.
func (e *Entry) followTargets(ctx context.Context) {
	for e.sleep(ctx, targetsEvery) {
		names := make(map[netip.AddrPort]string)
		for _, t := range *e.view.targets.Load() {
			names[t.Addr] = t.ID
		}
		for _, at := range e.used.recent(e.timer.Now()) {
			if name, ok := names[at]; ok {
				e.readTarget(ctx, at, name)
			}
		}
	}
}

func (e *Entry) readTarget(ctx context.Context, at netip.AddrPort, name string) {
	ctx, cancel := context.WithTimeout(ctx, targetTimeout)
	defer cancel()
	report, err := e.engines.Load(ctx, at)
	if err != nil {
		e.log.Debug().Err(err).Str("step", "load").Str("peer", name).Msg("reading a load report")
		return
	}
	e.table.ApplyLoad(name, report.Leaving, report.Age, loadsOf(report))
	if report.Leaving {
		e.tellLeaving(name)
	}
	events, err := e.engines.Events(ctx, at, e.table.EventsAfter(name))
	if err != nil {
		e.log.Debug().Err(err).Str("step", "events").Str("peer", name).Msg("reading cache events")
		return
	}
	e.table.ApplyEvents(eventsOf(name, events))
}

// tellLeaving announces to the zone's entries once that a target is leaving, which they
// would otherwise learn later from the list.
func (e *Entry) tellLeaving(name string) {
	if !e.announced.add(name) {
		return
	}
	e.takeNews(ports.TargetNews{Target: name, Leaving: true})
	e.tellZone(ports.TargetNews{Target: name, Leaving: true}, present)
}

func loadsOf(report wire.LoadReport) []route.Load {
	loads := make([]route.Load, 0, len(report.Replicas))
	for _, r := range report.Replicas {
		loads = append(loads, route.Load{Replica: r.Replica, Running: r.Running, Queued: r.Queued})
	}
	return loads
}

func eventsOf(target string, in wire.CacheEvents) route.CacheEvents {
	out := route.CacheEvents{Target: target, Boot: in.Boot, First: in.First, Last: in.Last}
	for _, ev := range in.Events {
		out.Events = append(out.Events, route.CacheEvent(ev))
	}
	return out
}
