package config

import (
	"fmt"
	"strings"
)

// FaultKind is the kind of a fault in a patch.
type FaultKind string

// The kinds of faults.
const (
	// FaultSyntax means that the text is not valid JSON.
	FaultSyntax FaultKind = "syntax"
	// FaultTooLarge means that the patch is larger than MaxPatchBytes.
	FaultTooLarge FaultKind = "tooLarge"
	// FaultUnknownKey means a key that is not defined at its place.
	FaultUnknownKey FaultKind = "unknownKey"
	// FaultDuplicateKey means a key that occurs twice in one object, or a name that is
	// removed twice.
	FaultDuplicateKey FaultKind = "duplicateKey"
	// FaultTrailing means text after the end of the patch object.
	FaultTrailing FaultKind = "trailing"
	// FaultType means a value of the wrong JSON type.
	FaultType FaultKind = "type"
	// FaultValue means a value that is not accepted.
	FaultValue FaultKind = "value"
	// FaultName means a name that is too long, has characters that are not accepted or is
	// used by both a model and an adapter.
	FaultName FaultKind = "name"
	// FaultReference means a reference to an item that does not exist or is of the wrong
	// kind.
	FaultReference FaultKind = "reference"
	// FaultInUse means that an item to which others refer is removed, or that a service to
	// which models belong becomes plain.
	FaultInUse FaultKind = "inUse"
	// FaultRule means a rule that cannot be satisfied.
	FaultRule FaultKind = "rule"
	// FaultBase means that the base is not the current version.
	FaultBase FaultKind = "base"
)

// Fault describes one error in a patch.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path is the path within the patch, such as "set.models.menu-7b.memoryBytes".
	Path string `json:"path"`
	// Value is the rejected value, shortened if it is long.
	Value string `json:"value,omitempty"`
	// Accepted describes the values that are accepted, or the reason for the fault.
	Accepted string `json:"accepted"`
}

// String returns a description of the fault in one line.
func (f Fault) String() string {
	where := f.Path
	if where == "" {
		where = "patch"
	}
	if f.Value == "" {
		return fmt.Sprintf("%s: %s", where, f.Accepted)
	}
	return fmt.Sprintf("%s: %s: %s", where, f.Value, f.Accepted)
}

// InvalidError lists every fault found in a patch.
type InvalidError struct{ Faults []Fault }

// Error returns the faults, one per line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "invalid patch: " + strings.Join(lines, "\n")
}

// maxShownBytes is the maximum length of the value that a fault quotes.
const maxShownBytes = 80

// shorten truncates a value to maxShownBytes for use in a fault.
func shorten(text string) string {
	if len(text) <= maxShownBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maxShownBytes], "") + "…"
}
