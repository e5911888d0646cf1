package queue

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Request asks for a slot on a replica.
type Request struct {
	Query  route.Query
	Class  config.Class
	Tenant string
	// Weight is the tenant's relative share under contention, 0 for the default of 1.
	Weight float64
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Bytes is the memory that the request uses while it waits.
	Bytes int64
	// IsPlainService marks a query for a plain service, which is never loaded on demand.
	IsPlainService bool
}

func (r Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return defaultWeight
}

// Grant is a slot on a replica.
type Grant struct {
	Choice route.Choice
	// Waited is the time spent in the queue.
	Waited time.Duration
	// WasCold is set if no replica was ready when the request arrived.
	WasCold bool
}

// waiter is a queued request.
type waiter struct {
	req Request
	// seq orders waiters with the same refuseBy by arrival.
	seq uint64
	// heapIndex is the position in the waiterHeap, negative if the waiter is not queued.
	heapIndex  int
	enqueuedAt time.Time
	// refuseBy is the latest useful start of the call: a waiter without a slot is refused
	// then, which leaves time for the refusal to reach the caller before the deadline.
	refuseBy time.Time
	isCold   bool
	// done receives the only outcome; its buffer of one keeps the sender from blocking.
	done chan outcome
}

// outcome is a grant, or a refusal if that is not nil.
type outcome struct {
	grant   Grant
	refusal *admit.Refusal
}

func (a outcome) result() (Grant, error) {
	if a.refusal != nil {
		return Grant{}, a.refusal
	}
	return a.grant, nil
}
