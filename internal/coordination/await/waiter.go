package await

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/admit"
	"chivecroft.example/chivecroft/internal/coordination/route"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Request asks for a place on a replica.
type Request struct {
	Query  route.Query
	Class  config.Class
	Tenant string
	// Weight is the tenant's share under contention, 0 for the default.
	Weight float64
	// Deadline is when the caller gives up.
	Deadline time.Time
	// Bytes is what the request holds in memory while it waits.
	Bytes int64
	// Plain tells that the query is for a plain service, which nobody loads.
	Plain bool
}

func (r Request) weight() float64 {
	if r.Weight > 0 {
		return r.Weight
	}
	return defaultWeight
}

// Grant is a place on a replica.
type Grant struct {
	Choice route.Choice
	// Waited is the time spent in the queue.
	Waited time.Duration
	// Cold tells that no replica was ready when the request came.
	Cold bool
}

// waiter is one request in a queue.
type waiter struct {
	req    Request
	serial uint64
	index  int
	joined time.Time
	// due is when the refusal has to be on its way.
	due  time.Time
	cold bool
	// done takes the only answer; it has room for it.
	done chan answer
}

type answer struct {
	grant   Grant
	refusal *admit.Refusal
}

func (a answer) result() (Grant, error) {
	if a.refusal != nil {
		return Grant{}, a.refusal
	}
	return a.grant, nil
}
