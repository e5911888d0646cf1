// Package feed lets other entries follow a part of the routing table: it keeps
// the latest row of each replica with a sequence number, and a reader asks for
// what came after the number that it has.
package feed
