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

// gossipInterval is the time between two gossip rounds.
const gossipInterval = time.Second

// minPause is the lateness of a round above which the process is taken to have been
// paused.
const minPause = 3 * gossipInterval

// lostPeerRounds means that one in this many rounds on average goes to an instance that
// is not known to be alive, so that the two sides of a network partition find each other
// again.
const lostPeerRounds = 8

// gossipTimerTag is the tag of the timer of rounds; higher tags are peer calls.
const gossipTimerTag ports.Tag = 1

// Settings configure a Part.
type Settings struct {
	// Self describes this entry; its Beat and Phase are set by the part.
	Self ports.Member
}

// Part is the state machine that maintains one entry's view of the others; it implements
// ports.Part.
type Part struct {
	self      ports.Member
	random    *rand.Rand
	view      *view
	lastRound time.Time
	lastTag   ports.Tag
	// calledIDs are the IDs of the members to which calls are in flight, by tag.
	calledIDs map[ports.Tag]string
	// remoteRound counts the messages sent to other zones, which take turns.
	remoteRound int
	// delegates are the delegates of the own zone according to the view.
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
	return &Part{self: self, random: random, view: newView(self), lastTag: gossipTimerTag, calledIDs: make(map[ports.Tag]string)}
}

// Step processes one event and returns the resulting effects.
func (p *Part) Step(now time.Time, ev ports.Event) []ports.Effect {
	var effects []ports.Effect
	switch e := ev.(type) {
	case Start:
		p.lastRound = now
		p.view.changed = true
		effects = append(effects, ports.ArmTimer{Tag: gossipTimerTag, After: p.initialDelay()})
	case ListChanged:
		p.setInstances(e.Instances)
	case SelfChanged:
		p.updateSelf(e)
	case GossipReceived:
		effects = append(effects, p.handleGossip(now, e)...)
	case ports.PeerDone:
		effects = append(effects, p.handleReply(now, e)...)
	case ports.TimerFired:
		effects = append(effects, p.gossipRound(now)...)
	}
	if p.view.changed {
		p.view.changed = false
		members := p.Members()
		p.delegates = Delegates(members, p.self.Zone)
		effects = append(effects, ports.Note{Value: ViewChanged{Members: members}})
	}
	return effects
}

// Members returns the view, ordered by ID and including this entry.
func (p *Part) Members() []ports.Member {
	members := append(p.view.members(), p.selfRecord())
	slices.SortFunc(members, func(a, b ports.Member) int { return strings.Compare(a.ID, b.ID) })
	return members
}

// initialDelay returns a random time before the first round, so that entries that start
// together do not send together.
func (p *Part) initialDelay() time.Duration {
	return time.Duration(p.random.Int64N(int64(gossipInterval)))
}

// selfRecord returns the record of this entry, with a copy of its shards.
func (p *Part) selfRecord() ports.Member {
	m := p.self
	m.Shards = slices.Clone(m.Shards)
	return m
}

func (p *Part) updateSelf(e SelfChanged) {
	if e.Phase == "" {
		e.Phase = p.self.Phase
	}
	if e.ConfigVersion == p.self.ConfigVersion && e.Phase == p.self.Phase && slices.Equal(e.Shards, p.self.Shards) {
		return
	}
	p.self.ConfigVersion = e.ConfigVersion
	p.self.Shards = slices.Clone(e.Shards)
	p.self.Phase = e.Phase
	// Changed state needs a higher beat, since others keep the record they have at the
	// same beat.
	p.self.Beat++
	p.view.changed = true
}

func (p *Part) setInstances(instances []ports.Instance) {
	p.view.instances = make(map[string]ports.Instance, len(instances))
	for _, instance := range instances {
		if instance.Kind == ports.InstanceEntry && instance.ID != p.self.ID {
			p.view.instances[instance.ID] = instance
		}
	}
}

// gossipRound updates the phases of the others and then sends to some of them.
func (p *Part) gossipRound(now time.Time) []ports.Effect {
	lateBy := now.Sub(p.lastRound) - gossipInterval
	p.lastRound = now
	if lateBy > minPause {
		p.view.shiftObservations(now, lateBy)
	}
	p.self.Beat++
	p.view.updatePhases(now)
	effects := []ports.Effect{ports.ArmTimer{Tag: gossipTimerTag, After: gossipInterval}}
	if to, ok := p.chooseLocalPeer(now); ok {
		effects = append(effects, p.send(to, p.gossipRequest()))
	}
	if to, ok := p.chooseRemotePeer(); ok {
		effects = append(effects, p.send(to, p.zoneSummary()))
	}
	return effects
}

// peer is the receiver of a message; the ID may be known from the instance list alone.
type peer struct {
	id   string
	addr netip.AddrPort
}

func (p *Part) send(to peer, g ports.Gossip) ports.Effect {
	p.lastTag++
	p.calledIDs[p.lastTag] = to.id
	return ports.PeerCall{Tag: p.lastTag, To: to.addr, Msg: g}
}

// chooseLocalPeer chooses an entry of the own zone for this round.
//
// Every other round goes to the member whose record is oldest. With a constant number of
// records in a message, a new beat reaches most of a large zone within seconds, but some
// entry always misses it for longer; calling the member itself tells whether it is alive.
// The other rounds are random, so that gossip continues while a part of the zone does not
// answer.
func (p *Part) chooseLocalPeer(now time.Time) (peer, bool) {
	if p.self.Beat%2 == 0 {
		if id, ok := p.view.longestUnheard(now); ok {
			p.view.records[id].probedAt = now
			return peer{id, p.view.records[id].latest.Addr}, true
		}
	}
	alive := p.peers(p.view.ids(func(r *record) bool { return r.latest.Zone == p.self.Zone && IsReachable(r.phase) }))
	return p.choosePeer(alive, p.lostPeers(func(zone string) bool { return zone == p.self.Zone }))
}

// chooseRemotePeer chooses an entry of another zone if this entry is a delegate.
func (p *Part) chooseRemotePeer() (peer, bool) {
	zones := p.otherZones()
	index := slices.Index(p.delegates, p.self.ID)
	if len(zones) == 0 || index < 0 {
		return peer{}, false
	}
	// The two delegates start at different zones, so that each zone is contacted twice in
	// a cycle but not twice at the same time.
	offset := index * len(zones) / delegateCount
	zone := zones[(p.remoteRound+offset)%len(zones)]
	p.remoteRound++
	alive := p.peers(p.view.ids(func(r *record) bool { return r.latest.Zone == zone && IsReachable(r.phase) }))
	return p.choosePeer(alive, p.lostPeers(func(z string) bool { return z == zone }))
}

// choosePeer returns one of alive, or occasionally one of lost.
func (p *Part) choosePeer(alive, lost []peer) (peer, bool) {
	from := alive
	if len(alive) == 0 || (len(lost) > 0 && p.random.IntN(lostPeerRounds) == 0) {
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
		peers = append(peers, peer{id, p.view.records[id].latest.Addr})
	}
	return peers
}

// lostPeers returns the instances of some zones that are not known to be alive: listed
// instances without a reachable member, and silent members.
func (p *Part) lostPeers(inZone func(string) bool) []peer {
	var peers []peer
	for _, id := range sortedKeys(p.view.instances) {
		instance := p.view.instances[id]
		r := p.view.records[id]
		if inZone(instance.Zone) && !instance.Leaving && (r == nil || !IsReachable(r.phase)) {
			peers = append(peers, peer{id, instance.Addr})
		}
	}
	for _, id := range p.view.ids(func(r *record) bool { return inZone(r.latest.Zone) && r.phase == ports.MemberSilent }) {
		if _, listed := p.view.instances[id]; !listed {
			peers = append(peers, peer{id, p.view.records[id].latest.Addr})
		}
	}
	return peers
}

func (p *Part) otherZones() []string {
	zones := make(map[string]bool)
	for _, r := range p.view.records {
		zones[r.latest.Zone] = true
	}
	for _, instance := range p.view.instances {
		zones[instance.Zone] = true
	}
	delete(zones, p.self.Zone)
	return sortedKeys(zones)
}

func (p *Part) handleGossip(now time.Time, e GossipReceived) []ports.Effect {
	effects := p.mergeGossip(now, e.Gossip)
	answer := p.zoneSummary()
	switch {
	case len(e.Gossip.Members) == 0:
		answer = p.fullView()
	case e.Gossip.From.Zone == p.self.Zone:
		answer = p.gossipReply(e.Gossip.Members)
	}
	return append(effects, ports.Note{Value: GossipAnswered{ID: e.ID, Gossip: answer}})
}

func (p *Part) handleReply(now time.Time, e ports.PeerDone) []ports.Effect {
	id := p.calledIDs[e.Tag]
	delete(p.calledIDs, e.Tag)
	if g, ok := e.Reply.Msg.(ports.Gossip); ok && e.Reply.Err == nil {
		effects := p.mergeGossip(now, g)
		if r := p.view.records[id]; r != nil {
			r.recordSuccess()
		}
		return effects
	}
	if r := p.view.records[id]; r != nil {
		r.recordFailure(now)
	}
	return nil
}

func (p *Part) mergeGossip(now time.Time, g ports.Gossip) []ports.Effect {
	p.view.mergeDirect(now, g.From)
	for _, m := range g.Members {
		p.view.merge(now, m)
	}
	return p.detectSuccessor(g)
}

// detectSuccessor reports that another process runs under this entry's ID. This happens
// to a process that was frozen until its instance had been restarted.
func (p *Part) detectSuccessor(g ports.Gossip) []ports.Effect {
	for _, m := range append([]ports.Member{g.From}, g.Members...) {
		if m.ID != p.self.ID || m.Incarnation <= p.self.Incarnation || p.superseded {
			continue
		}
		p.superseded = true
		detail := fmt.Sprintf("incarnation %d runs at %s, this one is %d", m.Incarnation, m.Addr, p.self.Incarnation)
		return []ports.Effect{ports.Note{Value: LogEvent{Kind: KindSuperseded, Subject: p.self.ID, Detail: detail}}}
	}
	return nil
}
