package edge

import (
	"context"
	"math/rand/v2"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/deltas"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
)

// readerResult is the result of asking readers.
type readerResult uint8

const (
	// readerUnavailable means that none has responded or knows the current state of the
	// store.
	readerUnavailable readerResult = iota
	// readerHasUpdates means that the readers still have fresh updates from the holder.
	readerHasUpdates
	// readerStoreDown means that the readers cannot reach the store.
	readerStoreDown
	// readerAnswered means that a reader has sent what it knows.
	readerAnswered
)

// shouldReadStore decides, given the result of asking readers, whether the follower reads
// the store itself.
func (f *follower) shouldReadStore(result readerResult) bool {
	now := f.clock.Now()
	switch result {
	case readerAnswered:
		f.refusedSince = time.Time{}
		return false
	case readerStoreDown:
		f.refusedSince = time.Time{}
		return f.shouldProbeStore(now)
	case readerHasUpdates:
		if f.refusedSince.IsZero() {
			f.refusedSince = now
		}
		if now.Sub(f.refusedSince) < readerUpdatesTimeout {
			return false
		}
	case readerUnavailable:
		f.refusedSince = time.Time{}
	}
	f.directUntil = now.Add(directReadTime)
	return true
}

// shouldProbeStore decides whether the follower tries the store although the readers
// cannot reach it. The follower of targets does so at intervals; that of the
// configuration, which has no fetchChanges, reads the store once such a try has
// succeeded.
func (f *follower) shouldProbeStore(now time.Time) bool {
	if f.fetchChanges == nil {
		if !f.health.hasAnsweredWithin(maxProbeAge) {
			return false
		}
		f.directUntil = now.Add(directReadTime)
		return true
	}
	if now.Sub(f.nextProbeAt) > probeInterval {
		// The readers have only just lost the store.
		f.nextProbeAt = now.Add(rand.N(maxFirstProbeDelay))
		return false
	}
	if now.Before(f.nextProbeAt) {
		return false
	}
	f.nextProbeAt = now.Add(probeInterval)
	return true
}

// shouldAskReaders reports whether to ask readers before the store.
func (f *follower) shouldAskReaders() bool {
	return f.canAskReaders() && !f.clock.Now().Before(f.directUntil)
}

// tryReaders gets the keys from a reader. It returns false if the follower must read the
// store itself.
func (f *follower) tryReaders(ctx context.Context) bool {
	if f.fetchItems == nil || !f.shouldAskReaders() {
		return false
	}
	list, result := f.fetchItems(ctx)
	if f.shouldReadStore(result) {
		return false
	}
	if len(list.items) > 0 {
		f.applyList(list)
		f.resetRevisions(list.items)
		// There is only one key, so a watch may continue from its revision.
		f.updatesThrough.Store(f.localRevision.Load())
	}
	sleep(ctx, readerRetryDelay)
	return true
}

// shouldReturnToReaders reports whether readers are to be asked again. If they cannot
// help, the follower continues from the revision that it has reached.
func (f *follower) shouldReturnToReaders() bool {
	if f.fetchItems == nil || !f.shouldAskReaders() {
		return false
	}
	f.updatesThrough.Store(f.revision)
	return true
}

// updateMark is a revision that updates have reached, and the one that they had reached
// at least changesOverlap earlier.
type updateMark struct {
	revision, earlier eras.Revision
	at                time.Time
}

func (t *updateMark) revisionOf() eras.Revision {
	if t == nil {
		return eras.Revision{}
	}
	return t.revision
}

// resumeRevision returns where to continue reading after updates that reached a revision.
// It is earlier than that if other instances, whose updates may be older, will ask for
// changes.
func (f *follower) resumeRevision(through eras.Revision) eras.Revision {
	mark := f.lastMark.Load()
	if f.changelog == nil || f.canAskReaders() || mark == nil || mark.earlier.IsZero() || mark.earlier.Era != through.Era {
		return through
	}
	if through.After(mark.earlier) {
		return mark.earlier
	}
	return through
}

// startChangelog makes the changelog begin after a revision.
func (f *follower) startChangelog(revision eras.Revision) {
	if f.changelog != nil {
		f.changelog.StartAfter(revision)
	}
}

// nextChanges waits for changes from a reader, or from the store if no reader can help.
func (f *follower) nextChanges(ctx context.Context, isNeedless func() bool) ports.KVReply {
	result := readerUnavailable
	f.from = originReader
	if f.fetchChanges != nil && f.shouldAskReaders() {
		var changes deltas.Changes
		changes, result = f.fetchChanges(ctx, f.revision)
		if !f.shouldReadStore(result) {
			return f.applyReaderChanges(ctx, changes, result)
		}
	}
	f.from = originStore
	after := ports.Revision(f.revision.Number)
	reply := f.callStore(ports.KVWatch{Prefix: f.prefix, After: after, Wait: f.nextWatchTimeout()}, isNeedless)
	f.isProbing = reply.Status != ports.KVOK
	if reply.Status == ports.KVOK && reply.Era != f.revision.Era {
		// The store has read on from a number of its present history, where it stands for another change.
		f.noteEra(reply)
		return ports.KVReply{Status: ports.KVConflict, Era: reply.Era}
	}
	if result == readerStoreDown && reply.Status == ports.KVOK {
		// Only the readers are cut off.
		f.directUntil = f.clock.Now().Add(directReadTime)
	}
	return reply
}

// nextWatchTimeout is the time of the next watch.
func (f *follower) nextWatchTimeout() time.Duration {
	if f.isProbing {
		return probeWatchTimeout
	}
	if f.watchTime != nil {
		return f.watchTime()
	}
	return watchTimeout
}

// applyReaderChanges converts a reader's changes to a reply of the store. It applies a
// full result at once.
func (f *follower) applyReaderChanges(ctx context.Context, changes deltas.Changes, result readerResult) ports.KVReply {
	if changes.IsFullList {
		f.reset(newItemList(changes.Items, changes.Through, originReader))
		return ports.KVReply{Status: ports.KVOK, Revision: ports.Revision(changes.Through.Number), Era: changes.Through.Era}
	}
	if result != readerAnswered {
		sleep(ctx, readerRetryDelay)
		return ports.KVReply{Status: ports.KVOK, Era: f.revision.Era}
	}
	return ports.KVReply{
		Status: ports.KVOK, Items: changes.Items, Revision: ports.Revision(changes.Through.Number), Era: changes.Through.Era,
	}
}
