// Package picker chooses a target for each request of one instance (load balancing), or
// queues the request until a target can take it.
//
// A Picker combines three sources: the targets as the platform lists them, what the lease
// holder reports about their loaded models, and what this instance has observed itself:
// its requests in flight, the load reported in responses, and failures. Requests that no
// target can take are queued by priority. The number of queued requests for each model is
// the demand, which the instance sends to the lease holder so that it loads models.
// Package edge owns the Picker; package proxy acquires and releases reservations for
// requests.
package picker
