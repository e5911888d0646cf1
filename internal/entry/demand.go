package entry

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	// demandPatience is how long a demand waits for those who do not answer. An
	// owner answers within a second also while it waits for the KV service.
	demandPatience = 1500 * time.Millisecond
	// demandHedge is how long an entry of another zone may take over a demand before
	// a second one is asked beside: longer than an owner that has nothing to say yet.
	demandHedge = 1200 * time.Millisecond
	// signHedge is the same for a sign of life, which is given at once.
	signHedge = 300 * time.Millisecond
	// asksMost is how many entries of another zone are asked.
	asksMost = 2
)

// demand finds the shard that can load a model. The zones are asked in an order
// that depends on the model and the members alone, so that a burst of first
// requests at entries of all zones meets at one owner and makes one load; a zone
// that does not answer or has no place is passed over. Zones that would fetch
// the checkpoint over the link between regions come last (link.DemandOrder).
//
// For example the zones of menu-7b may be pam-a, bul-a, bul-b. Eight entries
// that get its first requests at once all ask pam-a. While pam-a is cut off, the
// entries that see it so ask bul-a, and pam-a's own ask pam-a: each side loads
// within the permits that its shards hold.
//
// A zone that is cut off does not say so. The other zones together get no more
// than demandPatience, so that the own one is asked in any case, and whoever did
// not answer is doubtful from then on and asked last.
func (e *Entry) demand(ctx context.Context, d ports.Demand) (ports.DemandReply, error) {
	d.From = e.self.ID
	d.Zone = e.self.Zone
	var best ports.DemandReply
	var failed error
	answered := false
	away, cancel := context.WithTimeout(ctx, demandPatience)
	defer cancel()
	near := asked{}
	for _, step := range e.zoneSteps(d.Model) {
		if step.Load == ports.LoadAcross && near.failed {
			// A silence is no lack of room: the link may be cut, and the load with it.
			continue
		}
		d.Load = step.Load
		reply, err := e.demandIn(ctx, away, step.Zone, d)
		if err != nil {
			failed = err
			near.failed = near.failed || step.Load == ports.LoadAnywhere
			continue
		}
		near.answered = near.answered || step.Load == ports.LoadAnywhere
		if link.IsFinal(reply) {
			return reply, nil
		}
		answered = true
		best = link.BetterReply(best, reply)
	}
	if !answered {
		return best, trace.Wrap(failed)
	}
	return link.RefuseIfCutOff(best, e.storeCutOff(near)), nil
}

// asked is what became of asking the zones beside the weight store.
type asked struct{ answered, failed bool }

// storeCutOff tells whether the region of the weight store is cut off, after a demand
// that asked its zones, if there are any.
func (e *Entry) storeCutOff(near asked) bool {
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
	return e.contact.IsLost(now) || link.IsCut(e.self, e.members(), store)
}

// demandIn asks the shards of one zone; away is for other zones.
func (e *Entry) demandIn(ctx, away context.Context, zone string, d ports.Demand) (ports.DemandReply, error) {
	if zone == e.self.Zone {
		return e.demandHere(ctx, d)
	}
	return e.demandThere(away, zone, d)
}

// demandHere asks the shards of the own zone, those of doubtful owners last.
func (e *Entry) demandHere(ctx context.Context, d ports.Demand) (ports.DemandReply, error) {
	order := last(e.shardOrder(d.Model), func(shard int) bool {
		m, ok := e.ownerOf(shard)
		return ok && e.doubts.has(e.sourceOf(m))
	})
	reply, err := askShards(ctx, order, func(shard int) (ports.DemandReply, error) { return e.demandShard(ctx, shard, d) })
	return reply, trace.Wrap(err, "demand in zone %s", e.self.Zone)
}

// askShards asks shards in turn until an answer settles the demand, and returns
// the best one; it is an error if no shard has answered.
//
// Once ctx has ended nobody waits for the answer any more, and a demand at one more
// shard could make one more load: the entry that asks for another zone asks two
// entries of this one and drops the slower.
func askShards(ctx context.Context, shards []int, ask func(shard int) (ports.DemandReply, error)) (ports.DemandReply, error) {
	var best ports.DemandReply
	var err error = trace.ConnectionProblem(nil, "no shard has an owner that answers")
	for _, shard := range shards {
		if ctx.Err() != nil {
			return best, trace.Wrap(ctx.Err())
		}
		reply, errShard := ask(shard)
		if errShard != nil {
			continue
		}
		if link.IsFinal(reply) {
			return reply, nil
		}
		best = link.BetterReply(best, reply)
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
	for _, name := range member.PickByHash(names, "model/"+model, len(names)) {
		order = append(order, numbers[name])
	}
	return order
}

// demandShard asks one shard's owner, which may be this entry.
func (e *Entry) demandShard(ctx context.Context, shard int, d ports.Demand) (ports.DemandReply, error) {
	if e.owns(shard) {
		return e.parts.demands.call(ctx, func(id uint64) {
			e.parts.shards[shard].loop.Post(owner.DemandAsked{ID: id, Demand: d})
		})
	}
	m, ok := e.ownerOf(shard)
	if !ok {
		return ports.DemandReply{}, trace.ConnectionProblem(nil, "shard %d of zone %s has no owner", shard, e.self.Zone)
	}
	ctx, cancel := context.WithTimeout(ctx, demandPatience)
	defer cancel()
	began := e.timer.Now()
	reply, err := e.askDemand(ctx, m, d)
	e.answered(ctx, e.sourceOf(m), began, err)
	return reply, trace.Wrap(err)
}

// ownerOf returns the living entry of the own zone, other than this one, that
// says it owns a shard. Of several it is one that is not doubted: the word of an
// owner that died goes on for a while beside its successor's.
func (e *Entry) ownerOf(shard int) (ports.Member, bool) {
	var found ports.Member
	for _, m := range e.members() {
		if m.Zone != e.self.Zone || m.ID == e.self.ID || m.Phase != ports.MemberAlive || !slices.Contains(m.Shards, shard) {
			continue
		}
		if !e.doubts.has(e.sourceOf(m)) {
			return m, true
		}
		found = m
	}
	return found, found.ID != ""
}

// answered notes whether a source had an answer to a demand. That it had none in
// what others had left of the time, or before the asker went away, says nothing.
func (e *Entry) answered(ctx context.Context, source string, began time.Time, err error) {
	switch {
	case err == nil:
		e.heardOf(source)
	case errors.Is(ctx.Err(), context.Canceled):
	case ctx.Err() == nil || e.timer.Now().Sub(began) > demandHedge:
		e.doubt(source)
	}
}

// demandThere asks entries of another zone, which pass it on to their owners: a
// second one beside the first if that fails or takes long, since one of them may
// have died.
func (e *Entry) demandThere(ctx context.Context, zone string, d ports.Demand) (ports.DemandReply, error) {
	members := e.membersOf(zone)
	if len(members) == 0 {
		return ports.DemandReply{}, trace.ConnectionProblem(nil, "no entry of zone %s is known", zone)
	}
	began := e.timer.Now()
	reply, err := askInTurn(ctx, e.timer, demandHedge, members, func(ctx context.Context, m ports.Member) (ports.DemandReply, error) {
		return e.askDemand(ctx, m, d)
	})
	e.answered(ctx, e.sourceOf(members[0]), began, err)
	return reply, trace.Wrap(err)
}

// membersOf are the entries of another zone that this one asks.
func (e *Entry) membersOf(zone string) []ports.Member {
	known := make(map[string]ports.Member)
	var ids []string
	for _, m := range e.members() {
		if m.Zone == zone && m.Phase == ports.MemberAlive {
			known[m.ID] = m
			ids = append(ids, m.ID)
		}
	}
	var members []ports.Member
	for _, id := range member.PickByHash(ids, "ask/"+e.self.ID, asksMost) {
		members = append(members, known[id])
	}
	return members
}

// askInTurn returns the first answer of members, each of which is asked when the
// one before has failed or kept silent for hedge.
func askInTurn[T any](
	ctx context.Context, clock timer.Service, hedge time.Duration, members []ports.Member,
	ask func(context.Context, ports.Member) (T, error),
) (T, error) {
	type answer struct {
		reply T
		err   error
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan answer, len(members))
	late := make(chan struct{}, 1)
	defer clock.After(hedge, func() { late <- struct{}{} })()
	asked := 0
	next := func() {
		if asked == len(members) {
			return
		}
		m := members[asked]
		asked++
		go func() {
			reply, err := ask(ctx, m)
			answers <- answer{reply, err}
		}()
	}
	next()
	for failed := 0; ; {
		select {
		case <-late:
			next()
		case a := <-answers:
			if a.err != nil {
				failed++
			}
			if a.err == nil || failed == len(members) {
				return a.reply, a.err
			}
			next()
		}
	}
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

// zoneSteps are the zones to ask for a model and the loads that they may begin.
// Doubtful zones come last among those that may begin the same loads: a silent
// zone beside the weight store is still asked before a load over the link, which
// may be cut as well.
func (e *Entry) zoneSteps(model string) []link.DemandStep {
	steps := link.DemandOrder(model, e.self, e.members(), e.settings.Platform.StoreRegion)
	doubtful := func(s link.DemandStep) bool { return e.doubts.has(zonePrefix + s.Zone) }
	ordered := make([]link.DemandStep, 0, len(steps))
	for len(steps) > 0 {
		same := 1
		for same < len(steps) && steps[same].Load == steps[0].Load {
			same++
		}
		ordered = append(ordered, last(steps[:same], doubtful)...)
		steps = steps[same:]
	}
	return ordered
}
