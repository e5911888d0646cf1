// Package await holds the requests that no replica can take yet: a queue for
// each model and adapter, bounded in count and bytes, in which every request
// ends in a place on a replica or in a refusal before its deadline.
//
// For a cold model one demand goes to the owner of its shard in an interval,
// however many callers wait. The owner's estimate of the load's end decides at
// once which of them cannot make it; those are told to come back later instead
// of being held until their time is up. A demand that is lost, with its owner
// or on the way, is sent again for as long as somebody waits.
package await
