package member

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// tickPeriod is the time between two rounds of gossip.
const tickPeriod = time.Second

// pauseAfter is the lateness of a round from which the process counts as having
// been paused.
const pauseAfter = 3 * tickPeriod

// lostShare is one in how many rounds goes to an instance that does not count
// as alive, so that the two sides of a cut find each other again.
const lostShare = 8

// tickTag is the tag of the timer of rounds; higher tags are peer calls.
const tickTag ports.Tag = 1

// Settings are what a part needs to know.
type Settings struct {
	// Self is this entry; its Beat and Phase are the part's to set.
	Self ports.Member
}

// Part keeps one entry's view of the others.
type Part struct {
	self     ports.Member
	random   *rand.Rand
	view     *view
	lastTick time.Time
	nextTag  ports.Tag
	// calls are the members to which messages are under way.
	calls map[ports.Tag]string
	// round counts the turns over the other zones.
	round int
	// delegates are those of the own zone, as the view has them.
	delegates  []string
	superseded bool
}

// New returns a part that has not started.
func New(s Settings, random *rand.Rand) *Part {
	self := s.Self
	self.Beat = 1
	if self.Phase == "" {
		self.Phase = ports.MemberAlive
	}
	return &Part{self: self, random: random, view: newView(self), nextTag: tickTag, calls: make(map[ports.Tag]string)}
}

// Step takes one event.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	var effects []ports.Effect
	switch e := ev.(type) {
	case Start:
		p.lastTick = now
		p.view.changed = true
		effects = append(effects, ports.ArmTimer{Tag: tickTag, After: p.stagger()})
	case ListChanged:
		p.takeList(e.Instances)
	case SelfChanged:
		p.changeSelf(e)
	case GossipArrived:
		effects = append(effects, p.answer(now, e)...)
	case ports.PeerDone:
		effects = append(effects, p.takeReply(now, e)...)
	case ports.TimerFired:
		effects = append(effects, p.tick(now)...)
	}
	if p.view.changed {
		p.view.changed = false
		members := p.Members()
		p.delegates = Delegates(members, p.self.Zone)
		effects = append(effects, ports.Note{Value: Changed{Members: members}})
	}
	return effects
}

// Members returns the view, in order of IDs, with the entry itself.
func (p *Part) Members() []ports.Member {
	members := append(p.view.members(), p.spoken())
	slices.SortFunc(members, func(a, b ports.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// stagger spreads the rounds of entries that start together.
func (p *Part) stagger() time.Duration {
	return time.Duration(p.random.Int64N(int64(tickPeriod)))
}

// spoken returns what the entry says of itself, safe to hand out.
func (p *Part) spoken() ports.Member {
	m := p.self
	m.Shards = slices.Clone(m.Shards)
	return m
}

func (p *Part) changeSelf(e SelfChanged) {
	if e.Phase == "" {
		e.Phase = p.self.Phase
	}
	if e.ConfigVersion == p.self.ConfigVersion && e.Phase == p.self.Phase && slices.Equal(e.Shards, p.self.Shards) {
		return
	}
	p.self.ConfigVersion = e.ConfigVersion
	p.self.Shards = slices.Clone(e.Shards)
	p.self.Phase = e.Phase
	// A new word needs a higher beat, or those who have the old one keep it.
	p.self.Beat++
	p.view.changed = true
}

func (p *Part) takeList(rows []ports.Instance) {
	p.view.listed = make(map[string]ports.Instance, len(rows))
	for _, row := range rows {
		if row.Kind == ports.InstanceEntry && row.ID != p.self.ID {
			p.view.listed[row.ID] = row
		}
	}
}

// tick is one round: judge the others, then speak to some.
func (p *Part) tick(now time.Time) []ports.Effect {
	late := now.Sub(p.lastTick) - tickPeriod
	p.lastTick = now
	if late > pauseAfter {
		p.view.excuse(now, late)
	}
	p.self.Beat++
	p.view.sweep(now)
	effects := []ports.Effect{ports.ArmTimer{Tag: tickTag, After: tickPeriod}}
	if to, ok := p.neighbour(now); ok {
		effects = append(effects, p.send(to, p.question()))
	}
	if to, ok := p.stranger(); ok {
		effects = append(effects, p.send(to, p.summary()))
	}
	return effects
}

// peer is whom a message goes to; the ID may be one that only the list knows.
type peer struct {
	id   string
	addr netip.AddrPort
}

func (p *Part) send(to peer, g ports.Gossip) ports.Effect {
	p.nextTag++
	p.calls[p.nextTag] = to.id
	return ports.PeerCall{Tag: p.nextTag, To: to.addr, Msg: g}
}

// neighbour chooses an entry of the own zone for this round.
//
// Every other round goes to the member heard of longest ago. With a constant
// number of records in a message, the news of a beat reaches most of a large
// zone within seconds, but some entry always misses it for longer; asking the
// member itself tells that from a death. The other rounds are random, so that
// gossip goes on while a part of the zone does not answer.
func (p *Part) neighbour(now time.Time) (peer, bool) {
	if p.self.Beat%2 == 0 {
		if id, ok := p.view.stalest(now); ok {
			p.view.records[id].asked = now
			return peer{id, p.view.records[id].said.Addr}, true
		}
	}
	alive := p.peers(p.view.ids(func(r *record) bool { return r.said.Zone == p.self.Zone && Answers(r.phase) }))
	return p.choose(alive, p.lost(func(zone string) bool { return zone == p.self.Zone }))
}

// stranger chooses an entry of another zone, if it is this entry's turn.
func (p *Part) stranger() (peer, bool) {
	zones := p.otherZones()
	mine := slices.Index(p.delegates, p.self.ID)
	if len(zones) == 0 || mine < 0 {
		return peer{}, false
	}
	// The two delegates begin at different zones, so that each zone is met twice
	// in a turn and not twice at once.
	offset := mine * len(zones) / delegateCount
	zone := zones[(p.round+offset)%len(zones)]
	p.round++
	alive := p.peers(p.view.ids(func(r *record) bool { return r.said.Zone == zone && Answers(r.phase) }))
	return p.choose(alive, p.lost(func(z string) bool { return z == zone }))
}

// choose returns one of alive, or now and then one of lost.
func (p *Part) choose(alive, lost []peer) (peer, bool) {
	from := alive
	if len(alive) == 0 || (len(lost) > 0 && p.random.IntN(lostShare) == 0) {
		from = lost
	}
	if len(from) == 0 {
		return peer{}, false
	}
	return from[p.random.IntN(len(from))], true
}

func (p *Part) peers(ids []string) []peer {
	peers := make([]peer, 0, len(ids))
	for _, id := range ids {
		peers = append(peers, peer{id, p.view.records[id].said.Addr})
	}
	return peers
}

// lost returns the instances of some zones that do not count as alive:
// listed ones that are unknown here, and silent members.
func (p *Part) lost(inZone func(string) bool) []peer {
	var peers []peer
	for _, id := range sortedKeys(p.view.listed) {
		row := p.view.listed[id]
		r := p.view.records[id]
		if inZone(row.Zone) && !row.Leaving && (r == nil || !Answers(r.phase)) {
			peers = append(peers, peer{id, row.Addr})
		}
	}
	for _, id := range p.view.ids(func(r *record) bool { return inZone(r.said.Zone) && r.phase == ports.MemberSilent }) {
		if _, listed := p.view.listed[id]; !listed {
			peers = append(peers, peer{id, p.view.records[id].said.Addr})
		}
	}
	return peers
}

func (p *Part) otherZones() []string {
	zones := make(map[string]bool)
	for _, r := range p.view.records {
		zones[r.said.Zone] = true
	}
	for _, row := range p.view.listed {
		zones[row.Zone] = true
	}
	delete(zones, p.self.Zone)
	return sortedKeys(zones)
}

func (p *Part) answer(now time.Time, e GossipArrived) []ports.Effect {
	effects := p.takeIn(now, e.Gossip)
	answer := p.summary()
	switch {
	case len(e.Gossip.Members) == 0:
		answer = p.everything()
	case e.Gossip.From.Zone == p.self.Zone:
		answer = p.reply(e.Gossip.Members)
	}
	return append(effects, ports.Note{Value: GossipAnswered{ID: e.ID, Gossip: answer}})
}

func (p *Part) takeReply(now time.Time, e ports.PeerDone) []ports.Effect {
	id := p.calls[e.Tag]
	delete(p.calls, e.Tag)
	if g, ok := e.Reply.Msg.(ports.Gossip); ok && e.Reply.Err == nil {
		effects := p.takeIn(now, g)
		if r := p.view.records[id]; r != nil {
			r.reach()
		}
		return effects
	}
	if r := p.view.records[id]; r != nil {
		r.fail(now)
	}
	return nil
}

func (p *Part) takeIn(now time.Time, g ports.Gossip) []ports.Effect {
	p.view.meet(now, g.From)
	for _, m := range g.Members {
		p.view.merge(now, m)
	}
	return p.noticeSuccessor(g)
}

// noticeSuccessor reports another process under this entry's ID, as a process
// finds that was frozen until its instance had been started anew.
func (p *Part) noticeSuccessor(g ports.Gossip) []ports.Effect {
	for _, m := range append([]ports.Member{g.From}, g.Members...) {
		if m.ID != p.self.ID || m.Incarnation <= p.self.Incarnation || p.superseded {
			continue
		}
		p.superseded = true
		detail := fmt.Sprintf("incarnation %d runs at %s, this one is %d", m.Incarnation, m.Addr, p.self.Incarnation)
		return []ports.Effect{ports.Note{Value: Happened{Kind: KindSuperseded, Subject: p.self.ID, Detail: detail}}}
	}
	return nil
}
