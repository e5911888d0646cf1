// Package place holds the plan of a shard: which replicas were decided for
// which target, what memory and permits they are charged with, and how the plan
// is written as a value of the KV service.
//
// Everything here is a pure function of its arguments. The charge model in one
// sentence: a replica takes memory and a permit from the moment its load is
// written until the target confirms that it is gone and no copy of its load
// order can still arrive.
package place
