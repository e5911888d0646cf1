// Package load shares the load of the targets among all instances.
//
// Each instance reports its requests in flight by target to the lease holder. The holder
// sums them and returns the sums with their age, so that every instance knows the load
// that all instances together cause. Relays stand between them in large zones:
//
//	Index.Assign    the holder numbers the targets; the numbers go out with its updates
//	View.Report     an instance reports its requests in flight, by number
//	Sums.Record     the holder adds the report to the sums
//	Sums.Snapshot   the holder returns the sums, with their age and the arrival rates
//	View.Apply      the instance subtracts what it has reported itself
//	Collector.Put   a relay records the report of a child, in its place
//	Collector.Sum   the relay reports the sum of its children and itself
//	Collector.Snapshot
//	                the relay answers a child, with the child's report that was in its own
//	Choose          the instance spreads a request over the targets
//
// A snapshot is always a little old, and a target that has few requests in it looks empty
// to all instances at once. Choose therefore does not return the least loaded target. It
// takes account of the requests that all instances have sent since the snapshot was made
// ("load interpretation", Dahlin 2000): they raise the targets to a common level, and the
// probability of a target is proportional to what it lacks to that level.
//
// The package does no I/O and reads no clock. Package picker owns the View, package edge
// the Index and the Sums.
package load
