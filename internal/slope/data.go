package slope

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"google.golang.org/protobuf/proto"

	"chivecroft.example/chivecroft/internal/coordination/daily"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/protocol/codec"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/state/timer"
)

const gib = 1 << 30

// start is the time at which measurements on virtual time begin.
var start = time.Date(2026, 3, 28, 9, 0, 0, 0, time.UTC)

// configOf returns a configuration with adapters in the target's proportion.
func configOf(models int) *config.Config {
	c := &config.Config{
		Version:  1,
		Services: map[string]config.Service{"supper-assist": {Kind: config.KindModel, Class: config.ClassInteractive}},
		Models:   make(map[string]config.Model, models),
		Rules:    make(map[string]config.Rule, models),
		Adapters: make(map[string]config.Adapter),
	}
	for i := range models {
		name := fmt.Sprintf("model-%05d", i)
		c.Models[name] = config.Model{
			Service: "supper-assist", Checkpoint: "checkpoints/" + name, Revision: "r1",
			MemoryBytes: 16 * gib, LoadTime: config.Duration(8 * time.Second), Concurrency: 8,
		}
		c.Rules[name] = config.Rule{MaxReplicas: 2}
	}
	for i := range models * targetAdapters / targetModels {
		c.Adapters[fmt.Sprintf("adapter-%05d", i)] = config.Adapter{
			Model: fmt.Sprintf("model-%05d", i%models), Checkpoint: fmt.Sprintf("checkpoints/adapter-%05d", i), MemoryBytes: 64 << 20,
		}
	}
	return c
}

func configJSON(models int) (float64, error) {
	data, err := json.Marshal(configOf(models))
	return float64(len(data)), err
}

// patchBytes is the size of one patch of a model as it travels between entries.
func patchBytes(models int) (float64, error) {
	c := configOf(models)
	msg, err := codec.EncodeConfigDelta(ports.ConfigDelta{Patches: []config.Patch{{
		ID: "patch-0001", Base: c.Version, Author: "operator",
		Set: config.Items{Models: map[string]config.Model{"model-00000": c.Models["model-00000"]}},
	}}})
	if err != nil {
		return 0, err
	}
	return float64(proto.Size(msg)), nil
}

// heap returns the memory that build's result takes while it is held.
func heap(build func() any) float64 {
	before := heapNow()
	held := build()
	after := heapNow()
	runtime.KeepAlive(held)
	return max(float64(after)-float64(before), 0)
}

func heapNow() uint64 {
	// Two collections, so that what the first one finalizes is gone too.
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

func configHeap(models int) (float64, error) {
	data, err := json.Marshal(configOf(models))
	if err != nil {
		return 0, err
	}
	return heap(func() any {
		c := &config.Config{}
		err = json.Unmarshal(data, c)
		return c
	}), err
}

// rowsOf returns routing rows in several zones.
func rowsOf(replicas int) []ports.Replica {
	rows := make([]ports.Replica, replicas)
	for i := range rows {
		rows[i] = ports.Replica{
			ID: fmt.Sprintf("entry-%03d-1-%06d", i%targetNodes, i), Model: fmt.Sprintf("model-%05d", i%targetModels), Revision: "r1",
			Target: fmt.Sprintf("target-%05d", i), Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, byte(i >> 16), byte(i >> 8), byte(i)}), 8000),
			Zone: fmt.Sprintf("zone-%02d", i%targetZones), Region: fmt.Sprintf("region-%d", i%5), Shard: i % 8,
			Phase: ports.PhaseReady, Concurrency: 8,
		}
	}
	return rows
}

func tableBytes(replicas int) (float64, error) {
	return float64(proto.Size(codec.EncodeTableDelta(ports.TableDelta{Stream: 1, Seq: 1, Full: true, Replicas: rowsOf(replicas)}))), nil
}

func tableHeap(replicas int) (float64, error) {
	clock := timer.NewVirtual(start)
	return heap(func() any {
		t := route.NewTable("zone-00", "region-0", clock, 1)
		t.Apply("zone", ports.TableDelta{Stream: 1, Seq: 1, Full: true, Replicas: rowsOf(replicas)})
		return t
	}), nil
}

// pickNanos is the time of one routing decision.
func pickNanos(replicas int) (float64, error) {
	t := route.NewTable("zone-00", "region-0", timer.NewVirtual(start), 1)
	t.Apply("zone", ports.TableDelta{Stream: 1, Seq: 1, Full: true, Replicas: rowsOf(replicas)})
	models := min(replicas, targetModels)
	return nanosOf(func(i int) {
		choice, status := t.Pick(route.Query{Key: fmt.Sprintf("model-%05d", i%models)}, start)
		if status == route.Picked {
			choice.Release(start, route.Result{})
		}
	}), nil
}

// nanosOf returns the mean time of a call over many.
func nanosOf(call func(i int)) float64 {
	const calls = 20_000
	begin := time.Now()
	for i := range calls {
		call(i)
	}
	return float64(time.Since(begin).Nanoseconds()) / calls
}

// recorded returns a recorder of a day on which every model kept callers waiting.
func recorded(clock timer.Service, models int) *daily.Recorder {
	r := daily.NewRecorder(clock, time.UTC)
	random := rand.New(rand.NewPCG(1, 1))
	for i := range models {
		name := fmt.Sprintf("model-%05d", i)
		for range 5 {
			r.Arrived("supper-assist", config.ClassInteractive)
			r.Served("supper-assist", config.ClassInteractive)
			r.ColdStart(name, time.Duration(random.Int64N(int64(20*time.Second))))
		}
		r.IdleAccelerator(name, time.Minute)
	}
	return r
}

func dayRowBytes(models int) (float64, error) {
	clock := timer.NewVirtual(start)
	w := daily.NewWriter(daily.Settings{Instance: "entry-1", Incarnation: 1, Location: time.UTC}, recorded(clock, models), rand.New(rand.NewPCG(1, 1)))
	for _, effect := range w.Step(start, daily.Start{}) {
		if call, ok := effect.(ports.KVCall); ok {
			return float64(len(call.Req.(ports.KVPut).Value)), nil
		}
	}
	return 0, nil
}

func dayHeap(models int) (float64, error) {
	clock := timer.NewVirtual(start)
	return heap(func() any { return recorded(clock, models) }), nil
}
