// Package route keeps the routing table of an entry and picks a replica, or an instance of a
// plain service, for each request.
//
// The table is updated by deltas from the entries that own shards, by load reports and by
// cache events of the engines, all of which lag. The requests that this entry itself has in
// flight are counted here and are always current. Package queue picks replicas for requests
// and queues those that get none; the HTTP front end reports the end of each call with
// Choice.Release. The models are distributed over separately locked stripes.
package route
