package cfglog

import (
	"errors"
	"fmt"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// pageLimit is the number of log entries read in one call; each may have up to
// config.MaxPatchBytes.
const pageLimit = 16

// catchUpState holds the callbacks that wait for the catch-up in progress.
type catchUpState struct {
	callbacks []func(error)
}

// catchUp reads everything after the current version from the KV service, then calls
// done. Calls made while a catch-up is in progress share it.
func (p *Part) catchUp(done func(error)) {
	p.catchUpState.callbacks = append(p.catchUpState.callbacks, done)
	if len(p.catchUpState.callbacks) > 1 {
		return
	}
	if p.config.Version == 0 {
		p.loadSnapshot(p.finishCatchUp)
		return
	}
	p.readLog()
}

func (p *Part) finishCatchUp(err error) {
	callbacks := p.catchUpState.callbacks
	p.catchUpState.callbacks = nil
	for _, done := range callbacks {
		done(err)
	}
}

// readLog reads the log to its end. If the log no longer holds the next version, a
// snapshot is loaded first.
func (p *Part) readLog() {
	req := ports.KVList{Prefix: logPrefix, After: logKey(p.config.Version), Limit: pageLimit}
	p.callKV(req, func(r ports.KVReply) {
		if !p.recordReply("read the log", r.Status) {
			p.finishCatchUp(unavailable("read the log", r.Status))
			return
		}
		err := p.applyLog(r.Items)
		switch {
		case errors.Is(err, errLogGap):
			p.loadSnapshot(p.finishCatchUp)
		case err != nil:
			p.finishCatchUp(err)
		case r.More:
			p.readLog()
		default:
			p.finishCatchUp(nil)
		}
	})
}

// applyLog applies log entries in order, skipping those already in force.
func (p *Part) applyLog(items []ports.Item) error {
	for _, item := range items {
		v, ok := logVersion(item.Key)
		if !ok || item.Deleted || v <= p.config.Version {
			continue
		}
		if v > p.config.Version+1 {
			return errLogGap
		}
		record, err := config.DecodeRecord(v, item.Value)
		if err == nil {
			err = p.applyRecord(record)
		}
		if err != nil {
			p.reportDamage(item.Key, err)
			return err
		}
	}
	return nil
}

// loadSnapshot puts the newest snapshot in force and reads the log after it.
func (p *Part) loadSnapshot(fail func(error)) {
	before := p.config.Version
	p.readHead(func(head config.Head, _ ports.Revision, err error) {
		switch {
		case err != nil:
			fail(err)
		case len(head.Snapshots) == 0 && before == 0:
			p.readLog()
		case len(head.Snapshots) == 0 || head.Latest().Version <= before:
			err := &config.DamagedError{What: "the log", Reason: fmt.Sprintf("version %d is missing and no later snapshot exists", p.config.Version+1)}
			p.reportDamage(logPrefix, err)
			fail(err)
		default:
			p.readSnapshot(head.Latest(), func(s config.Snapshot, err error) {
				if err != nil {
					fail(err)
					return
				}
				p.restoreSnapshot(s)
				p.readLog()
			})
		}
	})
}

// readHead reads the list of stored snapshots. It is not an error if there are none.
func (p *Part) readHead(then func(config.Head, ports.Revision, error)) {
	p.callKV(ports.KVGet{Key: headKey}, func(r ports.KVReply) {
		if !p.recordReply("read the head", r.Status) {
			then(config.Head{}, 0, unavailable("read the head", r.Status))
			return
		}
		item, ok := r.Item()
		if !ok {
			then(config.Head{}, 0, nil)
			return
		}
		head, err := config.DecodeHead(item.Value)
		if err != nil {
			p.reportDamage(headKey, err)
		}
		then(head, item.Revision, err)
	})
}

// readSnapshot reads the chunks of a snapshot one after the other.
func (p *Part) readSnapshot(ref config.SnapshotRef, then func(config.Snapshot, error)) {
	var chunks [][]byte
	var next func()
	next = func() {
		if len(chunks) == len(ref.Sums) {
			s, err := config.DecodeSnapshot(ref, chunks)
			if err != nil {
				p.reportDamage(snapPrefix+ref.Name(), err)
			}
			then(s, err)
			return
		}
		p.callKV(ports.KVGet{Key: chunkKey(ref, len(chunks))}, func(r ports.KVReply) {
			if !p.recordReply("read a snapshot", r.Status) {
				then(config.Snapshot{}, unavailable("read a snapshot", r.Status))
				return
			}
			item, _ := r.Item()
			chunks = append(chunks, item.Value)
			next()
		})
	}
	next()
}

// outageAfter is how long the KV service must not have answered before an outage is
// logged; a single lost reply is not logged.
const outageAfter = 5 * time.Second

// health is the state of the KV service and of its values as seen by this entry.
type health struct {
	downSince      time.Time
	outageReported bool
	lastDamage     string
}

// recordReply records the status of a KV call for outage detection and reports whether
// the KV service answered.
func (p *Part) recordReply(step string, status ports.KVStatus) bool {
	switch status {
	case ports.KVOK, ports.KVNotFound, ports.KVConflict:
		lasted := p.now.Sub(p.health.downSince).Round(time.Second)
		p.health.downSince = time.Time{}
		if p.health.outageReported {
			p.health.outageReported = false
			p.note(LogEvent{Kind: EventRecovery, Subject: "KV service", Detail: fmt.Sprintf("answers again after %s", lasted)})
		}
		return true
	default:
		if p.health.downSince.IsZero() {
			p.health.downSince = p.now
		}
		if !p.health.outageReported && p.now.Sub(p.health.downSince) >= outageAfter {
			p.health.outageReported = true
			p.note(LogEvent{Kind: EventOutage, Subject: "KV service", Detail: fmt.Sprintf("%s: %s", step, status)})
		}
		return false
	}
}

// reportDamage reports a stored value that cannot be decoded, unless it was the last one
// reported.
func (p *Part) reportDamage(key string, err error) {
	text := fmt.Sprintf("%s: %v", key, err)
	if p.health.lastDamage == text {
		return
	}
	p.health.lastDamage = text
	p.note(LogEvent{Kind: EventDamage, Subject: key, Detail: err.Error()})
}
