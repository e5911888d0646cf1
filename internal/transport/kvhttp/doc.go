// Package kvhttp is the client of the platform's key-value service and instance
// list over HTTP.
//
// Its care is the end of each call: KVUnavailable only where nothing can have
// been written to the service, KVUnknown for a write whose answer was lost.
package kvhttp
