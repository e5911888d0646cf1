// Package elect elects the lease holder: the one instance that may send orders to targets.
//
// The holder owns a key of the metadata store under a lease. It learns late that it has
// lost the key in two cases: if it is cut off from the store, and if the key was deleted
// although the lease is still renewed. The holder therefore sends orders only while both
// its last renewal and its last read of the key are fresh.
//
// The rule is about arrivals: two holders may not reach a target within the handover, the
// platform's minimum time between the orders of two holders. An order that has been checked
// arrives later, at the latest after the time that its sender gives it. So a holder has three
// ends, one after the other:
//
//	the last order is checked     up to orderValidity after the last proof of the key
//	the last order has arrived    up to the order time later, when its connection is reset
//	the next holder's first one   the handover after that
//
// A second key, the record, has no lease and names the last holder, its fencing token and how
// long after the loss of the key its orders may arrive. The next holder waits for that time and
// the handover, counted from when it has found the key missing. After a planned stop it waits
// for the handover only: the former holder stops its orders, waits for those on their way and
// writes that into the record before it gives up the key. An instance that finds itself in the
// record need not wait, and goes on with the same token, so that late orders of its former
// process have no lower one.
//
// The store may come back from an older copy, with a higher era. The record may then name a
// holder before the last one, and revisions are given out again. Each reply with a higher era
// therefore ends the term, a record of another era is not relied upon, and the era is a part
// of fencing tokens, so that tokens only increase.
//
// Package edge runs the Part of each instance and acts on its Status.
package elect
