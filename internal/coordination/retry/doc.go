// Package retry limits how many requests an instance retries.
//
// The platform counts the retries of all instances in every window of time. Each instance
// therefore spends only its share: a ratio of the requests that it has received itself,
// plus its part of a fixed allowance. Package proxy takes a token from the Budget before
// it retries a request that may have run; package edge sets the limits and the number of
// instances.
package retry
