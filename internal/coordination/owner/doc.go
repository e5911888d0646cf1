// Package owner runs one shard of a zone's targets. A Shard competes for the ownership of
// its shard through a lease of the KV service. While it owns the shard, it decides which
// replicas and adapters its targets load, writes these decisions to the KV service and
// sends the load and unload orders to the targets.
//
// A Shard is a ports.Part: package entry feeds it events (configuration, members,
// targets, demands, replies) and receives effects (KV calls, orders, messages to peers)
// and notifications for routing and for operators.
//
// It guarantees three invariants: no more replicas are loaded than were decided, no
// accelerator memory is overcommitted, and no owner acts after another one has begun to.
// docs/notes/ownership.md argues why they hold through crashes, pauses, network
// partitions and lost replies; docs/operations/ownership.md describes what operators see.
package owner
