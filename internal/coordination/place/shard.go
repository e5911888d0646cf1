package place

import "chivecroft.example/chivecroft/internal/state/rank"

// ShardOf returns the number of the shard to which a target belongs in its zone. It depends
// only on the target's ID and the number of shards.
func ShardOf(target string, shardCount int) int {
	return int(rank.Hash(target) % uint64(max(shardCount, 1)))
}
