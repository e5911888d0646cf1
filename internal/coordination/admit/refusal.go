package admit

import (
	"fmt"
	"time"
)

// Reason says in one word why a request was refused.
type Reason string

// The reasons of refusals.
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

// Refusal is a typed refusal of a request that reached no target.
type Refusal struct {
	Reason Reason
	Detail string
	// RetryAfter tells the caller when to come back, 0 for no advice.
	RetryAfter time.Duration
}

// Error describes the refusal.
func (r *Refusal) Error() string {
	return fmt.Sprintf("refused: %s: %s", r.Reason, r.Detail)
}
