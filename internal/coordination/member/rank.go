package member

import (
	"cmp"
	"hash/fnv"
	"slices"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Choose returns n of the IDs for a duty by rendezvous hashing: entries with the
// same view choose the same ones, and the loss of one moves no other.
func Choose(ids []string, duty string, n int) []string {
	type ranked struct {
		id   string
		hash uint64
	}
	all := make([]ranked, len(ids))
	for i, id := range ids {
		all[i] = ranked{id, rankHash(duty, id)}
	}
	slices.SortFunc(all, func(a, b ranked) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.id, b.id))
	})
	chosen := make([]string, min(n, len(all)))
	for i := range chosen {
		chosen[i] = all[i].id
	}
	return chosen
}

// delegateDuty ranks the members of a zone: the first act for it, and the first
// few more are those that other zones know.
const delegateDuty = "delegate"

// delegateCount is the number of entries that act for their zone.
const delegateCount = 2

// Delegates returns the IDs of the entries that act for a zone towards others:
// they gossip with other zones, and the configuration comes in through them.
func Delegates(members []ports.Member, zone string) []string {
	return Choose(Serving(members, zone), delegateDuty, delegateCount)
}

// Serving returns the IDs of a zone's members that are alive.
func Serving(members []ports.Member, zone string) []string {
	var ids []string
	for _, m := range members {
		if m.Zone == zone && m.Phase == ports.MemberAlive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

func rankHash(duty, id string) uint64 {
	h := fnv.New64a()
	_, _ = h.Write([]byte(duty))
	_, _ = h.Write([]byte{0})
	_, _ = h.Write([]byte(id))
	return mix(h.Sum64())
}

// mix spreads the bits of FNV sums, whose high bits differ little between IDs
// that differ only in their last characters.
func mix(x uint64) uint64 {
	x ^= x >> 33
	x *= 0xff51afd7ed558ccd
	x ^= x >> 33
	x *= 0xc4ceb9fe1a85ec53
	x ^= x >> 33
	return x
}
