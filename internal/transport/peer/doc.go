// Package peer carries the messages between entries over connect-go.
package peer
