package link

import "chivecroft.example/chivecroft/internal/coordination/ports"

// IsFinal reports whether a reply is final, so that no other shard needs to be asked. A shard
// that queues a load and gives a reason could not place it now, so its reply is not final.
func IsFinal(r ports.DemandReply) bool {
	return r.Status == ports.DemandAccepted || r.Status == ports.DemandQueued && r.Reason == ""
}

// BetterReply returns the reply that is more useful to the waiting caller, a if both are equally
// useful. Both are replies for which IsFinal is false.
func BetterReply(a, b ports.DemandReply) ports.DemandReply {
	if rank(b) > rank(a) {
		return b
	}
	return a
}

// rank orders replies that are not final, the most useful highest.
func rank(r ports.DemandReply) int {
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
