package place

import "chivecroft.example/chivecroft/internal/state/rank"

// ShardOf returns the shard of a target in its zone.
func ShardOf(target string, shardCount int) int {
	return int(rank.Hash(target) % uint64(max(shardCount, 1)))
}
