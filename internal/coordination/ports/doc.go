// Package ports defines the five narrow interfaces through which the
// coordination parts reach the world (KV service, instance list, engine, peer
// and timer) and the typed events and effects that the parts exchange with
// whoever drives them.
//
// A part is deterministic: it opens no socket, reads no clock and starts no
// goroutine. A driver hands it an Event, takes its Effects, carries them out
// through the interfaces and feeds each result back as an Event:
//
//	KVCall{Tag: 7, Req: KVPut{…}}   the part asks
//	KVDone{Tag: 7, Reply: …}        the driver answers, once
//
// The daemon, the tests and any test bench use the same parts this way; a
// program that embeds them puts its own implementations behind the interfaces.
package ports
