// Package retry bounds how often requests are sent again.
//
// The platform counts repeats over all instances and in every window of time, so
// each instance spends only its share: a ratio of the requests that it has taken
// itself, and its part of a fixed allowance.
package retry
