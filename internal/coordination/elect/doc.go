// Package elect elects the lease holder: the one instance that may send orders to targets.
//
// The holder owns a key of the metadata store under a lease. It learns late that it has
// lost the key in two cases: if it is cut off from the store, and if the key was deleted
// although the lease is still renewed. The holder therefore sends orders only while both
// its last renewal and its last check of the key are fresh. A new holder waits until the
// former one must have stopped, plus the platform's minimum time between the orders of
// two holders.
//
// A second key, the record, has no lease and names the last holder. An instance that
// finds itself or nobody there need not wait, since the orders of one instance are those
// of one holder. The revision of the record is the fencing token, so tokens only
// increase.
//
// Package edge runs the Part of each instance and acts on its Status.
package elect
