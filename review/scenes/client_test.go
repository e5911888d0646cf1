package scenes

import (
	"bytes"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "shop.example"

var lastID atomic.Int64

// answer is what a client got.
type answer struct {
	id     string
	status int
	signed bool
	body   string
	err    error
}

// send sends one request to a machine and returns the answer.
func (w *world) send(m *machine, method, path string, body string, headers map[string]string) answer {
	a := w.exchange(m, method, path, body, headers)
	w.mu.Lock()
	w.answers[a.id] = a
	w.mu.Unlock()
	return a
}

func (w *world) exchange(m *machine, method, path string, body string, headers map[string]string) answer {
	a := answer{id: fmt.Sprintf("%016x", lastID.Add(1))}
	req, err := http.NewRequestWithContext(w.ctx, method, "http://"+m.front()+path, bytes.NewReader([]byte(body)))
	if err != nil {
		a.err = err
		return a
	}
	req.Host = host
	req.Header.Set("Chivecroft-Attempt-Id", a.id)
	req.Header.Set("Chivecroft-Deadline-Ms", strconv.FormatInt((8*time.Second).Milliseconds(), 10))
	for name, value := range headers {
		req.Header.Set(name, value)
	}
	w.mu.Lock()
	w.sent[a.id] = m
	w.mu.Unlock()
	w.rec.add("client sends %s %s %s to %s %v", method, path, a.id, m.name, headers)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		a.err = err
		w.rec.add("client gets nothing for %s: %v", a.id, err)
		return a
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	a.status, a.body, a.err = resp.StatusCode, string(data), err
	a.signed = resp.Header.Get("Chivecroft-Response-Signature") != ""
	w.rec.add("client gets %d for %s, %d bytes, signed %t, error %v", a.status, a.id, len(data), a.signed, err)
	return a
}

// route returns a route of the configuration.
func route(name, prefix, kind, service string, more map[string]any) map[string]any {
	r := map[string]any{
		"name": name, "host": host, "path_prefix": prefix, "kind": kind, "service": service,
		"timeout_ms": 8000, "target_latency_ms": 1000, "priority": 1, "max_attempts": 1,
	}
	for key, value := range more {
		r[key] = value
	}
	return r
}

// configure writes the operator's configuration.
func (w *world) configure(routes []map[string]any, services []map[string]any) {
	w.store.put("op/config", map[string]any{
		"version": 7, "routes": routes, "services": services,
		"limits": map[string]any{
			"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 20000,
		},
	})
}

// plainService returns a plain service of the configuration.
func plainService(name string) map[string]any {
	return map[string]any{"name": name, "health_path": "/health", "max_connections": 110, "protocol": "h1", "tls": false}
}

// startMachines starts machines and waits until they are ready.
func (w *world) startMachines(n int) error {
	for i := range n {
		if _, err := w.addMachine(zones[i%len(zones)], true); err != nil {
			return err
		}
	}
	return w.awaitReady(20 * time.Second)
}

// answerPlainly returns the handler of a plain replica whose work takes a time.
func answerPlainly(r **replica, took time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		(*r).w.rec.add("%s runs %s", (*r).id, req.Header.Get("Chivecroft-Attempt-Id"))
		_, _ = io.Copy(io.Discard, req.Body)
		time.Sleep(took)
		(*r).sign(w)
		fmt.Fprintf(w, "done by %s", (*r).id)
	}
}

// stream returns the handler of a model replica whose streams have a number of events.
func stream(r **replica, events int, resumes bool, gap time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, req *http.Request) {
		(*r).w.rec.add("%s runs %s", (*r).id, req.Header.Get("Chivecroft-Attempt-Id"))
		_, _ = io.Copy(io.Discard, req.Body)
		(*r).sign(w)
		w.Header().Set("Content-Type", "text/event-stream")
		first := 1
		if resumes {
			if last, err := strconv.Atoi(req.Header.Get("Last-Event-Id")); err == nil {
				first = last + 1
			}
		}
		for i := first; i <= events; i++ {
			fmt.Fprintf(w, "id: %d\ndata: piece %d\n\n", i, i)
			_ = http.NewResponseController(w).Flush()
			time.Sleep(gap)
		}
	}
}
