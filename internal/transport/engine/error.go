package engine

import (
	"errors"
	"fmt"
	"net/netip"
)

// Error is a call to an engine that failed before its answer began.
type Error struct {
	Step string
	Peer netip.AddrPort
	// Reason is the engine's word for it, empty if it gave none.
	Reason string
	// NotRun tells that the engine began nothing, either because it says so or
	// because nothing was written to it.
	NotRun bool
	// Status is the HTTP status, 0 if there was no answer.
	Status int
	Err    error
}

// Error returns the step, the peer and the cause.
func (e *Error) Error() string {
	text := fmt.Sprintf("%s at %s", e.Step, e.Peer)
	if e.Status != 0 {
		text += fmt.Sprintf(": HTTP status %d", e.Status)
	}
	if e.Reason != "" {
		text += ": " + e.Reason
	}
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error {
	return e.Err
}

// NotRun reports whether err says that the engine began nothing.
func NotRun(err error) bool {
	var e *Error
	return errors.As(err, &e) && e.NotRun
}

// StreamFault is how a stream went wrong.
type StreamFault string

// The faults of a stream.
const (
	// StreamCut means that the stream ended without its end mark.
	StreamCut StreamFault = "cut"
	// StreamGap means that tokens are missing.
	StreamGap StreamFault = "gap"
	// StreamDamaged means that a chunk can't be read.
	StreamDamaged StreamFault = "damaged"
	// StreamCrossed means that a chunk belongs to another request.
	StreamCrossed StreamFault = "crossed"
	// StreamCancelled means that the engine was told to stop.
	StreamCancelled StreamFault = "cancelled"
)

// StreamError is an answer that broke off after it had begun.
type StreamError struct {
	Fault StreamFault
	Step  string
	Peer  netip.AddrPort
	// Tokens is how many tokens arrived in order, counted from the start of the
	// whole answer; a resumed stream goes on there.
	Tokens int
	Err    error
}

// Error returns the fault, the step and the peer.
func (e *StreamError) Error() string {
	text := fmt.Sprintf("%s at %s: stream %s after %d tokens", e.Step, e.Peer, e.Fault, e.Tokens)
	if e.Err != nil {
		text += ": " + e.Err.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *StreamError) Unwrap() error {
	return e.Err
}
