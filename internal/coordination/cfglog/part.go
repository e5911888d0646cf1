package cfglog

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Settings configure a Part.
type Settings struct {
	// Self describes this entry.
	Self ports.Member
}

// Option changes a Part during construction.
type Option func(*Part)

// WithRetention sets the number of versions between two snapshots, the number of accepted
// patches that the log keeps at least, and how many of them stay in memory for other
// entries.
func WithRetention(snapshotInterval, minRetained config.Version, maxRecent int) Option {
	return func(p *Part) {
		p.snapshotState.interval = snapshotInterval
		p.ids.retention = minRetained
		p.recent.limit = maxRecent
	}
}

// Part is the state machine that accepts and distributes the configuration at one entry;
// it implements ports.Part.
type Part struct {
	self   ports.Member
	random *rand.Rand

	now           time.Time
	effects       []ports.Effect
	nextTag       ports.Tag
	continuations map[ports.Tag]func(ports.Event)

	config       *config.Config
	hasNewConfig bool
	recent       recent
	ids          ids
	members      []ports.Member

	catchUpState  catchUpState
	watch         watch
	fetchState    fetchState
	snapshotState snapshotState
	health        health
}

// New returns a part that has not started.
func New(s Settings, random *rand.Rand, opts ...Option) *Part {
	p := &Part{
		self:          s.Self,
		random:        random,
		continuations: make(map[ports.Tag]func(ports.Event)),
		config:        &config.Config{},
		ids:           newIDs(minRetainedPatches),
		recent:        recent{limit: maxRecentPatches},
		snapshotState: snapshotState{interval: snapshotInterval},
		members:       []ports.Member{s.Self},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step processes one event and returns the resulting effects.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	p.now = now
	p.effects = nil
	p.hasNewConfig = false
	switch e := ev.(type) {
	case Start:
		p.start()
	case MembersChanged:
		p.members = e.Members
		p.watchIfDelegate()
		p.fetchIfBehind()
	case PatchRequested:
		p.handlePatch(e)
	case FetchRequested:
		p.note(FetchAnswered{ID: e.ID, Delta: p.deltaAfter(e.Fetch.After)})
	case ReadRequested:
		p.handleRead(e)
	case HistoryRequested:
		p.handleHistory(e)
	case ports.KVDone:
		p.resume(e.Tag, e)
	case ports.PeerDone:
		p.resume(e.Tag, e)
	case ports.TimerFired:
		p.resume(e.Tag, e)
	}
	if p.hasNewConfig {
		if p.highestPeerVersion() <= p.config.Version {
			p.fetchState.behindSince = time.Time{}
		}
		// A configuration must be in force here before the answer to its patch is
		// delivered.
		p.effects = slices.Insert(p.effects, 0, ports.Effect(ports.Note{Value: ConfigChanged{Config: p.config}}))
	}
	return p.effects
}

// Status is the state of an entry's configuration.
type Status struct {
	Version config.Version
	// Highest is the highest version known of any entry that answers.
	Highest config.Version
	// Watching reports whether the entry watches the KV service for its zone.
	Watching bool
	// KVDownSince is when the KV service stopped answering, zero if it answers.
	KVDownSince time.Time
	// Damage describes a stored value that cannot be decoded.
	Damage string
}

// Status returns the part's state; it must not be called during a step.
func (p *Part) Status() Status {
	return Status{
		Version:     p.config.Version,
		Highest:     max(p.config.Version, p.highestPeerVersion()),
		Watching:    p.watch.running,
		KVDownSince: p.health.downSince,
		Damage:      p.health.lastDamage,
	}
}

// Times of the first steps after a start.
const (
	// settleDelay is how long an entry that finds itself a delegate waits before it acts
	// as one, since its view may still be incomplete.
	settleDelay = 1500 * time.Millisecond
	// firstPollDelay is how long after its start an entry that does not watch, and may
	// still be without a configuration, reads the KV service itself.
	firstPollDelay = 6 * time.Second
	// pollInterval is the time between two reads of the KV service by an entry that does
	// not watch. Since an entry without contact to others becomes a delegate and watches,
	// this only covers unforeseen cases, and is long enough to add no noticeable load.
	pollInterval = 10 * time.Minute
)

func (p *Part) start() {
	p.afterFunc(p.jitter(settleDelay), p.watchIfDelegate)
	p.afterFunc(p.jitter(firstPollDelay), p.poll)
}

// poll reads the KV service regularly in case the entry neither watches nor learns of new
// versions by gossip.
func (p *Part) poll() {
	again := func(error) { p.afterFunc(p.jitter(pollInterval), p.poll) }
	if p.watch.running {
		again(nil)
		return
	}
	p.catchUp(again)
}

// jitter returns a random duration between d and 1.5 d, so that entries which start
// together do not act together.
func (p *Part) jitter(d time.Duration) time.Duration {
	return d + time.Duration(p.random.Int64N(int64(d/2)))
}

func (p *Part) note(value any) {
	p.effects = append(p.effects, ports.Note{Value: value})
}

// callKV sends a request to the KV service and calls then with the reply.
func (p *Part) callKV(req ports.KVRequest, then func(ports.KVReply)) {
	tag := p.awaitEvent(func(ev ports.Event) { then(ev.(ports.KVDone).Reply) })
	p.effects = append(p.effects, ports.KVCall{Tag: tag, Req: req})
}

// callPeer sends a message to another entry and calls then with the reply.
func (p *Part) callPeer(to netip.AddrPort, msg ports.PeerMessage, then func(ports.PeerReply)) {
	tag := p.awaitEvent(func(ev ports.Event) { then(ev.(ports.PeerDone).Reply) })
	p.effects = append(p.effects, ports.PeerCall{Tag: tag, To: to, Msg: msg})
}

// afterFunc calls then after d.
func (p *Part) afterFunc(d time.Duration, then func()) {
	tag := p.awaitEvent(func(ports.Event) { then() })
	p.effects = append(p.effects, ports.ArmTimer{Tag: tag, After: d})
}

func (p *Part) awaitEvent(then func(ports.Event)) ports.Tag {
	p.nextTag++
	p.continuations[p.nextTag] = then
	return p.nextTag
}

func (p *Part) resume(tag ports.Tag, ev ports.Event) {
	then, ok := p.continuations[tag]
	if !ok {
		return
	}
	delete(p.continuations, tag)
	then(ev)
}

// applyRecord puts the next version in force.
func (p *Part) applyRecord(record config.Record) error {
	next, err := config.Replay(p.config, record.Patch)
	if err != nil {
		return err
	}
	p.config = next
	p.hasNewConfig = true
	p.recent.add(record)
	p.ids.add(record.Patch, next.Version)
	return nil
}

// replaceConfig puts a whole configuration in force if its version is higher.
func (p *Part) replaceConfig(c *config.Config) {
	if c.Version <= p.config.Version {
		return
	}
	p.config = c
	p.hasNewConfig = true
	p.recent.clear()
	p.ids.reset(c.Version)
}

// restoreSnapshot puts the configuration of a snapshot in force if its version is higher,
// and adds the patch IDs stored in it.
func (p *Part) restoreSnapshot(s config.Snapshot) {
	if s.Config.Version <= p.config.Version {
		return
	}
	p.replaceConfig(s.Config)
	for _, ref := range s.Recent {
		p.ids.insert(ref)
	}
	p.ids.completeAfter = s.RecentAfter
}

// isDelegate reports whether this entry is a delegate of its zone, which watches the KV
// service and fetches from other zones.
func (p *Part) isDelegate() bool {
	return slices.Contains(member.Delegates(p.members, p.self.Zone), p.self.ID)
}

// newNonce returns a string that no other write has.
func (p *Part) newNonce() string {
	return fmt.Sprintf("%s/%d/%016x", p.self.ID, p.self.Incarnation, p.random.Uint64())
}
