package member

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/rank"
)

// PickByHash returns n of the IDs by rendezvous hashing with the given key. Entries with
// the same view pick the same IDs, and if one is lost the others remain picked.
func PickByHash(ids []string, key string, n int) []string {
	ordered := rank.Order(key, ids)
	return ordered[:min(n, len(ordered))]
}

// delegateKey is the hashing key that ranks the members of a zone: the first act as its
// delegates, and the first SampleSize are those that other zones know.
const delegateKey = "delegate"

// delegateCount is the number of delegates of a zone.
const delegateCount = 2

// Delegates returns the IDs of the entries that act for a zone: they gossip with other
// zones, and the zone receives the configuration through them.
func Delegates(members []ports.Member, zone string) []string {
	return PickByHash(AliveIDs(members, zone), delegateKey, delegateCount)
}

// AliveIDs returns the IDs of the members of a zone that are alive.
func AliveIDs(members []ports.Member, zone string) []string {
	var ids []string
	for _, m := range members {
		if m.Zone == zone && m.Phase == ports.MemberAlive {
			ids = append(ids, m.ID)
		}
	}
	return ids
}
