// Package deltas caches the latest changes of some keys of the metadata store, so that an
// instance that reads the store can pass them on to other instances. Package edge fills a
// Log from its target feed and answers other instances from it.
package deltas
