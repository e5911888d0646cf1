package rank

import (
	"cmp"
	"hash/fnv"
	"slices"
)

// Order returns the candidates in the order in which they are preferred for a
// key.
//
// Each candidate's place depends on itself and the key alone, so when one comes
// or goes only the keys that it wins or won change hands. For example, with
// entries e1, e2 and e3 the loss of e2 moves the keys whose first was e2, each
// to whichever came second for it, and no other.
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

// Hash is the same on every instance and in every version.
func Hash(s string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(s))
	return mix(h.Sum64())
}

// mix spreads the bits of FNV sums, whose high bits differ little between words
// that differ only in their last characters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
