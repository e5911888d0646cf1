package entry

import (
	"math/rand/v2"
	"slices"
	"sync"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/owner"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// parts are the coordination parts of an entry with their loops.
type parts struct {
	members *drive.Loop
	cfglog  *drive.Loop
	writer  *drive.Loop
	reader  *drive.Loop
	pruner  *drive.Loop
	keeper  *drive.Loop
	shards  []*shardPart

	gossip  *pendingCalls[ports.Gossip]
	patches *pendingCalls[cfglog.PatchAnswered]
	fetches *pendingCalls[ports.ConfigDelta]
	reads   *pendingCalls[cfglog.ReadAnswered]
	history *pendingCalls[cfglog.HistoryAnswered]
	demands *pendingCalls[ports.DemandReply]
	yields  *pendingCalls[ports.YieldReply]
	days    *pendingCalls[daily.Report]
	tells   *pendingCalls[daily.TellAnswered]

	stopped *stopCount

	mu    sync.Mutex
	owned map[int]bool
	phase ports.MemberPhase
}

// shardPart is the part that runs one shard, when this entry owns it.
type shardPart struct {
	part *owner.Shard
	loop *drive.Loop
}

// stopCount closes done when the last of n stops has been noted.
type stopCount struct {
	mu   sync.Mutex
	left int
	done chan struct{}
}

func (s *stopCount) one() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.left--
	if s.left == 0 {
		close(s.done)
	}
}

func (e *Entry) newParts(random *rand.Rand) (*parts, error) {
	policies, err := e.policies()
	if err != nil {
		return nil, trace.Wrap(err)
	}
	p := &parts{
		gossip:  newPendingCalls[ports.Gossip](),
		patches: newPendingCalls[cfglog.PatchAnswered](),
		fetches: newPendingCalls[ports.ConfigDelta](),
		reads:   newPendingCalls[cfglog.ReadAnswered](),
		history: newPendingCalls[cfglog.HistoryAnswered](),
		demands: newPendingCalls[ports.DemandReply](),
		yields:  newPendingCalls[ports.YieldReply](),
		days:    newPendingCalls[daily.Report](),
		tells:   newPendingCalls[daily.TellAnswered](),
		owned:   make(map[int]bool),
		phase:   ports.MemberAlive,
	}
	env := e.env()
	loop := func(part ports.Part) *drive.Loop {
		return drive.NewLoop(part, env, drive.WithListener(e.noted))
	}
	fork := func() *rand.Rand { return rand.New(rand.NewPCG(random.Uint64(), random.Uint64())) }
	p.members = loop(member.New(member.Settings{Self: e.self}, fork()))
	p.cfglog = loop(cfglog.New(cfglog.Settings{Self: e.self}, fork()))
	e.writer = daily.NewWriter(daily.Settings{
		Instance: e.self.ID, Incarnation: e.self.Incarnation, Zone: e.self.Zone, Location: e.settings.Entry.Location,
	}, e.recorder, fork())
	p.writer = loop(e.writer)
	e.telling = daily.NewTelling(daily.NewTeller(e.self, e.writer.Nonce(), e.recorder), env, daily.WithLeft(func(n daily.Left) {
		e.log.Info().Str("neighbour", n.Neighbour).Msg("neighbour left")
	}))
	p.keeper = loop(daily.NewKeeper())
	p.pruner = loop(daily.NewPruner(e.settings.Entry.Location, e.settings.Entry.DaysKept, fork()))
	p.reader = loop(daily.NewReader(e.settings.Entry.Location, daily.DefaultGoals()))
	for n := range e.settings.Control.Shards {
		shard := owner.New(e.shardSettings(n), policies, fork())
		p.shards = append(p.shards, &shardPart{part: shard, loop: loop(shard)})
	}
	e.claims = dedup.NewDriver(dedup.New(dedup.Settings{
		Self: e.self.ID, Incarnation: e.self.Incarnation, Retention: e.settings.Requests.OutcomeKept,
	}, fork()), env)
	p.stopped = &stopCount{left: len(p.shards) + 1, done: make(chan struct{})}
	return p, nil
}

func (e *Entry) env() ports.Env {
	return ports.Env{
		KV:     countedKV{kv: e.kv, meter: e.meter},
		List:   e.kv,
		Engine: e.engines,
		Peers:  e.peers,
		Timer:  e.timer,
	}
}

func (e *Entry) policies() (policy.Set, error) {
	s := e.settings.Policy
	if s.Plain {
		return policy.Plain(policy.WithKeepAlive(s.KeepAlive)), nil
	}
	weights := policy.Weights{ColdStart: s.ColdStartWeight, IdleHours: s.IdleHoursWeight}
	set, err := policy.New(weights, policy.WithKeepAlive(s.KeepAlive))
	return set, trace.Wrap(err)
}

func (e *Entry) shardSettings(n int) owner.Settings {
	return owner.Settings{
		Self:         e.self,
		Zone:         e.self.Zone,
		Region:       e.self.Region,
		Shard:        n,
		ShardCount:   e.settings.Control.Shards,
		LeaseTTL:     e.settings.Platform.LeaseTTL,
		ReportEvery:  e.settings.Platform.ReportInterval,
		StoreSlots:   e.settings.Platform.StoreSlots,
		AdapterLoads: max(1, e.settings.Platform.AdapterLoads/e.settings.Control.Shards),
		StoreRegion:  e.settings.Platform.StoreRegion,

		LinkBytesPerSecond: e.linkSettings().BytesPerSecond(),
	}
}

func (e *Entry) linkSettings() link.Settings {
	return link.Settings{BitsPerSecond: e.settings.Link.BitsPerSecond, Share: e.settings.Link.Share}
}

func (p *parts) start() {
	p.members.Post(member.Start{})
	p.cfglog.Post(cfglog.Start{})
	p.writer.Post(daily.Start{})
	p.pruner.Post(daily.Start{})
	for _, s := range p.shards {
		s.loop.Post(owner.Start{})
	}
}

func (p *parts) stop() {
	for _, l := range []*drive.Loop{p.members, p.cfglog, p.writer, p.reader, p.pruner, p.keeper} {
		l.Stop()
	}
	for _, s := range p.shards {
		s.loop.Stop()
	}
}

// toShards posts an event to every shard's part.
func (p *parts) toShards(ev ports.Event) {
	for _, s := range p.shards {
		s.loop.Post(ev)
	}
}

// noted passes what a part has reported on to the others. It runs on the goroutine of the
// part's loop and therefore does not block.
func (e *Entry) noted(value any) {
	switch n := value.(type) {
	case member.GossipAnswered:
		e.parts.gossip.resolve(n.ID, n.Gossip)
	case member.ViewChanged:
		e.membersChanged(n.Members)
	case cfglog.ConfigChanged:
		e.configChanged(n.Config)
	case cfglog.PatchAnswered:
		e.parts.patches.resolve(n.ID, n)
	case cfglog.FetchAnswered:
		e.parts.fetches.resolve(n.ID, n.Delta)
	case cfglog.ReadAnswered:
		e.parts.reads.resolve(n.ID, n)
	case cfglog.HistoryAnswered:
		e.parts.history.resolve(n.ID, n)
	case owner.DemandAnswered:
		e.parts.demands.resolve(n.ID, n.Reply)
	case owner.YieldAnswered:
		e.parts.yields.resolve(n.ID, n.Reply)
	case owner.TableChanged:
		e.tableChanged(n)
	case owner.OwnershipChanged:
		e.ownershipChanged(n)
	case daily.ReadDone:
		e.parts.days.resolve(n.ID, n.Report)
	case daily.TellAnswered:
		e.parts.tells.resolve(n.ID, n)
	case owner.Stopped:
		e.tellFree(n.Shard)
		e.parts.stopped.one()
	case daily.Stopped:
		e.parts.stopped.one()
	default:
		e.happened(value)
	}
}

// happened takes note of what operators want to read of.
func (e *Entry) happened(value any) {
	var kind, subject, detail string
	switch n := value.(type) {
	case owner.Happened:
		kind, subject, detail = string(n.Kind), n.Subject, n.Detail
	case cfglog.LogEvent:
		kind, subject, detail = string(n.Kind), n.Subject, n.Detail
	case member.LogEvent:
		kind, subject, detail = n.Kind, n.Subject, n.Detail
	default:
		e.log.Error().Str("step", "note").Msgf("no use for a note of type %T", value)
		return
	}
	e.tellOperators(kind, subject, detail)
}

// tellOperators puts what happened into the log and on the day page.
func (e *Entry) tellOperators(kind, subject, detail string) {
	e.log.Warn().Str("kind", kind).Str("subject", subject).Msg(detail)
	e.recorder.Happened(kind, subject, detail, e.timer.Now())
}

func (e *Entry) membersChanged(members []ports.Member) {
	e.view.members.Store(&members)
	e.learnRegions(nil, members)
	e.link.SetEntries(link.EstimateEntries(e.self, members))
	e.limits.SetEntries(max(1, len(member.AliveIDs(members, e.self.Zone))))
	e.parts.cfglog.Post(cfglog.MembersChanged{Members: members})
	e.parts.writer.Post(daily.MembersChanged{Members: members})
	e.telling.SetMembers(members)
	e.parts.toShards(owner.MembersChanged{Members: e.suspecting(members)})
	e.claims.SetMembers(members)
	select {
	case e.membersNews <- struct{}{}:
	default:
	}
}

func (e *Entry) configChanged(c *config.Config) {
	e.view.config.Store(c)
	e.log.Info().Uint64("configVersion", uint64(c.Version)).Msg("configuration in force")
	e.parts.toShards(owner.ConfigChanged{Config: c})
	e.tellSelf()
}

func (e *Entry) ownershipChanged(n owner.OwnershipChanged) {
	e.parts.mu.Lock()
	e.parts.owned[n.Shard] = n.Owned
	e.parts.mu.Unlock()
	e.log.Info().Int("shard", n.Shard).Bool("owned", n.Owned).Uint64("epoch", uint64(n.Epoch)).Msg("ownership changed")
	if !n.Owned {
		mine := func(r ports.Replica) bool { return r.Shard == n.Shard }
		e.own.ReplaceWhere(mine, nil)
	}
	e.tellSelf()
}

// setPhase changes what the others are told of this entry.
func (e *Entry) setPhase(phase ports.MemberPhase) {
	e.parts.mu.Lock()
	e.parts.phase = phase
	e.parts.mu.Unlock()
	e.tellSelf()
}

func (e *Entry) tellSelf() {
	p := e.parts
	p.mu.Lock()
	self := member.SelfChanged{ConfigVersion: e.config().Version, Phase: p.phase, Shards: ownedShards(p.owned)}
	p.mu.Unlock()
	p.members.Post(self)
}

func ownedShards(owned map[int]bool) []int {
	var shards []int
	for shard, mine := range owned {
		if mine {
			shards = append(shards, shard)
		}
	}
	slices.Sort(shards)
	return shards
}
