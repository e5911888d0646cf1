// Package owner runs one shard of a zone's targets: it takes and keeps the
// shard's ownership, decides which replicas its targets load, and orders them.
//
// The promises it keeps are about state: no more replicas loaded than decided,
// no accelerator memory overcommitted, and no owner that acts after another one
// has begun to. docs/notes/ownership.md argues why they hold through crashes,
// pauses, cuts and lost answers; docs/operations/ownership.md says what
// operators see.
package owner
