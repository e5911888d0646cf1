// Package queue holds the requests that no replica can take yet. It has one queue for each
// model and adapter and for each plain service, bounded in count and bytes. Every queued
// request ends with a slot on a replica or with a refusal before its deadline.
//
// The HTTP front end calls Queues.Acquire for each request. Slots come from the routing table
// of package route, whose change listener has to call Queues.Process; refusals are those of
// package admit. Models without a usable replica are requested through a Demander.
//
// For a cold model, at most one demand per interval goes to the owner of the model's shard,
// however many callers wait. From the owner's estimate of when the load ends, the queue
// immediately refuses the requests whose deadline comes earlier, with a time to retry,
// instead of holding them until the deadline. A demand that is lost, because its owner died
// or on the network, is sent again for as long as requests wait.
package queue
