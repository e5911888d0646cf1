package relay

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/config"
)

// snapshotEvery is the number of versions from one snapshot to the next.
const snapshotEvery = 256

// keepWait is how long a watcher waits at the least before it writes a snapshot
// that is due; the random part makes one of them first.
const keepWait = 4 * time.Second

// maxTrim bounds the log entries deleted at a time.
const maxTrim = 2 * snapshotEvery

// keeping is the state of writing snapshots.
type keeping struct {
	busy bool
	// every is the number of versions from one snapshot to the next.
	every config.Version
	// known is the newest snapshot that this entry knows of.
	known config.Version
}

// keepSnapshots writes a snapshot if one is due. Every watcher of every zone may
// do so; they are told apart by a random wait and a second look, and those who
// race nevertheless write the same chunks.
func (p *Part) keepSnapshots() {
	if p.keeping.busy || p.config.Version < p.keeping.known+p.keeping.every {
		return
	}
	p.keeping.busy = true
	p.after(p.spread(keepWait), func() {
		p.readHead(func(head config.Head, at ports.Revision, err error) {
			if err != nil {
				p.endKeeping()
				return
			}
			if len(head.Snapshots) > 0 {
				p.keeping.known = head.Latest().Version
			}
			if p.config.Version < p.keeping.known+p.keeping.every {
				p.endKeeping()
				return
			}
			p.writeSnapshot(head, at)
		})
	})
}

func (p *Part) endKeeping() {
	p.keeping.busy = false
}

// writeSnapshot writes the chunks first and the head, which makes them count,
// last.
func (p *Part) writeSnapshot(head config.Head, at ports.Revision) {
	ref, chunks, err := config.EncodeSnapshot(config.Snapshot{Config: p.config, Recent: p.ids.refs(), RecentAfter: p.ids.after})
	if err != nil {
		p.damaged(snapPrefix, err)
		p.endKeeping()
		return
	}
	var next func(i int)
	next = func(i int) {
		if i == len(chunks) {
			p.writeHead(head, ref, at)
			return
		}
		p.kv(ports.KVPut{Key: chunkKey(ref, i), Value: chunks[i]}, func(r ports.KVReply) {
			// A conflict means that the same chunk is there already: its key
			// holds a part of its sum.
			if !p.answered("write a snapshot", r.Status) {
				p.endKeeping()
				return
			}
			next(i + 1)
		})
	}
	next(0)
}

func (p *Part) writeHead(old config.Head, ref config.SnapshotRef, at ports.Revision) {
	kept, dropped := p.retained(append(old.Snapshots[:len(old.Snapshots):len(old.Snapshots)], ref))
	value, err := config.EncodeHead(config.Head{Snapshots: kept})
	if err != nil {
		p.endKeeping()
		return
	}
	p.kv(ports.KVPut{Key: headKey, Value: value, Expect: at}, func(r ports.KVReply) {
		p.answered("write the head", r.Status)
		if r.Status != ports.KVOK {
			// Another was faster, or nobody knows; the next look tells.
			p.endKeeping()
			return
		}
		p.keeping.known = ref.Version
		p.dropSnapshots(dropped, func() { p.trimLog(kept[0].Version) })
	})
}

// retained splits snapshots into those that are needed to rebuild every version
// whose patch the log keeps, and those before.
func (p *Part) retained(refs []config.SnapshotRef) (kept, dropped []config.SnapshotRef) {
	newest := refs[len(refs)-1].Version
	first := 0
	for i, ref := range refs {
		if ref.Version+p.ids.retain <= newest {
			first = i
		}
	}
	return refs[first:], refs[:first]
}

func (p *Part) dropSnapshots(refs []config.SnapshotRef, then func()) {
	var keys []string
	for _, ref := range refs {
		for i := range ref.Sums {
			keys = append(keys, chunkKey(ref, i))
		}
	}
	p.deleteKeys(keys, then)
}

// trimLog deletes log entries up to the oldest snapshot that is kept, if that
// leaves as many as the log shall keep.
func (p *Part) trimLog(oldest config.Version) {
	if oldest+p.ids.retain > p.config.Version {
		p.endKeeping()
		return
	}
	p.kv(ports.KVList{Prefix: logPrefix, Limit: 1}, func(r ports.KVReply) {
		var keys []string
		if item, ok := r.Item(); ok {
			first, _ := logVersion(item.Key)
			for v := first; v <= oldest && len(keys) < maxTrim; v++ {
				keys = append(keys, logKey(v))
			}
		}
		p.deleteKeys(keys, p.endKeeping)
	})
}

// deleteKeys deletes keys one after the other; one that cannot be deleted now is
// left to the next time.
func (p *Part) deleteKeys(keys []string, then func()) {
	if len(keys) == 0 {
		then()
		return
	}
	p.kv(ports.KVGet{Key: keys[0]}, func(r ports.KVReply) {
		item, ok := r.Item()
		if !ok {
			p.deleteKeys(keys[1:], then)
			return
		}
		p.kv(ports.KVDelete{Key: keys[0], Expect: item.Revision}, func(ports.KVReply) {
			p.deleteKeys(keys[1:], then)
		})
	})
}
