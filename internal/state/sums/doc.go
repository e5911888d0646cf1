// Package sums adds a checksum to JSON objects that are stored in the KV service, so that
// damage is detected even if the damaged value is still valid JSON.
//
// Packages dedup, permit and place store their values with it.
package sums
