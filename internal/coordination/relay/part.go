package relay

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

// Settings are what a part needs to know.
type Settings struct {
	// Self is this entry.
	Self ports.Member
}

// Option changes a Part under construction.
type Option func(*Part)

// WithRetention sets the number of versions from one snapshot to the next, how
// many accepted patches the log keeps at the least, and how many of them stay in
// memory for other entries.
func WithRetention(snapshotEvery, retainLog config.Version, recentPatches int) Option {
	return func(p *Part) {
		p.keeping.every = snapshotEvery
		p.ids.retain = retainLog
		p.recent.limit = recentPatches
	}
}

// Part is one entry's share in accepting and spreading the configuration.
type Part struct {
	self   ports.Member
	random *rand.Rand

	now     time.Time
	effects []ports.Effect
	nextTag ports.Tag
	calls   map[ports.Tag]func(ports.Event)

	config  *config.Config
	adopted bool
	recent  recent
	ids     ids
	members []ports.Member

	reading reading
	watch   watch
	chase   chase
	keeping keeping
	health  health
}

// New returns a part that has not started.
func New(s Settings, random *rand.Rand, opts ...Option) *Part {
	p := &Part{
		self:    s.Self,
		random:  random,
		calls:   make(map[ports.Tag]func(ports.Event)),
		config:  &config.Config{},
		ids:     newIDs(retainLog),
		recent:  recent{limit: recentPatches},
		keeping: keeping{every: snapshotEvery},
		members: []ports.Member{s.Self},
	}
	for _, opt := range opts {
		opt(p)
	}
	return p
}

// Step takes one event.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	p.now = now
	p.effects = nil
	p.adopted = false
	switch e := ev.(type) {
	case Start:
		p.start()
	case MembersChanged:
		p.members = e.Members
		p.refreshDuty()
		p.pursue()
	case PatchAsked:
		p.ask(e)
	case FetchArrived:
		p.note(FetchAnswered{ID: e.ID, Delta: p.delta(e.Fetch.After)})
	case ReadAsked:
		p.read(e)
	case HistoryAsked:
		p.history(e)
	case ports.KVDone:
		p.resume(e.Tag, e)
	case ports.PeerDone:
		p.resume(e.Tag, e)
	case ports.TimerFired:
		p.resume(e.Tag, e)
	}
	if p.adopted {
		if p.highestKnown() <= p.config.Version {
			p.chase.since = time.Time{}
		}
		// Whoever reads the answer to a patch must already see it in force here.
		p.effects = slices.Insert(p.effects, 0, ports.Effect(ports.Note{Value: Adopted{Config: p.config}}))
	}
	return p.effects
}

// Status is what an entry knows of its configuration.
type Status struct {
	Version config.Version
	// Highest is the highest version known to any entry that answers.
	Highest config.Version
	// Watching tells that the entry waits at the KV service for its zone.
	Watching bool
	// KVDownSince is when the KV service stopped answering, zero if it answers.
	KVDownSince time.Time
	// Damage describes a stored value that cannot be read.
	Damage string
}

// Status returns the part's state; it must not be called during a step.
func (p *Part) Status() Status {
	return Status{
		Version:     p.config.Version,
		Highest:     max(p.config.Version, p.highestKnown()),
		Watching:    p.watch.running,
		KVDownSince: p.health.downSince,
		Damage:      p.health.damage,
	}
}

// Times of the first steps after a start.
const (
	// settleTime is how long the view of the zone must hold before an entry acts
	// on a duty that follows from it.
	settleTime = 1500 * time.Millisecond
	// firstPoll is when an entry without configuration asks the KV service itself.
	firstPoll = 6 * time.Second
	// pollPeriod is the time between two looks at the KV service by entries that
	// do not watch. An entry that hears nobody watches, so this is for what
	// nobody thought of, and long enough not to count at the KV service.
	pollPeriod = 10 * time.Minute
)

func (p *Part) start() {
	p.after(p.spread(settleTime), p.refreshDuty)
	p.after(p.spread(firstPoll), p.poll)
}

// poll is the last resort of an entry that neither watches nor hears of news.
func (p *Part) poll() {
	again := func(error) { p.after(p.spread(pollPeriod), p.poll) }
	if p.watch.running {
		again(nil)
		return
	}
	p.catchUp(again)
}

// spread returns a random time between d and 1.5 d, so that entries which start
// together do not act together.
func (p *Part) spread(d time.Duration) time.Duration {
	return d + time.Duration(p.random.Int64N(int64(d/2)))
}

func (p *Part) note(value any) {
	p.effects = append(p.effects, ports.Note{Value: value})
}

// kv asks the KV service and continues with then once it has answered.
func (p *Part) kv(req ports.KVRequest, then func(ports.KVReply)) {
	tag := p.await(func(ev ports.Event) { then(ev.(ports.KVDone).Reply) })
	p.effects = append(p.effects, ports.KVCall{Tag: tag, Req: req})
}

// peer asks another entry and continues with then once it has answered.
func (p *Part) peer(to netip.AddrPort, msg ports.PeerMessage, then func(ports.PeerReply)) {
	tag := p.await(func(ev ports.Event) { then(ev.(ports.PeerDone).Reply) })
	p.effects = append(p.effects, ports.PeerCall{Tag: tag, To: to, Msg: msg})
}

// after continues with then when d has passed.
func (p *Part) after(d time.Duration, then func()) {
	tag := p.await(func(ports.Event) { then() })
	p.effects = append(p.effects, ports.ArmTimer{Tag: tag, After: d})
}

func (p *Part) await(then func(ports.Event)) ports.Tag {
	p.nextTag++
	p.calls[p.nextTag] = then
	return p.nextTag
}

func (p *Part) resume(tag ports.Tag, ev ports.Event) {
	then, ok := p.calls[tag]
	if !ok {
		return
	}
	delete(p.calls, tag)
	then(ev)
}

// advance puts the next version in force.
func (p *Part) advance(record config.Record) error {
	next, err := config.Replay(p.config, record.Patch)
	if err != nil {
		return err
	}
	p.config = next
	p.adopted = true
	p.recent.add(record)
	p.ids.add(record.Patch, next.Version)
	return nil
}

// replace puts a whole later version in force.
func (p *Part) replace(c *config.Config) {
	if c.Version <= p.config.Version {
		return
	}
	p.config = c
	p.adopted = true
	p.recent.clear()
	p.ids.restart(c.Version)
}

// restore puts the configuration of a snapshot in force, with what it remembers.
func (p *Part) restore(s config.Snapshot) {
	if s.Config.Version <= p.config.Version {
		return
	}
	p.replace(s.Config)
	for _, ref := range s.Recent {
		p.ids.put(ref)
	}
	p.ids.after = s.RecentAfter
}

// onDuty reports whether this entry watches the KV service for its zone and
// fetches from other zones.
func (p *Part) onDuty() bool {
	return slices.Contains(member.Delegates(p.members, p.self.Zone), p.self.ID)
}

// nonce returns a word that no other write has.
func (p *Part) nonce() string {
	return fmt.Sprintf("%s/%d/%016x", p.self.ID, p.self.Incarnation, p.random.Uint64())
}
