package cfglog

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Times and bounds of accepting a patch.
const (
	// resolveTimeout is how long a part tries to find out whether a write took effect.
	resolveTimeout = 10 * time.Second
	// resolveInterval is the time between two attempts to find that out.
	resolveInterval = 500 * time.Millisecond
	// maxConflictPatches limits the patches reported in a ConflictError.
	maxConflictPatches = 100
)

// pendingPatch is a patch that is being written to the log.
type pendingPatch struct {
	PatchRequested
	warnings []config.Warning
	record   config.Record
	value    []byte
	// deadline is when the attempts to learn the fate of the write end.
	deadline time.Time
}

// handlePatch processes a patch. If it was accepted before, it is answered from memory,
// also during an outage; otherwise the log is read to its end first.
//
// Reading the log also keeps version numbers unique. An entry that was frozen for days
// could otherwise create the key of a version whose log entry has been trimmed. Since the
// newest log entries are never trimmed, an entry that finds nothing after its own version
// is up to date.
func (p *Part) handlePatch(e PatchRequested) {
	if p.answerRepeated(e) {
		return
	}
	p.catchUp(func(err error) {
		if err != nil {
			p.refuse(e, markNotAccepted(err))
			return
		}
		p.checkBase(e)
	})
}

// answerRepeated answers a patch whose ID has been accepted: with the accepted version,
// or with an IDReusedError if the accepted patch has different contents. It reports
// whether it answered.
func (p *Part) answerRepeated(e PatchRequested) bool {
	known, ok := p.ids.patches[e.Patch.ID]
	switch {
	case !ok:
		return false
	case known.content != config.FingerprintOf(e.Patch):
		p.refuse(e, trace.Wrap(&IDReusedError{ID: e.Patch.ID, Version: known.version}))
	default:
		p.note(PatchAnswered{ID: e.ID, Version: known.version, Repeated: true})
	}
	return true
}

func (p *Part) refuse(e PatchRequested, err error) {
	p.note(PatchAnswered{ID: e.ID, Err: err})
}

// markNotAccepted records in an UnavailableError from before the write that the patch has
// no effect.
func markNotAccepted(err error) error {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.Outcome = OutcomeNotAccepted
	}
	return trace.Wrap(err)
}

// checkBase compares the base of a patch with the current version, and proposes the patch
// if they are equal.
func (p *Part) checkBase(e PatchRequested) {
	if p.answerRepeated(e) {
		return
	}
	if p.ids.completeAfter > p.ids.requiredAfter(p.config.Version) {
		p.loadIDs(func(err error) {
			if err != nil {
				p.refuse(e, markNotAccepted(err))
				return
			}
			p.checkBase(e)
		})
		return
	}
	switch current := p.config.Version; {
	case e.Patch.Base > current:
		p.refuse(e, trace.Wrap(&FutureBaseError{Base: e.Patch.Base, Current: current}))
	case e.Patch.Base < current:
		p.answerConflict(e)
	default:
		p.propose(e)
	}
}

// loadIDs loads the IDs of accepted patches that this entry does not know because it
// started with a whole configuration. They come from the newest snapshot as far as it has
// them, and otherwise from the log, which takes many reads.
func (p *Part) loadIDs(then func(error)) {
	p.readHead(func(head config.Head, _ ports.Revision, err error) {
		if err != nil || len(head.Snapshots) == 0 {
			p.readIDs(p.ids.requiredAfter(p.config.Version), then)
			return
		}
		p.readSnapshot(head.Latest(), func(s config.Snapshot, err error) {
			if err != nil {
				p.readIDs(p.ids.requiredAfter(p.config.Version), then)
				return
			}
			p.readIDs(p.ids.mergeSnapshot(s, p.config.Version), then)
		})
	})
}

// readIDs reads the patch IDs after a version from the log.
func (p *Part) readIDs(after config.Version, then func(error)) {
	if after >= p.ids.completeAfter {
		p.ids.completeAfter = p.ids.requiredAfter(p.config.Version)
		then(nil)
		return
	}
	req := ports.KVList{Prefix: logPrefix, After: logKey(after), Limit: pageLimit}
	p.callKV(req, func(r ports.KVReply) {
		if !p.recordReply("read the log", r.Status) {
			then(unavailable("read the log", r.Status))
			return
		}
		last := p.ids.completeAfter
		for _, item := range r.Items {
			v, ok := logVersion(item.Key)
			if !ok || v > p.ids.completeAfter {
				continue
			}
			last = v
			if record, err := config.DecodeRecord(v, item.Value); err == nil {
				p.ids.insertPatch(record.Patch, v)
			}
		}
		if r.More && last < p.ids.completeAfter {
			p.readIDs(last, then)
			return
		}
		p.ids.completeAfter = p.ids.requiredAfter(p.config.Version)
		then(nil)
	})
}

// answerConflict answers a patch whose base is no longer the current version.
func (p *Part) answerConflict(e PatchRequested) {
	p.recordsAfter(e.Patch.Base, maxConflictPatches, func(since []config.Record, err error) {
		if err != nil {
			// The conflict is certain even if its details cannot be read.
			since = nil
		}
		touched := make(map[string]bool)
		for _, record := range since {
			for _, path := range config.Touched(record.Patch) {
				touched[path] = true
			}
		}
		conflict := &ConflictError{Base: e.Patch.Base, Current: p.config.Version, Since: since}
		for _, path := range config.Touched(e.Patch) {
			if touched[path] {
				conflict.Overlap = append(conflict.Overlap, path)
			}
		}
		p.refuse(e, trace.Wrap(conflict))
	})
}

// propose validates a patch and tries to create its log entry.
func (p *Part) propose(e PatchRequested) {
	_, warnings, err := config.Apply(p.config, e.Patch)
	if err != nil {
		p.refuse(e, err)
		return
	}
	record := config.Record{Version: e.Patch.Base + 1, Patch: e.Patch, Nonce: p.newNonce(), At: p.now}
	value, err := config.EncodeRecord(record)
	if err != nil {
		p.refuse(e, err)
		return
	}
	p.writeLogEntry(&pendingPatch{PatchRequested: e, warnings: warnings, record: record, value: value, deadline: p.now.Add(resolveTimeout)}, false)
}

// writeLogEntry creates the log entry. If uncertain is set, an earlier write of the same
// value may still take effect.
func (p *Part) writeLogEntry(a *pendingPatch, uncertain bool) {
	p.callKV(ports.KVPut{Key: logKey(a.record.Version), Value: a.value}, func(r ports.KVReply) {
		p.recordReply("write the log", r.Status)
		switch r.Status {
		case ports.KVOK:
			p.completeAccepted(a)
		case ports.KVConflict:
			p.resolveWrite(a)
		case ports.KVUnavailable, ports.KVInvalid:
			if uncertain {
				p.retryResolve(a, r.Status)
				return
			}
			p.refuse(a.PatchRequested, trace.Wrap(&UnavailableError{Step: "write the log", Status: r.Status, Outcome: OutcomeNotAccepted}))
		default:
			p.resolveWrite(a)
		}
	})
}

// resolveWrite reads the log entry to find out whether a write took effect.
//
// If the key does not exist, the write may still be in flight, so it cannot be regarded
// as lost. The same value is then written again: the key is created at most once and the
// nonce tells which patch it holds, so the patch is accepted once, whichever of the two
// writes arrives.
func (p *Part) resolveWrite(a *pendingPatch) {
	p.callKV(ports.KVGet{Key: logKey(a.record.Version)}, func(r ports.KVReply) {
		if !p.recordReply("read back the log", r.Status) {
			p.retryResolve(a, r.Status)
			return
		}
		item, ok := r.Item()
		if !ok {
			if p.now.Before(a.deadline) {
				p.writeLogEntry(a, true)
				return
			}
			p.answerUnknown(a, r.Status)
			return
		}
		record, err := config.DecodeRecord(a.record.Version, item.Value)
		switch {
		case err != nil:
			p.reportDamage(item.Key, err)
			p.refuse(a.PatchRequested, err)
		case record.Nonce == a.record.Nonce:
			p.completeAccepted(a)
		default:
			p.handlePatch(a.PatchRequested)
		}
	})
}

func (p *Part) retryResolve(a *pendingPatch, status ports.KVStatus) {
	if !p.now.Before(a.deadline) {
		p.answerUnknown(a, status)
		return
	}
	p.afterFunc(p.jitter(resolveInterval), func() { p.resolveWrite(a) })
}

// answerUnknown answers that the outcome of a patch is unknown, unless this entry has
// meanwhile received the patch through the watch or from another entry.
func (p *Part) answerUnknown(a *pendingPatch, status ports.KVStatus) {
	if p.answerRepeated(a.PatchRequested) {
		return
	}
	p.refuse(a.PatchRequested, trace.Wrap(&UnavailableError{Step: "read back the log", Status: status, Outcome: OutcomeUnknown}))
}

// completeAccepted applies an accepted patch, unless the watch has already delivered it,
// and answers the operator.
func (p *Part) completeAccepted(a *pendingPatch) {
	if p.config.Version == a.record.Patch.Base {
		if err := p.applyRecord(a.record); err != nil {
			p.refuse(a.PatchRequested, err)
			return
		}
	}
	p.note(PatchAnswered{ID: a.ID, Version: a.record.Version, Warnings: a.warnings})
}
