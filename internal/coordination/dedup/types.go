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
	// TimeLeft is the time left until the caller's deadline.
	TimeLeft time.Duration
	// WithoutKV lets the call run without a claim while the KV service is unreachable.
	WithoutKV bool
}

// DecisionKind is the decision on a call with a request key.
type DecisionKind string

// The decisions on a call.
const (
	// DecisionRun means that the key is claimed and the call must be sent exactly once.
	DecisionRun DecisionKind = "run"
	// DecisionRunUnclaimed means that the call must be sent once although the key could
	// not be claimed, as the service's settings allow.
	DecisionRunUnclaimed DecisionKind = "runUnclaimed"
	// DecisionOutcome means that the call has run; Outcome holds its result.
	DecisionOutcome DecisionKind = "outcome"
	// DecisionInProgress means that the call is running.
	DecisionInProgress DecisionKind = "inProgress"
	// DecisionUnknown means that the call may have run.
	DecisionUnknown DecisionKind = "outcomeUnknown"
	// DecisionMismatch means that the key was used for a different call.
	DecisionMismatch DecisionKind = "mismatch"
	// DecisionUnavailable means that the key could not be claimed in time.
	DecisionUnavailable DecisionKind = "unavailable"
	// DecisionFull means that no more claims can be stored.
	DecisionFull DecisionKind = "full"
)

// Decision is the answer to a Claim.
type Decision struct {
	Kind    DecisionKind
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

// EndKind states whether a claimed call was sent and answered.
type EndKind string

// The endings of a claimed call.
const (
	// EndNotRun means that the call was not sent; the key may be claimed again.
	EndNotRun EndKind = "notRun"
	// EndAnswered means that the target responded.
	EndAnswered EndKind = "answered"
	// EndUnknown means that the call was sent and no response came.
	EndUnknown EndKind = "unknown"
)

// Finish reports the end of a claimed call.
type Finish struct {
	Ticket  Ticket
	EndKind EndKind
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
	ID       uint64
	Decision Decision
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
