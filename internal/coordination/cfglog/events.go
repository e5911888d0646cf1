package cfglog

import (
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Start is the first event that a Part receives.
type Start struct{}

// MembersChanged is the event that the view of the entries has changed.
type MembersChanged struct{ Members []ports.Member }

// PatchRequested is the event that an operator sent a patch; PatchAnswered with the same
// ID answers it.
type PatchRequested struct {
	ID    uint64
	Patch config.Patch
}

// FetchRequested is the event that another entry requested patches; FetchAnswered with the
// same ID answers it.
type FetchRequested struct {
	ID    uint64
	Fetch ports.FetchConfig
}

// ReadRequested is the event that a version was requested, zero meaning the current one;
// ReadAnswered with the same ID answers it.
type ReadRequested struct {
	ID      uint64
	Version config.Version
}

// HistoryRequested is the event that up to Limit accepted patches after a version were
// requested; HistoryAnswered with the same ID answers it.
type HistoryRequested struct {
	ID    uint64
	After config.Version
	Limit int
}

// ConfigChanged is the note that a new configuration is in force on this entry; its
// version is higher than that of the one before.
type ConfigChanged struct{ Config *config.Config }

// PatchAnswered is the note that answers a PatchRequested. Err is one of
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

// FetchAnswered is the note that answers a FetchRequested.
type FetchAnswered struct {
	ID    uint64
	Delta ports.ConfigDelta
}

// ReadAnswered is the note that answers a ReadRequested.
type ReadAnswered struct {
	ID     uint64
	Config *config.Config
	Err    error
}

// HistoryAnswered is the note that answers a HistoryRequested, oldest patch first.
type HistoryAnswered struct {
	ID      uint64
	Records []config.Record
	Err     error
}

// EventKind is the kind of a LogEvent note.
type EventKind string

// The kinds of logged events.
const (
	// EventOutage means that the KV service stopped answering.
	EventOutage EventKind = "configOutage"
	// EventRecovery means that the KV service answers again.
	EventRecovery EventKind = "configRecovery"
	// EventDamage means that a stored value cannot be decoded.
	EventDamage EventKind = "configDamage"
)

// LogEvent is the note of an occurrence that is to be written to the program's log, not to
// the log of patches.
type LogEvent struct {
	Kind    EventKind
	Subject string
	Detail  string
}

// IsEvent marks Start as an event.
func (Start) IsEvent() {}

// IsEvent marks MembersChanged as an event.
func (MembersChanged) IsEvent() {}

// IsEvent marks PatchRequested as an event.
func (PatchRequested) IsEvent() {}

// IsEvent marks FetchRequested as an event.
func (FetchRequested) IsEvent() {}

// IsEvent marks ReadRequested as an event.
func (ReadRequested) IsEvent() {}

// IsEvent marks HistoryRequested as an event.
func (HistoryRequested) IsEvent() {}
