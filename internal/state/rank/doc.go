// Package rank ranks candidates for a key by rendezvous hashing. Instances with the same
// list of candidates choose the same ones without communicating.
//
// Entries use it to choose the delegates of a zone, the owner of a shard and the home zone
// of a model. Hash, its hash function, is also used alone where instances must compute the
// same value, for example to assign targets to shards.
package rank
