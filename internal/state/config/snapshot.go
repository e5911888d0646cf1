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

// Bounds of a stored snapshot.
const (
	// ChunkBytes is the size of a snapshot's chunks, below the 1 MB of a KV value.
	ChunkBytes = 768 << 10
	// maxSnapshotBytes bounds a snapshot in its uncompressed form.
	maxSnapshotBytes = 64 << 20
)

// SnapshotRef names a stored snapshot and its chunks.
type SnapshotRef struct {
	Version Version `json:"version"`
	// Sums are the SHA-256 sums of the chunks, in order.
	Sums []string `json:"sums"`
}

// Name returns the name under which the chunks are stored.
//
// It holds a part of the chunks' sums, so that two writers of one version whose
// compressors differ do not write halves of each other's snapshot.
func (r SnapshotRef) Name() string {
	const shortSum = 8
	all, _ := json.Marshal(r.Sums)
	return fmt.Sprintf("%012d-%s", r.Version, sumOf(all)[:shortSum])
}

// PatchRef is what is remembered of an accepted patch.
type PatchRef struct {
	ID      string      `json:"id"`
	Version Version     `json:"version"`
	Content Fingerprint `json:"content"`
}

// Snapshot is a whole configuration with the patches that were accepted last.
type Snapshot struct {
	Config *Config
	// Recent are all patches accepted after version RecentAfter, in order.
	Recent      []PatchRef
	RecentAfter Version
}

// storedSnapshot is the JSON form of a snapshot before compression.
type storedSnapshot struct {
	Format      int        `json:"format"`
	Config      *Config    `json:"config"`
	Recent      []PatchRef `json:"recent,omitempty"`
	RecentAfter Version    `json:"recentAfter,omitempty"`
}

// EncodeSnapshot returns the compressed form of a snapshot in chunks that fit
// into KV values.
func EncodeSnapshot(s Snapshot) (SnapshotRef, [][]byte, error) {
	c := s.Config
	plain, err := json.Marshal(storedSnapshot{Format: Format, Config: c, Recent: s.Recent, RecentAfter: s.RecentAfter})
	if err != nil {
		return SnapshotRef{}, nil, trace.Wrap(err)
	}
	if len(plain) > maxSnapshotBytes {
		return SnapshotRef{}, nil, trace.LimitExceeded("configuration %d takes %d bytes, more than %d", c.Version, len(plain), maxSnapshotBytes)
	}
	var packed bytes.Buffer
	w := gzip.NewWriter(&packed)
	if _, err := w.Write(plain); err != nil {
		return SnapshotRef{}, nil, trace.Wrap(err)
	}
	if err := w.Close(); err != nil {
		return SnapshotRef{}, nil, trace.Wrap(err)
	}
	ref := SnapshotRef{Version: c.Version}
	var chunks [][]byte
	for packed.Len() > 0 {
		chunk := packed.Next(ChunkBytes)
		chunks = append(chunks, chunk)
		ref.Sums = append(ref.Sums, sumOf(chunk))
	}
	return ref, chunks, nil
}

// DecodeSnapshot reads the chunks of a snapshot; the error is a *FormatError or
// a *DamagedError.
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
	plain, err := unpack(bytes.Join(chunks, nil))
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

func unpack(packed []byte) ([]byte, error) {
	r, err := gzip.NewReader(bytes.NewReader(packed))
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

// Head tells which snapshots are stored, oldest first.
type Head struct {
	Snapshots []SnapshotRef
}

type storedHead struct {
	Format    int           `json:"format"`
	Snapshots []SnapshotRef `json:"snapshots"`
	Sum       string        `json:"sum"`
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

// DecodeHead reads the stored form of a head; the error is a *FormatError or a
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

// Latest returns the newest snapshot.
func (h Head) Latest() SnapshotRef {
	return h.Snapshots[len(h.Snapshots)-1]
}

// At returns the newest snapshot of no more than the given version, and false if
// there is none.
func (h Head) At(v Version) (SnapshotRef, bool) {
	for i := len(h.Snapshots) - 1; i >= 0; i-- {
		if h.Snapshots[i].Version <= v {
			return h.Snapshots[i], true
		}
	}
	return SnapshotRef{}, false
}
