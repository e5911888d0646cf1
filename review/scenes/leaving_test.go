package scenes

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// goneReplica lets replicas leave in calm between two kills of the machine that may give
// orders. The connections of the machine that takes over the second time to the store are
// reset.
func goneReplica(w *world) (bool, error) {
	const replicas, leaving = 12, 3
	w.configure(
		[]map[string]any{route("commit", "/commit/", "unsafe", "desk", nil)}, []map[string]any{plainService("desk")},
	)
	var all []*replica
	for i := range replicas {
		var r *replica
		r, err := w.newReplica(fmt.Sprintf("i-7f3a91%02x", i), "desk", zones[i%len(zones)], 6, nil)
		if err != nil {
			return false, err
		}
		r.run = answerPlainly(&r, 60*time.Millisecond)
		all = append(all, r)
		time.Sleep(heartbeat / replicas)
	}
	if err := w.startMachines(6); err != nil {
		return false, err
	}
	stop := w.press(10*time.Millisecond, "/commit/x")
	time.Sleep(3 * time.Second)
	if err := w.killHolder(); err != nil {
		return false, err
	}
	gone := []*replica{all[0], all[4], all[8]}[:leaving]
	for _, r := range gone {
		r.setSilent(true)
		w.store.drop("servers/" + r.id)
		w.rec.add("%s leaves: its entry is removed", r.id)
	}
	left := time.Now()
	exitLate(gone, left)
	time.Sleep(5 * time.Second)
	if w.trouble {
		w.resetSuccessor()
	}
	if err := w.killHolder(); err != nil {
		return false, err
	}
	stop()
	var late []arrival
	for _, r := range gone {
		for _, a := range r.arrivedAfter(left.Add(drainBound)) {
			if m := w.sentTo(a.id); m.isInTouch(a.at) {
				w.rec.add("%s reached %s from %s, which was in touch, %s after it had left", a.id, r.id, m.name, a.at.Sub(left))
				late = append(late, a)
			}
		}
	}
	w.rec.tell("DRAIN: machines in touch sent %d requests to replicas later than %s after their entries were removed, %d of them were lost",
		len(late), drainBound, w.lost(late))
	return len(late) > 0, nil
}

// resetSuccessor resets the connections to the store on which watches of the next machine wait
// that asks for a lease.
func (w *world) resetSuccessor() {
	var once sync.Once
	for _, m := range w.machines {
		m.store.mu.Lock()
		m.store.onGrant = func() {
			once.Do(func() {
				m.disturb()
				reset, all := m.store.resetWatches()
				w.rec.add("%d of %d connections of %s to the store are reset", reset, all, m.name)
			})
		}
		m.store.mu.Unlock()
	}
}

// killHolder kills the machine that may give orders, starts it again after 3.5 s and waits
// until another one has taken over.
func (w *world) killHolder() error {
	m := w.holder()
	if m == nil {
		return errNotReady
	}
	m.disturb()
	w.rec.add("%s, which may give orders, is killed", m.name)
	m.kill()
	time.Sleep(3500 * time.Millisecond)
	m.disturb()
	if err := m.start(false); err != nil {
		return err
	}
	if err := w.awaitReady(10 * time.Second); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if h := w.holder(); h != nil {
		w.rec.add("%s may give orders now", h.name)
	}
	return nil
}

// foreignEntry has another writer put an entry with missing fields where that of a replica
// was that has left.
func foreignEntry(w *world) (bool, error) {
	w.configure(
		[]map[string]any{route("commit", "/commit/", "unsafe", "desk", nil)}, []map[string]any{plainService("desk")},
	)
	var gone, other *replica
	gone, err := w.newReplica("i-7f3a91c2", "desk", zones[0], 6, nil)
	if err != nil {
		return false, err
	}
	other, err = w.newReplica("i-02d9e6b4", "desk", zones[1], 6, nil)
	if err != nil {
		return false, err
	}
	gone.run, other.run = answerPlainly(&gone, 60*time.Millisecond), answerPlainly(&other, 60*time.Millisecond)
	if err := w.startMachines(2); err != nil {
		return false, err
	}
	stop := w.press(20*time.Millisecond, "/commit/x")
	time.Sleep(2 * time.Second)
	// The replica never reports draining: its entry is removed, and it goes on to serve.
	gone.setSilent(true)
	w.store.drop("servers/" + gone.id)
	left := time.Now()
	w.rec.add("%s leaves: its entry is removed", gone.id)
	exitLate([]*replica{gone}, left)
	time.Sleep(4 * time.Second)
	if w.trouble {
		w.rec.add("another writer puts an entry without version, sequence, cold_remaining_ms and born")
		w.store.put("servers/"+gone.id, map[string]any{
			"service": "desk", "address": gone.addr, "zone": gone.zone, "slots": 6, "state": "ready",
		})
	}
	time.Sleep(3 * time.Second)
	stop()
	late := gone.arrivedAfter(left.Add(drainBound))
	w.rec.tell("DRAIN: %d requests reached %s later than %s after its entry was removed, %d of them were lost",
		len(late), gone.id, drainBound, w.lost(late))
	return len(late) > 0, nil
}

// press sends unsafe requests to all machines in turn until the returned function is called.
func (w *world) press(every time.Duration, path string) func() {
	done := make(chan struct{})
	var wait sync.WaitGroup
	wait.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-time.After(every):
			}
			wait.Go(func() { w.send(w.machines[i%len(w.machines)], http.MethodPost, path, "order", nil) })
		}
	})
	return func() {
		close(done)
		wait.Wait()
	}
}

// exitLate has replicas that have left end 300 ms after the first request that they get later
// than the bound.
func exitLate(gone []*replica, left time.Time) {
	for _, r := range gone {
		var once sync.Once
		r.mu.Lock()
		r.before = func(http.ResponseWriter, *http.Request) bool {
			if time.Since(left) > drainBound {
				once.Do(func() { time.AfterFunc(300*time.Millisecond, r.crash) })
			}
			return false
		}
		r.mu.Unlock()
	}
}
