package queue_test

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// harness combines queues and a routing table with an owner whose replies the test defines.
type harness struct {
	t      *testing.T
	clock  timer.System
	table  *route.Table
	queues *queue.Queues
	owner  func(ctx context.Context, demand ports.Demand) (ports.DemandReply, error)

	mu      sync.Mutex
	demands []ports.Demand
	seq     uint64
}

func newHarness(t *testing.T, owner func(context.Context, ports.Demand) (ports.DemandReply, error), opts ...queue.Option) *harness {
	r := &harness{t: t, owner: owner}
	r.table = route.NewTable("bul-a", "bulacan", r.clock, 1)
	r.queues = queue.New(r.table, queue.DemandFunc(r.demand), r.clock, opts...)
	r.table.OnChange(r.queues.Process)
	// Pending timers and demands end before the test does.
	t.Cleanup(func() { time.Sleep(time.Minute) })
	return r
}

func (r *harness) demand(ctx context.Context, demand ports.Demand) (ports.DemandReply, error) {
	r.mu.Lock()
	r.demands = append(r.demands, demand)
	r.mu.Unlock()
	if r.owner == nil {
		return ports.DemandReply{Status: ports.DemandAccepted}, nil
	}
	return r.owner(ctx, demand)
}

func (r *harness) demandCount() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.demands)
}

func (r *harness) applyRow(row ports.Replica) {
	r.mu.Lock()
	r.seq++
	delta := ports.TableDelta{Stream: 1, Seq: r.seq, Replicas: []ports.Replica{row}}
	r.mu.Unlock()
	r.table.Apply("owner", delta)
}

func ready(model string, concurrency int) ports.Replica {
	return ports.Replica{
		ID: model + "-1", Model: model, Target: "t-" + model, Zone: "bul-a", Region: "bulacan",
		Addr: netip.MustParseAddrPort("127.0.0.1:9000"), Phase: ports.PhaseReady, Concurrency: concurrency,
	}
}

// request returns a request whose deadline is within from now.
func (r *harness) request(model string, class config.Class, tenant string, within time.Duration) queue.Request {
	return queue.Request{
		Query: route.Query{Key: model}, Class: class, Tenant: tenant,
		Deadline: r.clock.Now().Add(within), Bytes: 100,
	}
}

// result is the outcome of one request; reason is empty if it was granted.
type result struct {
	reason     admit.Reason
	retryAfter time.Duration
	took       time.Duration
	grant      queue.Grant
}

func (r *harness) acquire(ctx context.Context, req queue.Request) result {
	start := r.clock.Now()
	grant, err := r.queues.Acquire(ctx, req)
	res := result{grant: grant, took: r.clock.Now().Sub(start)}
	var refusal *admit.Refusal
	switch {
	case err == nil:
	case errors.As(err, &refusal):
		res.reason, res.retryAfter = refusal.Reason, refusal.RetryAfter
	default:
		r.t.Errorf("the error is no *admit.Refusal: %v", err)
	}
	return res
}

func (r *harness) done(g queue.Grant, took time.Duration) {
	g.Choice.Release(r.clock.Now(), route.Result{Latency: took, Duration: took})
}

func (r *harness) checkEmpty(models ...string) {
	r.t.Helper()
	if n, bytes := r.queues.Size(); n != 0 || bytes != 0 {
		r.t.Errorf("%d requests of %d bytes are still counted as waiting", n, bytes)
	}
	for _, model := range models {
		if n := r.table.InFlight(model); n != 0 {
			r.t.Errorf("%d slots on %s were never released", n, model)
		}
	}
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

func newRandom(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, 17)) }
