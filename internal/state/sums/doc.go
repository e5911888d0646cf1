// Package sums adds a checksum to stored JSON objects, so that a damaged value
// is told from a whole one even where it is still valid JSON.
package sums
