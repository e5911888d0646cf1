// Package entry is the daemon: it puts the coordination parts behind the
// transports and runs them.
//
// Each part has a loop of its own (package drive). What one part notes, the
// entry hands on to the others: the members to everybody, an adopted
// configuration to the shards, a change of the routing table to the feed that
// other entries follow. Requests do not pass through the loops; they use the
// routing table, the queues and the limits, which are safe for many goroutines.
package entry
