package dedup_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// faultyKV loses answers in the two ways that a caller cannot distinguish: the call took
// effect before, or takes effect later.
type faultyKV struct {
	store  *kvmem.Store
	clock  *timer.Virtual
	random *rand.Rand
	// loseRate, lateRate and downRate are the fractions of calls that fail in that way.
	loseRate, lateRate, downRate float64
	// hangs means that calls have no effect and fail after kvTimeout.
	hangs bool
	// requestDelay is added to the time in which a call reaches the service.
	requestDelay time.Duration
	calls        map[string]int
}

// kvTimeout is the time after which a hanging call fails.
const kvTimeout = 2 * time.Second

const kvLatency = 4 * time.Millisecond

func (k *faultyKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	k.calls[world.KindOf(req)]++
	roll := k.random.Float64()
	switch {
	case k.hangs:
		k.clock.After(kvTimeout, func() { done(ports.KVReply{Status: ports.KVUnknown}) })
	case roll < k.downRate:
		k.clock.After(kvLatency, func() { done(ports.KVReply{Status: ports.KVUnavailable}) })
	case roll < k.downRate+k.loseRate:
		k.clock.After(kvLatency/2, func() {
			k.store.Call(req, func(ports.KVReply) {})
			done(ports.KVReply{Status: ports.KVUnknown})
		})
	case roll < k.downRate+k.loseRate+k.lateRate:
		done(ports.KVReply{Status: ports.KVUnknown})
		k.clock.After(time.Duration(k.random.IntN(300))*time.Millisecond, func() {
			k.store.Call(req, func(ports.KVReply) {})
		})
	default:
		k.clock.After(k.requestDelay+kvLatency/2, func() {
			k.store.Call(req, func(r ports.KVReply) {
				k.clock.After(kvLatency/2, func() { done(r) })
			})
		})
	}
}

// fakeTargets counts the executions of each key, as the targets would.
type fakeTargets struct {
	runs     map[string]int
	outcomes map[string]dedup.Outcome
}

// entry is one incarnation of an entry and its part.
type entry struct {
	world       *dedupWorld
	name        string
	incarnation uint64
	loop        *drive.Loop
	dead        bool
	waiting     map[uint64]*call
}

// call is a call of a caller and its result.
type call struct {
	key      string
	at       time.Time
	timeLeft time.Duration
	decision *dedup.Decision
	// answeredAt is when the decision came.
	answeredAt time.Time
	// executed means that this call, and not a repeat of it, was executed.
	executed bool
}

// dedupWorld simulates several entries over one store in virtual time.
type dedupWorld struct {
	clock    *timer.Virtual
	random   *rand.Rand
	store    *kvmem.Store
	kv       *faultyKV
	settings dedup.Settings
	entries  []*entry
	targets  fakeTargets
	lastID   uint64
	calls    []*call
	// sendDelay and runTime are the longest times between claim and send and between send
	// and answer, in either of which an entry can crash.
	sendDelay, runTime time.Duration
	// refuseRate is the fraction of claimed calls that no target accepts.
	refuseRate float64
	// exactDelays makes sendDelay and runTime exact instead of upper bounds.
	exactDelays bool
	// onAnswer is called when a caller gets its answer.
	onAnswer func(e *entry, key string)
	// withoutKV is the WithoutKV of all claims.
	withoutKV bool
}

func newDedupWorld(seed uint64, entries int, settings dedup.Settings) *dedupWorld {
	w := &dedupWorld{
		clock: timer.NewVirtual(time.Unix(1000, 0)), random: rand.New(rand.NewPCG(seed, 1)), settings: settings,
		targets: fakeTargets{runs: make(map[string]int), outcomes: make(map[string]dedup.Outcome)},
	}
	w.store = kvmem.NewStore(w.clock)
	w.kv = &faultyKV{store: w.store, clock: w.clock, random: w.random, calls: make(map[string]int)}
	for i := range entries {
		w.entries = append(w.entries, w.start(fmt.Sprintf("e%d", i), 1))
	}
	w.sendMembers()
	return w
}

func (w *dedupWorld) start(name string, incarnation uint64) *entry {
	e := &entry{world: w, name: name, incarnation: incarnation, waiting: make(map[uint64]*call)}
	settings := w.settings
	settings.Self, settings.Incarnation = name, incarnation
	part := dedup.New(settings, rand.New(rand.NewPCG(incarnation, uint64(len(name)+int(name[1])))))
	e.loop = drive.NewLoop(part, ports.Env{KV: w.kv, Timer: w.clock}, drive.WithListener(e.listen))
	e.loop.Post(dedup.Start{})
	return e
}

// restart stops an entry abruptly and starts it again with the next incarnation.
func (w *dedupWorld) restart(i int) {
	old := w.entries[i]
	old.dead = true
	old.loop.Stop()
	w.entries[i] = w.start(old.name, old.incarnation+1)
	w.sendMembers()
}

func (w *dedupWorld) sendMembers() {
	var members []ports.Member
	for _, e := range w.entries {
		members = append(members, ports.Member{ID: e.name, Incarnation: e.incarnation, Phase: ports.MemberAlive})
	}
	for _, e := range w.entries {
		e.loop.Post(dedup.MembersChanged{Members: members})
	}
}

func (w *dedupWorld) ask(i int, key, sum string, timeLeft time.Duration) *call {
	w.lastID++
	a := &call{key: key, at: w.clock.Now(), timeLeft: timeLeft}
	w.calls = append(w.calls, a)
	e := w.entries[i]
	e.waiting[w.lastID] = a
	e.loop.Post(dedup.ClaimRequested{ID: w.lastID, Claim: dedup.Claim{
		Service: "tickets", Tenant: "vendors", Key: key, BodySum: sum, TimeLeft: timeLeft, WithoutKV: w.withoutKV,
	}})
	return a
}

func (e *entry) listen(value any) {
	v, ok := value.(dedup.ClaimAnswered)
	if !ok {
		return
	}
	a := e.waiting[v.ID]
	delete(e.waiting, v.ID)
	a.decision = &v.Decision
	a.answeredAt = e.world.clock.Now()
	if v.Decision.Kind == dedup.DecisionRun || v.Decision.Kind == dedup.DecisionRunUnclaimed {
		e.send(a, v.Decision.Ticket)
	}
}

// send simulates a claimed call: a delay, the call, and its end.
func (e *entry) send(a *call, ticket dedup.Ticket) {
	w := e.world
	w.clock.After(w.delayUpTo(w.sendDelay), func() {
		if e.dead {
			return
		}
		late := !w.clock.Now().Before(a.at.Add(a.timeLeft))
		if late || w.random.Float64() < w.refuseRate {
			e.loop.Post(dedup.CallFinished{Finish: dedup.Finish{Ticket: ticket, EndKind: dedup.EndNotRun}})
			return
		}
		e.run(a, ticket)
	})
}

func (e *entry) run(a *call, ticket dedup.Ticket) {
	w := e.world
	w.targets.runs[a.key]++
	a.executed = true
	outcome := dedup.Outcome{Status: 201, Body: fmt.Appendf(nil, "ticket %s number %d", a.key, w.lastID), BodyKept: true}
	w.targets.outcomes[a.key] = outcome
	w.clock.After(w.delayUpTo(w.runTime), func() {
		if e.dead {
			return
		}
		e.loop.Post(dedup.CallFinished{Finish: dedup.Finish{Ticket: ticket, EndKind: dedup.EndAnswered, Outcome: outcome}})
		if w.onAnswer != nil {
			w.onAnswer(e, a.key)
		}
	})
}

func (w *dedupWorld) delayUpTo(d time.Duration) time.Duration {
	if d <= 0 || w.exactDelays {
		return d
	}
	return time.Duration(w.random.Int64N(int64(d)))
}
