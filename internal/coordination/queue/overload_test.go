package queue_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// The back end of the overload trials has ten slots and takes 100 ms for a request, so that it
// can serve 100 requests a second.
const (
	trialPlaces      = 10
	trialServiceTime = 100 * time.Millisecond
	trialCapacity    = 100
	trialDuration    = 30 * time.Second
	// interactiveDeadline is the time limit of an interactive request.
	interactiveDeadline = 2 * time.Second
	// deferrableDeadline is the time limit of a deferrable request.
	deferrableDeadline = 20 * time.Second
	// firstTokenTarget is the target for the 95th percentile of the time to the first token.
	firstTokenTarget = 1300 * time.Millisecond
)

// trial counts requests by class, and records the waits of those served.
type trial struct {
	mu         sync.Mutex
	sent, good map[config.Class]int
	// waits are the times in the queue of the interactive requests that were served.
	waits []time.Duration
	// refusedLate counts the interactive requests that were refused after more than a tenth
	// of their time limit.
	refusedLate int
	// end is when counting ends; requests that finish later are not counted as good.
	end time.Time
}

func (tr *trial) report(load int) string {
	rate := func(n int) float64 { return float64(n) / trialDuration.Seconds() }
	share := func(c config.Class) float64 { return 100 * float64(tr.good[c]) / float64(tr.sent[c]) }
	slices.Sort(tr.waits)
	return fmt.Sprintf("load %4d %%: good %5.1f/s, interactive %5.1f/s (%3.0f %%), deferrable %5.1f/s (%3.0f %%), "+
		"interactive wait p50 %v p99 %v, refused after a wait %d",
		load, rate(tr.good[config.ClassInteractive]+tr.good[config.ClassDeferrable]),
		rate(tr.good[config.ClassInteractive]), share(config.ClassInteractive),
		rate(tr.good[config.ClassDeferrable]), share(config.ClassDeferrable),
		tr.wait(50), tr.wait(99), tr.refusedLate)
}

func (tr *trial) wait(percentile int) time.Duration {
	if len(tr.waits) == 0 {
		return 0
	}
	return tr.waits[(len(tr.waits)-1)*percentile/100].Round(time.Millisecond)
}

// server gets a slot for a request: it returns a function that releases the slot, or false if
// the request is refused.
type server func(class config.Class, within time.Duration) (release func(), ok bool)

// run sends requests at random times, at a rate of load percent of the capacity. Half of them
// are interactive.
func run(load int, serve server) *trial {
	tr := &trial{sent: make(map[config.Class]int), good: make(map[config.Class]int)}
	random := newRandom(uint64(load))
	var wg sync.WaitGroup
	gap := float64(time.Second) / float64(trialCapacity*load/100)
	tr.end = time.Now().Add(trialDuration)
	for time.Now().Before(tr.end) {
		class, within := config.ClassInteractive, interactiveDeadline
		if random.IntN(2) == 0 {
			class, within = config.ClassDeferrable, deferrableDeadline
		}
		took := time.Duration(float64(trialServiceTime) * (0.5 + random.Float64()))
		wg.Go(func() { tr.send(class, within, took, serve) })
		time.Sleep(time.Duration(random.ExpFloat64() * gap))
	}
	wg.Wait()
	return tr
}

func (tr *trial) send(class config.Class, within, took time.Duration, serve server) {
	start := time.Now()
	release, ok := serve(class, within)
	waited := time.Since(start)
	if ok {
		time.Sleep(took)
		release()
	}
	tr.mu.Lock()
	defer tr.mu.Unlock()
	tr.sent[class]++
	if !ok {
		if class == config.ClassInteractive && waited > within/10 {
			tr.refusedLate++
		}
		return
	}
	if class == config.ClassInteractive {
		tr.waits = append(tr.waits, waited)
	}
	if time.Since(start) <= within && time.Now().Before(tr.end) {
		tr.good[class]++
	}
}

// serveQueued is a server that uses the queues of this package.
func (r *harness) serveQueued(class config.Class, within time.Duration) (func(), bool) {
	res := r.acquire(r.t.Context(), r.request("m", class, "a", within))
	if res.reason != "" {
		return nil, false
	}
	start := time.Now()
	return func() { r.done(res.grant, time.Since(start)) }, true
}

// fifoQueue returns the baseline server: first in, first out, with a fixed bound, no deadlines
// and no shedding.
func fifoQueue(length int) server {
	places := make(chan struct{}, trialPlaces)
	waiting := make(chan struct{}, length)
	return func(config.Class, time.Duration) (func(), bool) {
		select {
		case waiting <- struct{}{}:
		default:
			return nil, false
		}
		places <- struct{}{}
		<-waiting
		return func() { <-places }, true
	}
}

var trialLoads = []int{50, 90, 200, 1000}

// TestOverload checks that at twice and ten times the capacity goodput is no lower than at
// 90 %, that neither class is starved, that deferrable work is shed first, and that interactive
// requests are refused early and granted early enough for the first token.
func TestOverload(t *testing.T) {
	var at90 float64
	for _, load := range trialLoads {
		var tr *trial
		synctest.Test(t, func(t *testing.T) {
			r := newHarness(t, nil)
			r.applyRow(ready("m", trialPlaces))
			tr = run(load, r.serveQueued)
			r.checkEmpty("m")
		})
		t.Log(tr.report(load))
		good := float64(tr.good[config.ClassInteractive] + tr.good[config.ClassDeferrable])
		if load <= 90 {
			at90 = good
			continue
		}
		if good < at90 {
			t.Errorf("goodput fell from %.0f at 90 %% to %.0f at %d %%", at90, good, load)
		}
		if tr.good[config.ClassDeferrable] == 0 || tr.good[config.ClassInteractive] == 0 {
			t.Errorf("a class was starved at %d %%: %v of %v", load, tr.good, tr.sent)
		}
		if tr.wait(95) > firstTokenTarget-trialServiceTime {
			t.Errorf("a wait of %v at p95 leaves no time for a first token within %v", tr.wait(95), firstTokenTarget)
		}
		if tr.refusedLate > 0 {
			t.Errorf("%d interactive requests were refused after a long wait at %d %%", tr.refusedLate, load)
		}
		if tr.good[config.ClassInteractive] < 2*tr.good[config.ClassDeferrable] {
			t.Errorf("deferrable work was not shed first at %d %%: %v of %v", load, tr.good, tr.sent)
		}
	}
}

// TestOverloadBaseline prints the same figures for plain FIFO queues and checks nothing.
func TestOverloadBaseline(t *testing.T) {
	if testing.Short() {
		t.Skip("figures only")
	}
	for _, length := range []int{100, 10_000} {
		for _, load := range trialLoads {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("plain queue of %5d, %s", length, run(load, fifoQueue(length)).report(load))
			})
		}
	}
}
