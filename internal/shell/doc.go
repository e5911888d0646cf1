// Package shell is the command line: it turns arguments into calls of the other
// packages, and their errors into exit codes.
package shell
