// Package dedup prevents a call that carries a request key from running twice.
//
// Before such a call is sent, its key is claimed in the KV service, which all entries
// share; when the call ends, its outcome replaces the claim. Keys are hashed into
// buckets, each stored as one KV value, and all claims and outcomes that are pending for
// a bucket are committed by one compare-and-swap, so that the number of writes does not
// grow with the number of calls. A bucket that has grown too large is split in two; see
// split.go.
//
// The HTTP front end asks for a Decision before it sends a call and reports how the call
// ended. Part makes the decisions as a state machine without I/O; Driver runs a Part and
// gives callers a blocking interface.
//
// What a repeat of a key gets:
//
//	no record                             it may run
//	claimed, entry alive, time left       inProgress
//	claimed, entry gone or time is up     outcomeUnknown
//	ended with an answer                  that answer
//	ended without one                     outcomeUnknown
//	another body under the same key       mismatch
//	KV service not reachable              unavailable; it runs only with WithoutKV
//
// Clocks of different entries are never compared. An entry measures with its own
// monotonic clock how long it has seen a record unchanged, which can only make a claim
// last longer than its time limit and a record be kept longer than the retention.
package dedup
