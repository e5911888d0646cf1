// Package vday runs the policies over a day of seeded load on virtual time and
// compares them.
//
// It is a driver over the policies with small stand-ins for the targets, the
// weight store and the callers, not a simulator of a cluster: there are no
// entries, no messages and no faults, and the decisions are the policies' own.
package vday
