package await_test

import (
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/state/config"
)

// The back end of the overload trials: ten places of 100 ms each, so that it
// can do 100 requests a second.
const (
	trialPlaces   = 10
	trialService  = 100 * time.Millisecond
	trialCapacity = 100
	trialTime     = 30 * time.Second
	// interactiveWithin is the deadline of an interactive request, deferrable of
	// a deferrable one.
	interactiveWithin = 2 * time.Second
	deferrableWithin  = 20 * time.Second
	// firstToken is the target for 95 in 100.
	firstToken = 1300 * time.Millisecond
)

// trial counts, by class, the requests that were served in time, and the waits
// of those served.
type trial struct {
	mu         sync.Mutex
	sent, good map[config.Class]int
	// waits are those of interactive requests that were served.
	waits []time.Duration
	// held counts the interactive requests refused after more than a tenth of
	// their time.
	held int
	// end is when counting ends, so that what is queued by then adds nothing.
	end time.Time
}

func (tr *trial) report(load int) string {
	rate := func(n int) float64 { return float64(n) / trialTime.Seconds() }
	share := func(c config.Class) float64 { return 100 * float64(tr.good[c]) / float64(tr.sent[c]) }
	slices.Sort(tr.waits)
	return fmt.Sprintf("load %4d %%: good %5.1f/s, interactive %5.1f/s (%3.0f %%), deferrable %5.1f/s (%3.0f %%), "+
		"interactive wait p50 %v p99 %v, refused after a wait %d",
		load, rate(tr.good[config.ClassInteractive]+tr.good[config.ClassDeferrable]),
		rate(tr.good[config.ClassInteractive]), share(config.ClassInteractive),
		rate(tr.good[config.ClassDeferrable]), share(config.ClassDeferrable),
		tr.wait(50), tr.wait(99), tr.held)
}

func (tr *trial) wait(percentile int) time.Duration {
	if len(tr.waits) == 0 {
		return 0
	}
	return tr.waits[(len(tr.waits)-1)*percentile/100].Round(time.Millisecond)
}

// server is a way of handing out the places: it returns false for a refusal, or
// a function that gives the place back.
type server func(class config.Class, within time.Duration) (release func(), ok bool)

// run offers load percent of the capacity, half of it interactive, at random
// times, and counts.
func run(load int, serve server) *trial {
	tr := &trial{sent: make(map[config.Class]int), good: make(map[config.Class]int)}
	random := seeded(uint64(load))
	var wg sync.WaitGroup
	gap := float64(time.Second) / float64(trialCapacity*load/100)
	tr.end = time.Now().Add(trialTime)
	for time.Now().Before(tr.end) {
		class, within := config.ClassInteractive, interactiveWithin
		if random.IntN(2) == 0 {
			class, within = config.ClassDeferrable, deferrableWithin
		}
		took := time.Duration(float64(trialService) * (0.5 + random.Float64()))
		wg.Go(func() { tr.one(class, within, took, serve) })
		time.Sleep(time.Duration(random.ExpFloat64() * gap))
	}
	wg.Wait()
	return tr
}

func (tr *trial) one(class config.Class, within, took time.Duration, serve server) {
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
			tr.held++
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

// queued hands places out through the queues of this package.
func (r *rig) queued(class config.Class, within time.Duration) (func(), bool) {
	res := r.acquire(r.t.Context(), r.request("m", class, "a", within))
	if res.reason != "" {
		return nil, false
	}
	start := time.Now()
	return func() { r.done(res.grant, time.Since(start)) }, true
}

// plainQueue is the baseline: first come, first served, a fixed bound, no
// deadlines and nothing shed.
func plainQueue(length int) server {
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

// TestOverload holds goodput flat at twice and ten times the capacity, with
// neither class starved.
func TestOverload(t *testing.T) {
	var at90 float64
	for _, load := range trialLoads {
		var tr *trial
		synctest.Test(t, func(t *testing.T) {
			r := newRig(t, nil)
			r.row(ready("m", trialPlaces))
			tr = run(load, r.queued)
			r.mustBeEmpty("m")
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
			t.Errorf("a class starved at %d %%: %v of %v", load, tr.good, tr.sent)
		}
		if tr.wait(95) > firstToken-trialService {
			t.Errorf("%v in the queue for 95 in 100 leaves no time for a first token within %v", tr.wait(95), firstToken)
		}
		if tr.held > 0 {
			t.Errorf("%d interactive requests were held and then refused at %d %%", tr.held, load)
		}
		if tr.good[config.ClassInteractive] < 2*tr.good[config.ClassDeferrable] {
			t.Errorf("deferrable work was not shed first at %d %%: %v of %v", load, tr.good, tr.sent)
		}
	}
}

// TestOverloadBaseline prints the same for plain queues; it holds no promise.
func TestOverloadBaseline(t *testing.T) {
	if testing.Short() {
		t.Skip("figures only")
	}
	for _, length := range []int{100, 10_000} {
		for _, load := range trialLoads {
			synctest.Test(t, func(t *testing.T) {
				t.Logf("plain queue of %5d, %s", length, run(load, plainQueue(length)).report(load))
			})
		}
	}
}
