package member

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/rank"
)

// Choose returns n of the IDs for a duty by rendezvous hashing: entries with the
// same view choose the same ones, and the loss of one moves no other.
func Choose(ids []string, duty string, n int) []string {
	ordered := rank.Order(duty, ids)
	return ordered[:min(n, len(ordered))]
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
