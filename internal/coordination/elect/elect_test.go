package elect

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/world"
)

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
	r.stop(first)
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
		{"before a release", 0, (*fixture).stop},
		{"before a kill", 0, (*fixture).kill},
		{"after a release", 2 * time.Second, (*fixture).stop},
		{"after a kill", 4 * time.Second, (*fixture).kill},
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
		r.startOn(i, f)
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
		r.startOn(i, countingKV{nd.kv, &calls})
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
		r.startOn(i, countingKV{nd.kv, &calls[i]})
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
	start := func() { r.start(1, WithAcquireDelay(delay)) }
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
