package once

import (
	"bytes"
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/state/sums"
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

// emptyBytes is at least the size of a bucket without records.
const emptyBytes = 64

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

// format is the version of a bucket's form in the KV service.
const format = 1

// storedBucket is the form of a bucket; its checksum is added to it. It is
// written by encodeBucket, which has each record's encoding already.
type storedBucket struct {
	Format int `json:"format"`
	// Split tells that the bucket is split, and that no claim is added to it.
	Split  bool                       `json:"split"`
	Claims map[string]json.RawMessage `json:"claims"`
}

// encodeBucket writes the records in order of their names, and whether their
// bucket is split.
func encodeBucket(records map[string]*record, split bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"format":%d,"split":%t,"claims":{`, format, split)
	for i, id := range slices.Sorted(maps.Keys(records)) {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteByte('"')
		b.WriteString(id)
		b.WriteString(`":`)
		b.Write(records[id].raw)
	}
	b.WriteString(`}}`)
	return sums.Add(b.Bytes())
}

// decodeBucket reads records, sharing those of old that did not change, and
// whether their bucket is split. A value that is not whole is an error: one
// changed digit may make another call's outcome of a record, or another key.
func decodeBucket(value []byte, old map[string]*record) (map[string]*record, bool, error) {
	var stored storedBucket
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, false, trace.BadParameter("claims are damaged: %v", err)
	}
	if stored.Format != format {
		return nil, false, trace.BadParameter("claims have format %d, this program reads %d", stored.Format, format)
	}
	if _, err := sums.Strip(value); err != nil {
		return nil, false, trace.BadParameter("claims are damaged: %v", err)
	}
	records := make(map[string]*record, len(stored.Claims))
	for id, raw := range stored.Claims {
		if same := old[id]; same != nil && bytes.Equal(same.raw, raw) {
			records[id] = same
			continue
		}
		r := &record{raw: raw}
		if err := json.Unmarshal(raw, r); err != nil {
			return nil, false, trace.BadParameter("claim %s is damaged: %v", id, err)
		}
		records[id] = r
	}
	return records, stored.Split, nil
}
