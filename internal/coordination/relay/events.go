package relay

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event of a part.
type Start struct{}

// MembersChanged hands over the view of the other entries.
type MembersChanged struct{ Members []ports.Member }

// PatchAsked asks to accept a patch; PatchAnswered with the same ID answers it.
type PatchAsked struct {
	ID    uint64
	Patch config.Patch
}

// FetchArrived is another entry's request; FetchAnswered with the same ID
// answers it.
type FetchArrived struct {
	ID    uint64
	Fetch ports.FetchConfig
}

// ReadAsked asks for a version, zero for the current one; ReadAnswered with the
// same ID answers it.
type ReadAsked struct {
	ID      uint64
	Version config.Version
}

// HistoryAsked asks for up to Limit accepted patches after a version;
// HistoryAnswered with the same ID answers it.
type HistoryAsked struct {
	ID    uint64
	After config.Version
	Limit int
}

// Adopted is a note that a configuration is in force on this entry; versions
// only grow.
type Adopted struct{ Config *config.Config }

// PatchAnswered is a note with the end of a PatchAsked. Err is one of
// *config.InvalidError, *ConflictError, *FutureBaseError, *IDReusedError,
// *UnavailableError, *config.DamagedError and *config.FormatError, perhaps wrapped.
type PatchAnswered struct {
	ID       uint64
	Version  config.Version
	Warnings []config.Warning
	// Repeated means that the patch had been accepted before.
	Repeated bool
	Err      error
}

// FetchAnswered is a note with the answer to a FetchArrived.
type FetchAnswered struct {
	ID    uint64
	Delta ports.ConfigDelta
}

// ReadAnswered is a note with the answer to a ReadAsked.
type ReadAnswered struct {
	ID     uint64
	Config *config.Config
	Err    error
}

// HistoryAnswered is a note with the answer to a HistoryAsked, oldest first.
type HistoryAnswered struct {
	ID      uint64
	Records []config.Record
	Err     error
}

// HappenedKind says what sort of thing happened.
type HappenedKind string

// The kinds of things that happen.
const (
	// HappenedOutage means that the KV service stopped answering.
	HappenedOutage HappenedKind = "configOutage"
	// HappenedRecovery means that the KV service answers again.
	HappenedRecovery HappenedKind = "configRecovery"
	// HappenedDamage means that a stored value cannot be read.
	HappenedDamage HappenedKind = "configDamage"
)

// Happened is a note of something that belongs into the log.
type Happened struct {
	Kind    HappenedKind
	Subject string
	Detail  string
}

// IsEvent marks an event.
func (Start) IsEvent() {}

// IsEvent marks an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks an event.
func (PatchAsked) IsEvent() {}

// IsEvent marks an event.
func (FetchArrived) IsEvent() {}

// IsEvent marks an event.
func (ReadAsked) IsEvent() {}

// IsEvent marks an event.
func (HistoryAsked) IsEvent() {}
