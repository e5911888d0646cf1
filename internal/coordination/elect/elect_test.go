package elect

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"

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
	tick          = 10 * time.Millisecond
)

// fixture is a store with several instances on virtual time.
type fixture struct {
	timer  *timer.Virtual
	store  *kvmem.Store
	random *rand.Rand
	nodes  []*node
	// lastOrderAt is when the instance holder could last have sent an order.
	lastOrderAt time.Time
	holder      int
	// handover is the minimum time between the orders of two instances.
	handover time.Duration
	// violation describes two instances that could send orders too close together.
	violation string
	terms     int
}

// node is an instance with the Part of its current incarnation.
type node struct {
	kv         *world.KV
	loop       *drive.Loop
	status     Status
	frozen     bool
	heldEvents []ports.Event
}

func newFixture(n int, seed uint64) *fixture {
	r := &fixture{
		timer: timer.NewVirtual(time.Unix(1_000_000, 0)), random: rand.New(rand.NewPCG(seed, 1)), holder: -1, handover: testHandover,
	}
	r.store = kvmem.NewStore(r.timer)
	for range n {
		r.nodes = append(r.nodes, &node{kv: world.NewKV(r.store, r.timer, r.random)})
	}
	for i, nd := range r.nodes {
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
		r.start(i)
	}
	return r
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i + 1)}), 7000)
}

func (r *fixture) start(i int) {
	nd := r.nodes[i]
	part := NewPart(address(i), testTTL, r.handover, r.random, WithOrderTime(testOrderTime))
	nd.status = Status{}
	nd.loop = drive.NewLoop(&freezablePart{part: part, node: nd}, ports.Env{KV: nd.kv, Timer: r.timer},
		drive.WithListener(func(v any) { nd.status = v.(Status) }))
	nd.loop.Post(Start{})
}

func (r *fixture) kill(i int) {
	r.nodes[i].loop.Stop()
	r.nodes[i].status = Status{}
	r.nodes[i].frozen, r.nodes[i].heldEvents = false, nil
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

func (r *fixture) unfreeze(i int) {
	nd := r.nodes[i]
	nd.frozen = false
	r.checkOrders()
	events := nd.heldEvents
	nd.heldEvents = nil
	for _, ev := range events {
		nd.loop.Post(ev)
	}
}

// checkOrders records which instance may send an order now, and whether that is too soon
// after another instance.
func (r *fixture) checkOrders() {
	now := r.timer.Now()
	for i, nd := range r.nodes {
		if nd.frozen || !nd.status.CanOrder(now) {
			continue
		}
		if r.holder >= 0 && r.holder != i && now.Sub(r.lastOrderAt) < r.handover {
			r.violation = fmt.Sprintf("instance %d may send orders %v after instance %d", i, now.Sub(r.lastOrderAt), r.holder)
		}
		if r.holder != i {
			r.terms++
		}
		r.holder, r.lastOrderAt = i, now
	}
}

func (r *fixture) advance(d time.Duration) {
	for end := r.timer.Now().Add(d); r.timer.Now().Before(end); {
		r.timer.Advance(tick)
		r.checkOrders()
	}
}

func TestFirstHolderOrdersAtOnce(t *testing.T) {
	r := newFixture(3, 1)
	r.advance(200 * time.Millisecond)
	if r.holder < 0 {
		t.Fatal("no instance may send orders")
	}
	for i, nd := range r.nodes {
		if nd.status.Holder != address(r.holder) {
			t.Errorf("instance %d names %v as the holder", i, nd.status.Holder)
		}
	}
}

// TestRestartedHolderContinuesAtOnce checks that a restarted holder need not wait, since its
// next incarnation counts as the same holder. It guards against a higher token, after which an
// order of the former incarnation that is still on its way would arrive with a lower one.
func TestRestartedHolderContinuesAtOnce(t *testing.T) {
	r := newFixture(3, 2)
	r.advance(time.Second)
	first, token := r.holder, r.nodes[r.holder].status.Token
	r.kill(first)
	r.advance(300 * time.Millisecond)
	r.start(first)
	r.advance(300 * time.Millisecond)
	s := r.nodes[first].status
	if !s.CanOrder(r.timer.Now()) || s.Token != token {
		t.Errorf("status after the restart: %+v, token before it: %d", s, token)
	}
}

// TestSuccessorWaits checks that the next holder waits after the holder was killed and
// does not return.
func TestSuccessorWaits(t *testing.T) {
	r := newFixture(3, 3)
	r.advance(time.Second)
	first := r.holder
	r.kill(first)
	r.advance(10 * time.Second)
	if r.violation != "" || r.holder == first {
		t.Errorf("holder %d, former holder %d: %s", r.holder, first, r.violation)
	}
}

// TestReleaseShortensTheWait checks that the next holder waits only for the handover
// after a planned stop.
func TestReleaseShortensTheWait(t *testing.T) {
	r := newFixture(3, 4)
	r.advance(time.Second)
	first := r.holder
	r.nodes[first].loop.Post(Release{})
	r.advance(testHandover + time.Second + 500*time.Millisecond)
	if r.violation != "" || r.holder == first {
		t.Errorf("holder %d, former holder %d: %s", r.holder, first, r.violation)
	}
}

// TestStoppingInstanceKnowsTheHolder stops an instance that is not the holder. It guards
// against one that no longer reports to the holder while it stops.
func TestStoppingInstanceKnowsTheHolder(t *testing.T) {
	r := newFixture(2, 4)
	r.advance(time.Second)
	other := 1 - r.holder
	r.nodes[other].loop.Post(Release{})
	r.advance(time.Second)
	if got := r.nodes[other].status; got != (Status{Holder: address(r.holder)}) {
		t.Errorf("status %+v, want the holder %v only", got, address(r.holder))
	}
}

// setHandover changes the handover of all instances.
func (r *fixture) setHandover(d time.Duration) {
	r.handover = d
	for _, nd := range r.nodes {
		nd.loop.Post(SetHandover{Handover: d})
	}
}

// TestRaisedHandover raises the handover before a holder stops or while the next one
// waits. It guards against a successor that waits only for the handover known at its start.
func TestRaisedHandover(t *testing.T) {
	const raised = 2 * testHandover
	for _, c := range []struct {
		name string
		// after is how long after the end of the former holder the handover is raised.
		after time.Duration
		end   func(*fixture, int)
	}{
		{"before a release", 0, func(r *fixture, i int) { r.nodes[i].loop.Post(Release{}) }},
		{"before a kill", 0, func(r *fixture, i int) { r.kill(i) }},
		{"after a release", 2 * time.Second, func(r *fixture, i int) { r.nodes[i].loop.Post(Release{}) }},
		{"after a kill", 4 * time.Second, func(r *fixture, i int) { r.kill(i) }},
	} {
		t.Run(c.name, func(t *testing.T) {
			r := newFixture(3, 10)
			r.advance(time.Second)
			first := r.holder
			if c.after == 0 {
				r.setHandover(raised)
			}
			c.end(r, first)
			if c.after > 0 {
				r.advance(c.after)
				r.setHandover(raised)
			}
			r.advance(raised + testTTL + testArrival + time.Second)
			if r.violation != "" || r.holder == first {
				t.Errorf("holder %d, former holder %d: %s", r.holder, first, r.violation)
			}
		})
	}
}

// TestKeyTakenAway deletes the holder's key while its lease is still renewed.
func TestKeyTakenAway(t *testing.T) {
	r := newFixture(3, 5)
	r.advance(time.Second)
	r.deleteKey()
	r.advance(10 * time.Second)
	if r.violation != "" {
		t.Error(r.violation)
	}
	if diff := cmp.Diff(true, r.nodes[r.holder].status.CanOrder(r.timer.Now())); diff != "" {
		t.Errorf("the holder may send orders again (-want +got):\n%s", diff)
	}
}

func (r *fixture) deleteKey() {
	r.store.Call(ports.KVGet{Key: leaseKey}, func(reply ports.KVReply) {
		if item, ok := reply.Item(); ok {
			r.store.Call(ports.KVDelete{Key: leaseKey, Expect: item.Revision}, func(ports.KVReply) {})
		}
	})
}

// compactedKV rejects watches from before compactedAt, as a store does that has compacted
// its history.
type compactedKV struct {
	ports.KV
	compactedAt ports.Revision
	watches     int
}

func (f *compactedKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	if w, ok := req.(ports.KVWatch); ok {
		f.watches++
		if w.After < f.compactedAt {
			done(ports.KVReply{Status: ports.KVConflict})
			return
		}
	}
	f.KV.Call(req, done)
}

// TestLostHistory writes other keys until the store's history no longer reaches back to
// the holder's key. The holder must keep the key, and the other instance must not repeat
// its watches in a tight loop.
func TestLostHistory(t *testing.T) {
	r := newFixture(2, 6)
	var stores []*compactedKV
	for i, nd := range r.nodes {
		nd.loop.Stop()
		f := &compactedKV{KV: nd.kv}
		stores = append(stores, f)
		nd.loop = drive.NewLoop(NewPart(address(i), testTTL, testHandover, r.random, WithOrderTime(testOrderTime)),
			ports.Env{KV: f, Timer: r.timer}, drive.WithListener(func(v any) { nd.status = v.(Status) }))
		nd.loop.Post(Start{})
	}
	r.advance(time.Second)
	first, token := r.holder, r.nodes[r.holder].status.Token
	for range 30 {
		r.store.Call(ports.KVPut{Key: "other", Expect: r.otherRevision()}, func(reply ports.KVReply) {
			for _, f := range stores {
				f.compactedAt = reply.Revision
			}
		})
		r.advance(time.Second)
	}
	if r.holder != first || r.nodes[first].status.Token != token {
		t.Errorf("holder %d with token %d changed to holder %d with token %d", first, token, r.holder, r.nodes[r.holder].status.Token)
	}
	if n := stores[1-first].watches; n > 40 {
		t.Errorf("%d watches of the instance that is not the holder", n)
	}
}

func (r *fixture) otherRevision() ports.Revision {
	var have ports.Revision
	r.store.Call(ports.KVGet{Key: "other"}, func(reply ports.KVReply) {
		if item, ok := reply.Item(); ok {
			have = item.Revision
		}
	})
	return have
}

// TestHoldersKeepApart simulates random kills, freezes, outages, lost replies and deleted
// keys. It checks that the orders of two instances are never closer than the handover.
func TestHoldersKeepApart(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFixture(3, rapid.Uint64().Draw(t, "seed"))
		for range rapid.IntRange(5, 25).Draw(t, "steps") {
			r.injectFault(t)
			r.advance(time.Duration(rapid.IntRange(10, 2500).Draw(t, "ms")) * time.Millisecond)
			if r.violation != "" {
				t.Fatal(r.violation)
			}
		}
		r.heal()
		r.advance(12 * time.Second)
		if r.violation != "" {
			t.Fatal(r.violation)
		}
		if r.holder < 0 || !r.nodes[r.holder].status.CanOrder(r.timer.Now()) {
			t.Fatal("no instance may send orders after the faults have ended")
		}
	})
}

func (r *fixture) injectFault(t *rapid.T) {
	i := rapid.IntRange(0, len(r.nodes)-1).Draw(t, "instance")
	nd := r.nodes[i]
	switch rapid.SampledFrom([]string{"kill", "freeze", "thaw", "down", "lossy", "fine", "steal", "release", "rest", "wake", "follow", "raise"}).Draw(t, "trouble") {
	case "kill":
		r.kill(i)
		r.start(i)
	case "freeze":
		nd.frozen = true
	case "thaw":
		r.unfreeze(i)
	case "down":
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond, Down: true})
	case "lossy":
		nd.kv.SetFaults(world.KVFaults{Latency: 100 * time.Millisecond, LoseAnswers: 0.4})
	case "fine":
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
	case "steal":
		r.deleteKey()
	case "rest":
		nd.loop.Post(Deactivate{})
	case "wake":
		nd.loop.Post(Activate{})
	case "follow":
		// What another instance says about the holder may be wrong or out of date.
		nd.loop.Post(SetHolder{Holder: address(rapid.IntRange(0, len(r.nodes)-1).Draw(t, "told"))})
	case "raise":
		// A frozen instance would not know of the new bound.
		if !slices.ContainsFunc(r.nodes, func(nd *node) bool { return nd.frozen }) {
			r.setHandover(r.handover + 500*time.Millisecond)
		}
	case "release":
		if !nd.frozen {
			nd.loop.Post(Release{})
			r.advance(50 * time.Millisecond)
			r.kill(i)
			r.start(i)
		}
	}
}

func (r *fixture) heal() {
	for i, nd := range r.nodes {
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
		if nd.frozen {
			r.unfreeze(i)
		}
		nd.loop.Post(Activate{})
	}
}

// countingKV counts the calls to a store.
type countingKV struct {
	ports.KV
	calls *int
}

// Call counts the call and passes it on.
func (c countingKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	*c.calls++
	c.KV.Call(req, done)
}

// TestInstancesLimitCallsInOutage checks that instances that look for the holder during
// an outage of the store make at most one call per second each, and that one of them
// becomes the holder soon after the outage.
func TestInstancesLimitCallsInOutage(t *testing.T) {
	const instances, outage = 40, 20 * time.Second
	r := newFixture(0, 7)
	calls := 0
	for i := range instances {
		nd := &node{kv: world.NewKV(r.store, r.timer, r.random)}
		nd.kv.SetFaults(world.KVFaults{Down: true})
		r.nodes = append(r.nodes, nd)
		part := NewPart(address(i), testTTL, testHandover, r.random, WithOrderTime(testOrderTime))
		nd.loop = drive.NewLoop(part, ports.Env{KV: countingKV{nd.kv, &calls}, Timer: r.timer},
			drive.WithListener(func(v any) { nd.status = v.(Status) }))
		nd.loop.Post(Start{})
	}
	r.timer.Advance(outage)
	if limit := instances * int(outage/time.Second); calls > limit {
		t.Errorf("%d calls of %d instances in %v, at most %d expected", calls, instances, outage, limit)
	}
	for _, nd := range r.nodes {
		nd.kv.SetFaults(world.KVFaults{})
	}
	r.timer.Advance(time.Second)
	for _, nd := range r.nodes {
		if nd.status.IsHolder {
			return
		}
	}
	t.Error("there is no holder one second after the outage")
}

// TestSuccessorCountsFromTheLoss checks that after the holder was killed the next one may
// send orders as soon as the lease has ended and the wait has passed since then,
// regardless of how long it took to acquire the key.
func TestSuccessorCountsFromTheLoss(t *testing.T) {
	r := newFixture(3, 3)
	r.advance(time.Second)
	first := r.holder
	r.kill(first)
	killed := r.timer.Now()
	mayOrder := func() bool {
		for _, nd := range r.nodes {
			if nd.status.CanOrder(r.timer.Now()) {
				return true
			}
		}
		return false
	}
	for !mayOrder() {
		r.advance(tick)
	}
	const calls = 200 * time.Millisecond
	if took, limit := r.timer.Now().Sub(killed), testTTL+testArrival+testHandover+calls; took > limit {
		t.Errorf("orders may be sent %v after the kill, at most %v expected", took, limit)
	}
}

// TestRestingInstancesAskNobody makes all but 12 of 200 instances passive and kills the
// holder. Only the 12 may call the store; the others follow the holder that they are
// told.
func TestRestingInstancesAskNobody(t *testing.T) {
	const instances, looking = 200, 12
	r := newFixture(0, 9)
	calls := make([]int, instances)
	for i := range instances {
		nd := &node{kv: world.NewKV(r.store, r.timer, r.random)}
		nd.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
		r.nodes = append(r.nodes, nd)
		part := NewPart(address(i), testTTL, testHandover, r.random, WithOrderTime(testOrderTime))
		nd.loop = drive.NewLoop(part, ports.Env{KV: countingKV{nd.kv, &calls[i]}, Timer: r.timer},
			drive.WithListener(func(v any) { nd.status = v.(Status) }))
		nd.loop.Post(Start{})
	}
	r.advance(time.Second)
	first := r.holder
	for _, nd := range r.nodes[looking:] {
		nd.loop.Post(Deactivate{})
	}
	clear(calls)
	r.kill(first)
	r.advance(10 * time.Second)
	resting := 0
	for _, n := range calls[looking:] {
		resting += n
	}
	if r.holder == first || r.holder >= looking || resting > 0 {
		t.Fatalf("holder %d, former holder %d; the passive instances made %d calls", r.holder, first, resting)
	}
	last := r.nodes[instances-1]
	last.loop.Post(SetHolder{Holder: address(r.holder)})
	if last.status.Holder != address(r.holder) {
		t.Errorf("a passive instance follows %v", last.status.Holder)
	}
	last.loop.Post(Activate{})
	r.advance(100 * time.Millisecond)
	if last.status.Holder != address(r.holder) || calls[instances-1] == 0 {
		t.Errorf("after Activate it follows %v and has made %d calls", last.status.Holder, calls[instances-1])
	}
}

// TestAcquireDelay starts an instance with an acquire delay together with one without.
// The delay must not keep it from finding the holder at once.
func TestAcquireDelay(t *testing.T) {
	const delay = 300 * time.Millisecond
	r := newFixture(1, 4)
	delayed := &node{kv: world.NewKV(r.store, r.timer, r.random)}
	delayed.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
	r.nodes = append(r.nodes, delayed)
	start := func() {
		part := NewPart(address(1), testTTL, testHandover, r.random, WithOrderTime(testOrderTime), WithAcquireDelay(delay))
		delayed.loop = drive.NewLoop(part, ports.Env{KV: delayed.kv, Timer: r.timer},
			drive.WithListener(func(v any) { delayed.status = v.(Status) }))
		delayed.loop.Post(Start{})
	}
	start()
	r.advance(time.Second)
	if delayed.status.IsHolder || delayed.status.Holder != address(0) {
		t.Errorf("status of the instance with an acquire delay: %+v", delayed.status)
	}
	delayed.loop.Stop()
	delayed.status = Status{}
	start()
	r.advance(startJitter + 50*time.Millisecond)
	if delayed.status.Holder != address(0) {
		t.Errorf("after a restart it names %v as the holder", delayed.status.Holder)
	}
}
