// Package world puts fakes behind the five interfaces on virtual time, with
// seeded latency and faults, for focused tests of the coordination parts.
package world
