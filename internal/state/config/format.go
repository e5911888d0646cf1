package config

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// Format is the version of the stored format that this release writes, and the newest one
// that it reads.
//
// A release that adds a field to a configuration item must increase it. Otherwise an older
// release would ignore the field when it reads a patch and then write snapshots without it.
const Format = 1

// FormatError is the error for a stored value in a format newer than Format.
type FormatError struct {
	What   string
	Format int
}

// Error names the value, its format and the newest one that can be read.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s has format %d, this release reads up to %d", e.What, e.Format, Format)
}

// DamagedError is the error for a stored value that cannot be decoded.
type DamagedError struct {
	What   string
	Reason string
}

// Error names the damaged value and the reason.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged: %s", e.What, e.Reason)
}

// checkFormat returns an error if data is in a format that this release cannot read. It
// decodes only the format field, since newer formats may differ in all others.
func checkFormat(what string, data []byte) error {
	var head struct {
		Format int `json:"format"`
	}
	if err := json.Unmarshal(data, &head); err != nil {
		return trace.Wrap(&DamagedError{What: what, Reason: err.Error()})
	}
	switch {
	case head.Format > Format:
		return trace.Wrap(&FormatError{What: what, Format: head.Format})
	case head.Format < 1:
		return trace.Wrap(&DamagedError{What: what, Reason: "it names no format"})
	}
	return nil
}
