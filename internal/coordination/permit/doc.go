// Package permit divides a limited resource among shards: the replica maximum
// of a model, or the slots of the weight store.
//
// Permits stand in two places. The ledger, one KV value for each bucket of
// resources, says how many each shard may hold; the shard's own value says how
// many it does hold. A grant writes the ledger first and the shard second, a
// release the shard first and the ledger second, so at every moment
//
//	held by shards <= granted in the ledger <= maximum
//
// and a crash between the two writes can only waste a permit, never double it.
package permit
