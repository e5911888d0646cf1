// Package place defines the plan of a shard: the replicas and adapters that the shard's
// owner has assigned to each target, the memory and permits that they take, and the load
// orders that may still arrive. It encodes a plan as a value of the KV service and decodes
// and checks such values.
//
// A replica takes its memory and a permit from the moment when the plan with its load is
// written until the target confirms that the replica is gone and no copy of its load order
// can still arrive.
//
// Package owner makes and changes plans; the functions here do no I/O and keep no state.
package place
