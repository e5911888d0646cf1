package queue_test

import (
	"context"
	"errors"
	"fmt"
	"runtime"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/state/config"
)

// TestColdBurst sends 500 requests for 50 models without a replica: each request gets a slot
// once its model is loaded, and the owner receives at most one demand per model and second.
func TestColdBurst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, nil)
		r.owner = func(_ context.Context, d ports.Demand) (ports.DemandReply, error) {
			return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: 3 * time.Second}, nil
		}
		var wg sync.WaitGroup
		for i := range 500 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				res := r.acquire(t.Context(), r.request(modelName(i%50), config.ClassInteractive, "a", 10*time.Second))
				if res.reason != "" || !res.grant.WasCold {
					t.Errorf("request %d: %s after %v, cold %v", i, res.reason, res.took, res.grant.WasCold)
					return
				}
				time.Sleep(100 * time.Millisecond)
				r.done(res.grant, 100*time.Millisecond)
			}()
		}
		time.Sleep(3 * time.Second)
		for i := range 50 {
			r.applyRow(ready(modelName(i), 4))
		}
		wg.Wait()
		if n := r.demandCount(); n < 50 || n > 50*4 {
			t.Errorf("%d demands for 50 models in 3 s", n)
		}
		r.checkEmpty(modelName(0), modelName(49))
	})
}

// TestTooLateIsToldAtOnce checks that a request whose deadline comes before the load ends is
// refused immediately, with a time to retry, and that one with a later deadline is served.
func TestTooLateIsToldAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, func(context.Context, ports.Demand) (ports.DemandReply, error) {
			time.Sleep(5 * time.Millisecond)
			return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: 6 * time.Second}, nil
		})
		var served, waiting, late result
		var wg sync.WaitGroup
		wg.Go(func() { served = r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", 20*time.Second)) })
		wg.Go(func() { waiting = r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", 4*time.Second)) })
		time.Sleep(time.Second)
		wg.Go(func() { late = r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", 4*time.Second)) })
		time.Sleep(5 * time.Second)
		r.applyRow(ready("m", 4))
		wg.Wait()
		if waiting.reason != admit.ReasonTooLate || waiting.took > 10*time.Millisecond || waiting.retryAfter < 5*time.Second {
			t.Errorf("4 s for a load of 6 s: %q after %v, retry after %v", waiting.reason, waiting.took, waiting.retryAfter)
		}
		if late.reason != admit.ReasonTooLate || late.took != 0 {
			t.Errorf("4 s with 5 s of the load left: %q after %v", late.reason, late.took)
		}
		if served.reason != "" {
			t.Errorf("20 s for a load of 6 s: %q after %v", served.reason, served.took)
		}
		r.done(served.grant, time.Second)
		r.checkEmpty("m")
	})
}

// TestOwnerDies makes the owner unreachable for a while: the demand is sent again until an
// owner replies, and all waiting requests are served.
func TestOwnerDies(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		r := newHarness(t, nil)
		r.owner = func(ctx context.Context, _ ports.Demand) (ports.DemandReply, error) {
			switch since := time.Since(start); {
			case since < 3*time.Second:
				<-ctx.Done()
				return ports.DemandReply{}, ctx.Err()
			case since < 5*time.Second:
				return ports.DemandReply{Status: ports.DemandElsewhere}, nil
			}
			time.AfterFunc(time.Second, func() { r.applyRow(ready("m", 8)) })
			return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: time.Second}, nil
		}
		var wg sync.WaitGroup
		for range 8 {
			wg.Go(func() {
				res := r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", 15*time.Second))
				if res.reason != "" || res.took > 8*time.Second {
					t.Errorf("%q after %v", res.reason, res.took)
					return
				}
				r.done(res.grant, time.Millisecond)
			})
		}
		wg.Wait()
		r.checkEmpty("m")
	})
}

// TestLoadFails makes a load fail: the waiting requests wait for the next load that the owner
// announces, or are refused immediately if it announces none.
func TestLoadFails(t *testing.T) {
	for _, again := range []bool{true, false} {
		t.Run(fmt.Sprint("again=", again), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newHarness(t, nil)
				failed := false
				r.owner = func(context.Context, ports.Demand) (ports.DemandReply, error) {
					r.mu.Lock()
					defer r.mu.Unlock()
					if failed && !again {
						return ports.DemandReply{Status: ports.DemandRefused, Reason: "loadFailed", RetryAfter: 30 * time.Second}, nil
					}
					return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: 2 * time.Second}, nil
				}
				var res result
				var wg sync.WaitGroup
				wg.Go(func() { res = r.acquire(t.Context(), r.request("m", config.ClassDeferrable, "a", time.Minute)) })
				time.Sleep(2100 * time.Millisecond)
				bad := ready("m", 4)
				bad.Phase, bad.Reason = ports.PhaseFailed, "checkpoint is damaged"
				r.mu.Lock()
				failed = true
				r.mu.Unlock()
				r.applyRow(bad)
				if !again {
					wg.Wait()
					if res.reason != admit.ReasonLoadFailed || res.took > 2150*time.Millisecond || res.retryAfter != 30*time.Second {
						t.Errorf("%q after %v, retry after %v", res.reason, res.took, res.retryAfter)
					}
					return
				}
				time.Sleep(2 * time.Second)
				other := ready("m", 4)
				other.ID = "m-2"
				r.applyRow(other)
				wg.Wait()
				if res.reason != "" {
					t.Errorf("%q after %v", res.reason, res.took)
				}
			})
		})
	}
}

// TestBusyTenantLeavesOthersTheirShare lets one tenant send a hundred times as many requests
// as another: nearly all requests of the other are served.
func TestBusyTenantLeavesOthersTheirShare(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, nil, queue.WithLimits(queue.Limits{MaxCount: 500, MaxBytes: 1 << 20, MaxPerQueue: 200}))
		r.applyRow(ready("m", 10))
		var mu sync.Mutex
		served := map[string]int{}
		var wg sync.WaitGroup
		send := func(tenant string) {
			wg.Go(func() {
				res := r.acquire(t.Context(), r.request("m", config.ClassInteractive, tenant, 2*time.Second))
				if res.reason != "" {
					return
				}
				time.Sleep(100 * time.Millisecond)
				r.done(res.grant, 100*time.Millisecond)
				mu.Lock()
				served[tenant]++
				mu.Unlock()
			})
		}
		// The capacity is 100 requests a second, of which the quiet tenant sends 10.
		for i := range 5000 {
			send("loud")
			if i%100 == 0 {
				send("quiet")
			}
			time.Sleep(time.Millisecond)
		}
		wg.Wait()
		if served["quiet"] < 48 || served["loud"] < 350 {
			t.Errorf("served %d of 50 quiet and %d loud requests", served["quiet"], served["loud"])
		}
		r.checkEmpty("m")
	})
}

// TestStop checks that draining refuses new requests while waiting ones are still served, and
// that RefuseWaiting answers those that still wait.
func TestStop(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, nil)
		var served, refused result
		var wg sync.WaitGroup
		wg.Go(func() { served = r.acquire(t.Context(), r.request("m", config.ClassDeferrable, "a", time.Minute)) })
		wg.Go(func() { refused = r.acquire(t.Context(), r.request("n", config.ClassDeferrable, "a", time.Minute)) })
		time.Sleep(time.Second)
		r.queues.Drain()
		if res := r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", time.Minute)); res.reason != admit.ReasonDraining {
			t.Errorf("a new request got %q", res.reason)
		}
		r.applyRow(ready("m", 1))
		synctest.Wait()
		r.queues.RefuseWaiting(time.Second)
		wg.Wait()
		if served.reason != "" || refused.reason != admit.ReasonDraining || refused.retryAfter != time.Second {
			t.Errorf("waiters got %q and %q", served.reason, refused.reason)
		}
		r.done(served.grant, time.Second)
		r.checkEmpty("m", "n")
	})
}

// TestCancelledCallerReleasesGrant cancels callers at the moment of their grant: a slot that
// was granted to a cancelled caller has to be released.
func TestCancelledCallerReleasesGrant(t *testing.T) {
	// On one processor the grant is made before the caller's goroutine sees its context end.
	defer runtime.GOMAXPROCS(runtime.GOMAXPROCS(1))
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, nil)
		for range 100 {
			ctx, cancel := context.WithCancel(t.Context())
			var res result
			var wg sync.WaitGroup
			wg.Go(func() { res = r.acquire(ctx, r.request("m", config.ClassInteractive, "a", time.Second)) })
			synctest.Wait()
			cancel()
			r.applyRow(ready("m", 4))
			wg.Wait()
			if res.reason == "" {
				r.done(res.grant, time.Millisecond)
			}
			loading := ready("m", 4)
			loading.Phase = ports.PhaseLoading
			r.applyRow(loading)
		}
		r.checkEmpty("m")
	})
}

// TestRefusedBeforeLatestUsefulStart checks that a request is refused at its latest useful
// start, when a call could no longer end before the deadline but the caller still has time to
// try elsewhere.
func TestRefusedBeforeLatestUsefulStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newHarness(t, nil)
		r.applyRow(ready("m", 1))
		for range 200 {
			r.done(r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", time.Minute)).grant, time.Second)
		}
		holds := r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", time.Minute))
		res := r.acquire(t.Context(), r.request("m", config.ClassInteractive, "a", 3*time.Second))
		if res.reason != admit.ReasonDeadline || res.took > 2*time.Second {
			t.Errorf("with 3 s for a call of 1 s: %q after %v", res.reason, res.took)
		}
		r.done(holds.grant, time.Second)
		r.checkEmpty("m")
	})
}

// TestRandomWaits mixes deadlines, classes, all failures of owners, and cancelled callers. It
// checks that each request ends before its deadline and that no slot or count is leaked.
func TestRandomWaits(t *testing.T) {
	for seed := range uint64(8) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { randomWaits(t, seed) })
		})
	}
}

func randomWaits(t *testing.T, seed uint64) {
	random := newRandom(seed)
	var mu sync.Mutex
	intN := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return random.IntN(n)
	}
	r := newHarness(t, nil, queue.WithLimits(queue.Limits{MaxCount: 200, MaxBytes: 15_000, MaxPerQueue: 60}))
	r.owner = func(ctx context.Context, d ports.Demand) (ports.DemandReply, error) {
		switch intN(5) {
		case 0:
			return ports.DemandReply{}, errors.New("no route")
		case 1:
			<-ctx.Done()
			return ports.DemandReply{}, ctx.Err()
		case 2:
			return ports.DemandReply{Status: ports.DemandRefused, Reason: "noMemory"}, nil
		}
		in := time.Duration(intN(4000)) * time.Millisecond
		time.AfterFunc(in, func() {
			row := ready(d.Model, 1+intN(8))
			if intN(4) == 0 {
				row.Phase, row.Reason = ports.PhaseFailed, fmt.Sprint("failure ", intN(1000))
			}
			r.applyRow(row)
		})
		return ports.DemandReply{Status: ports.DemandAccepted, ReadyIn: in}, nil
	}
	classes := []config.Class{config.ClassInteractive, config.ClassDeferrable, config.ClassLookup}
	var wg sync.WaitGroup
	for i := range 600 {
		within := time.Duration(50+intN(9000)) * time.Millisecond
		req := r.request(modelName(intN(6)), classes[intN(3)], fmt.Sprint("t", intN(4)), within)
		ctx, cancel := context.WithCancel(t.Context())
		if intN(5) == 0 {
			time.AfterFunc(time.Duration(intN(2000))*time.Millisecond, cancel)
		}
		wg.Go(func() {
			defer cancel()
			res := r.acquire(ctx, req)
			if res.took >= within {
				t.Errorf("request %d: %q after %v of %v", i, res.reason, res.took, within)
			}
			if res.reason == "" {
				time.Sleep(time.Duration(intN(300)) * time.Millisecond)
				r.done(res.grant, 100*time.Millisecond)
			}
		})
		time.Sleep(time.Duration(intN(20)) * time.Millisecond)
	}
	wg.Wait()
	var models []string
	for i := range 6 {
		models = append(models, modelName(i))
	}
	r.checkEmpty(models...)
}
