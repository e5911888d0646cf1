package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/phuslu/log"

	"chivecroft.example/chivecroft/internal/coordination/deltas"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/platform"
)

// Limits of following keys of the store.
const (
	// watchTimeout is the time of one watch. A watch whose connection has gone silent is
	// detected a little later, so this also limits how outdated the state can be.
	watchTimeout = 1500 * time.Millisecond
	// probeWatchTimeout is the time of a watch that only checks whether the store
	// responds.
	probeWatchTimeout = 100 * time.Millisecond
	// bootstrapTimeout is how long instances wait on the first start of the whole system
	// for updates from the first holder before they read the store themselves.
	bootstrapTimeout = 450 * time.Millisecond
	// startTimeout is how long an instance that starts waits for updates from an existing
	// holder.
	startTimeout = 300 * time.Millisecond
	// holderUpdateWait is how long an instance that starts waits for updates instead, if it
	// knows a holder that may be alive, and holderUpdateSpread a random time on top. A fleet that
	// starts as a whole must not read the full list at once: 117 instances of one region
	// choked the link to the store, and the holder's updates on it, for over 15 s.
	holderUpdateWait   = 3 * time.Second
	holderUpdateSpread = 3 * time.Second
	// startPollInterval is how often a starting instance checks for updates.
	startPollInterval = 10 * time.Millisecond
	// idlePollInterval is how often an idle follower checks whether it must read again.
	idlePollInterval = 50 * time.Millisecond
	// minRetryDelay is the delay after the first failed call.
	minRetryDelay = 100 * time.Millisecond
	// maxRetryDelay limits the delay after repeated failures. All instances call while
	// the store is down, and shorter delays would not help.
	maxRetryDelay = 1500 * time.Millisecond
)

// storeItem is an item of the store.
type storeItem struct {
	ports.Item
	// at is the item's revision as it was told.
	at eras.Revision
}

// dated returns an item that was told in an era.
func dated(era uint64, item ports.Item) storeItem {
	return storeItem{Item: item, at: eras.Revision{Era: era, Number: uint64(item.Revision)}}
}

// itemList is a full list of the keys that a follower follows.
type itemList struct {
	items []storeItem
	// through is the store revision that the list is of, or an earlier one.
	through eras.Revision
	from    origin
	// askedAt is when this instance asked the store for the list, zero if it has it from
	// another instance or a copy.
	askedAt time.Time
}

// newItemList returns a list whose items were told in the era of the revision through.
func newItemList(items []ports.Item, through eras.Revision, from origin) itemList {
	out := itemList{through: through, from: from}
	for _, item := range items {
		out.items = append(out.items, dated(through.Era, item))
	}
	return out
}

// plain returns the items without their eras.
func (l *itemList) plain() []ports.Item {
	out := make([]ports.Item, len(l.items))
	for i, item := range l.items {
		out[i] = item.Item
	}
	return out
}

// follower keeps up to date with all keys that begin with a prefix. It gets them from the
// holder's updates, from readers or from the store itself.
type follower struct {
	name   string
	prefix string
	store  *eraStore
	health *storeHealth
	// history is the store's; what is told of a former one is thrown away.
	history *eras.History
	log     *log.Logger
	// batchDelay is the delay between two watches, so that changes are read together.
	batchDelay time.Duration
	// applyList applies a full list of items, applyChange an item that was written or
	// deleted after a previous revision of the same key, zero for none.
	applyList   func(list itemList)
	applyChange func(previous eras.Revision, item storeItem)
	// onRead is called after a call to the store, sent after askedAt, has returned and its
	// reply has been applied, with the newest revision of the configuration; nil if this
	// follows other keys. watchTime returns the time of a watch; nil for watchTimeout.
	onRead    func(askedAt time.Time, newest eras.Revision)
	watchTime func() time.Duration
	// askedAt is when the latest call to the store was made.
	askedAt time.Time
	// hasFreshUpdates reports whether the holder's updates are fresh, so that the store
	// need not be read. onIdle is called when the follower idles for that reason.
	hasFreshUpdates func() bool
	onIdle          func()
	// fetchFromHolder reads the keys from the holder; nil if only the store has them.
	fetchFromHolder func(context.Context) (itemList, bool)
	// readCopy reads the keys from a copy in the store that is smaller than the list; nil
	// if there is none.
	readCopy func() (itemList, bool)
	// canAskReaders reports whether readers read the keys for this instance. fetchItems
	// gets the keys from them, and returns no items if there is nothing newer.
	canAskReaders func() bool
	fetchItems    func(context.Context) (itemList, readerResult)
	// fetchChanges gets the changes after a revision from a reader; nil if fetchItems is
	// set. changelog holds the changes that this instance sends to others.
	fetchChanges func(context.Context, eras.Revision) (deltas.Changes, readerResult)
	changelog    *deltas.Log
	// updateWait is how long the follower waits for updates at the start. expectsUpdates
	// reports whether it waits for longer, since a holder is about to send them; nil if it
	// never does.
	updateWait     time.Duration
	expectsUpdates func() bool
	// remoteRevision is the newest revision that another instance has reported, remoteVersion
	// the newest version if the key is the configuration. A version outlives a return of the
	// store from an older copy.
	remoteRevision eras.Cell
	remoteVersion  atomic.Int64
	// localRevision is the newest revision of the keys that this instance has, localVersion the
	// newest version that it has seen.
	localRevision eras.Cell
	localVersion  atomic.Int64
	// offered is a list from a member of the fleet that is still to be applied, nil for none.
	offered atomic.Pointer[itemList]
	// updatesThrough is the store revision up to which the updates of another instance
	// contain all changes of the keys. readThrough is the one up to which this instance
	// has read them from the store.
	updatesThrough eras.Cell
	readThrough    eras.Cell
	// lastMark records how far the updates reached. It is replaced when it is older than
	// changesOverlap.
	lastMark atomic.Pointer[updateMark]
	// coveredRevision is the newest revision up to which updates contain all changes. An
	// older change that is read late must not overwrite them.
	coveredRevision eras.Cell
	// isHolder reports whether this instance sends updates to the others. needsList
	// reports whether it needs a full list rather than only changes, and hasList whether
	// the changes it has follow a list that it has read.
	isHolder  func() bool
	needsList func() bool
	hasList   atomic.Bool

	// storeSeenAt is when the store last responded, in nanoseconds of clock.
	storeSeenAt atomic.Int64
	clock       timer.Service
	// updateAge returns the time since the holder's last update.
	updateAge func() time.Duration

	// directUntil is until when the follower reads the store itself instead of asking
	// readers. nextProbeAt is when it next tries the store although the readers cannot
	// reach it.
	directUntil, nextProbeAt time.Time
	// isProbing shortens the next watch: it is not known whether the store responds, and
	// other instances may be waiting to learn that.
	isProbing bool
	// listDelay is the delay after the latest failed list, 0 if it did not fail.
	listDelay time.Duration
	// fetchDelay is the delay after the latest failed fetch from the holder, 0 if it did not fail.
	fetchDelay time.Duration
	// refusedSince is since when readers have refused requests because they still get
	// updates from the holder.
	refusedSince time.Time
	// revision is how far this instance has read the keys.
	revision eras.Revision
	// from is where the changes that are being applied come from.
	from          origin
	itemRevisions map[string]eras.Revision
	// onOutdated is called with the number of changes that were ignored as older than what is
	// known; nil if nobody counts them.
	onOutdated func(feed string, count int)
}

// run follows the keys until ctx ends. While the holder's updates are fresh it is idle,
// and reads only what the updates report as changed.
func (f *follower) run(ctx context.Context) {
	f.itemRevisions = make(map[string]eras.Revision)
	f.awaitUpdates(ctx)
	for ctx.Err() == nil {
		if f.tryHolder(ctx) {
			continue
		}
		if f.tryReaders(ctx) {
			continue
		}
		if f.tryResume() || f.tryCopy() || f.readList(ctx) {
			f.watch(ctx)
		}
	}
}

// noteUpdate records the newest revision and version of the keys that the holder has seen, and the
// store revision up to which it has read all changes.
func (f *follower) noteUpdate(revision eras.Revision, version int64, through eras.Revision) {
	f.remoteRevision.Store(revision)
	f.raiseRemoteVersion(version)
	f.updatesThrough.Store(through)
	now := f.clock.Now()
	if have := f.lastMark.Load(); have == nil || now.Sub(have.at) > changesOverlap {
		f.lastMark.Store(&updateMark{revision: through, at: now, earlier: have.revisionOf()})
	}
}

// raiseRemoteVersion records a version that another instance has. Versions only grow.
func (f *follower) raiseRemoteVersion(version int64) {
	for {
		have := f.remoteVersion.Load()
		if version <= have || f.remoteVersion.CompareAndSwap(have, version) {
			return
		}
	}
}

// awaitUpdates waits at the start until updates of another instance come or it has waited for
// long enough, unless this instance is the holder.
func (f *follower) awaitUpdates(ctx context.Context) {
	start := f.clock.Now()
	holderWait := holderUpdateWait + rand.N(holderUpdateSpread)
	for ctx.Err() == nil && !f.hasFreshUpdates() && !f.isHolder() {
		waited := f.clock.Now().Sub(start)
		if waited >= holderWait || waited >= f.updateWait && (f.expectsUpdates == nil || !f.expectsUpdates()) {
			return
		}
		sleep(ctx, startPollInterval)
	}
}

// isCurrent reports whether this instance has the keys as they were a short time ago.
func (f *follower) isCurrent() bool {
	return !f.isBehind() && f.hasRecentState()
}

// hasRecentState reports whether the store has responded, or an update has come, a short
// time ago.
func (f *follower) hasRecentState() bool {
	storeAge := time.Duration(f.clock.Now().UnixNano() - f.storeSeenAt.Load())
	return min(storeAge, f.updateAge()) < maxReaderAge
}

// tryResume continues from where the holder's updates ended. All instances lose them at
// the same time, and full lists for all of them would saturate the links between regions.
func (f *follower) tryResume() bool {
	through := f.updatesThrough.Swap(eras.Revision{})
	if through.IsZero() || !f.history.IsPresent(through) || f.isBehind() || f.needsList() {
		return false
	}
	f.revision = f.resumeRevision(through)
	f.hasList.Store(false)
	f.isProbing = true
	f.startChangelog(f.revision)
	f.log.Info().Str("feed", f.name).Stringer("revision", through).Msg("following the store")
	return true
}

// tryCopy reads the keys from the smaller copy and reports whether that succeeded.
func (f *follower) tryCopy() bool {
	if f.readCopy == nil {
		return false
	}
	list, ok := f.readCopy()
	if !ok {
		return false
	}
	f.reset(list)
	return true
}

// reset replaces all items by those of a list.
func (f *follower) reset(list itemList) {
	f.revision = list.through
	if f.changelog != nil {
		f.changelog.Replace(list.plain(), list.through)
	}
	f.resetRevisions(list.items)
	f.applyList(list)
	f.hasList.Store(true)
	f.readThrough.Store(list.through)
}

// lacksList reports whether a full list is needed and has not been read.
func (f *follower) lacksList() bool {
	return f.needsList() && !f.hasList.Load()
}

// tryHolder idles or fetches from the holder while its updates are fresh. It returns
// false if the follower must look elsewhere.
func (f *follower) tryHolder(ctx context.Context) bool {
	if !f.hasFreshUpdates() {
		return false
	}
	if f.isBehind() {
		return f.tryFetch(ctx)
	}
	f.fetchDelay = 0
	f.hasList.Store(false)
	f.onIdle()
	sleep(ctx, idlePollInterval)
	return true
}

// tryFetch reads the keys from the holder and reports whether that succeeded.
func (f *follower) tryFetch(ctx context.Context) bool {
	if f.fetchFromHolder == nil {
		return false
	}
	list, ok := f.fetchFromHolder(ctx)
	if !ok {
		// A store that has come back from an older copy may not have what the holder names for some time.
		f.fetchDelay = backOff(ctx, max(f.fetchDelay, idlePollInterval))
		return false
	}
	f.applyList(list)
	f.resetRevisions(list.items)
	return true
}

// isBehind reports whether another instance has seen a newer revision or version than this one.
func (f *follower) isBehind() bool {
	return f.remoteRevision.Load().After(f.localRevision.Load()) || f.remoteVersion.Load() > f.localVersion.Load()
}

// callStore calls the store and cancels the call once isNeedless returns true.
func (f *follower) callStore(req ports.KVRequest, isNeedless func() bool) ports.KVReply {
	until, stop := contextUntil(isNeedless)
	defer stop()
	f.askedAt = f.clock.Now()
	reply := f.store.DoUntil(until, req)
	if until.Err() != nil && reply.Status != ports.KVOK {
		return reply
	}
	f.health.record(reply.Status, reply.Err)
	if reply.Status == ports.KVOK {
		f.storeSeenAt.Store(f.clock.Now().UnixNano())
	}
	return reply
}

// noteEra logs that a reply is of another era than what was read before.
func (f *follower) noteEra(reply ports.KVReply) {
	f.log.Info().Str("feed", f.name).Uint64("era", reply.Era).Uint64("eraBefore", f.revision.Era).Stringer("revision", f.revision).
		Stringer("localRevision", f.localRevision.Load()).Stringer("remoteRevision", f.remoteRevision.Load()).
		Uint64("storeRevision", uint64(reply.Revision)).Msg("followed store has another era")
}

// isReadNeedless reports whether the holder's updates are fresh and report nothing that
// this instance lacks. Calls in progress would then only use up the link to the store.
func (f *follower) isReadNeedless() bool {
	return f.hasFreshUpdates() && !f.isBehind()
}

// contextUntil returns a context that is cancelled once done returns true.
func contextUntil(done func() bool) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancel(context.Background())
	stopPolling := timer.Every(timer.NewSystem(), idlePollInterval, func() {
		if done() {
			cancel()
		}
	})
	return ctx, func() {
		stopPolling()
		cancel()
	}
}

// readList reads all items. Its pages are not a snapshot, so the watch continues from the
// revision of the first page. A page of another era begins the list anew.
func (f *follower) readList(ctx context.Context) bool {
	var items []ports.Item
	var first eras.Revision
	var askedAt time.Time
	after := ""
	for ctx.Err() == nil {
		reply := f.callStore(ports.KVList{Prefix: f.prefix, After: after}, f.isReadNeedless)
		if reply.Status != ports.KVOK && f.hasFreshUpdates() {
			return false
		}
		if reply.Status != ports.KVOK {
			f.log.Info().Str("feed", f.name).Str("status", reply.Status.String()).Err(reply.Err).Msg("list failed")
			f.listDelay = backOff(ctx, max(f.listDelay, minRetryDelay))
			if f.readCopy != nil {
				// Many instances that start together and list the keys in full when the store
				// is back choke their links. The copy is tried again first.
				return false
			}
			continue
		}
		f.listDelay = 0
		if after != "" && reply.Era != first.Era {
			items, after = nil, ""
			continue
		}
		if after == "" {
			first, askedAt = reply.Reached(), f.askedAt
		}
		items = append(items, reply.Items...)
		if !reply.More || len(reply.Items) == 0 {
			break
		}
		after = reply.Items[len(reply.Items)-1].Key
	}
	if ctx.Err() != nil {
		return false
	}
	f.log.Info().Str("feed", f.name).Int("items", len(items)).Stringer("revision", first).Msg("list read")
	list := newItemList(items, first, originStore)
	list.askedAt = askedAt
	f.reset(list)
	if f.onRead != nil {
		f.onRead(askedAt, newestRevision(list.items))
	}
	return true
}

func (f *follower) resetRevisions(items []storeItem) {
	clear(f.itemRevisions)
	for _, item := range items {
		f.noteRevision(item)
	}
}

// noteRevision records an item's revision.
func (f *follower) noteRevision(item storeItem) {
	f.itemRevisions[item.Key] = item.at
	f.localRevision.Raise(item.at)
}

// watch applies changes until the store's history no longer reaches back far enough.
func (f *follower) watch(ctx context.Context) {
	delay := minRetryDelay
	isNeedless := func() bool { return f.isReadNeedless() || f.lacksList() || f.offered.Load() != nil }
	for ctx.Err() == nil && !f.hasFreshUpdates() && !f.lacksList() && !f.shouldReturnToReaders() {
		reply := f.nextChanges(ctx, isNeedless)
		if list := f.offered.Swap(nil); list != nil {
			f.applyList(*list)
			continue
		}
		switch reply.Status {
		case ports.KVOK:
			delay = minRetryDelay
			f.apply(reply)
			if f.onRead != nil {
				f.onRead(f.askedAt, f.itemRevisions[platform.ConfigKey])
			}
			if len(reply.Items) > 0 {
				sleep(ctx, f.batchDelay)
			}
		case ports.KVConflict:
			f.log.Info().Str("feed", f.name).Stringer("revision", f.revision).Msg("store history no longer available")
			return
		default:
			if f.hasFreshUpdates() || f.lacksList() {
				return
			}
			f.log.Info().Str("feed", f.name).Str("status", reply.Status.String()).Err(reply.Err).Msg("watch failed")
			delay = backOff(ctx, delay)
		}
	}
}

// backOff waits for a random time around the delay and returns the next, longer delay.
func backOff(ctx context.Context, delay time.Duration) time.Duration {
	sleep(ctx, delay/2+rand.N(delay))
	return min(2*delay, maxRetryDelay)
}

func (f *follower) apply(reply ports.KVReply) {
	var outdated []storeItem
	for _, read := range reply.Items {
		item := dated(reply.Era, read)
		f.revision = f.revision.Later(item.at)
		if !item.at.After(f.itemRevisions[item.Key]) || !item.at.After(f.coveredRevision.Load()) {
			outdated = append(outdated, item)
			continue
		}
		previous := f.itemRevisions[item.Key]
		f.noteRevision(item)
		f.applyChange(previous, item)
	}
	f.revision = f.revision.Later(reply.Reached())
	f.readThrough.Store(f.revision)
	if f.changelog != nil {
		f.changelog.Add(reply.Items, f.revision)
	}
	f.noteOutdated(outdated)
}

// noteOutdated logs and counts the changes of one reply that were ignored, since newer ones are
// known. The last of them stands for all.
func (f *follower) noteOutdated(changes []storeItem) {
	if len(changes) == 0 {
		return
	}
	last := changes[len(changes)-1]
	f.log.Info().Str("feed", f.name).Str("from", string(f.from)).Int("changes", len(changes)).Str("key", last.Key).
		Stringer("revision", last.at).Stringer("known", f.itemRevisions[last.Key]).
		Stringer("covered", f.coveredRevision.Load()).Msg("outdated changes ignored")
	if f.onOutdated != nil {
		f.onOutdated(f.name, len(changes))
	}
}

// sleep waits for d, or until ctx ends.
func sleep(ctx context.Context, d time.Duration) {
	waitFor(ctx, nil, d)
}

// waitFor waits until c receives or is closed, at most for d.
func waitFor(ctx context.Context, c <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-c:
	case <-t.C:
	case <-ctx.Done():
	}
}
