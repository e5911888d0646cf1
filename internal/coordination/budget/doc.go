// Package budget accounts for the bytes that callers and targets make a process hold, and
// decides who gets bytes when they are scarce.
//
// Each connection with a request, and each body and answer, has a Holding:
//
//	Account.Open       a head, body, answer or stream begins to arrive
//	Holding.Reserve    bytes are about to be held: granted, refused, or others release some
//	Holding.Complete   all of it has arrived: it is no longer revoked
//	Holding.Release    some of the bytes are no longer held
//	Holding.Close      none is held any more
//
// Large arrivals may use a part of the budget, small ones a larger part, and running
// answers all of it. So a small request finds bytes that large bodies cannot take, and
// an answer finds bytes that no arrival can take.
//
// When bytes are short, an arrival that is incomplete is revoked: one that has stopped
// before one that goes on, and among those the one that holds the most. A request that has
// arrived completely is never revoked, since it may have been sent to a target.
//
// The package does no I/O. Packages accept and proxy reserve the bytes and end what is
// revoked.
package budget
