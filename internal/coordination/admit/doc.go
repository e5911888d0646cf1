// Package admit decides which requests an entry takes: limits of tenants,
// shared over the entries of a zone without a call for a request, shedding
// under overload that begins with deferrable work, and an adaptive limit for
// back ends that do not tell their capacity.
//
// Everything here takes the time as an argument and may be used from several
// goroutines only where the type says so.
package admit
