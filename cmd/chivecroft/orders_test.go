package main

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os/exec"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"
)

var (
	ordersSeeds = flag.Int("orders.seeds", 0, "play that many seeds of the changes of the holder, one after the other")
	ordersFirst = flag.Uint64("orders.first", 1, "first of these seeds")
	ordersFor   = flag.Duration("orders.for", 2*time.Minute, "time in which the ends of terms of a seed begin")
	ordersEnds  = flag.String("orders.ends", "", "kinds of ends of terms to draw from, separated by commas, instead of all")
	ordersLate  = flag.Duration("orders.late", -1, "time by which orders arrive late at most, instead of a drawn one")
	ordersSides = flag.Bool("orders.sides", true, "disturb links to targets and targets beside")
	ordersBusy  = flag.Int("orders.busy", 0, "number of processes that are busy beside")
	ordersLogs  = flag.String("orders.logs", "", "folder for the instances' logs, kept after the test")
)

// ordersLates are the times from which a seed draws by how much orders arrive late at most.
var ordersLates = []time.Duration{0, 250 * time.Millisecond, 800 * time.Millisecond}

// ordersPlay is what a play of changes of the holder does.
type ordersPlay struct {
	seed  uint64
	late  time.Duration
	sides bool
	// ends are played in this order; if there are none, they are drawn from kinds for a time.
	ends  []endKind
	kinds []endKind
	last  time.Duration
}

// alwaysPlayed is the play of every run of the tests. Orders that are on their way at a planned
// stop were seen within the handover of the next holder's.
var alwaysPlayed = ordersPlay{
	seed: 1, late: 250 * time.Millisecond,
	ends: []endKind{plannedStop, killedHolder, plannedStop, frozenHolder, lostKey, plannedStop},
}

// TestTwoHoldersKeepApartAtTargets guards against orders of two instances that arrive at a target
// within lease_ms, with one token, or with a token lower than one before.
func TestTwoHoldersKeepApartAtTargets(t *testing.T) {
	if *ordersSeeds == 0 {
		alwaysPlayed.run(t)
		return
	}
	for i := range uint64(*ordersSeeds) {
		seed := *ordersFirst + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) { drawnPlay(t, seed).run(t) })
	}
}

// drawnPlay returns the play of a seed with the flags of the test.
func drawnPlay(t *testing.T, seed uint64) ordersPlay {
	random := rand.New(rand.NewPCG(seed, 1))
	p := ordersPlay{
		seed: seed, late: ordersLates[random.IntN(len(ordersLates))], sides: *ordersSides, kinds: endKinds, last: *ordersFor,
	}
	if *ordersLate >= 0 {
		p.late = *ordersLate
	}
	if *ordersEnds == "" {
		return p
	}
	p.kinds = nil
	for _, name := range strings.Split(*ordersEnds, ",") {
		if !slices.Contains(endKinds, endKind(name)) {
			t.Fatalf("no end of a term is named %q; there are %q", name, endKinds)
		}
		p.kinds = append(p.kinds, endKind(name))
	}
	return p
}

func (p ordersPlay) run(t *testing.T) {
	t.Logf("orders late by up to %v, sides %t, %d busy processes", p.late, p.sides, *ordersBusy)
	keepBusy(t, *ordersBusy)
	w := newOrdersWorld(t, p.late)
	w.sides = p.sides
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	go w.watchHeldUps(ctx)
	w.startDemand(ctx)
	random := rand.New(rand.NewPCG(p.seed, 2))
	if p.sides {
		w.calling.Go(func() { w.playSides(ctx, rand.New(rand.NewPCG(p.seed, 3))) })
	}
	for _, kind := range p.ends {
		w.endTerm(kind, random)
	}
	for end := time.Now().Add(p.last); time.Now().Before(end); {
		w.endTerm(p.kinds[random.IntN(len(p.kinds))], random)
	}
	stop()
	w.calling.Wait()
	w.judge()
}

// keepBusy runs processes that do nothing but use processor time.
func keepBusy(t *testing.T, count int) {
	for range count {
		cmd := exec.Command("sh", "-c", "while :; do :; done")
		cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
		if err := cmd.Start(); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		})
	}
}
