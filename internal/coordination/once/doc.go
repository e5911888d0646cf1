// Package once keeps calls that carry a request key from running twice.
//
// Before a run-once call is sent, its key is claimed in the KV service, where
// every entry sees it; when the call ends, its outcome takes the claim's place.
// Keys are hashed into buckets, each one KV value, and all claims and outcomes
// that wait for a bucket are committed by one compare-and-swap, so that the
// number of writes does not grow with the number of calls.
//
// What a repeat of a key gets:
//
//	no record                             it may run
//	claimed, entry alive, time left       inProgress
//	claimed, entry gone or time is up     outcomeUnknown
//	ended with an answer                  that answer
//	ended without one                     outcomeUnknown
//	another body under the same key       mismatch
//	KV service not reachable              unavailable, and nothing is run
//
// No clock is compared between entries. An entry measures how long it has seen
// a record unchanged by its own monotonic clock, which can only make a claim
// last longer than its time and a record be kept longer than it has to.
package once
