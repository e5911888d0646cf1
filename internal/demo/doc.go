// Package demo runs a whole deployment in one process on loopback: the
// platform's stand-ins, targets, a plain service and entries of several zones.
package demo
