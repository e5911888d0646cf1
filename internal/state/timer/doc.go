// Package timer is the one source of time: parts subscribe to it instead of
// reading a clock, so that tests can run them on virtual time.
package timer
