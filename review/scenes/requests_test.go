package scenes

import (
	"bufio"
	"net/http"
	"strings"
	"time"
)

// escapedPath sends a job whose path has an escaped slash within a segment. The only route
// whose prefix begins that path leads to the shop's desk.
func escapedPath(w *world) (bool, error) {
	w.configure([]map[string]any{
		route("shop", "/shop/", "unsafe", "desk", nil), route("admin", "/shop/admin/", "unsafe", "back", nil),
	}, []map[string]any{plainService("desk"), plainService("back")})
	var desk, back *replica
	desk, err := w.newReplica("i-7f3a91c2", "desk", zones[0], 6, nil)
	if err != nil {
		return false, err
	}
	back, err = w.newReplica("i-02d9e6b4", "back", zones[0], 6, nil)
	if err != nil {
		return false, err
	}
	desk.run, back.run = answerPlainly(&desk, 0), answerPlainly(&back, 0)
	if err := w.startMachines(2); err != nil {
		return false, err
	}
	path := "/shop/admin-lid"
	if w.trouble {
		path = "/shop/admin%2Flid"
	}
	start := time.Now()
	a := w.send(w.machines[0], http.MethodPost, path, "order", nil)
	ran := back.arrivedAfter(start)
	for _, r := range ran {
		w.rec.tell("ROUTE: %s was run by the service of /shop/admin/", r.path)
	}
	w.rec.tell("the client of %s got %d: %s", path, a.status, a.body)
	return len(ran) > 0, nil
}

// resumedRequest breaks a client's connection after five events of a stream, on a route whose
// streams cannot be resumed. The client asks once more and names the last event that it has,
// and the replica runs the new request from its beginning.
func resumedRequest(w *world) (bool, error) {
	const events = 12
	w.configure(
		[]map[string]any{route("proof", "/proof/", "streaming", "llm", map[string]any{"resumable": false, "target_gap_ms": 300})},
		[]map[string]any{plainService("llm")},
	)
	var r *replica
	r, err := w.newReplica("i-7f3a91c2", "llm", zones[0], 64, nil)
	if err != nil {
		return false, err
	}
	r.run = stream(&r, events, false, 50*time.Millisecond)
	if err := w.startMachines(2); err != nil {
		return false, err
	}
	headers := map[string]string{}
	if w.trouble {
		last, err := w.breakAfter(w.machines[0], "/proof/x", 5)
		if err != nil {
			return false, err
		}
		headers["Last-Event-Id"] = last
	}
	a := w.send(w.machines[1], http.MethodPost, "/proof/x", "prompt", headers)
	got := strings.Count(a.body, "data: ")
	w.rec.tell("MIXED: the replica's answer to %s had %d events, the client got %d of them as a complete answer with status %d",
		a.id, events, got, a.status)
	return a.status == http.StatusOK && a.signed && a.err == nil && got != events, nil
}

// breakAfter asks for a stream and breaks the connection after a number of events. It returns
// the id of the last one.
func (w *world) breakAfter(m *machine, path string, events int) (string, error) {
	req, err := http.NewRequestWithContext(w.ctx, http.MethodPost, "http://"+m.front()+path, strings.NewReader("prompt"))
	if err != nil {
		return "", err
	}
	req.Host = host
	req.Header.Set("Chivecroft-Attempt-Id", "00000000000000aa")
	req.Header.Set("Chivecroft-Deadline-Ms", "8000")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return "", err
	}
	defer resp.Body.Close()
	last, lines := "", bufio.NewScanner(resp.Body)
	for n := 0; n < events && lines.Scan(); {
		if id, ok := strings.CutPrefix(lines.Text(), "id: "); ok {
			last = id
			n++
		}
	}
	w.rec.add("the connection of the client of 00000000000000aa breaks after event %s", last)
	return last, nil
}
