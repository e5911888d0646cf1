package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"time"

	"github.com/gravitational/trace"
)

// Record is an accepted patch as the log keeps it.
type Record struct {
	Version Version `json:"version"`
	Patch   Patch   `json:"patch"`
	// Nonce tells the writer of the record from others who wrote the same patch;
	// it means nothing to operators, to whom records are shown as JSON.
	Nonce string `json:"-"`
	// At is when the writer's clock said that it was accepted, for display only.
	At time.Time `json:"at"`
}

// storedRecord is the JSON form of a Record; Sum covers the bytes of Patch.
type storedRecord struct {
	Format  int             `json:"format"`
	Version Version         `json:"version"`
	Nonce   string          `json:"nonce"`
	At      time.Time       `json:"at"`
	Sum     string          `json:"sum"`
	Patch   json.RawMessage `json:"patch"`
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

// DecodeRecord reads the stored form of the record of a version; the error is a
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

func sumOf(data []byte) string {
	sum := sha256.Sum256(data)
	return hex.EncodeToString(sum[:])
}
