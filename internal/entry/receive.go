package entry

import (
	"context"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// receiver answers the messages of other entries.
type receiver struct{ *Entry }

// Gossip hands what another entry knows to the membership part.
func (r receiver) Gossip(ctx context.Context, g ports.Gossip) (ports.Gossip, error) {
	return r.parts.gossip.call(ctx, func(id uint64) {
		r.parts.members.Post(member.GossipReceived{ID: id, Gossip: g})
	})
}

// FetchConfig returns patches that this entry knows.
func (r receiver) FetchConfig(ctx context.Context, f ports.FetchConfig) (ports.ConfigDelta, error) {
	return r.parts.fetches.call(ctx, func(id uint64) {
		r.parts.cfglog.Post(cfglog.FetchRequested{ID: id, Fetch: f})
	})
}

// Demand answers for the shards that this entry owns. A demand from another
// zone is passed on within this zone, once: what comes from an entry of the own
// zone is never passed on, so no demand travels in a circle.
func (r receiver) Demand(ctx context.Context, d ports.Demand) (ports.DemandReply, error) {
	if d.Zone != r.self.Zone {
		d.Zone = r.self.Zone
		return r.demandHere(ctx, d)
	}
	reply := ports.DemandReply{Status: ports.DemandElsewhere, Reason: "no shard that could load the model is owned here"}
	for _, shard := range r.shardOrder(d.Model) {
		if !r.owns(shard) {
			continue
		}
		answer, err := r.demandShard(ctx, shard, d)
		if err != nil {
			return ports.DemandReply{}, trace.Wrap(err)
		}
		if link.IsFinal(answer) {
			return answer, nil
		}
		reply = answer
	}
	return reply, nil
}

// PullTable answers from the own shards, or for other zones from the whole zone.
func (r receiver) PullTable(ctx context.Context, p ports.PullTable) (ports.TableDelta, error) {
	if p.Summary {
		return r.zone.Pull(ctx, p), nil
	}
	return r.own.Pull(ctx, p), nil
}

// YieldPermit gives permits back if this entry owns the shard.
func (r receiver) YieldPermit(ctx context.Context, y ports.YieldPermit) (ports.YieldReply, error) {
	for n, s := range r.parts.shards {
		if permit.ShardName(r.self.Zone, n) == y.Shard {
			return r.parts.yields.call(ctx, func(id uint64) {
				s.loop.Post(owner.YieldAsked{ID: id, Yield: y})
			})
		}
	}
	return ports.YieldReply{}, trace.NotFound("shard %s is not one of zone %s", y.Shard, r.self.Zone)
}

// TargetNews takes what another entry saw of a target.
func (r receiver) TargetNews(_ context.Context, n ports.TargetNews) error {
	r.takeNews(n)
	return nil
}

// takeNews acts on what this or another entry saw of a target.
func (e *Entry) takeNews(n ports.TargetNews) {
	if n.Drain != ports.DrainNone {
		e.drainOwn(n.Target, n.Drain)
		return
	}
	if n.Leaving {
		e.table.MarkLeaving(n.Target)
	}
	e.parts.toShards(owner.NewsArrived{News: n})
}

// tellZone sends a message to those other entries of the zone that to accepts,
// and waits for no answer.
func (e *Entry) tellZone(msg ports.PeerMessage, to func(ports.MemberPhase) bool) {
	for _, m := range e.members() {
		if m.Zone == e.self.Zone && m.ID != e.self.ID && to(m.Phase) {
			e.peers.Send(m.Addr, msg, func(ports.PeerReply) {})
		}
	}
}

// present tells whether a member may still be there.
func present(phase ports.MemberPhase) bool {
	return phase != ports.MemberGone
}

// alive tells whether a member answers and stays.
func alive(phase ports.MemberPhase) bool {
	return phase == ports.MemberAlive
}

// HandOver tells the parts of free shards to look at once.
func (r receiver) HandOver(_ context.Context, h ports.HandOver) error {
	for _, shard := range h.Shards {
		if shard >= 0 && shard < len(r.parts.shards) {
			r.parts.shards[shard].loop.Post(owner.HandOverArrived{})
		}
	}
	return nil
}

// TellCounts keeps what another entry has counted.
func (r receiver) TellCounts(ctx context.Context, t ports.TellCounts) (ports.TellReply, error) {
	answer, err := r.parts.tells.call(ctx, func(id uint64) {
		r.parts.keeper.Post(daily.TellArrived{ID: id, Tell: t})
	})
	if err != nil {
		return ports.TellReply{}, trace.Wrap(err)
	}
	return answer.Reply, trace.Wrap(answer.Err)
}
