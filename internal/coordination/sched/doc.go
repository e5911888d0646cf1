// Package sched schedules model loads and unloads: it decides which models the targets of
// a service hold in memory.
//
// Only the lease holder runs Planners, one for each service. A Planner takes in the
// targets' descriptions and reports, the demand of all instances and the results of
// orders. It returns the orders and report requests that follow; package edge sends them.
// It performs no I/O and reads no clock.
//
// Each order states how many orders the target must have accepted before it. An order
// whose reply was lost therefore takes effect either in the state that it was meant for
// or not at all, and the planner needs to know a target's state only as of that number.
package sched
