package front

import (
	"math"
	"net/http"
	"strconv"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
)

// The reasons of refusals and failures beyond those of admission and waiting.
const (
	reasonMalformed      admit.Reason = "malformed"
	reasonTooLarge       admit.Reason = "bodyTooLarge"
	reasonBodyCut        admit.Reason = "bodyCut"
	reasonBodySlow       admit.Reason = "bodySlow"
	reasonUnknownModel   admit.Reason = "unknownModel"
	reasonUnknownAdapter admit.Reason = "unknownAdapter"
	reasonOtherAdapter   admit.Reason = "adapterOfAnotherModel"
	reasonUnknownService admit.Reason = "unknownService"
	reasonUnknownPath    admit.Reason = "unknownPath"
	reasonMethod         admit.Reason = "methodNotAllowed"
	reasonUnknownKey     admit.Reason = "unknownApiKey"
	reasonNoTenant       admit.Reason = "noTenant"
	reasonBadDeadline    admit.Reason = "badDeadline"
	reasonNoRequestKey   admit.Reason = "requestKeyMissing"
	reasonBadRequestKey  admit.Reason = "requestKeyInvalid"
	reasonKeyReused      admit.Reason = "requestKeyReused"
	reasonInProgress     admit.Reason = "inProgress"
	reasonUnknownOutcome admit.Reason = "outcomeUnknown"
	reasonBodyNotKept    admit.Reason = "outcomeKnownBodyNotKept"
	reasonNoClaims       admit.Reason = "claimsUnavailable"
	reasonTargetFailed   admit.Reason = "targetFailed"
	reasonStreamCut      admit.Reason = "streamCut"
	reasonStreamRunOnce  admit.Reason = "streamedRunOnce"
	reasonCallerStalled  admit.Reason = "callerStalled"
	reasonRejected       admit.Reason = "rejectedByTarget"
)

// problemType is the beginning of the URIs that name the kinds of problems.
const problemType = "urn:chivecroft:problem:"

// Problem is an RFC 9457 problem document.
type Problem struct {
	Type      string       `json:"type"`
	Title     string       `json:"title"`
	Status    int          `json:"status"`
	Detail    string       `json:"detail,omitempty"`
	Reason    admit.Reason `json:"reason"`
	RequestID string       `json:"requestId,omitempty"`
	// NotRun tells that nothing can have reached a target.
	NotRun bool `json:"notRun"`
	// OutcomeUnknown tells that a target may have run the call.
	OutcomeUnknown bool `json:"outcomeUnknown,omitempty"`
	// OutcomeStatus is the HTTP status of an outcome whose body was not kept.
	OutcomeStatus int `json:"outcomeStatus,omitempty"`
	// RetryAfterSeconds repeats the Retry-After header.
	RetryAfterSeconds int `json:"retryAfter,omitempty"`
	// KeyUnchecked tells that an earlier call with the same request key may
	// have run: this one was refused before its key was looked up.
	KeyUnchecked bool `json:"keyUnchecked,omitempty"`

	// free marks a failure that an attempt elsewhere does not cost the budget.
	free bool
}

// Error returns the reason and the detail.
func (p *Problem) Error() string {
	return string(p.Reason) + ": " + p.Detail
}

// callerFault tells whether the caller is to blame. The server takes such a
// caller for one that has left.
func (p *Problem) callerFault() bool {
	return p.Reason == reasonBodySlow || p.Reason == reasonBodyCut || p.Reason == reasonCallerStalled
}

// refuse makes the problem of a request that reached no target.
func refuse(status int, reason admit.Reason, detail string) *Problem {
	return &Problem{Status: status, Reason: reason, Detail: detail, NotRun: true}
}

// fail makes the problem of a request that may have run.
func fail(status int, reason admit.Reason, detail string) *Problem {
	return &Problem{Status: status, Reason: reason, Detail: detail, OutcomeUnknown: true}
}

// after adds the advice when to come back, in whole seconds, rounded up.
func (p *Problem) after(d time.Duration) *Problem {
	if d > 0 {
		p.RetryAfterSeconds = int(math.Ceil(d.Seconds()))
	}
	return p
}

// refusal makes the problem of a refusal by admission or waiting.
func refusal(r *admit.Refusal) *Problem {
	return refuse(refusalStatus(r.Reason), r.Reason, r.Detail).after(r.RetryAfter)
}

func refusalStatus(reason admit.Reason) int {
	switch reason {
	case admit.ReasonTenantRate, admit.ReasonTenantConcurrency:
		return http.StatusTooManyRequests
	case admit.ReasonDeadline:
		return http.StatusGatewayTimeout
	}
	return http.StatusServiceUnavailable
}

// write sends the problem as the whole answer.
func (p *Problem) write(w http.ResponseWriter, requestID string) {
	body := p.encode(requestID)
	h := w.Header()
	h.Set("Content-Type", "application/problem+json")
	h.Set("Content-Length", strconv.Itoa(len(body)))
	if p.RetryAfterSeconds > 0 {
		h.Set("Retry-After", strconv.Itoa(p.RetryAfterSeconds))
	}
	w.WriteHeader(p.Status)
	w.Write(body)
}

func (p *Problem) encode(requestID string) []byte {
	whole := *p
	whole.Type = problemType + string(p.Reason)
	whole.Title = http.StatusText(p.Status)
	whole.RequestID = requestID
	return encode(whole)
}
