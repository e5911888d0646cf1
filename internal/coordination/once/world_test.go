package once_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/once"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// faultyKV loses answers in the two ways that a caller can't tell apart: the
// effect came before, or it comes later.
type faultyKV struct {
	store  *kvmem.Store
	clock  *timer.Virtual
	random *rand.Rand
	// lose, late and down are shares of calls.
	lose, late, down float64
	// hangs means that no call takes effect or is answered before its timeout.
	hangs bool
	// delay is how late calls come to the service.
	delay time.Duration
	calls map[string]int
}

// kvTimeout is how long a call that hangs waits for its answer.
const kvTimeout = 2 * time.Second

const kvLatency = 4 * time.Millisecond

func (k *faultyKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	k.calls[world.KindOf(req)]++
	dice := k.random.Float64()
	switch {
	case k.hangs:
		k.clock.After(kvTimeout, func() { done(ports.KVReply{Status: ports.KVUnknown}) })
	case dice < k.down:
		k.clock.After(kvLatency, func() { done(ports.KVReply{Status: ports.KVUnavailable}) })
	case dice < k.down+k.lose:
		k.clock.After(kvLatency/2, func() {
			k.store.Call(req, func(ports.KVReply) {})
			done(ports.KVReply{Status: ports.KVUnknown})
		})
	case dice < k.down+k.lose+k.late:
		done(ports.KVReply{Status: ports.KVUnknown})
		k.clock.After(time.Duration(k.random.IntN(300))*time.Millisecond, func() {
			k.store.Call(req, func(ports.KVReply) {})
		})
	default:
		k.clock.After(k.delay+kvLatency/2, func() {
			k.store.Call(req, func(r ports.KVReply) {
				k.clock.After(kvLatency/2, func() { done(r) })
			})
		})
	}
}

// backend counts the executions of each key, as the targets would.
type backend struct {
	runs   map[string]int
	answer map[string]once.Outcome
}

// entry is one incarnation of an entry with its part.
type entry struct {
	world       *onceWorld
	name        string
	incarnation uint64
	loop        *drive.Loop
	dead        bool
	waiting     map[uint64]*asked
}

// asked is a caller's call and what became of it.
type asked struct {
	key     string
	at      time.Time
	within  time.Duration
	verdict *once.Verdict
	// answeredAt is when the verdict came.
	answeredAt time.Time
	// ran tells that this very call was executed.
	ran bool
}

// onceWorld is several entries over one store on virtual time.
type onceWorld struct {
	clock    *timer.Virtual
	random   *rand.Rand
	store    *kvmem.Store
	kv       *faultyKV
	settings once.Settings
	entries  []*entry
	back     backend
	next     uint64
	calls    []*asked
	// sendDelay and runTime bound the two gaps in which an entry can die.
	sendDelay, runTime time.Duration
	// refuse is the share of claimed calls that no target takes.
	refuse float64
	// exact makes the gaps as long as their bounds.
	exact bool
	// answered hears of each answer when its caller gets it.
	answered func(e *entry, key string)
	// withoutKV is the services' setting.
	withoutKV bool
}

func newOnceWorld(seed uint64, entries int, settings once.Settings) *onceWorld {
	w := &onceWorld{
		clock: timer.NewVirtual(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(seed, 1)), settings: settings,
		back: backend{runs: make(map[string]int), answer: make(map[string]once.Outcome)},
	}
	w.store = kvmem.NewStore(w.clock)
	w.kv = &faultyKV{store: w.store, clock: w.clock, random: w.random, calls: make(map[string]int)}
	for i := range entries {
		w.entries = append(w.entries, w.start(fmt.Sprintf("e%d", i), 1))
	}
	w.tellMembers()
	return w
}

func (w *onceWorld) start(name string, incarnation uint64) *entry {
	e := &entry{world: w, name: name, incarnation: incarnation, waiting: make(map[uint64]*asked)}
	settings := w.settings
	settings.Self, settings.Incarnation = name, incarnation
	part := once.New(settings, rand.New(rand.NewPCG(incarnation, uint64(len(name)+int(name[1])))))
	e.loop = drive.NewLoop(part, ports.Env{KV: w.kv, Timer: w.clock}, drive.WithListener(e.listen))
	e.loop.Post(once.Start{})
	return e
}

// restart kills an entry at whatever point it is and starts it anew.
func (w *onceWorld) restart(i int) {
	old := w.entries[i]
	old.dead = true
	old.loop.Stop()
	w.entries[i] = w.start(old.name, old.incarnation+1)
	w.tellMembers()
}

func (w *onceWorld) tellMembers() {
	var members []ports.Member
	for _, e := range w.entries {
		members = append(members, ports.Member{ID: e.name, Incarnation: e.incarnation, Phase: ports.MemberAlive})
	}
	for _, e := range w.entries {
		e.loop.Post(once.MembersChanged{Members: members})
	}
}

func (w *onceWorld) ask(i int, key, sum string, within time.Duration) *asked {
	w.next++
	a := &asked{key: key, at: w.clock.Now(), within: within}
	w.calls = append(w.calls, a)
	e := w.entries[i]
	e.waiting[w.next] = a
	e.loop.Post(once.ClaimAsked{ID: w.next, Claim: once.Claim{
		Service: "tickets", Tenant: "vendors", Key: key, BodySum: sum, Within: within, WithoutKV: w.withoutKV,
	}})
	return a
}

func (e *entry) listen(value any) {
	v, ok := value.(once.ClaimAnswered)
	if !ok {
		return
	}
	a := e.waiting[v.ID]
	delete(e.waiting, v.ID)
	a.verdict = &v.Verdict
	a.answeredAt = e.world.clock.Now()
	if v.Verdict.Kind == once.VerdictRun || v.Verdict.Kind == once.VerdictRunUnclaimed {
		e.send(a, v.Verdict.Ticket)
	}
}

// send plays the path of a claimed call: a delay, the call, and its end.
func (e *entry) send(a *asked, ticket once.Ticket) {
	w := e.world
	w.clock.After(w.upTo(w.sendDelay), func() {
		if e.dead {
			return
		}
		late := !w.clock.Now().Before(a.at.Add(a.within))
		if late || w.random.Float64() < w.refuse {
			e.loop.Post(once.Finished{Finish: once.Finish{Ticket: ticket, Ending: once.EndedNotRun}})
			return
		}
		e.run(a, ticket)
	})
}

func (e *entry) run(a *asked, ticket once.Ticket) {
	w := e.world
	w.back.runs[a.key]++
	a.ran = true
	outcome := once.Outcome{Status: 201, Body: fmt.Appendf(nil, "ticket %s number %d", a.key, w.next), BodyKept: true}
	w.back.answer[a.key] = outcome
	w.clock.After(w.upTo(w.runTime), func() {
		if e.dead {
			return
		}
		e.loop.Post(once.Finished{Finish: once.Finish{Ticket: ticket, Ending: once.EndedAnswered, Outcome: outcome}})
		if w.answered != nil {
			w.answered(e, a.key)
		}
	})
}

func (w *onceWorld) upTo(d time.Duration) time.Duration {
	if d <= 0 || w.exact {
		return d
	}
	return time.Duration(w.random.Int64N(int64(d)))
}
