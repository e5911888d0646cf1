package relay

import (
	"errors"
	"time"

	"github.com/gravitational/trace"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// Times and bounds of accepting a patch.
const (
	// resolveTime is how long the fate of a write is looked into.
	resolveTime = 10 * time.Second
	// resolvePeriod is the time between two looks.
	resolvePeriod = 500 * time.Millisecond
	// maxSince bounds the patches that a conflict shows.
	maxSince = 100
)

// asked is a patch on its way.
type asked struct {
	PatchAsked
	warnings []config.Warning
	record   config.Record
	value    []byte
	// until is when looking into the fate of the write ends.
	until time.Time
}

// ask takes in a patch. What was accepted before is answered from memory, also
// during an outage; everything else needs the end of the log first.
//
// That look also keeps numbers unique. An entry that was frozen for days could
// otherwise create the key of a version whose log entry has been trimmed; but
// the log never loses its newest entries, so whoever sees nothing after its own
// version is current.
func (p *Part) ask(e PatchAsked) {
	if p.answerRepeated(e) {
		return
	}
	p.catchUp(func(err error) {
		if err != nil {
			p.refuse(e, notAccepted(err))
			return
		}
		p.consider(e)
	})
}

// answerRepeated answers a patch whose ID has been accepted: with its version, or
// with an error if that was a patch that does something else.
func (p *Part) answerRepeated(e PatchAsked) bool {
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

func (p *Part) refuse(e PatchAsked, err error) {
	p.note(PatchAnswered{ID: e.ID, Err: err})
}

// notAccepted says of an error before the write that the patch has no effect.
func notAccepted(err error) error {
	var unavailable *UnavailableError
	if errors.As(err, &unavailable) {
		unavailable.Outcome = OutcomeNotAccepted
	}
	return trace.Wrap(err)
}

// consider judges a patch against the current version.
func (p *Part) consider(e PatchAsked) {
	if p.answerRepeated(e) {
		return
	}
	if p.ids.after > p.ids.wanted(p.config.Version) {
		p.learnIDs(func(err error) {
			if err != nil {
				p.refuse(e, notAccepted(err))
				return
			}
			p.consider(e)
		})
		return
	}
	switch current := p.config.Version; {
	case e.Patch.Base > current:
		p.refuse(e, trace.Wrap(&FutureBaseError{Base: e.Patch.Base, Current: current}))
	case e.Patch.Base < current:
		p.conflict(e)
	default:
		p.propose(e)
	}
}

// learnIDs finds out the IDs of patches that this entry did not see being
// accepted, because it began with a whole configuration: from the newest snapshot
// as far as it knows them, and else from the log, which takes many reads.
func (p *Part) learnIDs(then func(error)) {
	p.readHead(func(head config.Head, _ ports.Revision, err error) {
		if err != nil || len(head.Snapshots) == 0 {
			p.listIDs(p.ids.wanted(p.config.Version), then)
			return
		}
		p.readSnapshot(head.Latest(), func(s config.Snapshot, err error) {
			if err != nil {
				p.listIDs(p.ids.wanted(p.config.Version), then)
				return
			}
			p.listIDs(p.ids.merge(s, p.config.Version), then)
		})
	})
}

// listIDs reads the IDs after a version from the log.
func (p *Part) listIDs(after config.Version, then func(error)) {
	if after >= p.ids.after {
		p.ids.after = p.ids.wanted(p.config.Version)
		then(nil)
		return
	}
	req := ports.KVList{Prefix: logPrefix, After: logKey(after), Limit: pageLimit}
	p.kv(req, func(r ports.KVReply) {
		if !p.answered("read the log", r.Status) {
			then(unavailable("read the log", r.Status))
			return
		}
		last := p.ids.after
		for _, item := range r.Items {
			v, ok := logVersion(item.Key)
			if !ok || v > p.ids.after {
				continue
			}
			last = v
			if record, err := config.DecodeRecord(v, item.Value); err == nil {
				p.ids.learn(record.Patch, v)
			}
		}
		if r.More && last < p.ids.after {
			p.listIDs(last, then)
			return
		}
		p.ids.after = p.ids.wanted(p.config.Version)
		then(nil)
	})
}

// conflict answers a patch whose base is no longer current.
func (p *Part) conflict(e PatchAsked) {
	p.records(e.Patch.Base, maxSince, func(since []config.Record, err error) {
		if err != nil {
			// The conflict is certain even where its details cannot be read.
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
func (p *Part) propose(e PatchAsked) {
	_, warnings, err := config.Apply(p.config, e.Patch)
	if err != nil {
		p.refuse(e, err)
		return
	}
	record := config.Record{Version: e.Patch.Base + 1, Patch: e.Patch, Nonce: p.nonce(), At: p.now}
	value, err := config.EncodeRecord(record)
	if err != nil {
		p.refuse(e, err)
		return
	}
	p.write(&asked{PatchAsked: e, warnings: warnings, record: record, value: value, until: p.now.Add(resolveTime)}, false)
}

// write creates the log entry. With uncertain set, an earlier write of the same
// value may still take effect.
func (p *Part) write(a *asked, uncertain bool) {
	p.kv(ports.KVPut{Key: logKey(a.record.Version), Value: a.value}, func(r ports.KVReply) {
		p.answered("write the log", r.Status)
		switch r.Status {
		case ports.KVOK:
			p.accept(a)
		case ports.KVConflict:
			p.resolve(a)
		case ports.KVUnavailable, ports.KVInvalid:
			if uncertain {
				p.resolveLater(a, r.Status)
				return
			}
			p.refuse(a.PatchAsked, trace.Wrap(&UnavailableError{Step: "write the log", Status: r.Status, Outcome: OutcomeNotAccepted}))
		default:
			p.resolve(a)
		}
	})
}

// resolve reads the log entry to learn the fate of a write.
//
// If the key does not exist, the write may still be on its way, so it cannot be
// called lost. The same value is written again: the key is created at most once
// and the nonce tells whose value it holds, so whichever of the two writes
// arrives, the patch is accepted once.
func (p *Part) resolve(a *asked) {
	p.kv(ports.KVGet{Key: logKey(a.record.Version)}, func(r ports.KVReply) {
		if !p.answered("read back the log", r.Status) {
			p.resolveLater(a, r.Status)
			return
		}
		item, ok := r.Item()
		if !ok {
			if p.now.Before(a.until) {
				p.write(a, true)
				return
			}
			p.giveUp(a, r.Status)
			return
		}
		record, err := config.DecodeRecord(a.record.Version, item.Value)
		switch {
		case err != nil:
			p.damaged(item.Key, err)
			p.refuse(a.PatchAsked, err)
		case record.Nonce == a.record.Nonce:
			p.accept(a)
		default:
			p.ask(a.PatchAsked)
		}
	})
}

func (p *Part) resolveLater(a *asked, status ports.KVStatus) {
	if !p.now.Before(a.until) {
		p.giveUp(a, status)
		return
	}
	p.after(p.spread(resolvePeriod), func() { p.resolve(a) })
}

// giveUp answers that nobody knows, unless the watch or another entry has
// brought the patch back meanwhile.
func (p *Part) giveUp(a *asked, status ports.KVStatus) {
	if p.answerRepeated(a.PatchAsked) {
		return
	}
	p.refuse(a.PatchAsked, trace.Wrap(&UnavailableError{Step: "read back the log", Status: status, Outcome: OutcomeUnknown}))
}

// accept puts an accepted patch in force here, unless the watch was faster.
func (p *Part) accept(a *asked) {
	if p.config.Version == a.record.Patch.Base {
		if err := p.advance(a.record); err != nil {
			p.refuse(a.PatchAsked, err)
			return
		}
	}
	p.note(PatchAnswered{ID: a.ID, Version: a.record.Version, Warnings: a.warnings})
}
