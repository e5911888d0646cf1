package cfglog

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// snapshotInterval is the number of versions between two snapshots.
const snapshotInterval = 256

// snapshotDelay is the shortest time that a watching entry waits before it writes a
// snapshot that is due. Random jitter is added so that one of the entries is first.
const snapshotDelay = 4 * time.Second

// maxTrimKeys limits the log entries deleted at a time.
const maxTrimKeys = 2 * snapshotInterval

// snapshotState is the state of writing snapshots.
type snapshotState struct {
	busy bool
	// interval is the number of versions between two snapshots.
	interval config.Version
	// latest is the version of the newest snapshot known to this entry.
	latest config.Version
}

// writeSnapshotIfDue writes a snapshot if one is due. Every watching entry of every zone
// may do so. A random delay, after which the head is read again, usually leaves the work
// to one of them; entries that write at the same time write the same chunks.
func (p *Part) writeSnapshotIfDue() {
	if p.snapshotState.busy || p.config.Version < p.snapshotState.latest+p.snapshotState.interval {
		return
	}
	p.snapshotState.busy = true
	p.afterFunc(p.jitter(snapshotDelay), func() {
		p.readHead(func(head config.Head, revision ports.Revision, err error) {
			if err != nil {
				p.finishSnapshot()
				return
			}
			if len(head.Snapshots) > 0 {
				p.snapshotState.latest = head.Latest().Version
			}
			if p.config.Version < p.snapshotState.latest+p.snapshotState.interval {
				p.finishSnapshot()
				return
			}
			p.writeSnapshot(head, revision)
		})
	})
}

func (p *Part) finishSnapshot() {
	p.snapshotState.busy = false
}

// writeSnapshot writes the chunks first, and then the head, which makes them valid.
func (p *Part) writeSnapshot(head config.Head, revision ports.Revision) {
	ref, chunks, err := config.EncodeSnapshot(config.Snapshot{Config: p.config, Recent: p.ids.refs(), RecentAfter: p.ids.completeAfter})
	if err != nil {
		p.reportDamage(snapPrefix, err)
		p.finishSnapshot()
		return
	}
	var next func(i int)
	next = func(i int) {
		if i == len(chunks) {
			p.writeHead(head, ref, revision)
			return
		}
		p.callKV(ports.KVPut{Key: chunkKey(ref, i), Value: chunks[i]}, func(r ports.KVReply) {
			// A conflict means that the same chunk exists already: its key includes a
			// part of its checksum.
			if !p.recordReply("write a snapshot", r.Status) {
				p.finishSnapshot()
				return
			}
			next(i + 1)
		})
	}
	next(0)
}

func (p *Part) writeHead(old config.Head, ref config.SnapshotRef, revision ports.Revision) {
	kept, dropped := p.splitRetained(append(old.Snapshots[:len(old.Snapshots):len(old.Snapshots)], ref))
	value, err := config.EncodeHead(config.Head{Snapshots: kept})
	if err != nil {
		p.finishSnapshot()
		return
	}
	p.callKV(ports.KVPut{Key: headKey, Value: value, Expect: revision}, func(r ports.KVReply) {
		p.recordReply("write the head", r.Status)
		if r.Status != ports.KVOK {
			// Another entry was faster, or the outcome is unknown; the next read of the
			// head shows which.
			p.finishSnapshot()
			return
		}
		p.snapshotState.latest = ref.Version
		p.deleteSnapshots(dropped, func() { p.trimLog(kept[0].Version) })
	})
}

// splitRetained splits snapshots into those needed to rebuild every version whose patch
// the log keeps, and older ones.
func (p *Part) splitRetained(refs []config.SnapshotRef) (kept, dropped []config.SnapshotRef) {
	newest := refs[len(refs)-1].Version
	first := 0
	for i, ref := range refs {
		if ref.Version+p.ids.retention <= newest {
			first = i
		}
	}
	return refs[first:], refs[:first]
}

func (p *Part) deleteSnapshots(refs []config.SnapshotRef, then func()) {
	var keys []string
	for _, ref := range refs {
		for i := range ref.Sums {
			keys = append(keys, chunkKey(ref, i))
		}
	}
	p.deleteKeys(keys, then)
}

// trimLog deletes log entries up to the oldest snapshot that is kept, if that leaves as
// many entries as the log has to keep.
func (p *Part) trimLog(oldest config.Version) {
	if oldest+p.ids.retention > p.config.Version {
		p.finishSnapshot()
		return
	}
	p.callKV(ports.KVList{Prefix: logPrefix, Limit: 1}, func(r ports.KVReply) {
		var keys []string
		if item, ok := r.Item(); ok {
			first, _ := logVersion(item.Key)
			for v := first; v <= oldest && len(keys) < maxTrimKeys; v++ {
				keys = append(keys, logKey(v))
			}
		}
		p.deleteKeys(keys, p.finishSnapshot)
	})
}

// deleteKeys deletes keys one after the other and skips those that cannot be deleted now;
// the next call of trimLog tries its log entries again.
func (p *Part) deleteKeys(keys []string, then func()) {
	if len(keys) == 0 {
		then()
		return
	}
	p.callKV(ports.KVGet{Key: keys[0]}, func(r ports.KVReply) {
		item, ok := r.Item()
		if !ok {
			p.deleteKeys(keys[1:], then)
			return
		}
		p.callKV(ports.KVDelete{Key: keys[0], Expect: item.Revision}, func(ports.KVReply) {
			p.deleteKeys(keys[1:], then)
		})
	})
}
