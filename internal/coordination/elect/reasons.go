package elect

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
)

// EndReason tells why a term has ended.
type EndReason uint8

// The reasons for which terms end.
const (
	// NotEnded is the value in a Status that does not follow a term.
	NotEnded EndReason = iota
	// EndStopped means a planned stop.
	EndStopped
	// EndKeyLost means that the key is gone, or that another instance holds it.
	EndKeyLost
	// EndLeaseLost means that the store no longer knows the lease.
	EndLeaseLost
	// EndNotRenewed means that no renewal has succeeded for the duration of the lease, or
	// that the first one has failed.
	EndNotRenewed
	// EndNotRecorded means that the record has changed, or may not have been written.
	EndNotRecorded
	// EndOlderCopy means that the store has come back from an older copy.
	EndOlderCopy
)

// String returns the reason as it is written in log lines.
func (r EndReason) String() string {
	return [...]string{"none", "stopped", "keyLost", "leaseLost", "notRenewed", "notRecorded", "olderCopy"}[r]
}

// WaitReason tells why the first orders of a term wait as long as they do.
type WaitReason uint8

// The reasons for the wait at the start of a term.
const (
	// WaitNoFormer means that nobody has sent orders before, so that there is no wait.
	WaitNoFormer WaitReason = iota
	// WaitOwnTerm means that the former holder is this instance, so that there is no wait.
	WaitOwnTerm
	// WaitSettled means that no order of the former holder was on its way when it gave up the
	// key in a planned stop, so that only the handover is waited for.
	WaitSettled
	// WaitNotSettled means that orders of the former holder may arrive for some time after it
	// has lost the key; that time is waited for too.
	WaitNotSettled
	// WaitUnknown means that the store may have lost the record of the former holder.
	WaitUnknown
)

// String returns the reason as it is written in log lines.
func (r WaitReason) String() string {
	return [...]string{"noFormer", "ownTerm", "settled", "notSettled", "unknown"}[r]
}

// TermStart tells how a term has begun, for the log.
type TermStart struct {
	Wait WaitReason
	// CountedFrom is the time from which the wait counts.
	CountedFrom time.Time
	// Record is the revision of the record of the former holder, 0 if there is none.
	Record ports.Revision
}

// termStart describes the start of the current term.
func (p *Part) termStart() TermStart {
	return TermStart{Wait: p.waitReason(), CountedFrom: p.handoverFrom, Record: p.recordRevision}
}

// waitReason returns the reason for handoverWait.
func (p *Part) waitReason() WaitReason {
	switch {
	case !p.isRecordCurrent():
		return WaitUnknown
	case !p.lastRecord.Holder.IsValid():
		return WaitNoFormer
	case p.lastRecord.Holder == p.self:
		return WaitOwnTerm
	case p.lastRecord.Settled:
		return WaitSettled
	}
	return WaitNotSettled
}
