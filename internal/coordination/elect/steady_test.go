package elect

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// deafKV drops the replies to reads while isDeaf is set, and renews leases as usual.
type deafKV struct {
	ports.KV
	isDeaf bool
}

func (f *deafKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	if _, isRead := req.(ports.KVGet); isRead && f.isDeaf {
		done = func(ports.KVReply) {}
	}
	f.KV.Call(req, done)
}

// TestOneInstanceIsSteady deletes the key of a holder whose renewals are answered and whose reads
// are not. It guards against two instances at once that issue the permits of teams and targets,
// and tell the others of targets.
func TestOneInstanceIsSteady(t *testing.T) {
	for seed := range uint64(20) {
		r := newFixture(3, seed)
		var stores []*deafKV
		for i, nd := range r.nodes {
			nd.loop.Stop()
			f := &deafKV{KV: nd.kv}
			stores = append(stores, f)
			r.startOn(i, f)
		}
		r.advance(8*time.Second + time.Duration(seed)*17*time.Millisecond)
		former := r.holderNow()
		stores[former].isDeaf = true
		r.deleteKey()
		lostAt := r.timer.Now()
		for r.timer.Now().Sub(lostAt) < 4*time.Second {
			r.advance(tick)
			if got := r.countSteady(); got > 1 {
				t.Fatalf("seed %d: %d instances are certain to be the holder %v after the loss of the key",
					seed, got, r.timer.Now().Sub(lostAt))
			}
		}
		if r.holderNow() < 0 {
			t.Errorf("seed %d: no holder 4 s after the loss of the key", seed)
		}
	}
}

// countSteady returns the number of instances that are certain to be the holder.
func (r *fixture) countSteady() int {
	n := 0
	for _, nd := range r.nodes {
		if nd.status.IsSteady(r.timer.Now()) {
			n++
		}
	}
	return n
}
