// Package share models work that goes at full speed while little of it is in
// flight and slower in proportion beyond that, as reads from a weight store do.
package share
