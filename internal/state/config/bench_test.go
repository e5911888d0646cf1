package config

import (
	"fmt"
	"testing"
)

// BenchmarkTargetSize measures the cost of an accepted patch with a configuration of the
// size that the system is built for: replaying it, as every entry does, and validating it,
// as only the accepting entry does.
func BenchmarkTargetSize(b *testing.B) {
	c := largeConfig(4000)
	patches := map[string]Patch{
		"rule":    {ID: "p", Base: c.Version, Set: Items{Rules: map[string]Rule{"model-0001-7b-instruct": {MaxReplicas: 3}}}},
		"adapter": {ID: "p", Base: c.Version, Set: Items{Adapters: map[string]Adapter{"adapter-00001": {Model: "model-0001-7b-instruct", Checkpoint: "c", MemoryBytes: 1}}}},
		"tenant":  {ID: "p", Base: c.Version, Set: Items{Tenants: map[string]Tenant{"tenant-00001": {Weight: 2}}}},
	}
	for _, name := range []string{"rule", "adapter", "tenant"} {
		p := patches[name]
		b.Run(fmt.Sprintf("replay %s", name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, err := Replay(c, p); err != nil {
					b.Fatal(err)
				}
			}
		})
		b.Run(fmt.Sprintf("apply %s", name), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				if _, _, err := Apply(c, p); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
	b.Run("index", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			NewIndex(c)
		}
	})
	snapshot := Snapshot{Config: c, Recent: recentPatches(c.Version)}
	ref, chunks, err := EncodeSnapshot(snapshot)
	if err != nil {
		b.Fatal(err)
	}
	b.Run("encode snapshot", func(b *testing.B) {
		for b.Loop() {
			if _, _, err := EncodeSnapshot(snapshot); err != nil {
				b.Fatal(err)
			}
		}
	})
	b.Run("decode snapshot", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			if _, err := DecodeSnapshot(ref, chunks); err != nil {
				b.Fatal(err)
			}
		}
	})
}
