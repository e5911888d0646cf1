package engine

import (
	"fmt"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/internal/transport/gate"
)

// TestReadBytes prints what the regular reads of a target cost with all that HTTP
// adds, by the replicas that it holds and the requests between two reads: load
// report and cache events by an entry that uses it, state by its shard's owner.
func TestReadBytes(t *testing.T) {
	const memory, reads = 80 << 30, 10
	for _, replicas := range []int{1, 4, 12} {
		var bytes atomic.Int64
		count := func(netip.AddrPort) gate.Count { return func(_ bool, n int) { bytes.Add(int64(n)) } }
		c := New(WithWatch(count))
		s := target.New(target.WithID("bul-a-t1"), target.WithMemory(memory),
			target.WithLoadTime(func(string) time.Duration { return 0 }))
		at, err := s.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		for i := range replicas {
			o := ports.Order{
				Kind: ports.OrderLoad, Epoch: 1, Replica: fmt.Sprintf("bul-a/0-1-%d", i),
				Model: fmt.Sprintf("model-%03d", i), Checkpoint: fmt.Sprintf("checkpoint-%03d", i), MemoryBytes: memory / 16,
			}
			if reply := order(t, c, at, o); reply.Status != ports.OrderTaken {
				t.Fatalf("load: %+v", reply)
			}
		}
		for _, requests := range []int{0, 10} {
			var load, events, state int64
			after := uint64(0)
			for read := range reads {
				for i := range requests {
					generate(t, c, at, fmt.Sprintf("r%d-%d", read, i))
				}
				load += spentOn(&bytes, func() { _, err = c.Load(t.Context(), at) })
				if err != nil {
					t.Fatal(err)
				}
				var got wire.CacheEvents
				events += spentOn(&bytes, func() { got, err = c.Events(t.Context(), at, after) })
				if err != nil {
					t.Fatal(err)
				}
				after = max(after, got.Last)
				state += spentOn(&bytes, func() { order(t, c, at, ports.Order{Kind: ports.OrderReport}) })
			}
			t.Logf("%2d replicas, %2d requests between reads: load report %d B, cache events %d B, state %d B",
				replicas, requests, load/reads, events/reads, state/reads)
		}
		c.Close()
		s.Close()
	}
}

func spentOn(bytes *atomic.Int64, read func()) int64 {
	before := bytes.Load()
	read()
	return bytes.Load() - before
}

// generate has one answer of one token generated for a prompt of its own.
func generate(t *testing.T, c *Client, at netip.AddrPort, id string) {
	t.Helper()
	stream, err := c.Generate(t.Context(), at, wire.GenerateRequest{
		RequestID: id, Replica: "bul-a/0-1-0", Model: "model-000", MaxTokens: 1, Within: 10 * time.Second,
		Messages: []wire.Message{{Role: "user", Content: "seats for " + id}},
	})
	if err != nil {
		t.Fatal(err)
	}
	defer stream.Close()
	for {
		chunk, err := stream.Next(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		if chunk.Done {
			return
		}
	}
}
