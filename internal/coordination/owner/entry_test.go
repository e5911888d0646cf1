package owner

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/permit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// entry is one process with a Shard for each shard of its zone.
type entry struct {
	cluster *cluster
	member  ports.Member
	loops   []*drive.Loop
	shards  []*Shard
	kv      *delayedKV
	dead    bool
	// gossipIsolated entries run, but gossip does not receive their messages.
	gossipIsolated bool
	frozen         bool
	heldCalls      []func()
	owned          map[int]bool
	stopped        int
	incarnation    uint64
	silentSince    time.Time
}

// delayedKV can let a write take effect long after its reply was lost.
type delayedKV struct {
	*world.KV
	cluster   *cluster
	lateShare float64
}

func (k *delayedKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	if world.KindOf(req) == "write" && k.lateShare > 0 && k.cluster.random.Float64() < k.lateShare {
		k.cluster.clock.After(time.Second, func() { done(ports.KVReply{Status: ports.KVUnknown}) })
		k.cluster.clock.After(time.Duration(1+k.cluster.random.IntN(4000))*time.Millisecond, func() {
			k.cluster.store.Call(req, func(ports.KVReply) {})
		})
		return
	}
	k.KV.Call(req, done)
}

// start begins a new incarnation of the entry.
func (e *entry) start() {
	e.incarnation++
	e.member.Incarnation = e.incarnation
	e.member.Phase = ports.MemberAlive
	e.dead, e.frozen, e.heldCalls = false, false, nil
	e.owned = make(map[int]bool)
	e.loops, e.shards, e.stopped = nil, nil, 0
	env := ports.Env{KV: e.gatedKV(), Engine: e.gatedEngine(), Peers: e.gatedPeers(), Timer: gatedTimer{e, e.incarnation}}
	for n := range e.cluster.size.shards {
		shard := New(Settings{
			Self: e.member, Zone: e.member.Zone, Region: e.member.Region, Shard: n, ShardCount: e.cluster.size.shards,
			StoreRegion: e.cluster.size.storeRegion, LinkBytesPerSecond: e.cluster.size.linkBytesPerSecond,
		},
			testPolicies(), rand.New(rand.NewPCG(e.cluster.size.seed, uint64(len(e.cluster.entries)*100+n))))
		e.shards = append(e.shards, shard)
		e.loops = append(e.loops, drive.NewLoop(shard, env, drive.WithListener(func(v any) { e.listen(n, v) })))
	}
	e.cluster.net.AddPeer(e.member.Addr, e.handle)
	for _, loop := range e.loops {
		if !e.cluster.withholdsConfig {
			loop.Post(ConfigChanged{e.cluster.config})
		}
		loop.Post(Start{})
	}
}

func (e *entry) listen(shard int, v any) {
	r := e.cluster
	if r.onNote != nil {
		r.onNote(e, v)
	}
	switch n := v.(type) {
	case OwnershipChanged:
		e.owned[shard] = n.Owned
	case DemandAnswered:
		r.answers[n.ID] = n.Reply
	case YieldAnswered:
		if done := r.yields[n.ID]; done != nil {
			delete(r.yields, n.ID)
			done(ports.PeerReply{Msg: n.Reply})
		}
	case Stopped:
		e.stopped++
	case Happened:
		r.logf("%s %s %s: %s", e.member.ID, n.Kind, n.Subject, n.Detail)
	}
}

func (r *cluster) logf(format string, args ...any) {
	r.events = append(r.events, r.clock.Now().Format("15:04:05.000 ")+fmt.Sprintf(format, args...))
}

func (e *entry) handle(msg ports.PeerMessage, done func(ports.PeerReply)) {
	e.runUnlessFrozen(e.incarnation, func() {
		switch m := msg.(type) {
		case ports.YieldPermit:
			for n := range e.shards {
				if permit.ShardName(e.member.Zone, n) == m.Shard {
					e.cluster.nextDemandID++
					e.cluster.yields[e.cluster.nextDemandID] = done
					e.loops[n].Post(YieldAsked{ID: e.cluster.nextDemandID, Yield: m})
				}
			}
		case ports.HandOver:
			for _, n := range m.Shards {
				e.loops[n].Post(HandOverArrived{})
			}
			done(ports.PeerReply{Msg: ports.Ack{}})
		}
	})
}

// runUnlessFrozen runs f now, after the resume if the entry is frozen, or never if it was
// killed or restarted.
func (e *entry) runUnlessFrozen(incarnation uint64, f func()) {
	switch {
	case e.dead || e.incarnation != incarnation:
	case e.frozen:
		e.heldCalls = append(e.heldCalls, func() { e.runUnlessFrozen(incarnation, f) })
	default:
		f()
	}
}

type gatedTimer struct {
	e           *entry
	incarnation uint64
}

func (g gatedTimer) Now() time.Time { return g.e.cluster.clock.Now() }

func (g gatedTimer) After(d time.Duration, fire func()) timer.Cancel {
	return g.e.cluster.clock.After(d, func() { g.e.runUnlessFrozen(g.incarnation, fire) })
}

type (
	kvFunc    func(ports.KVRequest, func(ports.KVReply))
	orderFunc func(netip.AddrPort, ports.Order, func(ports.OrderReply))
	peerFunc  func(netip.AddrPort, ports.PeerMessage, func(ports.PeerReply))
)

func (f kvFunc) Call(req ports.KVRequest, done func(ports.KVReply)) { f(req, done) }
func (f orderFunc) Order(to netip.AddrPort, o ports.Order, done func(ports.OrderReply)) {
	f(to, o, done)
}

func (f peerFunc) Send(to netip.AddrPort, m ports.PeerMessage, done func(ports.PeerReply)) {
	f(to, m, done)
}

func (e *entry) gatedKV() ports.KV {
	inc := e.incarnation
	return kvFunc(func(req ports.KVRequest, done func(ports.KVReply)) {
		if e.cluster.onWrite != nil && world.KindOf(req) == "write" {
			e.cluster.onWrite(e, req)
		}
		e.kv.Call(req, func(r ports.KVReply) { e.runUnlessFrozen(inc, func() { done(r) }) })
	})
}

func (e *entry) gatedEngine() ports.Engine {
	inc, side := e.incarnation, e.cluster.net.From(e.member.Addr)
	return orderFunc(func(to netip.AddrPort, o ports.Order, done func(ports.OrderReply)) {
		if e.cluster.onOrder != nil {
			e.cluster.onOrder(e, o)
		}
		e.cluster.sent = append(e.cluster.sent, sentOrder{e.cluster.clock.Now(), e.member.ID, to, o})
		side.Order(to, o, func(r ports.OrderReply) { e.runUnlessFrozen(inc, func() { done(r) }) })
	})
}

func (e *entry) gatedPeers() ports.Peers {
	inc, side := e.incarnation, e.cluster.net.From(e.member.Addr)
	return peerFunc(func(to netip.AddrPort, m ports.PeerMessage, done func(ports.PeerReply)) {
		side.Send(to, m, func(r ports.PeerReply) { e.runUnlessFrozen(inc, func() { done(r) }) })
	})
}

func (e *entry) post(ev ports.Event) {
	inc := e.incarnation
	e.runUnlessFrozen(inc, func() {
		for _, loop := range e.loops {
			loop.Post(ev)
		}
	})
}

func (e *entry) kill() {
	e.dead = true
	e.silentSince = e.cluster.clock.Now()
	e.cluster.net.AddPeer(e.member.Addr, nil)
	for _, loop := range e.loops {
		loop.Stop()
	}
	e.cluster.logf("%s killed", e.member.ID)
}

func (e *entry) freeze() {
	e.frozen = true
	e.silentSince = e.cluster.clock.Now()
	e.cluster.logf("%s frozen", e.member.ID)
}

func (e *entry) resume() {
	heldCalls := e.heldCalls
	e.frozen, e.heldCalls = false, nil
	e.cluster.logf("%s resumed", e.member.ID)
	for _, f := range heldCalls {
		f()
	}
}
