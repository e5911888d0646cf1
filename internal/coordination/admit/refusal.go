package admit

import (
	"fmt"
	"time"
)

// Reason is the cause of a refusal, as it is sent to callers.
type Reason string

// The causes of refusals.
const (
	ReasonTenantRate        Reason = "tenantRate"
	ReasonTenantConcurrency Reason = "tenantConcurrency"
	ReasonOverload          Reason = "overload"
	ReasonQueueFull         Reason = "queueFull"
	ReasonTooLate           Reason = "tooLate"
	ReasonDeadline          Reason = "deadline"
	ReasonNoReplica         Reason = "noReplica"
	ReasonLoadFailed        Reason = "loadFailed"
	ReasonNoTarget          Reason = "noTarget"
	ReasonDraining          Reason = "draining"
	ReasonCancelled         Reason = "cancelled"
)

// Refusal is the error for a request that was refused before it reached a target.
type Refusal struct {
	Reason Reason
	// Detail is an explanation for people.
	Detail string
	// RetryAfter is the time after which the caller should retry, 0 if unknown.
	RetryAfter time.Duration
}

// Error returns the reason and the detail.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}
