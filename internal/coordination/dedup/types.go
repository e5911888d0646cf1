package dedup

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Claim is the request to run a call that carries a request key.
type Claim struct {
	Service string
	Tenant  string
	Key     string
	// BodySum is a checksum that identifies the call by its method, path and body.
	BodySum string
	// Within is the time left until the caller's deadline.
	Within time.Duration
	// WithoutKV lets the call run without a claim while the KV service is unreachable.
	WithoutKV bool
}

// VerdictKind is the decision on a call with a request key.
type VerdictKind string

// The verdicts on a call.
const (
	// VerdictRun means that the key is claimed and the call must be sent exactly once.
	VerdictRun VerdictKind = "run"
	// VerdictRunUnclaimed means that the call must be sent once although the key could
	// not be claimed, as the service's settings allow.
	VerdictRunUnclaimed VerdictKind = "runUnclaimed"
	// VerdictOutcome means that the call has run; Outcome holds its result.
	VerdictOutcome VerdictKind = "outcome"
	// VerdictInProgress means that the call is running.
	VerdictInProgress VerdictKind = "inProgress"
	// VerdictUnknown means that the call may have run.
	VerdictUnknown VerdictKind = "outcomeUnknown"
	// VerdictMismatch means that the key was used for a different call.
	VerdictMismatch VerdictKind = "mismatch"
	// VerdictUnavailable means that the key could not be claimed in time.
	VerdictUnavailable VerdictKind = "unavailable"
	// VerdictFull means that no more claims can be stored.
	VerdictFull VerdictKind = "full"
)

// Verdict is the answer to a Claim.
type Verdict struct {
	Kind    VerdictKind
	Outcome Outcome
	// Ticket identifies the claim in Finish.
	Ticket Ticket
	// RetryAfter is the time after which another attempt may succeed.
	RetryAfter time.Duration
}

// Ticket identifies a granted claim and entitles its holder to run the call once.
type Ticket struct {
	ID    string
	Nonce uint64
}

// Outcome is how a call ended.
type Outcome struct {
	Status int `json:"status,omitempty"`
	// Header is the header of the HTTP response.
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// BodyKept reports whether Body is stored, and then it is complete.
	BodyKept bool `json:"bodyKept,omitempty"`
}

// Ending states whether a claimed call was sent and answered.
type Ending string

// The endings of a claimed call.
const (
	// EndedNotRun means that the call was not sent; the key may be claimed again.
	EndedNotRun Ending = "notRun"
	// EndedAnswered means that the target responded.
	EndedAnswered Ending = "answered"
	// EndedUnknown means that the call was sent and no response came.
	EndedUnknown Ending = "unknown"
)

// Finish reports the end of a claimed call.
type Finish struct {
	Ticket  Ticket
	Ending  Ending
	Outcome Outcome
}

// ClaimRequested is the event that a caller wants to run a call; ClaimAnswered with the
// same ID answers it.
type ClaimRequested struct {
	ID    uint64
	Claim Claim
}

// CallFinished is the event that a claimed call has ended.
type CallFinished struct{ Finish Finish }

// MembersChanged is the event that the set of known entries has changed.
type MembersChanged struct{ Members []ports.Member }

// Start is the first event that a Part receives.
type Start struct{}

// ClaimAnswered is the note that answers a ClaimRequested.
type ClaimAnswered struct {
	ID      uint64
	Verdict Verdict
}

// IsEvent marks ClaimRequested as an event.
func (ClaimRequested) IsEvent() {}

// IsEvent marks CallFinished as an event.
func (CallFinished) IsEvent() {}

// IsEvent marks MembersChanged as an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks Start as an event.
func (Start) IsEvent() {}

// Backlog is the note that reports how many finished calls have not been written to the
// KV service yet.
type Backlog struct{ Unwritten int }
