package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"
)

// record is what the KV service holds of one request key.
type record struct {
	// Sum identifies the call.
	Sum string `json:"sum"`
	// Entry and Incarnation name who claimed the key, Nonce which claim it was.
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       uint64 `json:"nonce"`
	// Within is the time that the call had left when it was claimed.
	Within time.Duration `json:"withinNanos"`
	// Ending is empty while the call runs.
	Ending  Ending   `json:"ending,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`

	// raw is the record's encoding; records are not changed once made.
	raw []byte
}

// newRecord returns r with its encoding.
func newRecord(r record) *record {
	raw, err := json.Marshal(r)
	if err != nil {
		// A struct of text and numbers always encodes.
		panic(err)
	}
	r.raw = raw
	return &r
}

func (r *record) withoutBody() *record {
	slim := *r
	outcome := *r.Outcome
	outcome.Body, outcome.BodyKept = nil, false
	slim.Outcome = &outcome
	return newRecord(slim)
}

func (r *record) ended() bool { return r.Ending != "" }

// perRecord is what a record costs in its bucket besides its encoding.
const perRecord = 2*idBytes + len(`"":,`)

func (r *record) size() int { return len(r.raw) + perRecord }

// idBytes is the length of a record's name before it is written in hex.
const idBytes = 16

// recordID names a request key within its service and tenant.
func recordID(c Claim) string {
	h := sha256.New()
	for _, part := range []string{c.Service, c.Tenant, c.Key} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:])
		h.Write([]byte(part))
	}
	return hex.EncodeToString(h.Sum(nil)[:idBytes])
}

// hashOf returns the part of a record's name that its bucket is found by.
func hashOf(id string) uint32 {
	raw, err := hex.DecodeString(id[:8])
	if err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint32(raw)
}

// splitMark stands beside the records of a bucket that is split. It is no record,
// so that a release which does not know it reads the bucket as damaged and refuses
// its claims.
const splitMark = "split"

// encodeBucket writes the records in order of their names, after the mark if the
// bucket is split.
func encodeBucket(records map[string]*record, split bool) []byte {
	var b bytes.Buffer
	b.WriteByte('{')
	if split {
		b.WriteString(`"` + splitMark + `":true`)
		if len(records) > 0 {
			b.WriteByte(',')
		}
	}
	for i, id := range slices.Sorted(maps.Keys(records)) {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteByte('"')
		b.WriteString(id)
		b.WriteString(`":`)
		b.Write(records[id].raw)
	}
	b.WriteByte('}')
	return b.Bytes()
}

// decodeBucket reads records, sharing those of old that did not change, and
// whether their bucket is split.
func decodeBucket(value []byte, old map[string]*record) (map[string]*record, bool, error) {
	var raws map[string]json.RawMessage
	if err := json.Unmarshal(value, &raws); err != nil {
		return nil, false, trace.Wrap(err, "decode claims")
	}
	_, split := raws[splitMark]
	delete(raws, splitMark)
	records := make(map[string]*record, len(raws))
	for id, raw := range raws {
		if same := old[id]; same != nil && bytes.Equal(same.raw, raw) {
			records[id] = same
			continue
		}
		r := &record{raw: raw}
		if err := json.Unmarshal(raw, r); err != nil {
			return nil, false, trace.Wrap(err, "decode claim %s", id)
		}
		records[id] = r
	}
	return records, split, nil
}
