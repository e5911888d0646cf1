// Package fleet runs the membership and configuration parts of many entries on
// virtual time over one key-value store, with faults for each entry, and checks
// at every step what must always hold of the configuration.
package fleet
