package config

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"maps"

	"github.com/gravitational/trace"
)

// MaxPatchBytes is the maximum size of a patch as JSON. Together with the other fields of
// its record it must fit into a value of the KV service, which holds 1 MB.
const MaxPatchBytes = 900_000

// ParsePatch decodes a patch from JSON. The error wraps an *InvalidError that lists all
// unknown and duplicate keys and values of the wrong type.
func ParsePatch(data []byte) (Patch, error) {
	if len(data) > MaxPatchBytes {
		return Patch{}, trace.Wrap(&InvalidError{Faults: []Fault{{
			Kind:     FaultTooLarge,
			Value:    fmt.Sprintf("%d bytes", len(data)),
			Accepted: fmt.Sprintf("at most %d bytes; split the patch", MaxPatchBytes),
		}}})
	}
	var p Patch
	if faults := decodeStrict(data, &p); len(faults) > 0 {
		return Patch{}, trace.Wrap(&InvalidError{Faults: faults})
	}
	return p, nil
}

// Warning is a notice for the operator about an accepted patch.
type Warning struct {
	Path string `json:"path"`
	Text string `json:"text"`
}

// Apply validates a patch against the current configuration, which must be its base, and
// returns the next configuration. The error wraps an *InvalidError that lists all faults.
func Apply(c *Config, p Patch) (*Config, []Warning, error) {
	next := merge(c, p)
	v := &validator{before: c, after: next, patch: p}
	v.run()
	if len(v.faults) > 0 {
		return nil, nil, trace.Wrap(&InvalidError{Faults: v.faults})
	}
	return next, v.warnings, nil
}

// Replay applies a patch that has been accepted.
//
// It does not validate the patch: two releases that run side by side may differ in which
// patches they accept, but must never differ in the contents of an accepted version.
func Replay(c *Config, p Patch) (*Config, error) {
	if p.Base != c.Version {
		return nil, trace.BadParameter("patch %q leads from version %d, not from %d", p.ID, p.Base, c.Version)
	}
	return merge(c, p), nil
}

// merge returns the next configuration. Kinds of items that the patch does not change share
// their maps with c.
func merge(c *Config, p Patch) *Config {
	return &Config{
		Version:  c.Version + 1,
		Services: mergeKind(c.Services, p.Set.Services, p.Remove.Services),
		Models:   mergeKind(c.Models, p.Set.Models, p.Remove.Models),
		Adapters: mergeKind(c.Adapters, p.Set.Adapters, p.Remove.Adapters),
		Rules:    mergeKind(c.Rules, p.Set.Rules, p.Remove.Rules),
		Tenants:  mergeKind(c.Tenants, p.Set.Tenants, p.Remove.Tenants),
	}
}

func mergeKind[T any](old, set map[string]T, remove []string) map[string]T {
	if len(set) == 0 && len(remove) == 0 {
		return old
	}
	merged := make(map[string]T, len(old)+len(set))
	maps.Copy(merged, old)
	for _, name := range remove {
		delete(merged, name)
	}
	maps.Copy(merged, set)
	return merged
}

// Fingerprint is a truncated SHA-256 hash of the changes in a patch, without its ID, base
// and author.
type Fingerprint [8]byte

// MarshalText returns the fingerprint in hex.
func (f Fingerprint) MarshalText() ([]byte, error) {
	return hex.AppendEncode(nil, f[:]), nil
}

// UnmarshalText decodes a fingerprint in hex.
func (f *Fingerprint) UnmarshalText(text []byte) error {
	decoded, err := hex.DecodeString(string(text))
	if err != nil || len(decoded) != len(f) {
		return trace.BadParameter("a fingerprint has %d hex digits, not %q", 2*len(f), text)
	}
	copy(f[:], decoded)
	return nil
}

// FingerprintOf returns the fingerprint of a patch, or zero if it cannot be encoded.
func FingerprintOf(p Patch) Fingerprint {
	data, err := json.Marshal(Patch{Set: p.Set, Remove: p.Remove})
	if err != nil {
		return Fingerprint{}
	}
	sum := sha256.Sum256(data)
	return Fingerprint(sum[:len(Fingerprint{})])
}

// encodedBytes returns the size of a patch as JSON, or 0 if it cannot be encoded.
func encodedBytes(p Patch) int {
	data, err := json.Marshal(p)
	if err != nil {
		return 0
	}
	return len(data)
}
