package link

import "chivecroft.example/chivecroft/internal/coordination/ports"

// Settles tells whether asking another shard could not do better. A shard that
// queues a load and gives a reason found no place for it now.
func Settles(r ports.DemandReply) bool {
	return r.Status == ports.DemandAccepted || r.Status == ports.DemandQueued && r.Reason == ""
}

// Better returns the answer that is worth more to the caller who waits, a if both
// are worth the same; neither settles the demand.
func Better(a, b ports.DemandReply) ports.DemandReply {
	if weight(b) > weight(a) {
		return b
	}
	return a
}

func weight(r ports.DemandReply) int {
	switch r.Status {
	case ports.DemandQueued:
		return 3
	case ports.DemandRefused:
		return 2
	case ports.DemandElsewhere:
		return 1
	}
	return 0
}
