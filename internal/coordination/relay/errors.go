package relay

import (
	"fmt"
	"strings"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// ConflictError tells that a patch's base is no longer the current version.
type ConflictError struct {
	Base, Current config.Version
	// Since are the patches accepted after the base, oldest first; it is cut at
	// maxSince.
	Since []config.Record
	// Overlap are the paths that both the patch and those since then touch.
	Overlap []string
}

// Error says which versions conflict and where.
func (e *ConflictError) Error() string {
	where := "no entry is touched by both"
	if len(e.Overlap) > 0 {
		where = "both touch " + strings.Join(e.Overlap, ", ")
	}
	return fmt.Sprintf("the patch is for version %d, the current one is %d; %s", e.Base, e.Current, where)
}

// FutureBaseError tells that a patch's base does not exist yet.
type FutureBaseError struct{ Base, Current config.Version }

// Error says which versions are meant.
func (e *FutureBaseError) Error() string {
	return fmt.Sprintf("the patch is for version %d, but the current one is %d", e.Base, e.Current)
}

// IDReusedError tells that a patch has the ID of another one.
type IDReusedError struct {
	ID string
	// Version is the one that the patch with this ID led to.
	Version config.Version
}

// Error says which patch has the ID.
func (e *IDReusedError) Error() string {
	return fmt.Sprintf("the id %q belongs to another patch, which is version %d", e.ID, e.Version)
}

// Outcome says what is known of a patch that could not be answered.
type Outcome string

// The outcomes of a patch that could not be answered.
const (
	// OutcomeNotAccepted means that the patch is surely not accepted.
	OutcomeNotAccepted Outcome = "notAccepted"
	// OutcomeUnknown means that the patch may be or become accepted; asking again
	// with the same ID tells.
	OutcomeUnknown Outcome = "unknown"
)

// UnavailableError tells that the KV service did not answer.
type UnavailableError struct {
	Step    string
	Status  ports.KVStatus
	Outcome Outcome
}

// Error says at which step the KV service failed and what follows for a patch.
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

// unavailable returns the error of a KV call that ended with a status.
func unavailable(step string, status ports.KVStatus) error {
	return trace.Wrap(&UnavailableError{Step: step, Status: status})
}

// errGap tells that the log no longer holds the next version.
var errGap = trace.NotFound("the log does not hold the next version")
