package config

import (
	"encoding/json"
	"fmt"

	"github.com/gravitational/trace"
)

// Format is the version of the stored forms that this release writes and the
// newest that it reads.
//
// A release that adds a field to an entry raises it: an older one would read the
// patch without the field and then write snapshots that lack it.
const Format = 1

// FormatError tells of a stored value written by a newer release.
type FormatError struct {
	What   string
	Format int
}

// Error says which format was found and which is known.
func (e *FormatError) Error() string {
	return fmt.Sprintf("%s has format %d, this release reads up to %d", e.What, e.Format, Format)
}

// DamagedError tells of a stored value that cannot be read.
type DamagedError struct {
	What   string
	Reason string
}

// Error says what is damaged and how that showed.
func (e *DamagedError) Error() string {
	return fmt.Sprintf("%s is damaged: %s", e.What, e.Reason)
}

// checkFormat refuses what was written in a form that this release does not
// know; it looks at nothing but the format, since the rest may have changed.
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
