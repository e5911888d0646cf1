// Package kvmem is the logic of the key-value stand-in: compare-and-swap,
// leases and change notification in memory, on a given timer service.
package kvmem
