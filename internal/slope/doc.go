// Package slope measures how the cost of control grows with the size of a
// deployment, at sizes that one machine can hold, and works out the cost at the
// target size from the slope.
//
// Each measurement drives the parts themselves, most of them on virtual time
// with small stand-ins; docs/CAPACITY.md quotes the table.
package slope
