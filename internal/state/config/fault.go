package config

import (
	"fmt"
	"strings"
)

// FaultKind says what sort of fault a patch has.
type FaultKind string

// The kinds of faults.
const (
	// FaultSyntax means that the text is not JSON.
	FaultSyntax FaultKind = "syntax"
	// FaultTooLarge means that the patch is larger than MaxPatchBytes.
	FaultTooLarge FaultKind = "tooLarge"
	// FaultUnknownKey means a key that no configuration entry has.
	FaultUnknownKey FaultKind = "unknownKey"
	// FaultDuplicateKey means a key given twice in one object.
	FaultDuplicateKey FaultKind = "duplicateKey"
	// FaultTrailing means text after the end of the patch.
	FaultTrailing FaultKind = "trailing"
	// FaultType means a value of the wrong JSON type.
	FaultType FaultKind = "type"
	// FaultValue means a value outside what is accepted.
	FaultValue FaultKind = "value"
	// FaultName means a name with characters that are not accepted.
	FaultName FaultKind = "name"
	// FaultReference means a name that nothing, or something else, has.
	FaultReference FaultKind = "reference"
	// FaultInUse means the removal of something that other entries refer to.
	FaultInUse FaultKind = "inUse"
	// FaultRule means a rule that cannot be met.
	FaultRule FaultKind = "rule"
	// FaultBase means a patch for another version.
	FaultBase FaultKind = "base"
)

// Fault is one thing wrong with a patch.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Path is the place in the patch, such as "set.models.menu-7b.memoryBytes".
	Path string `json:"path"`
	// Value is what stands there.
	Value string `json:"value,omitempty"`
	// Accepted says what may stand there.
	Accepted string `json:"accepted"`
}

// String returns the fault as one line.
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

// Error returns the faults, one a line.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Faults))
	for i, f := range e.Faults {
		lines[i] = f.String()
	}
	return "invalid patch: " + strings.Join(lines, "\n")
}

// shownBytes bounds how much of a value a fault repeats.
const shownBytes = 80

// shown returns a value as it stands in a fault.
func shown(text string) string {
	if len(text) <= shownBytes {
		return text
	}
	return strings.ToValidUTF8(text[:shownBytes], "") + "…"
}
