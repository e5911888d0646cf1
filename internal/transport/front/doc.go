// Package front is the callers' HTTP interface of an entry.
//
// POST /v1/chat/completions answers for models, whole or as server-sent events;
// GET /v1/models lists them; /services/{service}/… passes a call through to a
// plain service, streaming both ways. What is not answered is refused with an
// RFC 9457 problem document, which says notRun only where nothing can have
// reached a target.
package front
