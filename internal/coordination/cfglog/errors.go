package cfglog

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// ConflictError means that a patch's base is no longer the current version.
type ConflictError struct {
	Base, Current config.Version
	// Since holds the patches accepted after the base, oldest first, at most
	// maxConflictPatches of them.
	Since []config.Record
	// Overlap lists the paths that are changed both by the patch and by those in Since.
	Overlap []string
}

// Error describes the versions and paths in conflict.
func (e *ConflictError) Error() string {
	where := "no entry is touched by both"
	if len(e.Overlap) > 0 {
		where = "both touch " + strings.Join(e.Overlap, ", ")
	}
	return fmt.Sprintf("the patch is for version %d, the current one is %d; %s", e.Base, e.Current, where)
}

// FutureBaseError means that a patch's base does not exist yet.
type FutureBaseError struct{ Base, Current config.Version }

// Error describes the versions.
func (e *FutureBaseError) Error() string {
	return fmt.Sprintf("the patch is for version %d, but the current one is %d", e.Base, e.Current)
}

// IDReusedError means that the ID of a patch belongs to an accepted patch with other
// contents.
type IDReusedError struct {
	ID string
	// Version is the version that the accepted patch created.
	Version config.Version
}

// Error describes the accepted patch.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("the id %q belongs to another patch, which is version %d", e.ID, e.Version)
}

// Outcome is what is known about a patch when the KV service did not answer.
type Outcome string

// The outcomes of a patch that could not be answered.
const (
	// OutcomeNotAccepted means that the patch is certainly not accepted.
	OutcomeNotAccepted Outcome = "notAccepted"
	// OutcomeUnknown means that the patch may have been or may yet be accepted; sending
	// it again with the same ID finds out.
	OutcomeUnknown Outcome = "unknown"
)

// UnavailableError means that the KV service did not answer.
type UnavailableError struct {
	Step    string
	Status  ports.KVStatus
	Outcome Outcome
}

// Error describes the failed step and its consequence for a patch.
func (e *UnavailableError) Error() string {
	text := fmt.Sprintf("KV service: %s: %s", e.Step, e.Status)
	switch e.Outcome {
	case OutcomeNotAccepted:
		return text + "; the patch is not accepted"
	case OutcomeUnknown:
		return text + "; the patch may have been accepted: ask again with the same id"
	}
	return text
}

// unavailable returns an UnavailableError for a KV call.
func unavailable(step string, status ports.KVStatus) error {
	return trace.Wrap(&UnavailableError{Step: step, Status: status})
}

// errLogGap means that the log no longer holds the next version.
var errLogGap = trace.NotFound("the log does not hold the next version")
