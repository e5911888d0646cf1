package elect

import (
	"fmt"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/stand/world"
)

const (
	// calls is the time that a few calls to the store take.
	calls = 200 * time.Millisecond
	// afterStop is the longest pause after a planned stop, afterLoss that after a holder has
	// disappeared, and afterCopy that after the store has come back from an older copy.
	afterStop = testOrderTime + testHandover + calls
	afterLoss = testTTL + testArrival + testHandover + calls
	afterCopy = testTTL + unknownArrival + testHandover + calls
	// continued is the longest pause of a holder that takes the key again.
	continued = proofInterval + calls
	// retried is the longest delay after which an instance calls the store again.
	retried = maxRetryDelay * 3 / 2
	// deferral is the longest time for which others leave the key to the last holder.
	deferral = deferDelay + deferJitter
	// outage is how long faults of the store last, away how long the store is away before it
	// comes back from a copy.
	outage = 8 * time.Second
	away   = 300 * time.Millisecond
	raise  = time.Second
	// formerTerm is the age of a copy from the term of the first holder, in that of the second.
	formerTerm = 7 * time.Second
)

// termEnd is a way in which the term of a holder ends or may end.
type termEnd struct {
	name string
	// end is called with the holder.
	end func(r *fixture, holder int)
	// pause is the longest time without orders.
	pause time.Duration
}

// termStart leads to the term that ends.
type termStart struct {
	name  string
	start func(r *fixture)
}

var termStarts = []termStart{
	{"first holder", func(r *fixture) { r.advance(time.Second) }},
	{"second holder", func(r *fixture) {
		r.advance(time.Second)
		first := r.holder
		r.kill(first)
		r.advance(afterLoss)
		r.start(first)
		r.advance(time.Second)
	}},
	{"second term of the first holder", func(r *fixture) {
		r.advance(time.Second)
		r.deleteKey()
		r.advance(time.Second)
	}},
}

// during sets the faults of all connections to the store for the time of an outage.
func during(f world.KVFaults) func(*fixture, int) {
	return func(r *fixture, _ int) {
		r.setFaults(f)
		r.advance(outage)
		r.heal()
	}
}

// cutOff cuts an instance off from the store for the time of an outage.
func cutOff(r *fixture, i int) { withFaults(world.KVFaults{Down: true})(r, i) }

// afterDelay calls end after the time in which another instance defers or waits.
func afterDelay(d time.Duration, end func(*fixture, int), then func(*fixture)) func(*fixture, int) {
	return func(r *fixture, i int) {
		end(r, i)
		r.advance(d)
		then(r)
	}
}

// successor returns an instance that has acquired the key after the end of another.
func (r *fixture) successor() int {
	for range int(afterLoss / tick) {
		for i, nd := range r.nodes {
			if nd.status.IsHolder && i != r.holder {
				return i
			}
		}
		r.advance(tick)
	}
	return -1
}

// thenSuccessor kills the holder and ends the term of its successor while that waits.
func thenSuccessor(end func(*fixture, int)) func(*fixture, int) {
	return func(r *fixture, i int) {
		r.kill(i)
		end(r, r.successor())
	}
}

// withFaults changes the calls of an instance to the store for the time of an outage.
func withFaults(f world.KVFaults) func(*fixture, int) {
	return func(r *fixture, i int) {
		r.nodes[i].kv.SetFaults(f)
		r.timer.After(outage, func() { r.nodes[i].kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond}) })
	}
}

func restoreFrom(age time.Duration) func(*fixture) {
	return func(r *fixture) { r.restore(away, age) }
}

func changeHandover(d time.Duration) func(*fixture) {
	return func(r *fixture) { r.setHandover(r.handover + d) }
}

func noEnd(*fixture, int) {}

func freezeFor(d time.Duration) func(*fixture, int) {
	return func(r *fixture, i int) {
		r.freeze(i)
		r.timer.After(d, func() {
			if r.nodes[i].frozen {
				r.unfreeze(i)
			}
		})
	}
}

var termEnds = []termEnd{
	{"planned stop", (*fixture).stop, afterStop},
	{"planned restart", (*fixture).planRestart, testOrderTime + restartDelay + startJitter + calls},
	{"kill", (*fixture).kill, afterLoss},
	{"restart", (*fixture).restart, startJitter + calls},
	{"late restart", afterDelay(4*time.Second, (*fixture).kill, func(r *fixture) { r.start(r.holder) }), afterLoss},
	{"freeze", freezeFor(10 * time.Second), afterLoss},
	{"short freeze", freezeFor(testTTL), afterLoss},
	{"lost key", func(r *fixture, _ int) { r.deleteKey() }, continued},
	{"lost lease", func(r *fixture, _ int) { r.endLease() }, continued},
	{"lost key of a holder that is cut off", func(r *fixture, i int) {
		cutOff(r, i)
		r.deleteKey()
	}, testArrival + testHandover + calls},
	{"lost key of a frozen holder", func(r *fixture, i int) {
		freezeFor(3*time.Second)(r, i)
		r.deleteKey()
	}, testArrival + testHandover + calls},
	{"lost key of a holder whose reads fail", func(r *fixture, i int) {
		withFaults(world.KVFaults{Latency: 8 * time.Millisecond, NoReads: true})(r, i)
		r.deleteKey()
	}, testArrival + testHandover + calls},
	{"holder whose renewals fail", withFaults(world.KVFaults{Latency: 8 * time.Millisecond, NoWrites: true}), afterLoss},
	{"planned stop of the successor", thenSuccessor((*fixture).stop), deferral + afterLoss + calls},
	{"planned stop of the successor of one that is cut off", func(r *fixture, i int) {
		cutOff(r, i)
		r.deleteKey()
		r.stop(r.successor())
	}, deferral + testArrival + testHandover + calls},
	{"kill of the successor", thenSuccessor((*fixture).kill), deferral + testTTL + afterLoss + calls},
	{"restart of the successor", thenSuccessor((*fixture).restart), deferral + afterLoss + startJitter + calls},
	{"kill, and a successor whose record has no answer", func(r *fixture, i int) {
		r.kill(i)
		next := r.nodes[r.successor()]
		r.advance(next.status.OrderFrom.Sub(r.timer.Now()) - tick)
		next.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond, LoseAnswers: 1, LateWrites: lateWrites})
		r.advance(calls)
		next.kv.SetFaults(world.KVFaults{Latency: 8 * time.Millisecond})
	}, afterLoss + 2*minRetryDelay + calls},
	{"holder without store", cutOff, afterLoss},
	{"outage of the store", during(world.KVFaults{Down: true}), outage + retried + testArrival + testHandover + calls},
	{"slow store", during(world.KVFaults{Latency: 500 * time.Millisecond}), calls},
	{"very slow store", during(world.KVFaults{Latency: 1200 * time.Millisecond}), outage + afterLoss},
	{"late answers", during(world.KVFaults{Latency: 8 * time.Millisecond, LateAnswers: slowAnswers}), outage + afterLoss},
	{
		"lost answers", during(world.KVFaults{Latency: 100 * time.Millisecond, LoseAnswers: 0.4, LateWrites: lateWrites}),
		outage + lateWrites + afterLoss,
	},
	{"kill and lost answers", func(r *fixture, i int) {
		r.kill(i)
		during(world.KVFaults{Latency: 100 * time.Millisecond, LoseAnswers: 0.4, LateWrites: lateWrites})(r, i)
	}, outage + lateWrites + afterLoss},
	{"raised handover", afterDelay(0, noEnd, changeHandover(raise)), calls},
	{"lowered handover", afterDelay(0, noEnd, changeHandover(-raise)), calls},
	{"raised handover after a planned stop", afterDelay(2*time.Second, (*fixture).stop, changeHandover(raise)), afterStop + raise},
	{"raised handover after a kill", afterDelay(4*time.Second, (*fixture).kill, changeHandover(raise)), afterLoss + raise},
	{"lowered handover after a kill", afterDelay(2*time.Second, (*fixture).kill, changeHandover(-raise)), afterLoss},
	{"older copy of the same term", afterDelay(0, noEnd, restoreFrom(copyInterval)), away + afterCopy},
	{"older copy of before the term", afterDelay(0, noEnd, restoreFrom(maxCopyAge)), away + afterCopy},
	{"older copy of the former term", afterDelay(0, noEnd, restoreFrom(formerTerm)), away + afterCopy},
	{"older copy of the former term and a kill", afterDelay(0, (*fixture).kill, restoreFrom(formerTerm)), away + afterCopy},
	{"older copy twice", func(r *fixture, _ int) {
		r.restore(away, 2*time.Second)
		r.advance(calls)
		r.restore(away, maxCopyAge)
	}, 2*away + calls + afterCopy},
	{"older copy twice, the second time while orders wait", func(r *fixture, _ int) {
		r.restore(away, 2*time.Second)
		r.advance(testHandover)
		r.restore(away, time.Second)
	}, 2*away + testHandover + afterCopy},
	{"older copy with late writes", func(r *fixture, _ int) {
		r.setFaults(world.KVFaults{Latency: 8 * time.Millisecond, LoseAnswers: 1, LateWrites: lateWrites})
		r.deleteKey()
		r.advance(time.Second)
		r.restore(away, time.Second)
		r.heal()
	}, time.Second + retried + away + lateWrites + afterCopy},
	{"older copy while a former holder is settled", afterDelay(time.Second, (*fixture).stop, restoreFrom(time.Second)), time.Second + away + afterCopy},
	{"older copy in a planned stop", afterDelay(100*time.Millisecond, (*fixture).stop, restoreFrom(maxCopyAge)), testOrderTime + away + afterCopy},
	{"older copy in an election", afterDelay(1500*time.Millisecond, (*fixture).kill, restoreFrom(copyInterval)), 1500*time.Millisecond + away + afterCopy},
	{"older copy after a kill", afterDelay(2*time.Second, (*fixture).kill, restoreFrom(maxCopyAge)), 2*time.Second + away + afterCopy},
	{"older copy while the holder is frozen", afterDelay(100*time.Millisecond, freezeFor(3*time.Second), restoreFrom(maxCopyAge)), away + calls + afterCopy},
	{"older copy while the holder is cut off", afterDelay(100*time.Millisecond, cutOff, restoreFrom(maxCopyAge)), away + calls + afterCopy},
	{"older copy and a restart", afterDelay(0, (*fixture).restart, restoreFrom(maxCopyAge)), away + startJitter + afterCopy},
}

// TestEndsOfTerms walks over the ways in which a term ends. It checks the orders as they arrive,
// and that the pause until the next one is no longer than it has to be. It guards against a
// holder whose orders arrive within the handover after those of the former one.
func TestEndsOfTerms(t *testing.T) {
	for _, end := range termEnds {
		for _, start := range termStarts {
			t.Run(end.name+" of the "+start.name, func(t *testing.T) {
				for seed := range uint64(6) {
					if failure := endTerm(seed, start, end); failure != "" {
						t.Errorf("seed %d: %s", seed, failure)
					}
				}
			})
		}
	}
}

// endTerm ends a term and returns what is wrong about the orders after it. The store has come
// back from a copy before the first start for odd seeds.
func endTerm(seed uint64, start termStart, end termEnd) string {
	r := newFixtureOf(3, seed, int(seed%2))
	start.start(r)
	if !r.nodes[r.holder].status.CanOrder(r.timer.Now()) {
		return "the holder may not send orders before the end of its term"
	}
	r.markPause()
	end.end(r, r.holder)
	r.advance(end.pause + testOrderTime + time.Second)
	if r.violation != "" {
		return r.violation
	}
	if pause := r.pause(); pause > end.pause {
		return fmt.Sprintf("no orders for %v, at most %v expected", pause, end.pause)
	}
	return ""
}
