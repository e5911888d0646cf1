// Package proxy is the HTTP reverse proxy of the daemon in package edge: it forwards
// callers' requests to targets, and the targets' responses back, unchanged.
//
// A request is read completely, gets a reservation at a target (package picker) and is sent
// there. The response is relayed, an ordinary one in one piece, a stream event by event.
// Only this package decides which requests are retried: those that have not run, and
// those that may run more than once, both within the retry budget (package retry). A
// broken resumable stream is continued at another target. A Codec, which package platform
// implements, translates the headers.
package proxy
