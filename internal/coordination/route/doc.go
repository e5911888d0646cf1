// Package route keeps the routing table of an entry and picks the replica, or
// the instance of a plain service, for each request.
//
// The table is fed by the entries that own shards, by load reports and by the
// engines' cache events, all of which lag; what the entry itself has in flight
// is counted here and is always current. State is split by model, each part
// under its own lock.
package route
