// Package drive runs a ports.Part: it passes events to the part one at a time and
// executes the resulting effects through the interfaces of package ports. Packages entry
// and edge run their parts with it; tests and simulations do so on virtual time.
package drive
