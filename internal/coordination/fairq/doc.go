// Package fairq schedules flows by start-time fair queueing.
//
// A flow is what shares the capacity with others: a class, a tenant or a team. The flow
// with the lowest start tag is next, and each item that is served increases the start tag
// of its flow by the item's tokens over the flow's weight. A flow without items starts at
// the current virtual time, so that it accumulates no credit:
//
//	Schedule.Add     an item of a flow is queued; its owner keeps it in Flow.Items
//	Schedule.Next    the flow that is served next
//	Schedule.Charge  an item of a flow is served
//	Schedule.Remove  an item has left the queue, served or not
//	Schedule.Walk    the flows in their order while items are served, passing over those
//	                 that nothing can be served of
//	Flow.SetLead     what the flow has received elsewhere
//
// The package does no I/O and reads no clock. Package queue schedules classes and tenants
// with it, package picker teams.
package fairq
