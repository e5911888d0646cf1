package daily

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// Start begins a Writer.
type Start struct{}

// MembersChanged tells a Writer how many entries share the KV service.
type MembersChanged struct{ Members []ports.Member }

// StopAsked makes a Writer put its last rows and then note Stopped.
type StopAsked struct{}

// ReadAsked asks a Reader for the report of a date.
type ReadAsked struct {
	ID   uint64
	Date Date
	// Members are the entries known now.
	Members []ports.Member
	// Local is the asking instance's own row, fresher than the stored one.
	Local *Row
}

// IsEvent marks an event.
func (Start) IsEvent() {}

// IsEvent marks an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks an event.
func (StopAsked) IsEvent() {}

// IsEvent marks an event.
func (ReadAsked) IsEvent() {}

// Stopped notes that a Writer is done; Unwritten are the dates whose last row
// the KV service did not take.
type Stopped struct{ Unwritten []Date }

// ReadDone notes the report that ReadAsked asked for.
type ReadDone struct {
	ID     uint64
	Report Report
}
