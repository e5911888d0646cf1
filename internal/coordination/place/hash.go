package place

import (
	"hash/fnv"
	"sort"
)

// ShardOf returns the shard of a target in its zone.
func ShardOf(target string, shardCount int) int {
	return int(Hash(target) % uint64(max(shardCount, 1)))
}

// Rank orders candidates by rendezvous hashing for a key, the preferred first.
//
// Each candidate's weight depends on itself and the key alone, so when one
// comes or goes only the keys that it wins or won change hands.
func Rank(key string, candidates []string) []string {
	ranked := append([]string(nil), candidates...)
	sort.Slice(ranked, func(i, j int) bool {
		a, b := Hash(key+"\x00"+ranked[i]), Hash(key+"\x00"+ranked[j])
		if a != b {
			return a > b
		}
		return ranked[i] < ranked[j]
	})
	return ranked
}

// Hash is the same on every instance and in every version.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix spreads the entropy of FNV, whose high bits hardly depend on the last
// bytes, over all bits.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
