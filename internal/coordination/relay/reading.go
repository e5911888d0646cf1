package relay

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

// reading is a catch-up under way and those who wait for its end.
type reading struct {
	waiting []func(error)
}

// catchUp reads from the KV service whatever comes after the version in force,
// then calls done. Callers that come while it runs share it.
func (p *Part) catchUp(done func(error)) {
	p.reading.waiting = append(p.reading.waiting, done)
	if len(p.reading.waiting) > 1 {
		return
	}
	if p.config.Version == 0 {
		p.loadSnapshot(p.endReading)
		return
	}
	p.readLog()
}

func (p *Part) endReading(err error) {
	waiting := p.reading.waiting
	p.reading.waiting = nil
	for _, done := range waiting {
		done(err)
	}
}

// readLog reads the log to its end; where it no longer reaches back to the
// version in force, a snapshot comes first.
func (p *Part) readLog() {
	req := ports.KVList{Prefix: logPrefix, After: logKey(p.config.Version), Limit: pageLimit}
	p.kv(req, func(r ports.KVReply) {
		if !p.answered("read the log", r.Status) {
			p.endReading(unavailable("read the log", r.Status))
			return
		}
		err := p.takeLog(r.Items)
		switch {
		case errors.Is(err, errGap):
			p.loadSnapshot(p.endReading)
		case err != nil:
			p.endReading(err)
		case r.More:
			p.readLog()
		default:
			p.endReading(nil)
		}
	})
}

// takeLog applies log entries in order, skipping those already in force.
func (p *Part) takeLog(items []ports.Item) error {
	for _, item := range items {
		v, ok := logVersion(item.Key)
		if !ok || item.Deleted || v <= p.config.Version {
			continue
		}
		if v > p.config.Version+1 {
			return errGap
		}
		record, err := config.DecodeRecord(v, item.Value)
		if err == nil {
			err = p.advance(record)
		}
		if err != nil {
			p.damaged(item.Key, err)
			return err
		}
	}
	return nil
}

// loadSnapshot takes the newest snapshot into force and reads the log after it.
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
			p.damaged(logPrefix, err)
			fail(err)
		default:
			p.readSnapshot(head.Latest(), func(s config.Snapshot, err error) {
				if err != nil {
					fail(err)
					return
				}
				p.restore(s)
				p.readLog()
			})
		}
	})
}

// readHead reads which snapshots are stored; none at all is no error.
func (p *Part) readHead(then func(config.Head, ports.Revision, error)) {
	p.kv(ports.KVGet{Key: headKey}, func(r ports.KVReply) {
		if !p.answered("read the head", r.Status) {
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
			p.damaged(headKey, err)
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
				p.damaged(snapPrefix+ref.Name(), err)
			}
			then(s, err)
			return
		}
		p.kv(ports.KVGet{Key: chunkKey(ref, len(chunks))}, func(r ports.KVReply) {
			if !p.answered("read a snapshot", r.Status) {
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

// outageAfter is how long the KV service must not have answered before that is
// worth a note; a single lost answer is not.
const outageAfter = 5 * time.Second

// health is what is known of the KV service and of the values in it.
type health struct {
	downSince time.Time
	noted     bool
	damage    string
}

// answered notes whether the KV service answered a call.
func (p *Part) answered(step string, status ports.KVStatus) bool {
	switch status {
	case ports.KVOK, ports.KVNotFound, ports.KVConflict:
		lasted := p.now.Sub(p.health.downSince).Round(time.Second)
		p.health.downSince = time.Time{}
		if p.health.noted {
			p.health.noted = false
			p.note(Happened{Kind: HappenedRecovery, Subject: "KV service", Detail: fmt.Sprintf("answers again after %s", lasted)})
		}
		return true
	default:
		if p.health.downSince.IsZero() {
			p.health.downSince = p.now
		}
		if !p.health.noted && p.now.Sub(p.health.downSince) >= outageAfter {
			p.health.noted = true
			p.note(Happened{Kind: HappenedOutage, Subject: "KV service", Detail: fmt.Sprintf("%s: %s", step, status)})
		}
		return false
	}
}

// damaged notes a stored value that cannot be read, once.
func (p *Part) damaged(key string, err error) {
	text := fmt.Sprintf("%s: %v", key, err)
	if p.health.damage == text {
		return
	}
	p.health.damage = text
	p.note(Happened{Kind: HappenedDamage, Subject: key, Detail: err.Error()})
}
