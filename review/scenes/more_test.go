package scenes

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// restForgotten cuts a replica that wants no requests off from the store for a while.
func restForgotten(w *world) (bool, error) {
	const rest = 20 * time.Second
	w.configure(
		[]map[string]any{route("commit", "/commit/", "unsafe", "desk", nil)}, []map[string]any{plainService("desk")},
	)
	var weak, other *replica
	weak, err := w.newReplica("i-7f3a91c2", "desk", zones[0], 6, nil)
	if err != nil {
		return false, err
	}
	other, err = w.newReplica("i-02d9e6b4", "desk", zones[1], 6, nil)
	if err != nil {
		return false, err
	}
	weak.run, other.run = answerPlainly(&weak, 60*time.Millisecond), answerPlainly(&other, 60*time.Millisecond)
	var mu sync.Mutex
	resting := false
	var told time.Time
	weak.before = func(rw http.ResponseWriter, _ *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		if !resting || !told.IsZero() {
			return false
		}
		told = time.Now()
		rw.Header().Set("Chivecroft-Not-Executed", "1")
		rw.Header().Set("Retry-After", "20")
		rw.WriteHeader(http.StatusServiceUnavailable)
		w.rec.add("%s turns the request away for 20 s", weak.id)
		return true
	}
	if err := w.startMachines(1); err != nil {
		return false, err
	}
	stop := w.press(30*time.Millisecond, "/commit/x")
	time.Sleep(2 * time.Second)
	mu.Lock()
	resting = true
	mu.Unlock()
	time.Sleep(500 * time.Millisecond)
	mu.Lock()
	at := told
	mu.Unlock()
	if w.trouble {
		w.rec.add("%s is cut off from the store", weak.id)
		weak.setSilent(true)
		time.Sleep(3*heartbeat + 200*time.Millisecond)
		w.store.drop("servers/" + weak.id)
		time.Sleep(1200 * time.Millisecond)
		w.rec.add("%s reaches the store again", weak.id)
		weak.setSilent(false)
	}
	time.Sleep(time.Until(at.Add(rest)))
	early := weak.arrivedAfter(at.Add(500 * time.Millisecond))
	stop()
	w.rec.tell("BUDGET: %d requests reached %s within the 20 s for which it wanted none", len(early), weak.id)
	return len(early) > 2, nil
}

// signedRefusal has a replica fail a request that it has run with 503 and its signature.
func signedRefusal(w *world) (bool, error) {
	w.configure(
		[]map[string]any{route("commit", "/commit/", "unsafe", "desk", nil)}, []map[string]any{plainService("desk")},
	)
	var r *replica
	r, err := w.newReplica("i-7f3a91c2", "desk", zones[0], 6, nil)
	if err != nil {
		return false, err
	}
	r.run = func(rw http.ResponseWriter, req *http.Request) {
		w.rec.add("%s runs %s", r.id, req.Header.Get("Chivecroft-Attempt-Id"))
		r.sign(rw)
		if w.trouble {
			rw.WriteHeader(http.StatusServiceUnavailable)
		}
		fmt.Fprint(rw, "the job is committed; its ticket printer does not answer")
	}
	if err := w.startMachines(2); err != nil {
		return false, err
	}
	a := w.send(w.machines[0], http.MethodPost, "/commit/x", "order", nil)
	w.rec.tell("REFUSED: the replica ran the request, the client got %d, signed %t", a.status, a.signed)
	return a.status == http.StatusServiceUnavailable, nil
}
