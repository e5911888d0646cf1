// Package permit divides a limited resource among shards: the maximum number of replicas
// of a model, or the slots of the weight store. It holds the format and the pure
// functions of the permit ledger; package owner reads and writes the ledgers in the KV
// service.
//
// Permits are recorded in two places. The ledger, one KV value for each bucket of
// resources, says how many permits each shard may hold; the shard's own value says how
// many it does hold. A grant writes the ledger first and the shard's value second, a
// release the shard's value first and the ledger second, so at any time
//
//	held by shards <= granted in the ledger <= maximum
//
// A crash between the two writes can leave a permit unused, but never lets two shards
// hold it. Only lowering the maximum can leave more granted than the maximum, until the
// shards have released down to their Share.
package permit
