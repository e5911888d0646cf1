package config

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
	"pgregory.net/rapid"
)

// largeConfig returns a configuration with as many models and adapters as the system is
// built for. Its checkpoints and hashes are random, so that they compress no better than
// real ones.
func largeConfig(tenants int) *Config {
	const (
		models   = 970
		adapters = 5600
	)
	random := rand.New(rand.NewPCG(7, 7))
	sum := func() string {
		s := sha256.Sum256(fmt.Append(nil, random.Uint64()))
		return hex.EncodeToString(s[:])
	}
	c := &Config{
		Version: 4100, Services: map[string]Service{"assist": {Kind: KindModel, Class: ClassInteractive}},
		Models: map[string]Model{}, Adapters: map[string]Adapter{}, Rules: map[string]Rule{}, Tenants: map[string]Tenant{},
	}
	for i := range models {
		name := fmt.Sprintf("model-%04d-7b-instruct", i)
		c.Models[name] = Model{Service: "assist", Checkpoint: "store/" + sum(), Revision: sum()[:12], MemoryBytes: random.Uint64N(80 << 30), LoadTime: Duration(time.Minute)}
		c.Rules[name] = Rule{MaxReplicas: random.IntN(20), KeepAlive: Duration(random.IntN(600)) * Duration(time.Second)}
	}
	for i := range adapters {
		c.Adapters[fmt.Sprintf("adapter-%05d", i)] = Adapter{Model: fmt.Sprintf("model-%04d-7b-instruct", i%models), Checkpoint: "store/" + sum(), MemoryBytes: random.Uint64N(1 << 30)}
	}
	for i := range tenants {
		c.Tenants[fmt.Sprintf("tenant-%05d", i)] = Tenant{KeyHashes: []string{sum(), sum()}, RequestsPerSecond: float64(random.IntN(100))}
	}
	return c
}

// recentPatches returns references to as many patches as entries remember, up to a version.
func recentPatches(newest Version) []PatchRef {
	const remembered = 4096
	refs := make([]PatchRef, remembered)
	for i := range refs {
		id := fmt.Sprintf("change-%d-of-2026-05-04", i*7919)
		refs[i] = PatchRef{ID: id, Version: newest - remembered + Version(i) + 1, Content: FingerprintOf(Patch{Remove: Names{Rules: []string{id}}})}
	}
	return refs
}

func TestSnapshotOfTargetSize(t *testing.T) {
	for _, row := range []struct{ tenants, minChunks int }{{4000, 1}, {12_000, 2}} {
		c := largeConfig(row.tenants)
		snapshot := Snapshot{Config: c, Recent: recentPatches(c.Version)}
		ref, chunks, err := EncodeSnapshot(snapshot)
		if err != nil {
			t.Fatal(err)
		}
		total := 0
		for _, chunk := range chunks {
			total += len(chunk)
			if len(chunk) > 1_000_000 {
				t.Errorf("a chunk has %d bytes, a KV value holds 1 MB", len(chunk))
			}
		}
		t.Logf("970 models, 5,600 adapters, %d tenants, 4,096 patches: %d bytes in %d chunks", row.tenants, total, len(chunks))
		if len(chunks) < row.minChunks {
			t.Errorf("%d chunks, so the test does not cover joining chunks", len(chunks))
		}
		got, err := DecodeSnapshot(ref, chunks)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(snapshot, got) {
			t.Errorf("snapshot (-want +got):\n%s", cmp.Diff(snapshot, got))
		}
		chunks[len(chunks)-1] = chunks[len(chunks)-1][1:]
		if _, err := DecodeSnapshot(ref, chunks); kindOf(err) != "damaged" {
			t.Errorf("a chunk with a byte missing: %v", err)
		}
	}
}

// kindOf returns the kind of an error from decoding a stored value.
func kindOf(err error) string {
	var damaged *DamagedError
	var format *FormatError
	switch {
	case err == nil:
		return "ok"
	case errors.As(err, &damaged):
		return "damaged"
	case errors.As(err, &format):
		return "newer"
	}
	return "other"
}

func TestDecodeDetectsDamage(t *testing.T) {
	record := Record{Version: 8, Patch: Patch{ID: "p", Base: 7, Author: "a<b"}, Nonce: "n", At: time.Unix(1, 0).UTC()}
	stored, err := EncodeRecord(record)
	if err != nil {
		t.Fatal(err)
	}
	ref, chunks, err := EncodeSnapshot(Snapshot{Config: &Config{Version: 3, Rules: map[string]Rule{"m": {MaxReplicas: 1}}}})
	if err != nil {
		t.Fatal(err)
	}
	head, err := EncodeHead(Head{Snapshots: []SnapshotRef{ref}})
	if err != nil {
		t.Fatal(err)
	}
	rapid.Check(t, func(rt *rapid.T) {
		forms := map[string]struct {
			value  []byte
			decode func([]byte) error
		}{
			"record":   {stored, func(b []byte) error { _, err := DecodeRecord(8, b); return err }},
			"head":     {head, func(b []byte) error { _, err := DecodeHead(b); return err }},
			"snapshot": {chunks[0], func(b []byte) error { _, err := DecodeSnapshot(ref, [][]byte{b}); return err }},
		}
		form := forms[rapid.SampledFrom([]string{"record", "head", "snapshot"}).Draw(rt, "form")]
		if err := form.decode(form.value); err != nil {
			rt.Fatalf("undamaged value: %v", err)
		}
		cut := rapid.IntRange(0, len(form.value)-1).Draw(rt, "cut")
		if got := kindOf(form.decode(form.value[:cut])); got != "damaged" {
			rt.Fatalf("cut at %d: %s", cut, got)
		}
	})
	tests := []struct {
		name, want string
		err        error
	}{
		{"changed patch", "damaged", decodeRecordErr(8, bytes.Replace(stored, []byte(`"base":7`), []byte(`"base":6`), 1))},
		{"other version", "damaged", decodeRecordErr(9, stored)},
		{"newer record", "newer", decodeRecordErr(8, bytes.Replace(stored, []byte(`"format":1`), []byte(`"format":2`), 1))},
		{"newer record of another shape", "newer", decodeRecordErr(8, []byte(`{"format":2,"version":"eight"}`))},
		{"no format", "damaged", decodeRecordErr(8, []byte(`{}`))},
		{"newer head", "newer", decodeHeadErr([]byte(`{"format":3}`))},
		{"head with a changed version", "damaged", decodeHeadErr(bytes.Replace(head, []byte(`"version":3`), []byte(`"version":4`), 1))},
	}
	for _, row := range tests {
		if got := kindOf(row.err); got != row.want {
			t.Errorf("%s: %s, want %s (%v)", row.name, got, row.want, row.err)
		}
	}
}

func decodeRecordErr(v Version, data []byte) error {
	_, err := DecodeRecord(v, data)
	return err
}

func decodeHeadErr(data []byte) error {
	_, err := DecodeHead(data)
	return err
}

func FuzzParsePatch(f *testing.F) {
	f.Add([]byte(`{"id":"a","base":1,"set":{"rules":{"m":{"keepAlive":"1s"}}}}`))
	f.Add([]byte(`[[[[`))
	f.Fuzz(func(t *testing.T, data []byte) {
		p, err := ParsePatch(data)
		if err != nil {
			return
		}
		record := Record{Version: p.Base + 1, Patch: p}
		stored, err := EncodeRecord(record)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := DecodeRecord(record.Version, stored); err != nil {
			t.Fatalf("an accepted patch cannot be read back: %v", err)
		}
	})
}

// FuzzStored checks that any value in the KV service is either decoded or rejected with a
// *DamagedError or a *FormatError.
func FuzzStored(f *testing.F) {
	record, err := EncodeRecord(Record{Version: 2, Patch: Patch{ID: "a", Base: 1}, Nonce: "n"})
	if err != nil {
		f.Fatal(err)
	}
	head, err := EncodeHead(Head{Snapshots: []SnapshotRef{{Version: 2, Sums: []string{"x"}}}})
	if err != nil {
		f.Fatal(err)
	}
	f.Add(record)
	f.Add(head)
	f.Fuzz(func(t *testing.T, data []byte) {
		ref := SnapshotRef{Version: 2, Sums: []string{sumOf(data)}}
		_, snapshot := DecodeSnapshot(ref, [][]byte{data})
		for _, err := range []error{decodeRecordErr(2, data), decodeHeadErr(data), snapshot} {
			var damaged *DamagedError
			var format *FormatError
			if err != nil && !errors.As(err, &damaged) && !errors.As(err, &format) {
				t.Fatalf("%v is neither a *DamagedError nor a *FormatError", err)
			}
		}
	})
}
