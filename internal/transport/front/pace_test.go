package front_test

import (
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/link"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/coordination/queue"
	"chivecroft.example/chivecroft/internal/coordination/route"
)

// linkRate is what the entry of these tests may send a second in each direction.
const linkRate = 200_000

// farRig serves a rig whose only instance of "tickets" and only replica of
// "menu" stand in another region.
func farRig(t *testing.T) (*rig, *httptest.Server) {
	t.Helper()
	r, server, _ := serveRig(t, func(r *rig) {
		r.link = link.New(link.Settings{BitsPerSecond: 2 * 8 * linkRate, Share: 1}, r.clock)
		r.table = route.NewTable("bul-a", "bulacan", r.clock, 1, route.WithLinkGate(r.link))
		r.queues = queue.New(r.table, queue.DemandFunc(r.askFor), r.clock)
		r.table.OnChange(r.queues.Process)
		r.link.OnOpen(r.table.LinkOpened)
	})
	near, _ := r.table.Pick(route.Query{Key: route.ServiceKey("tickets")}, r.clock.Now())
	near.Release(r.clock.Now(), route.Result{})
	r.table.ApplyInstances([]ports.Instance{{
		ID: "d1", Kind: ports.InstanceService, Service: "tickets", Zone: "pam-a", Region: "pampanga", Addr: near.Replica.Addr,
	}})
	far := replicaRow("r1", "menu", 9001)
	far.Zone, far.Region = "pam-a", "pampanga"
	r.rows(2, far)
	return r, server
}

// TestBodiesAreSlowed: large bodies take the time that their share of the link
// allows, are not held in memory meanwhile, and chats go before them.
func TestBodiesAreSlowed(t *testing.T) {
	const size, senders, growth = 500_000, 3, 8 << 20
	_, server := farRig(t)
	peak := watchHeap(t)
	began := time.Now()
	ended := make(chan time.Duration, senders)
	for range senders {
		go func() {
			resp, err := http.Post(server.URL+"/services/tickets/upload", "text/plain", io.LimitReader(bulk{}, size))
			if err != nil {
				t.Error(err)
				ended <- 0
				return
			}
			defer resp.Body.Close()
			if n, err := io.Copy(io.Discard, resp.Body); err != nil || n < size {
				t.Errorf("%d bytes came back: %v", n, err)
			}
			ended <- time.Since(began)
		}()
	}
	time.Sleep(time.Second)
	var slowest time.Duration
	for range 20 {
		asked := time.Now()
		body := `{"model":"menu","messages":[{"role":"user","content":"hi"}],"max_tokens":2,"seed":5}`
		resp, err := http.Post(server.URL+"/v1/chat/completions", "application/json", strings.NewReader(body))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			t.Errorf("chat: status %d, %v", resp.StatusCode, err)
		}
		resp.Body.Close()
		slowest = max(slowest, time.Since(asked))
		time.Sleep(50 * time.Millisecond)
	}
	if slowest > 500*time.Millisecond {
		t.Errorf("a chat took %v beside large bodies", slowest)
	}
	var last time.Duration
	for range senders {
		last = max(last, <-ended)
	}
	// A second's worth may have been saved up.
	least := time.Duration(float64(senders*size-linkRate)/linkRate*float64(time.Second)) - time.Second
	grown := peak()
	t.Logf("%d bodies of %d B each way in %v, the slowest chat took %v, %d KB more in memory", senders, size, last, slowest, grown>>10)
	if last < least {
		t.Errorf("the bodies crossed in %v, their share of the link allows %v", last, least)
	}
	if grown > growth {
		t.Errorf("%d bytes were held", grown)
	}
}

// TestUsedUpLink: while the link is used up, a request for another region waits
// and is served once it is open again; one whose deadline comes before that is
// refused at once, truly, and hears when to come back.
func TestUsedUpLink(t *testing.T) {
	r, server := farRig(t)
	ask := func(deadline string) (int, http.Header, string) {
		req, err := http.NewRequestWithContext(t.Context(), http.MethodGet, server.URL+"/services/tickets/seats", nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("X-Deadline", deadline)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		return resp.StatusCode, resp.Header, text(t, resp)
	}
	r.link.Charge(link.Out, 2*linkRate)
	began := time.Now()
	status, header, answer := ask("300ms")
	if took := time.Since(began); took > 150*time.Millisecond {
		t.Errorf("refused after %v, though it was known at once", took)
	}
	var problem struct{ NotRun bool }
	if err := json.Unmarshal([]byte(answer), &problem); err != nil || !problem.NotRun || header.Get("Retry-After") == "" {
		t.Errorf("status %d, Retry-After %q, %v: %s", status, header.Get("Retry-After"), err, answer)
	}
	began = time.Now()
	if status, _, answer := ask("10s"); status != http.StatusOK {
		t.Errorf("status %d: %s", status, answer)
	}
	if waited := time.Since(began); waited < 300*time.Millisecond || waited > 3*time.Second {
		t.Errorf("served after %v, the link was open again after about 0.7 s", waited)
	}
}
