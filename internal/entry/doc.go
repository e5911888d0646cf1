// Package entry is the daemon of the own callers' and operators' interface: it connects
// the parts of package coordination with the transports and runs them.
//
// Each part runs in a loop of its own (package drive). An entry passes what one part
// reports on to the others: the members to all parts, an adopted configuration to the
// shards, a change of the routing table to the feed that other entries follow. Requests
// do not pass through the loops; they use the routing table, the queues and the limits,
// which are safe for concurrent use.
package entry
