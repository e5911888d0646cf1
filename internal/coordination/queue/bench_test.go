package queue_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// BenchmarkWake wakes a queue in which many requests wait and no slot is free.
func BenchmarkWake(b *testing.B) {
	for _, waiting := range []int{0, 100, 3000} {
		b.Run(fmt.Sprint("waiting=", waiting), func(b *testing.B) {
			clock := timer.NewSystem()
			table := route.NewTable("bul-a", "bulacan", clock, 1)
			queues := queue.New(table, queue.DemandFunc(func(context.Context, ports.Demand) (ports.DemandReply, error) {
				return ports.DemandReply{Status: ports.DemandAccepted}, nil
			}), clock)
			table.OnChange(queues.Process)
			table.Apply("s", ports.TableDelta{Stream: 1, Seq: 1, Replicas: []ports.Replica{ready("m", 1)}})
			ctx, cancel := context.WithCancel(context.Background())
			var wg sync.WaitGroup
			request := func(tenant int) queue.Request {
				return queue.Request{
					Query: route.Query{Key: "m"}, Class: config.ClassDeferrable, Tenant: fmt.Sprint("t", tenant),
					Deadline: clock.Now().Add(time.Hour), Bytes: 1,
				}
			}
			// One call holds the only slot, so that no other request gets one.
			if _, err := queues.Acquire(ctx, request(0)); err != nil {
				b.Fatal(err)
			}
			for i := range waiting {
				wg.Go(func() { _, _ = queues.Acquire(ctx, request(i%8)) })
			}
			for n, _ := queues.Size(); n < int64(waiting); n, _ = queues.Size() {
				time.Sleep(time.Millisecond)
			}
			b.ReportAllocs()
			for b.Loop() {
				queues.Process("m")
			}
			cancel()
			wg.Wait()
		})
	}
}
