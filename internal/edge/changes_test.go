package edge

import (
	"net/http"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

// fleetWithReaders is a rig with its instances sorted by role. Its store has been idle
// for longer than one watch, so that the holder's updates cover its latest revision.
type fleetWithReaders struct {
	*rig
	holder          *Edge
	readers, others []*Edge
}

func newFleetWithReaders(t *testing.T, instances int, opts ...func(*rig)) *fleetWithReaders {
	r := newRig(t, instances, opts...)
	r.eventually("all instances know their readers", r.allKnowReaders)
	time.Sleep(2 * time.Second)
	f := &fleetWithReaders{rig: r, holder: r.holder(nil)}
	for _, e := range r.edges {
		switch {
		case e == f.holder:
		case e.canAskReaders():
			f.others = append(f.others, e)
		default:
			f.readers = append(f.readers, e)
		}
	}
	return f
}

// countStoreCalls returns a function that reports every instance, readers and the holder
// aside, that has called the store more than most times since.
func (f *fleetWithReaders) countStoreCalls() func(most int64) {
	before := make(map[*Edge]int64, len(f.others))
	for _, e := range f.others {
		before[e] = e.metrics.storeCalls.Load()
	}
	return func(most int64) {
		f.t.Helper()
		for _, e := range f.others {
			if n := e.metrics.storeCalls.Load() - before[e]; n > most {
				f.t.Errorf("%s called the store %d times", e.boot.Instance, n)
			}
		}
	}
}

// replaceDeskTarget replaces the target of the plain service and checks that all
// instances but the readers and the holder use the new one within the given time.
func (f *fleetWithReaders) replaceDeskTarget(within time.Duration) {
	f.t.Helper()
	f.target("desk", fake.NewTarget(f.t, "d2", "a1", 0))
	f.store.Write(f.t, "servers/d1", f.targets["d1"].Entry("desk", "draining"))
	time.Sleep(within)
	for _, e := range f.others {
		if status, body := f.call(e, "/app/", ""); status != http.StatusOK || body != "answer of d2" {
			f.t.Errorf("%s: %d %s", e.boot.Instance, status, body)
		}
	}
}

// TestTargetsByReader kills the holder. Only the readers and the successor may call the
// store; all other instances must learn of a new target and of the new holder in time.
func TestTargetsByReader(t *testing.T) {
	f := newFleetWithReaders(t, 9)
	f.holder.kill()
	checkStoreCalls := f.countStoreCalls()
	f.replaceDeskTarget(maxUpdateAge + 600*time.Millisecond)
	f.eventually("a new holder is elected", func() bool { return f.rig.holder(f.holder) != nil })
	f.eventually("all instances have fresh updates", func() bool {
		return holdsForAll(f.others, func(e *Edge) bool {
			return e.coordinator.holderStatus().IsHolder || e.hasFreshUpdates()
		})
	})
	// A watch of the holder's key that began before they stopped watching it ends now.
	checkStoreCalls(1)
}

// TestStoreAwayWithoutAHolder takes away the store and the holder for longer than every
// timeout. Instances that are not readers may only probe the store at intervals, and all
// must continue when it is back.
func TestStoreAwayWithoutAHolder(t *testing.T) {
	f := newFleetWithReaders(t, 8)
	f.store.Refuse.Store(http.StatusServiceUnavailable)
	f.holder.kill()
	time.Sleep(maxUpdateAge + readerUpdatesTimeout)
	asked := f.countStoreCalls()
	const away = 6 * time.Second
	time.Sleep(away)
	asked(int64(away/probeInterval) + 2)
	f.store.Refuse.Store(0)
	// The readers may be at the beginning of a retry delay.
	f.replaceDeskTarget(3*maxRetryDelay/2 + time.Second)
}

// TestReadersCutOff cuts only the readers off from the store after the holder is lost:
// the other instances must read the store themselves.
func TestReadersCutOff(t *testing.T) {
	f := newFleetWithReaders(t, 7)
	for _, e := range f.readers {
		f.cut[e.boot.Instance].Store(true)
	}
	f.holder.kill()
	f.replaceDeskTarget(maxUpdateAge + readerUpdatesTimeout + maxFirstProbeDelay + time.Second)
}

// TestReaderFreezes blocks one reader while the holder is lost: the other reader must be
// asked.
func TestReaderFreezes(t *testing.T) {
	f := newFleetWithReaders(t, 7)
	frozen := f.readers[0]
	f.holder.kill()
	// Every request that needs the holder's status blocks on this mutex.
	frozen.coordinator.mu.Lock()
	defer frozen.coordinator.mu.Unlock()
	f.replaceDeskTarget(maxUpdateAge + 2*readerTimeout + time.Second)
}

// TestStaleListIsNotServed asks an instance whose updates have just ended for changes
// from before its own state. All it has is a list from before those updates, which is
// outdated.
func TestStaleListIsNotServed(t *testing.T) {
	e := New(&platform.Boot{Instance: "i1", Zone: "a1"}, discardLogger())
	defer e.stopLoops()
	e.updatedAt.Store(e.clock.Now().Add(-maxUpdateAge).UnixNano())
	e.targetFollower.changelog.Replace([]ports.Item{{Key: "servers/d1", Revision: 3}}, rev(5))
	if got, ok := e.changesAfter(rev(2)); ok {
		t.Errorf("returned %+v", got)
	}
	e.targetFollower.hasList.Store(true)
	if got, ok := e.changesAfter(rev(2)); !ok || !got.Full || len(got.Items) != 1 {
		t.Errorf("after a list: returned %+v, %t", got, ok)
	}
}
