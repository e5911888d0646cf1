package once

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Claim asks whether the call with a request key may run.
type Claim struct {
	Service string
	Tenant  string
	Key     string
	// BodySum identifies the call: its method, path and body.
	BodySum string
	// Within is the time left to the caller.
	Within time.Duration
	// WithoutKV lets the call run while the KV service is not reachable.
	WithoutKV bool
}

// VerdictKind says what a call with a request key gets.
type VerdictKind string

// The verdicts on a call.
const (
	// VerdictRun means that the key is claimed and the call is to be sent once.
	VerdictRun VerdictKind = "run"
	// VerdictRunUnclaimed means that the call is to be sent once although the
	// key could not be claimed, as the service's settings allow.
	VerdictRunUnclaimed VerdictKind = "runUnclaimed"
	// VerdictOutcome means that the call ran and Outcome is how it ended.
	VerdictOutcome VerdictKind = "outcome"
	// VerdictInProgress means that the call runs.
	VerdictInProgress VerdictKind = "inProgress"
	// VerdictUnknown means that the call may have run.
	VerdictUnknown VerdictKind = "outcomeUnknown"
	// VerdictMismatch means that the key belongs to another call.
	VerdictMismatch VerdictKind = "mismatch"
	// VerdictUnavailable means that the key could not be claimed in time.
	VerdictUnavailable VerdictKind = "unavailable"
	// VerdictFull means that no more claims can be kept.
	VerdictFull VerdictKind = "full"
)

// Verdict answers a Claim.
type Verdict struct {
	Kind    VerdictKind
	Outcome Outcome
	// Ticket names the claim in Finish.
	Ticket Ticket
	// RetryAfter tells when asking again may help.
	RetryAfter time.Duration
}

// Ticket is the right to run one call.
type Ticket struct {
	ID    string
	Nonce uint64
}

// Outcome is how a call ended.
type Outcome struct {
	Status int `json:"status,omitempty"`
	// Header is the answer's HTTP header.
	Header map[string][]string `json:"header,omitempty"`
	Body   []byte              `json:"body,omitempty"`
	// BodyKept tells that Body is whole.
	BodyKept bool `json:"bodyKept,omitempty"`
}

// Ending says which way a claimed call ended.
type Ending string

// The endings of a claimed call.
const (
	// EndedNotRun means that nothing was sent; the key may be claimed again.
	EndedNotRun Ending = "notRun"
	// EndedAnswered means that the target answered.
	EndedAnswered Ending = "answered"
	// EndedUnknown means that it was sent and no answer came.
	EndedUnknown Ending = "unknown"
)

// Finish reports the end of a claimed call.
type Finish struct {
	Ticket  Ticket
	Ending  Ending
	Outcome Outcome
}

// ClaimAsked is the event that a call wants to run; ClaimAnswered with the same
// ID answers it.
type ClaimAsked struct {
	ID    uint64
	Claim Claim
}

// Finished is the event that a claimed call has ended.
type Finished struct{ Finish Finish }

// MembersChanged is the event that the known entries changed.
type MembersChanged struct{ Members []ports.Member }

// Start is the first event of a part.
type Start struct{}

// ClaimAnswered is the note that answers a ClaimAsked.
type ClaimAnswered struct {
	ID      uint64
	Verdict Verdict
}

// IsEvent marks an event.
func (ClaimAsked) IsEvent() {}

// IsEvent marks an event.
func (Finished) IsEvent() {}

// IsEvent marks an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks an event.
func (Start) IsEvent() {}

// Backlog is the note of how many ends of calls are not written yet.
type Backlog struct{ Unwritten int }
