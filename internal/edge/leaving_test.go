package edge

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"chivecroft.example/chivecroft/platform"
	"chivecroft.example/chivecroft/platform/fake"
)

const (
	// drainBound is how long after its departure a target may get requests.
	drainBound = 2500 * time.Millisecond
	// contactBound is how long after a reset of its connections an instance is bound by that.
	contactBound = 3 * time.Second
	// returnBound is the time within which a target that has registered is in use everywhere.
	returnBound = 2 * time.Second
)

// fleetWithoutTarget is a rig whose target d1 has left while all was calm. Each instance has
// read its entry itself before.
type fleetWithoutTarget struct {
	*rig
	holder *Edge
	leftAt time.Time
	// out holds the instances that are no longer asked.
	out sync.Map
}

func newFleetWithoutTarget(t *testing.T, opts ...func(*rig)) *fleetWithoutTarget {
	f := &fleetWithoutTarget{rig: newRig(t, 4, opts...)}
	f.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	f.eventually("a holder is elected", func() bool { return f.rig.holder(nil) != nil })
	first := f.rig.holder(nil)
	first.kill()
	f.out.Store(first, true)
	f.eventually("all instances follow the store", func() bool {
		return holdsForAll(f.live(), func(e *Edge) bool { return e.updateAge() > maxUpdateAge+300*time.Millisecond })
	})
	f.store.List(t, f.targets["d1"], "desk", "ready")
	f.eventually("all instances have updates of a new holder", func() bool {
		f.holder = f.rig.holder(first)
		return f.holder != nil && holdsForAll(f.live(), func(e *Edge) bool { return e == f.holder || e.hasFreshUpdates() })
	})
	time.Sleep(time.Second)
	f.store.Unlist("d1")
	f.leftAt = time.Now()
	time.Sleep(time.Second)
	return f
}

// withHeartbeat has instances know the interval at which targets renew their entries.
func withHeartbeat(r *rig) { r.heartbeat = 1200 * time.Millisecond }

func (f *fleetWithoutTarget) live() []*Edge {
	var out []*Edge
	for _, e := range f.edges {
		if _, isOut := f.out.Load(e); !isOut {
			out = append(out, e)
		}
	}
	return out
}

// resetSuccessor ends the watches of the first instance that asks for a lease from now on.
func (f *fleetWithoutTarget) resetSuccessor() {
	var once sync.Once
	for _, link := range f.links {
		reset := func() { once.Do(link.resetWatches) }
		link.onGrant.Store(&reset)
	}
}

func (f *fleetWithoutTarget) refuse(d time.Duration) {
	f.store.Refuse.Store(http.StatusServiceUnavailable)
	time.Sleep(d)
	f.store.Refuse.Store(0)
}

// countCalls calls all live instances until the returned function is called, which returns the
// number of calls that count. Those that were under way when their instance went out do not.
func (f *fleetWithoutTarget) countCalls(counts func(sentAt time.Time, status int, body string) bool) func() int64 {
	var n atomic.Int64
	ctx, cancel := context.WithCancel(f.t.Context())
	var wait sync.WaitGroup
	for _, e := range f.live() {
		wait.Go(func() {
			for ctx.Err() == nil {
				sentAt := time.Now()
				status, body := f.call(e, "/app/", "")
				if _, isOut := f.out.Load(e); isOut {
					return
				}
				if counts(sentAt, status, body) {
					n.Add(1)
				}
				sleep(ctx, 20*time.Millisecond)
			}
		})
	}
	return func() int64 {
		cancel()
		wait.Wait()
		return n.Load()
	}
}

// TestLeftTargetStaysOut changes the holder in several ways while the store is disturbed. It
// guards against a new holder that puts a target back into use which left long before, since
// it takes its own former copy for entries that the store has lost. A target that registers
// again must be in use at once.
func TestLeftTargetStaysOut(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(*fleetWithoutTarget)
	}{
		{"holder killed, watches of its successor reset", func(f *fleetWithoutTarget) {
			f.resetSuccessor()
			f.holder.kill()
		}},
		{"holder killed, store away for four seconds", func(f *fleetWithoutTarget) {
			f.holder.kill()
			f.refuse(4 * time.Second)
		}},
		{"holder frozen, watches of its successor reset", func(f *fleetWithoutTarget) {
			f.resetSuccessor()
			f.holder.coordinator.mu.Lock()
			time.Sleep(6 * time.Second)
			f.holder.coordinator.mu.Unlock()
		}},
		{"holder stopped, watches of its successor reset", func(f *fleetWithoutTarget) {
			f.resetSuccessor()
			go f.holder.Stop()
		}},
		{"holder killed while the store flaps", func(f *fleetWithoutTarget) {
			for i := range 5 {
				if i == 1 {
					f.holder.kill()
				}
				f.refuse(500 * time.Millisecond)
				time.Sleep(500 * time.Millisecond)
			}
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWithoutTarget(t)
			f.out.Store(f.holder, true)
			late := f.countCalls(func(sentAt time.Time, _ int, body string) bool {
				return body == "answer of d1" && sentAt.Sub(f.leftAt) > drainBound
			})
			c.disturb(f)
			f.eventually("there is a new holder", func() bool { return f.rig.holder(f.holder) != nil })
			time.Sleep(drainBound + time.Second)
			if n := late(); n > 0 {
				t.Errorf("%d requests reached the target later than %s after it had left", n, drainBound)
			}
			f.store.List(t, f.targets["d1"], "desk", "ready")
			returnedAt := time.Now()
			for _, e := range f.live() {
				f.eventually("the target that has returned is in use", func() bool {
					_, body := f.call(e, "/app/", "")
					return body == "answer of d1"
				})
			}
			if took := time.Since(returnedAt); took > returnBound {
				t.Errorf("the target was in use again after %s", took)
			}
		})
	}
}

// TestLapsedTargetsStayInUse takes the store away until the entries of all targets have
// expired, which register again after it is back. It guards against live targets that are
// taken for ones that have left.
func TestLapsedTargetsStayInUse(t *testing.T) {
	for _, c := range []struct {
		name    string
		disturb func(*fleetWithoutTarget)
	}{
		{"holder stays", func(*fleetWithoutTarget) {}},
		{"holder killed meanwhile", func(f *fleetWithoutTarget) {
			f.out.Store(f.holder, true)
			f.holder.kill()
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFleetWithoutTarget(t, withHeartbeat)
			failed := f.countCalls(func(_ time.Time, status int, _ string) bool { return status != http.StatusOK })
			f.store.Refuse.Store(http.StatusServiceUnavailable)
			for _, link := range f.links {
				link.resetWatches()
			}
			c.disturb(f)
			for _, id := range []string{"d2", "e1", "e2"} {
				f.store.Unlist(id)
			}
			time.Sleep(4 * time.Second)
			f.store.Refuse.Store(0)
			time.Sleep(leaseRecoveryTime - 500*time.Millisecond)
			f.store.List(t, f.targets["d2"], "desk", "ready")
			time.Sleep(2 * leaseRecoveryTime)
			if n := failed(); n > 0 {
				t.Errorf("%d requests failed although their target was alive", n)
			}
		})
	}
}

// TestTargetLeavesWhileAWatchIsSilent has the holder's watch of the targets go silent while other
// calls to the store are answered. It guards against a target that has left and is used for longer
// than allowed, since one call that failed was taken for an outage in which entries expire. The
// silence counts as a reset of the instances' connections, after which they have contactBound.
func TestTargetLeavesWhileAWatchIsSilent(t *testing.T) {
	r := newRig(t, 3, withHeartbeat)
	r.target("desk", fake.NewTarget(t, "d2", "a1", 0))
	r.eventually("a holder is elected", func() bool { return r.holder(nil) != nil })
	time.Sleep(time.Second)
	link := r.links[r.holder(nil).boot.Instance]
	link.silenceNextWatch(platform.TargetPrefix)
	r.eventually("the holder's watch is silent", link.hasSilentWatch)
	r.store.Unlist("d1")
	leftAt := time.Now()
	var latest time.Duration
	for sentAt := leftAt; sentAt.Sub(leftAt) < 2*contactBound; sentAt = time.Now() {
		for _, e := range r.edges {
			if _, body := r.call(e, "/app/", ""); body == "answer of d1" {
				latest = sentAt.Sub(leftAt)
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	if latest > contactBound {
		t.Errorf("the target got a request %s after it had left", latest)
	}
}
