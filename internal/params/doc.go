// Package params reads and checks the INI settings of an entry.
//
// Every fault is reported, not the first alone, and each names file, section,
// key, value and what is accepted.
package params
