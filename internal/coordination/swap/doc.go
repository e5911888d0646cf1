// Package swap decides which models the targets of a service hold.
//
// A Planner runs at the holder of the placement alone. It takes the targets'
// descriptions and reports, the demand of all instances and the ends of orders,
// and returns the orders and questions that follow. It opens no socket and reads
// no clock.
//
// Each order names the number of orders that the target must have accepted
// before. So an order whose answer was lost takes effect either in the state for
// which it was meant or not at all, and the planner needs to know a target's
// state only as of that number.
package swap
