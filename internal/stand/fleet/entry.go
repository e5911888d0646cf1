package fleet

import (
	"errors"
	"math/rand/v2"
	"net/netip"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/cfglog"
	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/member"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// peerTimeout is how long an entry waits for the answer of another.
const peerTimeout = 2 * time.Second

var errTimeout = errors.New("no answer in time")

// Entry is one entry's membership and configuration parts, wired as the daemon
// wires them.
type Entry struct {
	Self ports.Member
	// Notes are the values of the parts' notes that belong into a log.
	Notes []any
	// ViewChanges counts the changes of the entry's view of the others.
	ViewChanges int
	// Sent counts what the entry sent to others.
	Sent Traffic
	// ClockBack is how far the instance's wall clock is behind.
	ClockBack time.Duration
	// Lose, where set, loses the answers of the KV calls for which it returns
	// true, after their effect.
	Lose func(ports.KVRequest) bool
	// Late, where set, holds KV calls up by the time it returns before their
	// effect, while their answers count as lost at once.
	Late func(ports.KVRequest) time.Duration

	fleet   *Fleet
	kv      *world.KV
	gate    *gate
	running bool
	member  *drive.Loop
	cfglog  *drive.Loop
	part    *cfglog.Part
	members []ports.Member
	config  *config.Config
	nextID  uint64
	waiting map[uint64]func(any)
}

// Start starts the entry as a new incarnation with empty state.
func (e *Entry) Start() {
	e.Stop()
	e.Self.Incarnation = uint64(e.fleet.Timer.Now().Add(-e.ClockBack).UnixNano())
	e.gate = &gate{}
	e.running = true
	e.config = &config.Config{}
	e.members = nil
	e.waiting = make(map[uint64]func(any))
	e.fleet.Oracle.started(e.Self.ID)
	env := ports.Env{
		KV:    &gatedKV{entry: e, gate: e.gate},
		Peers: &gatedPeers{entry: e, side: e.fleet.Net.From(e.Self.Addr), gate: e.gate},
		Timer: &gatedTimer{timer: e.fleet.Timer, gate: e.gate},
	}
	random := func() *rand.Rand { return rand.New(rand.NewPCG(e.fleet.random.Uint64(), 3)) }
	e.part = cfglog.New(cfglog.Settings{Self: e.Self}, random(), e.fleet.logOptions...)
	e.member = drive.NewLoop(member.New(member.Settings{Self: e.Self}, random()), env, drive.WithListener(e.hear))
	e.cfglog = drive.NewLoop(e.part, env, drive.WithListener(e.hear))
	e.fleet.Net.AddPeer(e.Self.Addr, e.handle)
	e.cfglog.Post(cfglog.Start{})
	e.member.Post(member.Start{})
	e.postList(e.fleet.listed)
}

// Stop ends the entry as a kill does.
func (e *Entry) Stop() {
	if !e.running {
		return
	}
	e.running = false
	e.member.Stop()
	e.cfglog.Stop()
	e.fleet.Net.AddPeer(e.Self.Addr, nil)
}

// Freeze stops the entry without ending it; Thaw lets it go on with everything
// that came meanwhile.
func (e *Entry) Freeze() { e.gate.close() }

// Thaw ends a Freeze.
func (e *Entry) Thaw() { e.gate.open() }

// Running reports whether the entry runs.
func (e *Entry) Running() bool { return e.running }

// Version returns the version in force on the entry.
func (e *Entry) Version() config.Version { return e.config.Version }

// Config returns the configuration in force on the entry.
func (e *Entry) Config() *config.Config { return e.config }

// Members returns the entry's view of the others.
func (e *Entry) Members() []ports.Member { return e.members }

// Status returns the state of the configuration part.
func (e *Entry) Status() cfglog.Status { return e.part.Status() }

// Phase returns how the entry sees another, or "" if it does not know it.
func (e *Entry) Phase(other *Entry) ports.MemberPhase {
	for _, m := range e.members {
		if m.ID == other.Self.ID {
			return m.Phase
		}
	}
	return ""
}

// Leave makes the entry say that it leaves.
func (e *Entry) Leave() {
	e.Self.Phase = ports.MemberLeaving
	e.member.Post(member.SelfChanged{ConfigVersion: e.config.Version, Phase: ports.MemberLeaving})
}

// Ask asks the entry to accept a patch.
func (e *Entry) Ask(p config.Patch, done func(cfglog.PatchAnswered)) {
	id := e.await(func(answer any) {
		a := answer.(cfglog.PatchAnswered)
		e.fleet.Oracle.answered(p, a)
		done(a)
	})
	e.gate.pass(func() { e.cfglog.Post(cfglog.PatchRequested{ID: id, Patch: p}) })
}

// Read asks the entry for a version.
func (e *Entry) Read(v config.Version, done func(cfglog.ReadAnswered)) {
	id := e.await(func(answer any) { done(answer.(cfglog.ReadAnswered)) })
	e.cfglog.Post(cfglog.ReadRequested{ID: id, Version: v})
}

// History asks the entry for accepted patches.
func (e *Entry) History(after config.Version, limit int, done func(cfglog.HistoryAnswered)) {
	id := e.await(func(answer any) { done(answer.(cfglog.HistoryAnswered)) })
	e.cfglog.Post(cfglog.HistoryRequested{ID: id, After: after, Limit: limit})
}

func (e *Entry) await(done func(any)) uint64 {
	e.nextID++
	e.waiting[e.nextID] = done
	return e.nextID
}

func (e *Entry) answer(id uint64, value any) {
	done := e.waiting[id]
	delete(e.waiting, id)
	if done != nil {
		done(value)
	}
}

// hear takes the notes of both parts.
func (e *Entry) hear(value any) {
	switch n := value.(type) {
	case member.ViewChanged:
		e.members = n.Members
		e.ViewChanges++
		e.cfglog.Post(cfglog.MembersChanged{Members: n.Members})
	case member.GossipAnswered:
		e.answer(n.ID, n.Gossip)
	case cfglog.ConfigChanged:
		e.fleet.Oracle.configChanged(e, n.Config)
		e.config = n.Config
		e.member.Post(member.SelfChanged{ConfigVersion: n.Config.Version, Phase: e.Self.Phase})
	case cfglog.FetchAnswered:
		e.answer(n.ID, n.Delta)
	case cfglog.PatchAnswered:
		e.answer(n.ID, n)
	case cfglog.ReadAnswered:
		e.answer(n.ID, n)
	case cfglog.HistoryAnswered:
		e.answer(n.ID, n)
	default:
		e.Notes = append(e.Notes, value)
	}
}

// handle answers another entry.
func (e *Entry) handle(msg ports.PeerMessage, done func(ports.PeerReply)) {
	id := e.await(func(answer any) {
		e.Sent.count(answer)
		done(ports.PeerReply{Msg: answer})
	})
	e.gate.pass(func() {
		switch m := msg.(type) {
		case ports.Gossip:
			e.member.Post(member.GossipReceived{ID: id, Gossip: m})
		case ports.FetchConfig:
			e.cfglog.Post(cfglog.FetchRequested{ID: id, Fetch: m})
		}
	})
}

func (e *Entry) postList(rows []ports.Instance) {
	if e.running && rows != nil {
		e.gate.pass(func() { e.member.Post(member.ListChanged{Instances: rows}) })
	}
}

// gate holds calls back while an entry is frozen.
type gate struct {
	closed bool
	held   []func()
}

func (g *gate) pass(f func()) {
	if g.closed {
		g.held = append(g.held, f)
		return
	}
	f()
}

func (g *gate) close() { g.closed = true }

func (g *gate) open() {
	g.closed = false
	held := g.held
	g.held = nil
	for _, f := range held {
		f()
	}
}

type gatedTimer struct {
	timer timer.Service
	gate  *gate
}

func (t *gatedTimer) Now() time.Time { return t.timer.Now() }

func (t *gatedTimer) After(d time.Duration, fire func()) timer.Cancel {
	return t.timer.After(d, func() { t.gate.pass(fire) })
}

type gatedKV struct {
	entry *Entry
	gate  *gate
}

// Call carries out a KV call, whose answer may get lost.
func (k *gatedKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	if late := k.late(req); late > 0 {
		k.entry.fleet.Timer.After(late, func() { k.entry.kv.Call(req, func(ports.KVReply) {}) })
		k.entry.fleet.Timer.After(kvLatency, func() { k.gate.pass(func() { done(ports.KVReply{Status: ports.KVUnknown}) }) })
		return
	}
	k.entry.kv.Call(req, func(r ports.KVReply) {
		if k.entry.Lose != nil && k.entry.Lose(req) {
			r = ports.KVReply{Status: ports.KVUnknown}
		}
		k.gate.pass(func() { done(r) })
	})
}

func (k *gatedKV) late(req ports.KVRequest) time.Duration {
	if k.entry.Late == nil {
		return 0
	}
	return k.entry.Late(req)
}

type gatedPeers struct {
	entry *Entry
	side  *world.Side
	gate  *gate
}

// Send sends a message and answers with an error when no answer came in time.
func (p *gatedPeers) Send(to netip.AddrPort, msg ports.PeerMessage, done func(ports.PeerReply)) {
	p.entry.Sent.count(msg)
	ended := false
	end := func(r ports.PeerReply) {
		if !ended {
			ended = true
			p.gate.pass(func() { done(r) })
		}
	}
	p.side.Send(to, msg, end)
	p.entry.fleet.Timer.After(peerTimeout, func() { end(ports.PeerReply{Err: errTimeout}) })
}
