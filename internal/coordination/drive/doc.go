// Package drive runs a ports.Part: it passes events to the part one at a time and
// executes the resulting effects through the interfaces of package ports. The entry
// process, the tests and the benchmarks run their parts with it.
package drive
