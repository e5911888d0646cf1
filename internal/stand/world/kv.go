package world

import (
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/state/timer"
)

// KV is one entry's connection to a shared store; each has its own faults.
type KV struct {
	store  *kvmem.Store
	timer  timer.Service
	random *rand.Rand
	faults KVFaults
	calls  map[string]int
}

// KVFaults change how calls end.
type KVFaults struct {
	// Latency is the time of a call; half passes before its effect.
	Latency time.Duration
	// Down makes every call fail without effect.
	Down bool
	// NoReads and NoWrites make every call of that kind fail without effect.
	NoReads, NoWrites bool
	// LoseAnswers is the share of calls whose answer is lost after the effect.
	LoseAnswers float64
	// LateWrites is how much later a write without an answer may take effect.
	LateWrites time.Duration
	// LateAnswers is how much later an answer may come.
	LateAnswers time.Duration
}

// NewKV returns a connection to store.
func NewKV(store *kvmem.Store, t timer.Service, random *rand.Rand) *KV {
	return &KV{store: store, timer: t, random: random, calls: make(map[string]int)}
}

// SetFaults replaces the faults of calls from now on.
func (k *KV) SetFaults(f KVFaults) {
	k.faults = f
}

// Calls returns how many calls were made, by kind: "read", "write" or "watch".
func (k *KV) Calls() map[string]int {
	return k.calls
}

// Call carries out one request under the faults.
func (k *KV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	kind := KindOf(req)
	k.calls[kind]++
	f := k.faults
	if f.Down || f.NoReads && kind == "read" || f.NoWrites && kind == "write" {
		k.timer.After(f.Latency, func() { done(ports.KVReply{Status: ports.KVUnavailable}) })
		return
	}
	if k.random.Float64() < f.LoseAnswers {
		k.timer.After(f.Latency/2+k.upTo(f.LateWrites), func() { k.store.Call(req, func(ports.KVReply) {}) })
		k.timer.After(f.Latency, func() { done(ports.KVReply{Status: ports.KVUnknown}) })
		return
	}
	k.timer.After(f.Latency/2, func() {
		k.store.Call(req, func(r ports.KVReply) {
			k.timer.After(f.Latency/2+k.upTo(f.LateAnswers), func() { done(r) })
		})
	})
}

// upTo returns a random time below limit.
func (k *KV) upTo(limit time.Duration) time.Duration {
	if limit <= 0 {
		return 0
	}
	return time.Duration(k.random.Int64N(int64(limit)))
}

// KindOf returns how a request counts: as a read, a write or a waiting watch.
func KindOf(req ports.KVRequest) string {
	switch req.(type) {
	case ports.KVGet, ports.KVList:
		return "read"
	case ports.KVWatch:
		return "watch"
	default:
		return "write"
	}
}
