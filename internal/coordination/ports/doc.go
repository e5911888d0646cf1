// Package ports defines what the coordination packages share with the code that runs them:
// the interfaces to the KV service, the instance list, the model engines and the other
// entries (Env lists them, together with the timer), the requests and replies of these
// interfaces, and the events and effects of a Part.
//
// A Part is a deterministic state machine: it opens no socket, reads no clock and starts no
// goroutine. A driver (package drive) passes an Event to it, receives Effects, executes them
// through the interfaces and passes each result back as an Event:
//
//	KVCall{Tag: 7, Req: KVPut{…}}   effect: the part requests a write
//	KVDone{Tag: 7, Reply: …}        event: the driver returns the reply, exactly once
//
// The daemon and the tests run the same parts with different implementations of the
// interfaces, as any other program that embeds the parts can.
package ports
