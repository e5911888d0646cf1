package main

import (
	"context"
	"math/rand/v2"
	"net/http"
	"os"
	"syscall"
	"time"

	"chivecroft.example/chivecroft/platform/fake"
)

// endKind is a way in which the term of a holder ends, or may end.
type endKind string

// The kinds of ends.
const (
	plannedStop  endKind = "planned-stop"
	killedHolder endKind = "kill"
	frozenHolder endKind = "freeze"
	// lostKey removes the holder's key while it has no path to the store.
	lostKey      endKind = "lost-key"
	silentStore  endKind = "store-silent"
	refusingStop endKind = "store-refuses"
	slowStore    endKind = "store-slow"
	slowLink     endKind = "link-slow"
	cutLink      endKind = "link-cut"
	heldLink     endKind = "link-held"
	// lostWrites leaves half of the store's writes unanswered; some are carried out later.
	lostWrites endKind = "writes-lost"
	// raisedLease raises lease_ms while a new holder waits, quietRaise as the holder ends and
	// without a signal.
	raisedLease endKind = "lease-raised"
	quietRaise  endKind = "lease-raised-quietly"
	// storeBack lets the store come back from a copy from before the latest change of the holder.
	storeBack endKind = "store-back"
)

var endKinds = []endKind{
	plannedStop, killedHolder, frozenHolder, lostKey, silentStore, refusingStop, slowStore, slowLink, cutLink, heldLink,
	lostWrites, raisedLease, quietRaise, storeBack,
}

const (
	// holderKey is the key of the holder in the store.
	holderKey = "chivecroft/holder/lease"
	// holderTime is how long nobody may send orders, settleTime how long after an end its
	// former holder is taken for the next one too.
	holderTime = 30 * time.Second
	settleTime = 4 * time.Second
	// freezeTime is longer than a lease and the handover.
	freezeTime = 6 * time.Second
	// stillTime is how long a target stands still.
	stillTime = 4 * time.Second
	// mostWriteDelay is how much later a write without an answer is carried out at most.
	mostWriteDelay = 6 * time.Second
)

// timeBetween draws a time.
func timeBetween(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Int64N(int64(most-least)))
}

// endTerm ends the term of the present holder and waits for another one.
func (w *ordersWorld) endTerm(kind endKind, random *rand.Rand) {
	in := w.awaitHolder(holderTime)
	if in == nil {
		w.t.Errorf("nobody has sent orders for %v", holderTime)
		return
	}
	// Orders of the term are on their way by then.
	time.Sleep(timeBetween(random, 200*time.Millisecond, 1500*time.Millisecond))
	if w.sides && random.IntN(2) == 0 {
		side := w.drawSide(random, in)
		w.disturbed.Go(side)
		time.Sleep(timeBetween(random, 0, 600*time.Millisecond))
	}
	w.awaitLateOrder(in)
	w.recordMu.Lock()
	w.ends = append(w.ends, termEnd{kind, in.id, time.Now()})
	w.recordMu.Unlock()
	trouble := timeBetween(random, 2*time.Second, 6*time.Second)
	switch kind {
	case plannedStop:
		w.planned(in)
	case killedHolder:
		w.kill(in, random)
	case frozenHolder:
		w.freezeHolder(in)
	case lostKey:
		w.loseKey(in, random)
	case silentStore:
		w.store.Silent.Store(true)
		time.Sleep(trouble)
		w.store.Silent.Store(false)
	case refusingStop:
		w.store.Refuse.Store(http.StatusServiceUnavailable)
		time.Sleep(trouble)
		w.store.Refuse.Store(0)
	case slowStore:
		w.store.Slow.Store(int64(timeBetween(random, 200*time.Millisecond, time.Second)))
		time.Sleep(trouble)
		w.store.Slow.Store(0)
	case slowLink:
		w.disturbStoreLink(in, crawls, trouble)
	case cutLink:
		w.disturbStoreLink(in, severed, trouble)
	case heldLink:
		w.disturbStoreLink(in, held, trouble)
	case lostWrites:
		w.loseWrites(in, random)
	case raisedLease:
		w.kill(in, random)
		time.Sleep(timeBetween(random, 300*time.Millisecond, 2*time.Second))
		w.setHandover(raisedHandover, true)
	case quietRaise:
		w.setHandover(raisedHandover, false)
		w.kill(in, random)
	case storeBack:
		w.restoreStore(in, random)
	}
	w.awaitNextOrders(in)
	w.disturbed.Wait()
	if kind == raisedLease || kind == quietRaise {
		w.setHandover(ordersHandover, true)
	}
}

// kill kills an instance and starts it again, at once or when another one may be the holder.
func (w *ordersWorld) kill(in *soakInstance, random *rand.Rand) {
	pause := []time.Duration{0, 1500 * time.Millisecond, 6 * time.Second}[random.IntN(3)]
	w.disturbed.Go(func() { w.replace(in, syscall.SIGKILL, pause) })
}

func (w *ordersWorld) freezeHolder(in *soakInstance) {
	in.signal(syscall.SIGSTOP)
	time.Sleep(freezeTime)
	w.excuse(in.id, "")
	in.signal(syscall.SIGCONT)
}

func (w *ordersWorld) disturbStoreLink(in *soakInstance, f fate, d time.Duration) {
	heal := w.addRule(linkRule(in.id, "store", f))
	time.Sleep(d)
	heal()
}

// linkRule gives the link between an opener and an accepter a fate.
func linkRule(from, to string, f fate) rule {
	return func(a, b end) fates {
		if a.id == from && b.id == to {
			return fates{f, f}
		}
		return healed(a, b)
	}
}

func (w *ordersWorld) loseKey(in *soakInstance, random *rand.Rand) {
	f := []fate{severed, held, swallowed}[random.IntN(3)]
	heal := w.addRule(linkRule(in.id, "store", f))
	time.Sleep(timeBetween(random, 0, 300*time.Millisecond))
	w.store.Delete(holderKey)
	time.Sleep(timeBetween(random, time.Second, 6*time.Second))
	heal()
}

// loseWrites leaves half of the store's writes unanswered while the holder ends.
func (w *ordersWorld) loseWrites(in *soakInstance, random *rand.Rand) {
	w.store.DrawWrites(drawWriteFate)
	time.Sleep(timeBetween(random, 0, 2*time.Second))
	if random.IntN(2) == 0 {
		w.planned(in)
	} else {
		w.kill(in, random)
	}
	time.Sleep(timeBetween(random, 4*time.Second, 8*time.Second))
	w.store.DrawWrites(nil)
}

// restoreStore has another instance become the holder and lets the store come back from a copy
// that names the former one.
func (w *ordersWorld) restoreStore(in *soakInstance, random *rand.Rand) {
	backup := w.store.KV.Copy()
	if random.IntN(2) == 0 {
		w.planned(in)
	} else {
		w.kill(in, random)
	}
	w.awaitNextOrders(in)
	time.Sleep(timeBetween(random, 0, 2*time.Second))
	w.store.Restore(w.t, backup, timeBetween(random, 0, 3*time.Second))
}

func drawWriteFate() fake.WriteFate {
	return fake.WriteFate{
		IsLost: rand.IntN(2) == 0, IsDropped: rand.IntN(3) == 0, After: time.Duration(rand.Int64N(int64(mostWriteDelay))),
	}
}

// setHandover writes lease_ms to all boot files, and tells the processes if it is to be a signal.
func (w *ordersWorld) setHandover(d time.Duration, bySignal bool) {
	for _, in := range w.instances {
		in.mu.Lock()
		in.boot.Bounds.Handover = d
		err := os.WriteFile(in.file, []byte(in.boot.YAML()), 0o600)
		in.mu.Unlock()
		if err != nil {
			w.t.Error(err)
		}
		if bySignal && w.awaitLog(in) {
			in.signal(syscall.SIGHUP)
		}
	}
	w.recordMu.Lock()
	defer w.recordMu.Unlock()
	w.handovers = append(w.handovers, handoverChange{d, time.Now()})
}

// playSides disturbs links to targets and targets until ctx ends.
func (w *ordersWorld) playSides(ctx context.Context, random *rand.Rand) {
	for ctx.Err() == nil {
		select {
		case <-time.After(timeBetween(random, time.Second, 5*time.Second)):
		case <-ctx.Done():
			return
		}
		in := w.instances[random.IntN(len(w.instances))]
		if holder := w.holder(); holder != nil && random.IntN(4) > 0 {
			in = holder
		}
		w.drawSide(random, in)()
	}
}

// drawSide draws a disturbance of a target, or of the link of an instance to one.
func (w *ordersWorld) drawSide(random *rand.Rand, in *soakInstance) func() {
	g := w.targets[random.IntN(len(w.targets))]
	f := g.current()
	last := timeBetween(random, time.Second, 5*time.Second)
	isDropped := random.IntN(3) == 0
	switch random.IntN(4) {
	case 0, 1:
		return func() { w.holdTargetLink(in.id, f.ID, last, isDropped) }
	case 2:
		return func() { w.standStill(g) }
	}
	return func() {
		f.DelayReplies(last / 5)
		time.Sleep(last)
		f.DelayReplies(0)
	}
}

// standStill has a target accept and read nothing for a time.
func (w *ordersWorld) standStill(g *soakTarget) {
	g.turn.Lock()
	defer g.turn.Unlock()
	g.current().StandStill(true)
	time.Sleep(stillTime)
	w.resumed(g.current().ID)
	g.current().StandStill(false)
}

// holdTargetLink holds back what an instance sends to a target, and delivers or drops it later.
func (w *ordersWorld) holdTargetLink(instance, target string, d time.Duration, isDropped bool) {
	heal := w.addRule(linkRule(instance, target, held))
	time.Sleep(d)
	if isDropped {
		cut := w.addRule(linkRule(instance, target, severed))
		heal()
		cut()
		return
	}
	w.excuse(instance, target)
	heal()
}
