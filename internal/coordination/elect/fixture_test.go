package elect

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/drive"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const (
	testTTL      = time.Second
	testHandover = 3 * time.Second
	// testOrderTime is the time from the check of an order to its arrival, testArrival that from
	// the loss of the key.
	testOrderTime = 800 * time.Millisecond
	testArrival   = 1500 * time.Millisecond
	// copyInterval is the time between copies of the store, maxCopyAge the age of the oldest one
	// that it may come back from.
	copyInterval = 250 * time.Millisecond
	maxCopyAge   = 10 * time.Second
	// restartDelay is the time from the release of the key to the start of the next process in a
	// planned restart.
	restartDelay = 50 * time.Millisecond
	tick         = 10 * time.Millisecond
)

// fixture is a store with several instances on virtual time.
type fixture struct {
	timer  *timer.Virtual
	store  *kvmem.Store
	random *rand.Rand
	nodes  []*node
	// copies are those of the last maxCopyAge, the latest one last.
	copies   []*kvmem.Copy
	copiedAt time.Time
	// holder is the instance that has sent the latest order, lastOrderAt when.
	holder      int
	lastOrderAt time.Time
	// handover is the minimum time between the orders of two instances.
	handover time.Duration
	// pending are the orders that have not arrived.
	pending []order
	judge   judge
	// violation is the first one that the judge has found.
	violation string
	// areTargetsSilent means that no target responds to a new holder.
	areTargetsSilent bool
	// longestPause is the longest time without an order since markPause.
	longestPause time.Duration
}

// node is an instance with the Part of its current incarnation.
type node struct {
	kv         *world.KV
	loop       *drive.Loop
	status     Status
	frozen     bool
	heldEvents []ports.Event
	// stopping means that the instance sends no more orders. It releases the key when
	// all of them have arrived; released is set from then on.
	stopping, released bool
	// askedAt is when the instance first asked the targets for reports in the term askedTerm;
	// readTerm is the latest term whose handover has passed since.
	askedAt             time.Time
	askedTerm, readTerm uint64
}

func newFixture(n int, seed uint64) *fixture {
	return newFixtureOf(n, seed, 0)
}

// newFixtureOf is newFixture with a store that has come back from a copy some times before.
func newFixtureOf(n int, seed uint64, era int) *fixture {
	r := &fixture{
		timer: timer.NewVirtual(time.Unix(1_000_000, 0)), random: rand.New(rand.NewPCG(seed, 1)), holder: -1, handover: testHandover,
	}
	r.store = kvmem.NewStore(r.timer)
	for range era {
		r.store.Restore(r.store.Copy())
	}
	r.keepCopy()
	for range n {
		r.nodes = append(r.nodes, &node{kv: world.NewKV(r.store, r.timer, r.random)})
	}
	for i, nd := range r.nodes {
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
		r.start(i, WithFirstStart())
	}
	return r
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func (r *fixture) start(i int, opts ...Option) { r.startOn(i, r.nodes[i].kv, opts...) }

// startOn starts an instance on a connection to the store, with a new Part.
func (r *fixture) startOn(i int, kv ports.KV, opts ...Option) {
	nd := r.nodes[i]
	part := NewPart(address(i), testTTL, r.handover, r.random, append(opts, WithOrderTime(testOrderTime))...)
	nd.status = Status{}
	nd.loop = drive.NewLoop(&freezablePart{part: part, node: nd}, ports.Env{KV: kv, Timer: r.timer},
		drive.WithListener(func(v any) { nd.status = v.(Status) }))
	nd.loop.Post(Start{})
}

func (r *fixture) kill(i int) {
	nd := r.nodes[i]
	nd.loop.Stop()
	nd.status = Status{}
	nd.frozen, nd.heldEvents = false, nil
	nd.stopping, nd.released = false, false
}

func (r *fixture) restart(i int) {
	r.kill(i)
	r.start(i)
}

// restartAll restarts all instances, now not for the first time.
func (r *fixture) restartAll() {
	for i := range r.nodes {
		r.restart(i)
	}
}

// stop begins a planned stop: the instance sends no more orders, waits until those on their
// way have arrived, and gives up the key.
func (r *fixture) stop(i int) { r.nodes[i].stopping = true }

// releaseSettled gives up the key of each instance that stops and whose orders have arrived.
func (r *fixture) releaseSettled() {
	for i, nd := range r.nodes {
		isOnWay := slices.ContainsFunc(r.pending, func(o order) bool { return o.instance == i })
		if !nd.stopping || nd.released || nd.frozen || isOnWay {
			continue
		}
		nd.released = true
		nd.loop.Post(Release{})
	}
}

// planRestart begins a planned stop and starts the instance again soon after the release.
func (r *fixture) planRestart(i int) {
	r.stop(i)
	stopped := r.nodes[i].loop
	var restart func()
	restart = func() {
		nd := r.nodes[i]
		switch {
		case nd.loop != stopped:
		case nd.released:
			r.timer.After(restartDelay, func() {
				if nd.loop == stopped {
					r.restart(i)
				}
			})
		default:
			r.timer.After(tick, restart)
		}
	}
	restart()
}

// freezablePart holds back the events of a frozen instance until it continues.
type freezablePart struct {
	part *Part
	node *node
}

func (f *freezablePart) Step(now time.Time, ev ports.Event) []ports.Effect {
	if f.node.frozen {
		f.node.heldEvents = append(f.node.heldEvents, ev)
		return nil
	}
	return f.part.Step(now, ev)
}

func (r *fixture) freeze(i int) { r.nodes[i].frozen = true }

func (r *fixture) unfreeze(i int) {
	nd := r.nodes[i]
	nd.frozen = false
	r.sendOrders()
	events := nd.heldEvents
	nd.heldEvents = nil
	for _, ev := range events {
		nd.loop.Post(ev)
	}
}

// sendOrders has each instance that may send an order now do so. One order arrives at once, one
// as late as an order may, and one in between.
func (r *fixture) sendOrders() {
	now := r.timer.Now()
	for i, nd := range r.nodes {
		if nd.frozen || nd.stopping || !nd.status.CanOrder(now) {
			continue
		}
		r.longestPause = max(r.longestPause, now.Sub(r.lastOrderAt))
		r.holder, r.lastOrderAt = i, now
		between := time.Duration(r.random.Int64N(int64(testOrderTime)))
		for _, late := range []time.Duration{0, between, testOrderTime} {
			r.pending = append(r.pending, order{instance: i, token: nd.status.Token, handover: r.handover, arrival: now.Add(late)})
		}
	}
}

// answerReports tells each new holder when the handover has passed since the targets have
// responded, which they do at once unless they are silent.
func (r *fixture) answerReports() {
	now := r.timer.Now()
	for _, nd := range r.nodes {
		term := nd.status.TermNumber
		if nd.frozen || r.areTargetsSilent || !nd.status.IsSettled(now) || nd.readTerm == term {
			continue
		}
		if nd.askedTerm != term {
			nd.askedTerm, nd.askedAt = term, now
		}
		if now.Sub(nd.askedAt) >= nd.status.Handover {
			nd.readTerm = term
			nd.loop.Post(TargetsRead{TermNumber: term})
		}
	}
}

// deliverOrders passes the orders that have arrived to the judge.
func (r *fixture) deliverOrders() {
	now := r.timer.Now()
	slices.SortStableFunc(r.pending, func(a, b order) int { return a.arrival.Compare(b.arrival) })
	for len(r.pending) > 0 && !r.pending[0].arrival.After(now) {
		violation := r.judge.arrived(r.pending[0])
		if r.violation == "" {
			r.violation = violation
		}
		r.pending = r.pending[1:]
	}
}

// keepCopy keeps a copy of the store at each copyInterval.
func (r *fixture) keepCopy() {
	if now := r.timer.Now(); now.Sub(r.copiedAt) >= copyInterval {
		r.copies = append(r.copies, r.store.Copy())
		r.copiedAt = now
	}
	if most := int(maxCopyAge/copyInterval) + 1; len(r.copies) > most {
		r.copies = r.copies[len(r.copies)-most:]
	}
}

// restore has the store be away for a time and come back from a copy of about the given age,
// or from the oldest one.
func (r *fixture) restore(away, age time.Duration) {
	backup := r.copies[max(len(r.copies)-1-int(age/copyInterval), 0)]
	r.store.SetAway(true)
	r.advance(away)
	r.store.SetAway(false)
	r.store.Restore(backup)
}

func (r *fixture) advance(d time.Duration) {
	for end := r.timer.Now().Add(d); r.timer.Now().Before(end); {
		r.timer.Advance(tick)
		r.sendOrders()
		r.answerReports()
		r.deliverOrders()
		r.releaseSettled()
		r.keepCopy()
	}
}

// markPause begins to measure the longest pause between orders.
func (r *fixture) markPause() { r.longestPause = 0 }

// pause returns the longest time without an order since markPause.
func (r *fixture) pause() time.Duration {
	return max(r.longestPause, r.timer.Now().Sub(r.lastOrderAt))
}

// setHandover changes the handover of all instances.
func (r *fixture) setHandover(d time.Duration) {
	r.handover = d
	for _, nd := range r.nodes {
		nd.loop.Post(SetHandover{Handover: d})
	}
}

func (r *fixture) deleteKey() {
	r.store.Call(ports.KVGet{Key: leaseKey}, func(reply ports.KVReply) {
		if item, ok := reply.Item(); ok {
			r.store.Call(ports.KVDelete{Key: leaseKey, Expect: item.Revision}, func(ports.KVReply) {})
		}
	})
}

// endLease ends the holder's lease.
func (r *fixture) endLease() {
	r.store.Call(ports.KVGet{Key: leaseKey}, func(reply ports.KVReply) {
		if item, ok := reply.Item(); ok {
			r.store.Call(ports.KVRevoke{Lease: item.Lease}, func(ports.KVReply) {})
		}
	})
}

// setFaults changes the faults of all connections to the store.
func (r *fixture) setFaults(f world.KVFaults) {
	for _, nd := range r.nodes {
		nd.kv.SetFaults(f)
	}
}

func (r *fixture) heal() {
	r.setFaults(world.KVFaults{Latency: 8 * time.Millisecond})
	for i, nd := range r.nodes {
		if nd.frozen {
			r.unfreeze(i)
		}
		if nd.stopping {
			r.restart(i)
		}
		nd.loop.Post(Activate{})
	}
}
