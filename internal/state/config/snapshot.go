package config

import (
	"bytes"
	"compress/gzip"
	"encoding/json"
	"errors"
	"fmt"
	"io"

	"github.com/gravitational/trace"
)

// Limits of a stored snapshot.
const (
	// ChunkBytes is the maximum size of a snapshot's chunk. A value of the KV service
	// holds at most 1 MB.
	ChunkBytes = 768 << 10
	// maxSnapshotBytes is the maximum size of an uncompressed snapshot.
	maxSnapshotBytes = 64 << 20
)

// SnapshotRef refers to a stored snapshot and its chunks.
type SnapshotRef struct {
	Version Version `json:"version"`
	// Sums are the SHA-256 checksums of the chunks, in order.
	Sums []string `json:"sums"`
}

// Name returns the name under which the chunks are stored.
//
// The name includes a hash of the chunks' checksums. Two writers of the same version whose
// compressors give different output therefore use different names and do not overwrite
// chunks of each other's snapshot.
func (r SnapshotRef) Name() string {
	const hashDigits = 8
	all, _ := json.Marshal(r.Sums)
	return fmt.Sprintf("%012d-%s", r.Version, sumOf(all)[:hashDigits])
}

// PatchRef identifies an accepted patch by its ID, version and content. It is kept to
// recognize a patch that is submitted again.
type PatchRef struct {
	ID      string      `json:"id"`
	Version Version     `json:"version"`
	Content Fingerprint `json:"content"`
}

// Snapshot is a complete configuration together with the patches accepted most recently.
type Snapshot struct {
	Config *Config
	// Recent lists all patches accepted after version RecentAfter, in order of version.
	Recent      []PatchRef
	RecentAfter Version
}

// storedSnapshot is the stored JSON form of a Snapshot before compression.
type storedSnapshot struct {
	Format      int        `json:"format"`
	Config      *Config    `json:"config"`
	Recent      []PatchRef `json:"recent,omitempty"`
	RecentAfter Version    `json:"recentAfter,omitempty"`
}

// EncodeSnapshot returns the gzip-compressed form of a snapshot, split into chunks that fit
// into values of the KV service.
func EncodeSnapshot(s Snapshot) (SnapshotRef, [][]byte, error) {
	c := s.Config
	plain, err := json.Marshal(storedSnapshot{Format: Format, Config: c, Recent: s.Recent, RecentAfter: s.RecentAfter})
	if err != nil {
		return SnapshotRef{}, nil, trace.Wrap(err)
	}
	if len(plain) > maxSnapshotBytes {
		return SnapshotRef{}, nil, trace.LimitExceeded("configuration %d takes %d bytes, more than %d", c.Version, len(plain), maxSnapshotBytes)
	}
	var compressed bytes.Buffer
	w := gzip.NewWriter(&compressed)
	if _, err := w.Write(plain); err != nil {
		return SnapshotRef{}, nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return SnapshotRef{}, nil, trace.Wrap(err)
	}
	ref := SnapshotRef{Version: c.Version}
	var chunks [][]byte
	for compressed.Len() > 0 {
		chunk := compressed.Next(ChunkBytes)
		chunks = append(chunks, chunk)
		ref.Sums = append(ref.Sums, sumOf(chunk))
	}
	return ref, chunks, nil
}

// DecodeSnapshot decodes a snapshot from its chunks. The error wraps a *FormatError or a
// *DamagedError.
func DecodeSnapshot(ref SnapshotRef, chunks [][]byte) (Snapshot, error) {
	what := fmt.Sprintf("the snapshot of version %d", ref.Version)
	damaged := func(reason string) (Snapshot, error) {
		return Snapshot{}, trace.Wrap(&DamagedError{What: what, Reason: reason})
	}
	if len(chunks) != len(ref.Sums) {
		return damaged(fmt.Sprintf("%d of %d chunks", len(chunks), len(ref.Sums)))
	}
	for i, chunk := range chunks {
		if sumOf(chunk) != ref.Sums[i] {
			return damaged(fmt.Sprintf("the sum of chunk %d does not match", i))
		}
	}
	plain, err := decompress(bytes.Join(chunks, nil))
	if err != nil {
		return damaged(err.Error())
	}
	if err := checkFormat(what, plain); err != nil {
		return Snapshot{}, err
	}
	var stored storedSnapshot
	if err := json.Unmarshal(plain, &stored); err != nil {
		return damaged(err.Error())
	}
	if stored.Config == nil || stored.Config.Version != ref.Version {
		return damaged("it holds another version")
	}
	return Snapshot{Config: stored.Config, Recent: stored.Recent, RecentAfter: stored.RecentAfter}, nil
}

// decompress decompresses gzip data of up to maxSnapshotBytes.
func decompress(compressed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(compressed))
	if err != nil {
		return nil, err
	}
	plain, err := io.ReadAll(io.LimitReader(r, maxSnapshotBytes+1))
	if err != nil {
		return nil, err
	}
	if len(plain) > maxSnapshotBytes {
		return nil, errors.New("it is larger than any snapshot")
	}
	return plain, nil
}

// Head lists the stored snapshots.
type Head struct {
	// Snapshots are in order of version, the oldest first.
	Snapshots []SnapshotRef
}

// storedHead is the stored JSON form of a Head.
type storedHead struct {
	Format    int           `json:"format"`
	Snapshots []SnapshotRef `json:"snapshots"`
	// Sum is the SHA-256 checksum of Snapshots encoded as JSON, in hex.
	Sum string `json:"sum"`
}

// EncodeHead returns the stored form of a head.
func EncodeHead(h Head) ([]byte, error) {
	refs, err := json.Marshal(h.Snapshots)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := json.Marshal(storedHead{Format: Format, Snapshots: h.Snapshots, Sum: sumOf(refs)})
	return data, trace.Wrap(err)
}

// DecodeHead decodes the stored form of a head. The error wraps a *FormatError or a
// *DamagedError.
func DecodeHead(data []byte) (Head, error) {
	const what = "the head of the snapshots"
	if err := checkFormat(what, data); err != nil {
		return Head{}, err
	}
	var stored storedHead
	if err := json.Unmarshal(data, &stored); err != nil {
		return Head{}, trace.Wrap(&DamagedError{What: what, Reason: err.Error()})
	}
	refs, err := json.Marshal(stored.Snapshots)
	if err != nil || sumOf(refs) != stored.Sum || len(stored.Snapshots) == 0 {
		return Head{}, trace.Wrap(&DamagedError{What: what, Reason: "the sum does not match"})
	}
	return Head{Snapshots: stored.Snapshots}, nil
}

// Latest returns the newest snapshot. There must be at least one.
func (h Head) Latest() SnapshotRef {
	return h.Snapshots[len(h.Snapshots)-1]
}

// At returns the newest snapshot whose version is at most v, and false if there is none.
func (h Head) At(v Version) (SnapshotRef, bool) {
	for i := len(h.Snapshots) - 1; i >= 0; i-- {
		if h.Snapshots[i].Version <= v {
			return h.Snapshots[i], true
		}
	}
	return SnapshotRef{}, false
}
