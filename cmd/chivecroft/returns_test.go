package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/stand/kvmem"
)

var (
	returnsSeeds = flag.Int("returns.seeds", 0, "play that many drawn returns of the store, one after the other")
	returnsFirst = flag.Uint64("returns.first", 1, "first of these seeds")
	returnsLogs  = flag.String("returns.logs", "", "folder for the instances' logs, kept after the test")
	returnsMore  = flag.Int("returns.more", 0, "number of further instances in the largest zone, which has relays from 25 on")
	returnsBusy  = flag.Int("returns.busy", 0, "number of processes that are busy beside")
)

// returnTrouble is what happens beside a return of the store.
type returnTrouble string

// The troubles. Those of the first line happen between the copy and the return, the others with it.
const (
	killsHolderBefore, stopsHolderBefore, stopsOneBefore returnTrouble = "holder-killed-before", "holder-stopped-before", "one-stopped-before"

	cutsOne      returnTrouble = "one-cut"
	cutsHolder   returnTrouble = "holder-cut"
	cutsZone     returnTrouble = "zone-cut"
	holdsAnswers returnTrouble = "answers-held"
	freezesOne   returnTrouble = "one-frozen"
	freezeHolder returnTrouble = "holder-frozen"
	killsHolder  returnTrouble = "holder-killed"
	stopsHolder  returnTrouble = "holder-stopped"
	restartsOne  returnTrouble = "one-restarted"
	// The store comes back while a holder is being elected, or stops as planned.
	killsHolderBeside, stopsHolderBeside returnTrouble = "holder-killed-beside", "holder-stopped-beside"
)

var returnTroubles = []returnTrouble{
	killsHolderBefore, stopsHolderBefore, stopsOneBefore, cutsOne, cutsHolder, cutsZone, holdsAnswers, freezesOne,
	freezeHolder, killsHolder, stopsHolder, restartsOne,
}

// returnPlay is one return of the store from a copy.
type returnPlay struct {
	// writes is how many other writes come at the return, before an instance gets an answer.
	writes int
	// changesAfter is after how many of them a version is written and a target leaves, -1 for none.
	changesAfter int
	// away is how long the store is away, writesAgain how late after its return the operators and
	// targets write again what was lost.
	away, writesAgain time.Duration
	troubles          []returnTrouble
	// isSoon tells that the next return follows while this one's effects last.
	isSoon bool
}

func (p returnPlay) String() string {
	return fmt.Sprintf("%d writes, changes after %d, away %v, again after %v, soon %t, %v",
		p.writes, p.changesAfter, p.away, p.writesAgain, p.isSoon, p.troubles)
}

// TestMissedChangesAfterTheStoreReturned guards against instances that read on from a revision of the
// store's former history, or compare one with it: they never hear of a version that was written
// and of a target that left while the store came back, or take back what they had.
func TestMissedChangesAfterTheStoreReturned(t *testing.T) {
	if *returnsSeeds > 0 {
		for i := range uint64(*returnsSeeds) {
			seed := *returnsFirst + i
			t.Run(fmt.Sprint(seed), func(t *testing.T) { playReturns(t, seed, drawReturns(seed)) })
		}
		return
	}
	for name, plays := range map[string][]returnPlay{
		"numbers pass the former ones": {{writes: 80, changesAfter: 2, away: 700 * time.Millisecond}},
		"numbers stay below":           {{writes: 0, changesAfter: 0, away: 700 * time.Millisecond, writesAgain: 1500 * time.Millisecond}},
		"twice in a row": {
			{writes: 80, changesAfter: 2, away: 300 * time.Millisecond, isSoon: true},
			{writes: 40, changesAfter: 2, away: 700 * time.Millisecond, writesAgain: time.Second},
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			playReturns(t, 1, plays)
		})
	}
}

// drawReturns returns the plays of a seed.
func drawReturns(seed uint64) []returnPlay {
	random, elections := rand.New(rand.NewPCG(seed, 1)), rand.New(rand.NewPCG(seed, 3))
	var out []returnPlay
	for range 2 {
		p := returnPlay{
			writes: random.IntN(120), changesAfter: random.IntN(12) - 1, away: timeBetween(random, 100*time.Millisecond, 2*time.Second),
			isSoon: random.IntN(3) == 0,
		}
		if random.IntN(2) == 0 {
			p.writesAgain = timeBetween(random, 0, 2*time.Second)
		}
		for range random.IntN(3) {
			p.troubles = append(p.troubles, returnTroubles[random.IntN(len(returnTroubles))])
		}
		if elections.IntN(2) == 0 {
			p.troubles = append(p.troubles, []returnTrouble{killsHolderBeside, stopsHolderBeside}[elections.IntN(2)])
		}
		out = append(out, p)
	}
	return out
}

func playReturns(t *testing.T, seed uint64, plays []returnPlay) {
	keepBusy(t, *returnsBusy)
	w := newReturnsWorld(t, *returnsLogs)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	w.startCallers(ctx)
	go w.watchHeldUps(ctx)
	random := rand.New(rand.NewPCG(seed, 2))
	w.change()
	time.Sleep(returnsSettle)
	for _, p := range plays {
		t.Log(p)
		w.play(p, random)
	}
	w.disturbed.Wait()
	time.Sleep(contactTime + soakBounds.ConfigApply)
	w.change()
	time.Sleep(2 * soakBounds.ConfigApply)
	stop()
	w.calling.Wait()
	w.judge()
}

// play lets the store come back from a copy that lacks a version and a leaving which all instances
// know.
func (w *returnsWorld) play(p returnPlay, random *rand.Rand) {
	w.change()
	backup := w.store.KV.Copy()
	w.other(random.IntN(20))
	w.change()
	for _, tr := range p.troubles {
		w.begin(tr, random)
	}
	time.Sleep(timeBetween(random, 3500*time.Millisecond, 4500*time.Millisecond))
	w.comeBack(p, backup, random)
	if p.isSoon {
		time.Sleep(timeBetween(random, 0, 1500*time.Millisecond))
		return
	}
	time.Sleep(timeBetween(random, contactTime, 2*contactTime))
	w.change()
	time.Sleep(returnsSettle)
}

// comeBack lets the store come back, with troubles beside and writes before anybody is answered.
func (w *returnsWorld) comeBack(p returnPlay, backup *kvmem.Copy, random *rand.Rand) {
	returned := make(chan struct{})
	for _, tr := range p.troubles {
		w.beside(tr, returned, random)
	}
	done := w.note(theStore, "back from an older copy")
	w.store.RestoreWith(w.t, backup, p.away, func() {
		for i := range p.writes + 1 {
			if i == p.changesAfter {
				w.change()
			}
			if i < p.writes {
				w.other(1)
			}
		}
	})
	done()
	close(returned)
	if p.changesAfter > p.writes {
		w.change()
	}
	w.disturbed.Go(func() {
		time.Sleep(p.writesAgain)
		w.store.WriteAgain(w.t, "")
	})
	if !p.isSoon && p.writesAgain > 0 {
		time.Sleep(p.writesAgain)
	}
}
