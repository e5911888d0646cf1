package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/eras"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

// newTestStore returns a client of a store.
func newTestStore(t *testing.T, store *fake.Store) *eraStore {
	client := platform.NewStore(t.Context(), store.Addr())
	return &eraStore{client: client, history: newTestHistory(), now: time.Now, onOutdated: func() {}}
}

// startFollower runs a follower of the configuration in a store until the test ends, and
// returns the revisions of the lists that it reads.
func startFollower(t *testing.T, store *fake.Store, configure func(*follower)) <-chan ports.Revision {
	l := discardLogger()
	got := make(chan ports.Revision, 1)
	fd := &follower{
		name: "config", prefix: "op/config", store: newTestStore(t, store),
		health: newStoreHealth(timer.NewSystem(), l, 0), log: l,
		applyList: func(list itemList) { got <- list.items[0].Revision }, history: newTestHistory(),
		applyChange: func(eras.Revision, storeItem) {}, onIdle: func() {},
		needsList: func() bool { return false }, canAskReaders: func() bool { return false },
		isHolder: func() bool { return false }, clock: timer.NewBoot(),
	}
	configure(fd)
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	go fd.run(ctx)
	return got
}

// TestFollowerReadsStoreWhenHolderFetchFails has fresh updates report a newer revision
// that the holder fails to send. The follower must read it from the store.
func TestFollowerReadsStoreWhenHolderFetchFails(t *testing.T) {
	f := fake.NewStore(t)
	f.Write(t, "op/config", map[string]any{"version": 3})
	f.Slow.Store(int64(4 * idlePollInterval))
	got := startFollower(t, f, func(fd *follower) {
		fd.hasFreshUpdates = func() bool { return true }
		fd.updateAge = func() time.Duration { return 0 }
		fd.fetchFromHolder = func(context.Context) (itemList, bool) { return itemList{}, false }
		fd.noteUpdate(rev(1), 0, rev(0))
	})
	select {
	case revision := <-got:
		if revision != 1 {
			t.Errorf("read revision %d", revision)
		}
	case <-time.After(5 * time.Second):
		t.Error("the newer revision is never read")
	}
}

// TestFollowerTriesTheCopyAgain guards against all instances of a fleet that start while the
// store is down listing the whole configuration when it is back: each then reads the copy.
func TestFollowerTriesTheCopyAgain(t *testing.T) {
	store := fake.NewStore(t)
	store.Write(t, "op/config", map[string]any{"version": 3})
	store.Refuse.Store(http.StatusServiceUnavailable)
	copies := 0
	got := startFollower(t, store, func(fd *follower) {
		fd.hasFreshUpdates = func() bool { return false }
		fd.updateAge = func() time.Duration { return time.Hour }
		fd.readCopy = func() (itemList, bool) {
			copies++
			if copies < 3 {
				return itemList{}, false
			}
			store.Refuse.Store(0)
			return newItemList([]ports.Item{{Key: "op/config", Revision: 42}}, rev(42), originCopy), true
		}
	})
	select {
	case revision := <-got:
		if revision != 42 {
			t.Errorf("the list of revision %d was read", revision)
		}
	case <-time.After(10 * time.Second):
		t.Error("nothing was read")
	}
}

// TestFollowerAwaitsTheHolder guards against all instances of a fleet that starts reading the
// full list from the store although a holder is about to send it, and against waiting for a
// holder that is dead.
func TestFollowerAwaitsTheHolder(t *testing.T) {
	for _, c := range []struct {
		name    string
		expects bool
		min     time.Duration
		max     time.Duration
	}{
		{"holder known", true, holderUpdateWait, time.Minute},
		{"no holder, or its address refuses connections", false, startTimeout, holderUpdateWait},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			fd := &follower{
				clock: timer.NewBoot(), updateWait: startTimeout, expectsUpdates: func() bool { return c.expects },
				hasFreshUpdates: func() bool { return false }, isHolder: func() bool { return false },
			}
			start := time.Now()
			fd.awaitUpdates(t.Context())
			if waited := time.Since(start); waited < c.min || waited >= c.max {
				t.Errorf("waited for %v", waited)
			}
		})
	}
}

// TestFollowerSkipsChangesCoveredByUpdates reads a change late that the holder's updates
// have already covered. It must not overwrite them.
func TestFollowerSkipsChangesCoveredByUpdates(t *testing.T) {
	var got []ports.Revision
	fd := &follower{
		log: discardLogger(), itemRevisions: make(map[string]eras.Revision),
		applyChange: func(_ eras.Revision, item storeItem) { got = append(got, item.Revision) },
	}
	fd.coveredRevision.Store(rev(7))
	fd.apply(ports.KVReply{Items: []ports.Item{{Key: "a", Revision: 6}, {Key: "b", Revision: 8}}, Revision: 8})
	if len(got) != 1 || got[0] != 8 {
		t.Errorf("applied changes %v", got)
	}
}
