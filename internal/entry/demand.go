package entry

import (
	"context"
	"slices"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// demand finds the shard that can load a model. The zones are asked in an order
// that depends on the model and the members alone, so that a burst of first
// requests at entries of all zones meets at one owner and makes one load; a zone
// that does not answer or has no place is passed over. Zones that would fetch
// the checkpoint over the link between regions come last (link.Steps).
//
// For example the zones of menu-7b may be pam-a, bul-a, bul-b. Eight entries
// that get its first requests at once all ask pam-a. While pam-a is cut off, the
// entries that see it so ask bul-a, and pam-a's own ask pam-a: each side loads
// within the permits that its shards hold.
func (e *Entry) demand(ctx context.Context, d ports.Demand) (ports.DemandReply, error) {
	d.From = e.self.ID
	d.Zone = e.self.Zone
	var best ports.DemandReply
	var failed error
	answered := false
	near := asked{}
	for _, step := range link.Steps(d.Model, e.self, e.members(), e.settings.Platform.StoreRegion) {
		if step.Load == ports.LoadAcross && near.failed {
			// A silence is no lack of room: the link may be cut, and the load with it.
			continue
		}
		d.Load = step.Load
		reply, err := e.demandIn(ctx, step.Zone, d)
		if err != nil {
			failed = err
			near.failed = near.failed || step.Load == ports.LoadAnywhere
			continue
		}
		near.answered = near.answered || step.Load == ports.LoadAnywhere
		if settled(reply) {
			return reply, nil
		}
		answered = true
		best = better(best, reply)
	}
	if !answered {
		return best, trace.Wrap(failed)
	}
	return link.OrCutOff(best, e.cutOff(near)), nil
}

// asked is what became of asking the zones beside the weight store.
type asked struct{ answered, failed bool }

// cutOff tells whether the region of the weight store is cut off, after a demand
// that asked its zones, if there are any.
func (e *Entry) cutOff(near asked) bool {
	store := e.settings.Platform.StoreRegion
	if store == "" || store == e.self.Region {
		return false
	}
	now := e.timer.Now()
	switch {
	case near.answered:
		e.contact.Answered()
	case near.failed:
		e.contact.Failed(now)
	}
	return e.contact.Lost(now) || link.IsCut(e.self, e.members(), store)
}

// demandIn asks the shards of one zone.
func (e *Entry) demandIn(ctx context.Context, zone string, d ports.Demand) (ports.DemandReply, error) {
	if zone == e.self.Zone {
		return e.demandHere(ctx, d)
	}
	return e.demandThere(ctx, zone, d)
}

// settled tells whether asking another shard could not do better. A shard that
// queues a load and gives a reason found no place for it now.
func settled(r ports.DemandReply) bool {
	return r.Status == ports.DemandAccepted || r.Status == ports.DemandQueued && r.Reason == ""
}

// weight orders the answers that do not settle a demand by what they are worth
// to the caller who waits.
func weight(r ports.DemandReply) int {
	switch r.Status {
	case ports.DemandQueued:
		return 3
	case ports.DemandRefused:
		return 2
	case ports.DemandElsewhere:
		return 1
	}
	return 0
}

// better returns the answer that is worth more, a if both are worth the same.
func better(a, b ports.DemandReply) ports.DemandReply {
	if weight(b) > weight(a) {
		return b
	}
	return a
}

// demandHere asks the shards of the own zone.
func (e *Entry) demandHere(ctx context.Context, d ports.Demand) (ports.DemandReply, error) {
	var best ports.DemandReply
	var err error = trace.ConnectionProblem(nil, "no shard of zone %s has an owner", e.self.Zone)
	for _, shard := range e.shardOrder(d.Model) {
		reply, errShard := e.demandShard(ctx, shard, d)
		if errShard != nil {
			continue
		}
		if settled(reply) {
			return reply, nil
		}
		best = better(best, reply)
		err = nil
	}
	return best, err
}

// shardOrder is the order in which the zone's shards are asked for a model.
func (e *Entry) shardOrder(model string) []int {
	names := make([]string, e.settings.Control.Shards)
	numbers := make(map[string]int, len(names))
	for n := range names {
		names[n] = permit.ShardName(e.self.Zone, n)
		numbers[names[n]] = n
	}
	order := make([]int, 0, len(names))
	for _, name := range member.Choose(names, "model/"+model, len(names)) {
		order = append(order, numbers[name])
	}
	return order
}

// demandShard asks one shard's owner, which may be this entry.
func (e *Entry) demandShard(ctx context.Context, shard int, d ports.Demand) (ports.DemandReply, error) {
	if e.owns(shard) {
		return e.parts.demands.ask(ctx, func(id uint64) {
			e.parts.shards[shard].loop.Post(owner.DemandAsked{ID: id, Demand: d})
		})
	}
	for _, m := range e.members() {
		if m.Zone == e.self.Zone && m.ID != e.self.ID && m.Phase == ports.MemberAlive && slices.Contains(m.Shards, shard) {
			return e.askDemand(ctx, m, d)
		}
	}
	return ports.DemandReply{}, trace.ConnectionProblem(nil, "shard %d of zone %s has no owner", shard, e.self.Zone)
}

// demandThere asks an entry of another zone, which passes it on to its owners.
func (e *Entry) demandThere(ctx context.Context, zone string, d ports.Demand) (ports.DemandReply, error) {
	var err error = trace.ConnectionProblem(nil, "no entry of zone %s is known", zone)
	for _, m := range e.members() {
		if m.Zone != zone || m.Phase != ports.MemberAlive {
			continue
		}
		var reply ports.DemandReply
		if reply, err = e.askDemand(ctx, m, d); err == nil {
			return reply, nil
		}
	}
	return ports.DemandReply{}, err
}

func (e *Entry) askDemand(ctx context.Context, m ports.Member, d ports.Demand) (ports.DemandReply, error) {
	answer, err := e.peers.Ask(ctx, m.Addr, d)
	if err != nil {
		return ports.DemandReply{}, trace.Wrap(err, "demand for %s at %s", d.Model, m.ID)
	}
	reply, ok := answer.(ports.DemandReply)
	if !ok {
		return ports.DemandReply{}, trace.BadParameter("demand for %s: %s answered with %T", d.Model, m.ID, answer)
	}
	if reply.Status == ports.DemandAccepted {
		e.expectNews(m)
	}
	return reply, nil
}

func (e *Entry) owns(shard int) bool {
	e.parts.mu.Lock()
	defer e.parts.mu.Unlock()
	return e.parts.owned[shard]
}
