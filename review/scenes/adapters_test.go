package scenes

import (
	"fmt"
	"net/http"
	"sync"
	"time"
)

// lateAdapter has a replica leave the load of an adapter unanswered and carry it out late,
// after it has restarted under its id.
func lateAdapter(w *world) (bool, error) {
	const late = 9 * time.Second
	w.configure(
		[]map[string]any{route("ask", "/ask/", "streaming", "llm", map[string]any{
			"sticky": true, "resumable": true, "max_attempts": 2, "target_gap_ms": 300,
		})},
		[]map[string]any{{
			"name": "llm", "health_path": "/health", "max_connections": 370, "protocol": "h1", "tls": false,
			"engine": map[string]any{
				"slots": 64, "kv_capacity_tokens": 128189, "weights_mb": weightsMB, "adapter_slots": adapterSlots,
				"loads_per_s": 4.2, "host_mb": 150000.0, "disk_mb": 1300000.0,
				"models": []map[string]any{{
					"name": "m0", "weights_mb": modelMB, "load_s": storeTime.Seconds(), "disk_s": diskTime.Seconds(),
					"warm_s": 0.6, "adapters": 42, "adapter_mb": adapterMB,
				}},
			},
		}},
	)
	var r *replica
	r, err := w.newReplica("i-7f3a91c2", "llm", zones[0], 64, nil)
	if err != nil {
		return false, err
	}
	r.run = stream(&r, 5, true, 20*time.Millisecond)
	var lost sync.Once
	r.onOrder = func(o order) bool {
		isLost := false
		if w.trouble && o.Operation == "load" && o.Adapter == "a9" {
			lost.Do(func() {
				isLost = true
				time.AfterFunc(late, func() {
					w.rec.add("%s carries out the late order to %s: %d", r.id, o.text(), r.carryOut(o))
				})
				time.AfterFunc(300*time.Millisecond, func() {
					r.crash()
					time.Sleep(2 * time.Second)
					if err := r.restart(); err != nil {
						w.rec.add("restart: %v", err)
					}
				})
			})
		}
		return isLost
	}
	r.hold("m0")
	if err := w.startMachines(2); err != nil {
		return false, err
	}
	// Orders begin once a first holder has them.
	ask := func(adapter string) answer {
		return w.send(w.machines[0], http.MethodPost, "/ask/x", "prompt", map[string]string{
			"Chivecroft-Model": "m0/" + adapter, "Chivecroft-Token-Usage": "400,20",
			"Chivecroft-Prompt-Prefix": "5c1e07a2:100,91bd3f06:50,e4402b7d:250",
		})
	}
	for i := 1; i <= 8; i++ {
		if a := ask(fmt.Sprintf("a%d", i)); a.status != http.StatusOK {
			return false, fmt.Errorf("adapter %d: status %d", i, a.status)
		}
	}
	go ask("a9")
	time.Sleep(1500 * time.Millisecond)
	for end := time.Now().Add(late + 3*time.Second); time.Now().Before(end); time.Sleep(400 * time.Millisecond) {
		for i := 1; i <= 8; i++ {
			go ask(fmt.Sprintf("a%d", i))
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.engine.overfull != "" {
		w.rec.tell("LIMIT: the order to %s exceeded what the replica holds, which crashed", r.engine.overfull)
	}
	return r.engine.overfull != "", nil
}
