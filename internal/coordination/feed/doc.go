// Package feed publishes the replicas of an entry's shards to the routing tables of other
// entries. It keeps the latest row of each replica with a sequence number, and readers pull
// the changes after the sequence number that they have (ports.PullTable, ports.TableDelta).
// ZoneFeed combines the feeds of all owners of a zone for readers in other zones.
package feed
