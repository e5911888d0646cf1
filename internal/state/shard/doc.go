// Package shard holds state split into shards, each under its own lock.
package shard
