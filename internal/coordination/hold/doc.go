// Package hold decides which instance may order targets.
//
// The holder owns a key under a lease. Losing it is noticed late in two cases: the
// holder is cut off from the store, or the key was taken away although the lease
// goes on. So a holder acts only while both its last renewal and its last sight of
// the key are fresh, and a successor waits until a former holder must have stopped
// plus the platform's least time between two holders.
//
// A second key, without a lease, names the last holder. An instance that finds
// itself there, or nobody, need not wait: orders of one instance are those of one
// holder. Its revision is the fencing token, so tokens only grow.
package hold
