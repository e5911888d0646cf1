package rank

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns the candidates in order of preference for a key.
//
// The hash of a candidate depends only on the candidate and the key, so when a candidate is
// added or removed, only the keys for which it ranks first are reassigned. For example, with
// entries e1, e2 and e3 the loss of e2 reassigns only the keys for which e2 ranked first,
// each to the entry that ranked second for it.
func Order(key string, candidates []string) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	all := make([]ranked, len(candidates))
	for i, id := range candidates {
		all[i] = ranked{id, Hash(key + "\x00" + id)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	ordered := make([]string, len(all))
	for i := range all {
		ordered[i] = all[i].id
	}
	return ordered
}

// Hash returns a 64-bit hash of s. It must never change: all instances have to compute the
// same value, whatever release they run.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix is the 64-bit finalizer of MurmurHash3. It is needed because the high bits of FNV-1a
// hashes hardly differ between strings that differ only in their last characters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
