package cfglog

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event that a Part receives.
type Start struct{}

// MembersChanged is the event that the view of the entries has changed.
type MembersChanged struct{ Members []ports.Member }

// PatchAsked is the event that an operator sent a patch; PatchAnswered with the same ID
// answers it.
type PatchAsked struct {
	ID    uint64
	Patch config.Patch
}

// FetchArrived is the event that another entry requested patches; FetchAnswered with the
// same ID answers it.
type FetchArrived struct {
	ID    uint64
	Fetch ports.FetchConfig
}

// ReadAsked is the event that a version was requested, zero meaning the current one;
// ReadAnswered with the same ID answers it.
type ReadAsked struct {
	ID      uint64
	Version config.Version
}

// HistoryAsked is the event that up to Limit accepted patches after a version were
// requested; HistoryAnswered with the same ID answers it.
type HistoryAsked struct {
	ID    uint64
	After config.Version
	Limit int
}

// Adopted is the note that a new configuration is in force on this entry; its version is
// higher than that of the one before.
type Adopted struct{ Config *config.Config }

// PatchAnswered is the note that answers a PatchAsked. Err is one of
// *config.InvalidError, *ConflictError, *FutureBaseError, *IDReusedError,
// *UnavailableError, *config.DamagedError and *config.FormatError, possibly wrapped.
type PatchAnswered struct {
	ID       uint64
	Version  config.Version
	Warnings []config.Warning
	// Repeated means that the patch had already been accepted.
	Repeated bool
	Err      error
}

// FetchAnswered is the note that answers a FetchArrived.
type FetchAnswered struct {
	ID    uint64
	Delta ports.ConfigDelta
}

// ReadAnswered is the note that answers a ReadAsked.
type ReadAnswered struct {
	ID     uint64
	Config *config.Config
	Err    error
}

// HistoryAnswered is the note that answers a HistoryAsked, oldest patch first.
type HistoryAnswered struct {
	ID      uint64
	Records []config.Record
	Err     error
}

// HappenedKind is the kind of a Happened note.
type HappenedKind string

// The kinds of things that happen.
const (
	// HappenedOutage means that the KV service stopped answering.
	HappenedOutage HappenedKind = "configOutage"
	// HappenedRecovery means that the KV service answers again.
	HappenedRecovery HappenedKind = "configRecovery"
	// HappenedDamage means that a stored value cannot be decoded.
	HappenedDamage HappenedKind = "configDamage"
)

// Happened is the note of an occurrence that is to be logged.
type Happened struct {
	Kind    HappenedKind
	Subject string
	Detail  string
}

// IsEvent marks Start as an event.
func (Start) IsEvent() {}

// IsEvent marks MembersChanged as an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks PatchAsked as an event.
func (PatchAsked) IsEvent() {}

// IsEvent marks FetchArrived as an event.
func (FetchArrived) IsEvent() {}

// IsEvent marks ReadAsked as an event.
func (ReadAsked) IsEvent() {}

// IsEvent marks HistoryAsked as an event.
func (HistoryAsked) IsEvent() {}
