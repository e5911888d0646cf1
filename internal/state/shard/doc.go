// Package shard provides a concurrent map with lock striping: its entries are distributed
// over stripes by the hash of their key, and each stripe has its own lock.
//
// These stripes exist only within one process. They have nothing to do with the shards of
// a zone, which package owner assigns to entries.
package shard
