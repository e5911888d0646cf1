package front_test

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/state/timer"
	"chivecroft.example/chivecroft/internal/transport/front"
)

// shakyKV is one entry's connection to a store, with faults from a seed.
type shakyKV struct {
	store *kvmem.Store

	mu         sync.Mutex
	random     *rand.Rand
	lose, down float64
}

func (k *shakyKV) Call(req ports.KVRequest, done func(ports.KVReply)) {
	k.mu.Lock()
	dice := k.random.Float64()
	lose, down := k.lose, k.down
	k.mu.Unlock()
	time.AfterFunc(4*time.Millisecond, func() {
		switch {
		case dice < down:
			done(ports.KVReply{Status: ports.KVUnavailable})
		case dice < down+lose:
			k.store.Call(req, func(ports.KVReply) {})
			done(ports.KVReply{Status: ports.KVUnknown})
		default:
			k.store.Call(req, done)
		}
	})
}

// ticketDesk is a plain service that counts executions and fails at random.
type ticketDesk struct {
	mu     sync.Mutex
	random *rand.Rand
	// byKey and byRequest count executions, answers are what they answered.
	byKey, byRequest map[string]int
	answers          map[string]string
	unsent, lose     float64
	cut, slow        float64
}

func newTicketDesk(seed uint64) *ticketDesk {
	return &ticketDesk{
		random: rand.New(rand.NewPCG(seed, 5)),
		byKey:  make(map[string]int), byRequest: make(map[string]int), answers: make(map[string]string),
	}
}

func (d *ticketDesk) Send(req *http.Request, _ bool) (*http.Response, error) {
	unsent, lose, cut, slow := d.dice(d.unsent), d.dice(d.lose), d.dice(d.cut), d.dice(d.slow)
	if unsent {
		return nil, &front.CallError{NotRun: true, Err: errors.New("connection refused")}
	}
	if req.Body != nil {
		if _, err := io.Copy(io.Discard, req.Body); err != nil {
			return nil, err
		}
	}
	answer := d.execute(req)
	if slow {
		select {
		case <-time.After(3 * time.Second):
		case <-req.Context().Done():
			return nil, req.Context().Err()
		}
	}
	if lose {
		return nil, errors.New("connection reset")
	}
	var body io.Reader = strings.NewReader(answer)
	if cut {
		body = io.MultiReader(strings.NewReader(answer[:3]), failingReader{})
	}
	return &http.Response{StatusCode: http.StatusCreated, Header: http.Header{"X-Desk": {"1"}}, Body: io.NopCloser(body)}, nil
}

func (d *ticketDesk) dice(share float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.random.Float64() < share
}

func (d *ticketDesk) execute(req *http.Request) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := req.Header.Get("X-Request-Id")
	d.byRequest[id]++
	key := req.Header.Get("Idempotency-Key")
	if key == "" {
		return "answer to " + req.URL.Path
	}
	d.byKey[key]++
	d.answers[key] = fmt.Sprintf("ticket %s for request %s", key, id)
	return d.answers[key]
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, errors.New("connection reset") }

// TestTicketsOnce lets callers repeat ticket issues at two entries, whose KV
// service and back ends fail, and counts executions.
func TestTicketsOnce(t *testing.T) {
	table := map[string]func(*ticketDesk, *shakyKV){
		"none":      func(*ticketDesk, *shakyKV) {},
		"unsent":    func(d *ticketDesk, _ *shakyKV) { d.unsent = 0.4 },
		"lost":      func(d *ticketDesk, _ *shakyKV) { d.lose = 0.3 },
		"cut":       func(d *ticketDesk, _ *shakyKV) { d.cut = 0.3 },
		"slow":      func(d *ticketDesk, _ *shakyKV) { d.slow = 0.3 },
		"kv lost":   func(_ *ticketDesk, k *shakyKV) { k.lose = 0.4 },
		"kv outage": func(_ *ticketDesk, k *shakyKV) { k.down = 0.5 },
		"all": func(d *ticketDesk, k *shakyKV) {
			d.unsent, d.lose, d.cut, d.slow, k.lose, k.down = 0.1, 0.1, 0.1, 0.1, 0.2, 0.1
		},
	}
	for name, set := range table {
		for seed := range uint64(3) {
			t.Run(fmt.Sprintf("%s/%d", name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) { runTickets(t, seed, set) })
			})
		}
	}
}

func runTickets(t *testing.T, seed uint64, set func(*ticketDesk, *shakyKV)) {
	desk := newTicketDesk(seed)
	store := kvmem.NewStore(timer.NewSystem())
	var entries []*rig
	for i := range 2 {
		kv := &shakyKV{store: store, random: rand.New(rand.NewPCG(seed, uint64(i)))}
		set(desk, kv)
		r := newRig(t, func(r *rig) {
			r.driver.Stop()
			part := dedup.New(dedup.Settings{Self: fmt.Sprintf("e%d", i), Incarnation: 1, WritesPerSecond: 1000},
				rand.New(rand.NewPCG(seed, uint64(20+i))))
			r.driver = dedup.NewDriver(part, ports.Env{KV: kv, Timer: timer.NewSystem()})
			r.services = desk
		})
		defer r.driver.Stop()
		r.table.ApplyInstances([]ports.Instance{
			{ID: "d1", Kind: ports.InstanceService, Service: "tickets", Zone: "bul-a", Region: "bulacan"},
			{ID: "d2", Kind: ports.InstanceService, Service: "tickets", Zone: "bul-a", Region: "bulacan"},
		})
		entries = append(entries, r)
	}
	random := rand.New(rand.NewPCG(seed, 11))
	var wg sync.WaitGroup
	for i := range 120 {
		call := ticketCall{id: fmt.Sprintf("request-%d", i), key: fmt.Sprintf("key-%d", random.IntN(30))}
		if random.IntN(4) == 0 {
			call.key = ""
		}
		entry := entries[random.IntN(2)]
		within := time.Duration(500+random.IntN(8000)) * time.Millisecond
		wg.Add(1)
		go func() {
			defer wg.Done()
			call.run(t, entry, desk, within)
		}()
		time.Sleep(time.Duration(random.IntN(60)) * time.Millisecond)
	}
	wg.Wait()
	time.Sleep(10 * time.Second)
	for key, n := range desk.byKey {
		if n > 1 {
			t.Errorf("%s ran %d times", key, n)
		}
	}
}

// ticketCall is one caller's request: a ticket issue, or a lookup without a key.
type ticketCall struct{ id, key string }

func (c ticketCall) run(t *testing.T, r *rig, desk *ticketDesk, within time.Duration) {
	method, path, body := "GET", "/services/tickets/orders/"+c.id, ""
	if c.key != "" {
		method, path, body = "POST", "/services/tickets/issue", "seat for "+c.key
	}
	req := httptest.NewRequestWithContext(context.Background(), method, path, strings.NewReader(body))
	req.Header.Set("X-Request-Id", c.id)
	req.Header.Set("X-Deadline", within.String())
	if c.key != "" {
		req.Header.Set("Idempotency-Key", c.key)
	}
	w := httptest.NewRecorder()
	start := time.Now()
	aborted := serveAborting(r.handler, w, req)
	if took := time.Since(start); took >= within {
		t.Errorf("%s took %v of %v", c.id, took, within)
	}
	if wrong := c.verify(w, aborted, desk); wrong != "" {
		t.Errorf("%s with %q: %s", c.id, c.key, wrong)
	}
}

// serveAborting tells whether the handler cut the connection.
func serveAborting(h http.Handler, w http.ResponseWriter, req *http.Request) (aborted bool) {
	defer func() {
		if p := recover(); p != nil {
			if err, ok := p.(error); !ok || !errors.Is(err, http.ErrAbortHandler) {
				panic(p)
			}
			aborted = true
		}
	}()
	h.ServeHTTP(w, req)
	return false
}

func (c ticketCall) verify(w *httptest.ResponseRecorder, aborted bool, desk *ticketDesk) string {
	desk.mu.Lock()
	defer desk.mu.Unlock()
	if aborted {
		return ""
	}
	if w.Header().Get("Content-Type") == "application/problem+json" {
		var p front.Problem
		if err := json.Unmarshal(w.Body.Bytes(), &p); err != nil {
			return err.Error()
		}
		if p.NotRun && desk.byRequest[c.id] > 0 {
			return fmt.Sprintf("%s says notRun after %d executions", p.Reason, desk.byRequest[c.id])
		}
		return ""
	}
	want := "answer to /orders/" + c.id
	if c.key != "" {
		want = desk.answers[c.key]
	}
	if got := w.Body.String(); got != want {
		return fmt.Sprintf("got %q, want %q", got, want)
	}
	return ""
}
