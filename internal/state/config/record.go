package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Record is an accepted patch in the configuration log.
type Record struct {
	Version Version `json:"version"`
	Patch   Patch   `json:"patch"`
	// Nonce distinguishes the writer of the record from others that tried to write the
	// same patch. It is not in the JSON that operators see, since it means nothing to them.
	Nonce string `json:"-"`
	// At is the time of acceptance by the writer's clock, for display only.
	At time.Time `json:"at"`
}

// storedRecord is the stored JSON form of a Record.
type storedRecord struct {
	Format  int       `json:"format"`
	Version Version   `json:"version"`
	Nonce   string    `json:"nonce"`
	At      time.Time `json:"at"`
	// Sum is the SHA-256 checksum of the bytes of Patch, in hex.
	Sum   string          `json:"sum"`
	Patch json.RawMessage `json:"patch"`
}

// EncodeRecord returns the stored form of a record.
func EncodeRecord(r Record) ([]byte, error) {
	patch, err := json.Marshal(r.Patch)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	data, err := json.Marshal(storedRecord{
		Format:  Format,
		Version: r.Version,
		Nonce:   r.Nonce,
		At:      r.At.UTC(),
		Sum:     sumOf(patch),
		Patch:   patch,
	})
	return data, trace.Wrap(err)
}

// DecodeRecord decodes the stored form of the record of a version. The error wraps a
// *FormatError or a *DamagedError.
func DecodeRecord(version Version, data []byte) (Record, error) {
	what := fmt.Sprintf("the log entry of version %d", version)
	if err := checkFormat(what, data); err != nil {
		return Record{}, err
	}
	var stored storedRecord
	if err := json.Unmarshal(data, &stored); err != nil {
		return Record{}, trace.Wrap(&DamagedError{What: what, Reason: err.Error()})
	}
	if stored.Sum != sumOf(stored.Patch) {
		return Record{}, trace.Wrap(&DamagedError{What: what, Reason: "the sum does not match"})
	}
	r := Record{Version: stored.Version, Nonce: stored.Nonce, At: stored.At}
	if err := json.Unmarshal(stored.Patch, &r.Patch); err != nil {
		return Record{}, trace.Wrap(&DamagedError{What: what, Reason: err.Error()})
	}
	if r.Version != version || r.Patch.Base+1 != version {
		reason := fmt.Sprintf("it says version %d after base %d", r.Version, r.Patch.Base)
		return Record{}, trace.Wrap(&DamagedError{What: what, Reason: reason})
	}
	return r, nil
}

// sumOf returns the SHA-256 checksum of data in hex.
func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
