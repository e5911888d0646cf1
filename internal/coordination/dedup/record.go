package dedup

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

// record is the stored state of one request key.
type record struct {
	// Sum is the BodySum of the call.
	Sum string `json:"sum"`
	// Entry and Incarnation identify the process that claimed the key, Nonce the claim.
	Entry       string `json:"entry"`
	Incarnation uint64 `json:"incarnation"`
	Nonce       uint64 `json:"nonce"`
	// TimeLeft is the time that the caller's deadline left when the key was claimed.
	TimeLeft time.Duration `json:"withinNanos"`
	// EndKind is empty while the call runs.
	EndKind EndKind  `json:"ending,omitempty"`
	Outcome *Outcome `json:"outcome,omitempty"`

	// raw is the JSON encoding; records are immutable.
	raw []byte
}

// newRecord returns r together with its encoding.
func newRecord(r record) *record {
	raw, err := json.Marshal(r)
	if err != nil {
		// A struct of strings and numbers always encodes.
		panic(err)
	}
	r.raw = raw
	return &r
}

func (r *record) withoutBody() *record {
	stripped := *r
	outcome := *r.Outcome
	outcome.Body, outcome.BodyKept = nil, false
	stripped.Outcome = &outcome
	return newRecord(stripped)
}

func (r *record) hasEnded() bool { return r.EndKind != "" }

// recordOverhead is the size that a record adds to its bucket besides its encoding.
const recordOverhead = 2*idBytes + len(`"":,`)

func (r *record) size() int { return len(r.raw) + recordOverhead }

// bucketOverhead is an upper bound of the encoded size of a bucket without records.
const bucketOverhead = 64

// idBytes is the length of a record's ID before hex encoding.
const idBytes = 16

// recordID returns the record ID of a request key within its service and tenant.
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

// hashOf returns the part of a record ID that selects its bucket.
func hashOf(id string) uint32 {
	raw, err := hex.DecodeString(id[:8])
	if err != nil {
		panic(err)
	}
	return binary.BigEndian.Uint32(raw)
}

// formatVersion is the version of the stored format of a bucket.
const formatVersion = 1

// storedBucket is the stored form of a bucket, to which a checksum is added. It is only
// used for decoding; encodeBucket writes it from the records' encodings.
type storedBucket struct {
	Format int `json:"format"`
	// Split means that the bucket has been split and takes no more claims.
	Split  bool                       `json:"split"`
	Claims map[string]json.RawMessage `json:"claims"`
}

// encodeBucket encodes records, sorted by ID, and whether their bucket is split.
func encodeBucket(records map[string]*record, split bool) []byte {
	var b bytes.Buffer
	fmt.Fprintf(&b, `{"format":%d,"split":%t,"claims":{`, formatVersion, split)
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

// decodeBucket decodes records and whether their bucket is split. Records that equal
// those of old are shared with it. A value whose checksum does not match is an error: one
// changed digit could turn an outcome or a key into that of another call.
func decodeBucket(value []byte, old map[string]*record) (map[string]*record, bool, error) {
	var stored storedBucket
	if err := json.Unmarshal(value, &stored); err != nil {
		return nil, false, trace.BadParameter("claims are damaged: %v", err)
	}
	if stored.Format != formatVersion {
		return nil, false, trace.BadParameter("claims have format %d, this program reads %d", stored.Format, formatVersion)
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
