// Package pass carries requests to targets and their answers back to callers,
// unchanged.
//
// One request is read whole, gets a place at a target (coordination/seat), is
// sent, and its answer is relayed: a plain one in one piece, a stream event by
// event. What may be sent again is decided here alone: a request that has not run,
// and one that may run more than once, both within the retry budget.
package pass
