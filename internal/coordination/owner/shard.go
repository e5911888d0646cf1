package owner

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/place"
	"chivecroft.example/chivecroft/internal/coordination/policy"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// stage is the state of this entry's ownership of the shard.
type stage string

const (
	stageWatching  stage = "watching"
	stageTaking    stage = "taking"
	stageOwned     stage = "owned"
	stageReleasing stage = "releasing"
	stageStopped   stage = "stopped"
)

// Shard is the coordination part that runs one shard of targets.
type Shard struct {
	settings Settings
	policies policy.Set
	random   *rand.Rand

	// now and effects are the time and the result of the current step.
	now     time.Time
	effects []ports.Effect
	// answeredTarget is the target whose reply to an order is the current event, and
	// changeBeforeStep the plan's last change before the step.
	answeredTarget   string
	changeBeforeStep uint64
	// sortedTargets caches the sorted IDs of targets.
	sortedTargets []string
	// reviewDue means that the periodic reviews run in this step.
	reviewDue bool

	lastTag       ports.Tag
	lastNonce     uint64
	replyHandlers map[ports.Tag]func(ports.Event)

	config *config.Config
	// largestAdapter is the memory in bytes of each model's largest adapter.
	largestAdapter map[string]uint64

	members   map[string]ports.Member
	instances map[string]ports.Instance

	stage stage
	// term counts the beginnings and ends of ownership. Replies to calls of an earlier
	// term are ignored.
	term      uint64
	stopping  bool
	watch     watchState
	ownership ownership
	writer    planWriter
	handover  handover
	outage    outage

	targets      map[string]*target
	models       map[string]*model
	adapterQueue adapterQueue
	// demandedModels are the models that callers wait for.
	demandedModels map[string]bool
	home           home
	pendingDemands []pendingDemand
	permits        permits
	table          table
	// senders are the former owners that gossip was searched for in this term.
	senders map[string]senderRecord

	lastReplica uint64
}

// New returns a Shard that does not own its shard yet.
func New(settings Settings, policies policy.Set, random *rand.Rand) *Shard {
	s := &Shard{
		settings:       settings.withDefaults(),
		policies:       policies,
		random:         random,
		replyHandlers:  make(map[ports.Tag]func(ports.Event)),
		members:        make(map[string]ports.Member),
		instances:      make(map[string]ports.Instance),
		stage:          stageWatching,
		models:         make(map[string]*model),
		demandedModels: make(map[string]bool),
	}
	s.resetOwnership()
	return s
}

// Step handles one event and returns the resulting effects.
func (s *Shard) Step(now time.Time, ev ports.Event) []ports.Effect {
	s.now = now
	s.effects = nil
	s.answeredTarget = ""
	s.changeBeforeStep = s.writer.lastChange
	s.handle(ev)
	s.act()
	return s.effects
}

func (s *Shard) handle(ev ports.Event) {
	switch e := ev.(type) {
	case Start:
		s.scheduleFirstCheck()
	case ConfigChanged:
		s.changeConfig(e.Config)
	case MembersChanged:
		s.changeMembers(e.Members)
	case TargetsChanged:
		s.changeTargets(e.Targets)
	case DemandAsked:
		s.handleDemand(e)
	case YieldAsked:
		s.handleYield(e)
	case NewsArrived:
		s.handleTargetNews(e.News)
	case DrainTarget:
		s.handleDrain(e)
	case HandOverArrived:
		s.watch.checkAt = s.now
	case StopAsked:
		s.stop()
	case ports.KVDone:
		s.resume(e.Tag, e)
	case ports.OrderDone:
		s.resume(e.Tag, e)
	case ports.PeerDone:
		s.resume(e.Tag, e)
	case ports.TimerFired:
		s.resume(e.Tag, e)
	}
}

// act does what the state now requires. All decisions are made here, so that they depend
// on the state alone and not on the event that led to it.
func (s *Shard) act() {
	s.expireSlotRequests()
	switch s.stage {
	case stageWatching:
		s.checkIfDue()
	case stageOwned:
		s.renew()
		s.reviewModels()
		s.reviewPermits()
		s.writePlan()
		s.sendOrders()
		s.publishTable()
		s.rebalance()
	case stageReleasing:
		s.continueRelease()
	}
	s.answerDemands()
}

func (s *Shard) scheduleFirstCheck() {
	s.watch.checkAt = s.now.Add(firstCheckDelay + s.jitter(firstCheckDelay))
	s.tick()
}

// firstCheckDelay lets gossip arrive before the first check, and spreads the reads of a
// zone whose entries start at the same time.
const firstCheckDelay = 300 * time.Millisecond

func (s *Shard) tick() {
	if s.stage == stageStopped {
		return
	}
	s.reviewDue = true
	s.after(s.settings.Tick, s.tick)
}

func (s *Shard) resume(tag ports.Tag, ev ports.Event) {
	f := s.replyHandlers[tag]
	delete(s.replyHandlers, tag)
	if f != nil {
		f(ev)
	}
}

func (s *Shard) registerReply(f func(ports.Event)) ports.Tag {
	s.lastTag++
	s.replyHandlers[s.lastTag] = f
	return s.lastTag
}

// kv calls the KV service. The reply is dropped if ownership began or ended in the
// meantime.
func (s *Shard) kv(req ports.KVRequest, then func(ports.KVReply)) {
	term := s.term
	tag := s.registerReply(func(ev ports.Event) {
		reply := ev.(ports.KVDone).Reply
		s.trackOutage(reply.Status)
		if s.term == term {
			then(reply)
		}
	})
	s.emit(ports.KVCall{Tag: tag, Req: req})
}

func (s *Shard) peer(to ports.Member, msg ports.PeerMessage, then func(ports.PeerReply)) {
	term := s.term
	tag := s.registerReply(func(ev ports.Event) {
		if s.term == term {
			then(ev.(ports.PeerDone).Reply)
		}
	})
	s.emit(ports.PeerCall{Tag: tag, To: to.Addr, Msg: msg})
}

func (s *Shard) after(d time.Duration, then func()) {
	tag := s.registerReply(func(ports.Event) { then() })
	s.emit(ports.ArmTimer{Tag: tag, After: d})
}

func (s *Shard) emit(e ports.Effect) {
	s.effects = append(s.effects, e)
}

func (s *Shard) notify(value any) {
	s.emit(ports.Note{Value: value})
}

func (s *Shard) report(kind EventKind, subject, format string, args ...any) {
	s.notify(Happened{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
}

func (s *Shard) jitter(d time.Duration) time.Duration {
	return time.Duration(s.random.Int64N(int64(d) + 1))
}

func (s *Shard) key() string {
	return fmt.Sprintf("%s%d", s.keyPrefix(), s.settings.Shard)
}

func (s *Shard) keyPrefix() string {
	return fmt.Sprintf("zone/%s/shard/", s.settings.Zone)
}

// ledgerName returns the shard's name in the permit ledger.
func (s *Shard) ledgerName() string {
	return permit.ShardName(s.settings.Zone, s.settings.Shard)
}

// resetOwnership drops all state of the current ownership term and begins a new term.
func (s *Shard) resetOwnership() {
	s.rejectYields()
	s.term++
	s.answeredTarget = ""
	s.ownership = ownership{}
	s.writer = planWriter{attempts: make(map[string]writeAttempt)}
	s.targets = make(map[string]*target)
	s.sortedTargets = nil
	s.adapterQueue = newAdapterQueue()
	s.permits = newPermits()
	s.senders = make(map[string]senderRecord)
	s.table = table{rows: make(map[string]ports.Replica)}
	for _, m := range s.models {
		m.reset()
	}
}

// changeTargets takes over the zone's instance list and keeps the targets of this shard.
func (s *Shard) changeTargets(rows []ports.Instance) {
	s.instances = make(map[string]ports.Instance)
	for _, row := range rows {
		if place.ShardOf(row.ID, s.settings.ShardCount) == s.settings.Shard {
			s.instances[row.ID] = row
		}
	}
	if s.stage == stageOwned {
		s.syncInstances()
	}
}

// targetIDs returns the IDs of the shard's targets in order.
func (s *Shard) targetIDs() []string {
	if len(s.sortedTargets) != len(s.targets) {
		s.sortedTargets = slices.Sorted(maps.Keys(s.targets))
	}
	return s.sortedTargets
}

// targetsToReview returns the targets that a step has to look at: the one that answered
// an order if nothing else changed, else all.
//
// Most steps handle a report that changes nothing, one for each target in each interval.
// If each of these steps looked at all targets, the cost of a shard would grow with the
// square of its number of targets.
func (s *Shard) targetsToReview() []string {
	if s.answeredTarget != "" && s.writer.lastChange == s.changeBeforeStep {
		return []string{s.answeredTarget}
	}
	return s.targetIDs()
}

func (s *Shard) changeConfig(c *config.Config) {
	if s.config != nil && c.Version < s.config.Version {
		return
	}
	old := s.config
	s.config = c
	s.largestAdapter = largestAdapters(c)
	s.assignHomeModels(true)
	if s.stage == stageOwned {
		s.markChangedLimits(old)
	}
}
