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

// stage is where this entry stands with the shard.
type stage string

const (
	stageWatching  stage = "watching"
	stageTaking    stage = "taking"
	stageOwned     stage = "owned"
	stageReleasing stage = "releasing"
	stageStopped   stage = "stopped"
)

// Shard is the part that runs one shard of targets.
type Shard struct {
	settings Settings
	policies policy.Set
	random   *rand.Rand

	// now and out belong to the step under way.
	now time.Time
	out []ports.Effect
	// answered is the target whose order's answer is the event, and seenChange
	// the journal's last change before it.
	answered   string
	seenChange uint64
	// ids caches the targets' order.
	ids []string
	// ticked means that the slow reviews are due.
	ticked bool

	lastTag   ports.Tag
	lastNonce uint64
	waiting   map[ports.Tag]func(ports.Event)

	config *config.Config
	// adapterRoom is the size of each model's largest adapter.
	adapterRoom map[string]uint64

	members map[string]ports.Member
	listed  map[string]ports.Instance

	stage stage
	// tenure grows whenever ownership begins or ends; replies to calls of
	// another tenure are ignored.
	tenure   uint64
	stopping bool
	watch    watching
	session  session
	journal  journal
	handover handover
	outage   outage

	targets map[string]*target
	models  map[string]*model
	awaited awaited
	// demanded are the models that callers wait for.
	demanded map[string]bool
	home     home
	asks     []ask
	permits  permits
	table    table
	// senders are the former owners heard of in this tenure.
	senders map[string]heard

	lastReplica uint64
}

// New returns a shard's part that does not own the shard yet.
func New(settings Settings, policies policy.Set, random *rand.Rand) *Shard {
	s := &Shard{
		settings: settings.withDefaults(),
		policies: policies,
		random:   random,
		waiting:  make(map[ports.Tag]func(ports.Event)),
		members:  make(map[string]ports.Member),
		listed:   make(map[string]ports.Instance),
		stage:    stageWatching,
		models:   make(map[string]*model),
		demanded: make(map[string]bool),
	}
	s.forget()
	return s
}

// Step takes one event and returns what is to be done.
func (s *Shard) Step(now time.Time, ev ports.Event) []ports.Effect {
	s.now = now
	s.out = nil
	s.answered = ""
	s.seenChange = s.journal.changed
	s.handle(ev)
	s.work()
	return s.out
}

func (s *Shard) handle(ev ports.Event) {
	switch e := ev.(type) {
	case Start:
		s.start()
	case ConfigChanged:
		s.changeConfig(e.Config)
	case MembersChanged:
		s.changeMembers(e.Members)
	case TargetsChanged:
		s.changeTargets(e.Targets)
	case DemandAsked:
		s.takeDemand(e)
	case YieldAsked:
		s.takeYield(e)
	case NewsArrived:
		s.takeNews(e.News)
	case DrainTarget:
		s.drain(e)
	case HandOverArrived:
		s.watch.lookAt = s.now
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

// work does whatever the state now calls for; all decisions are made here, so
// that they depend on the state alone and not on the event that led to it.
func (s *Shard) work() {
	s.expireWishes()
	switch s.stage {
	case stageWatching:
		s.watchOver()
	case stageOwned:
		s.renew()
		s.reviewModels()
		s.reviewPermits()
		s.writePlan()
		s.sendOrders()
		s.publish()
		s.rebalance()
	case stageReleasing:
		s.release()
	}
	s.answerDemands()
}

func (s *Shard) start() {
	s.watch.lookAt = s.now.Add(startDelay + s.jitter(startDelay))
	s.tick()
}

// startDelay gives gossip a moment, and spreads the reads of a zone that starts at once.
const startDelay = 300 * time.Millisecond

func (s *Shard) tick() {
	if s.stage == stageStopped {
		return
	}
	s.ticked = true
	s.after(s.settings.Tick, s.tick)
}

func (s *Shard) resume(tag ports.Tag, ev ports.Event) {
	f := s.waiting[tag]
	delete(s.waiting, tag)
	if f != nil {
		f(ev)
	}
}

func (s *Shard) expect(f func(ports.Event)) ports.Tag {
	s.lastTag++
	s.waiting[s.lastTag] = f
	return s.lastTag
}

// kv calls the KV service; the reply is dropped if ownership began or ended meanwhile.
func (s *Shard) kv(req ports.KVRequest, then func(ports.KVReply)) {
	tenure := s.tenure
	tag := s.expect(func(ev ports.Event) {
		reply := ev.(ports.KVDone).Reply
		s.noteKV(reply.Status)
		if s.tenure == tenure {
			then(reply)
		}
	})
	s.emit(ports.KVCall{Tag: tag, Req: req})
}

func (s *Shard) peer(to ports.Member, msg ports.PeerMessage, then func(ports.PeerReply)) {
	tenure := s.tenure
	tag := s.expect(func(ev ports.Event) {
		if s.tenure == tenure {
			then(ev.(ports.PeerDone).Reply)
		}
	})
	s.emit(ports.PeerCall{Tag: tag, To: to.Addr, Msg: msg})
}

func (s *Shard) after(d time.Duration, then func()) {
	tag := s.expect(func(ports.Event) { then() })
	s.emit(ports.ArmTimer{Tag: tag, After: d})
}

func (s *Shard) emit(e ports.Effect) {
	s.out = append(s.out, e)
}

func (s *Shard) note(value any) {
	s.emit(ports.Note{Value: value})
}

func (s *Shard) happened(kind EventKind, subject, format string, args ...any) {
	s.note(Happened{Kind: kind, Subject: subject, Detail: fmt.Sprintf(format, args...)})
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

// name is how the permit ledger calls the shard.
func (s *Shard) name() string {
	return permit.ShardName(s.settings.Zone, s.settings.Shard)
}

// forget drops all that belongs to a tenure.
func (s *Shard) forget() {
	s.refuseYields()
	s.tenure++
	s.answered = ""
	s.session = session{}
	s.journal = journal{attempts: make(map[string]attempt)}
	s.targets = make(map[string]*target)
	s.ids = nil
	s.awaited = newAwaited()
	s.permits = newPermits()
	s.senders = make(map[string]heard)
	s.table = table{rows: make(map[string]ports.Replica)}
	for _, m := range s.models {
		m.reset()
	}
}

// changeTargets takes the zone's list and keeps what falls into this shard.
func (s *Shard) changeTargets(rows []ports.Instance) {
	s.listed = make(map[string]ports.Instance)
	for _, row := range rows {
		if place.ShardOf(row.ID, s.settings.ShardCount) == s.settings.Shard {
			s.listed[row.ID] = row
		}
	}
	if s.stage == stageOwned {
		s.matchList()
	}
}

// targetIDs are the shard's targets in order.
func (s *Shard) targetIDs() []string {
	if len(s.ids) != len(s.targets) {
		s.ids = slices.Sorted(maps.Keys(s.targets))
	}
	return s.ids
}

// scope is the targets that a step has to look at: the one whose order was
// answered if nothing else changed, else all.
//
// Most steps are answers to reports that change nothing, one for each target in
// each period; with all targets looked at in each, a shard's cost would grow
// with the square of its targets.
func (s *Shard) scope() []string {
	if s.answered != "" && s.journal.changed == s.seenChange {
		return []string{s.answered}
	}
	return s.targetIDs()
}

func (s *Shard) changeConfig(c *config.Config) {
	if s.config != nil && c.Version < s.config.Version {
		return
	}
	old := s.config
	s.config = c
	s.adapterRoom = adapterRooms(c)
	s.reviewHome(true)
	if s.stage == stageOwned {
		s.reviewLimits(old)
	}
}
