// Package seat finds a target for each request of one instance, or lets the
// request wait until there is one.
//
// A Board knows the targets as the platform lists them, what the holder of the
// placement says they hold, and what this instance has seen of them: its own
// requests in flight, the load that answers tell, and failures. Requests that no
// target can take wait in order of priority; how many wait for which model is
// the demand that the holder is told.
package seat
