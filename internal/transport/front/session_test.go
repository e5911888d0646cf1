package front_test

import (
	"crypto/sha256"
	"encoding/hex"
	"flag"
	"fmt"
	"maps"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/config"
	"chivecroft.example/chivecroft/internal/transport/front"
)

var update = flag.Bool("update", false, "write the golden files anew")

// step is one request of a session, or something that happens in between.
type step struct {
	do      func(*rig, *ticketDesk)
	request string
	headers []string
	body    string
}

func ask(request, body string, headers ...string) step {
	return step{request: request, body: body, headers: headers}
}

func then(do func(*rig, *ticketDesk)) step { return step{do: do} }

const (
	chatPath = "POST /v1/chat/completions"
	chatForm = `{"model":%q,"messages":[{"role":"user","content":"menu?"}],"max_tokens":2,"seed":1%s}`
)

func chatBody(model, more string) string { return fmt.Sprintf(chatForm, model, more) }

func sessions() map[string][]step {
	warm := then(func(r *rig, _ *ticketDesk) {
		r.rows(1, replicaRow("r1", "menu", 9001))
	})
	key := func(k string) []string { return []string{"Idempotency-Key", k} }
	return map[string][]step{
		"chat": {
			warm,
			ask("GET /v1/models", ""),
			ask(chatPath, chatBody("menu", "")),
			ask(chatPath, chatBody("menu", `,"stream":true`), "X-Request-Id", "seat-17"),
			then(func(r *rig, _ *ticketDesk) {
				row := replicaRow("r1", "menu", 9001)
				row.Adapters = []string{"river"}
				r.rows(2, row)
			}),
			ask(chatPath, chatBody("menu:river", "")),
			ask(chatPath, chatBody("river", "")),
		},
		"chat-refusals": {
			warm,
			ask("GET /v1/chat/completions", ""),
			ask("GET /v1/nothing", ""),
			ask(chatPath, `{"model":`),
			ask(chatPath, `{"messages":[{"role":"user","content":"x"}]}`),
			ask(chatPath, `{"model":"menu","messages":[]}`),
			ask(chatPath, `{"model":"menu","messages":[{"role":"user","content":"x"}],"max_tokens":0}`),
			ask(chatPath, chatBody("soup", "")),
			ask(chatPath, chatBody("menu:silver", "")),
			ask(chatPath, chatBody("menu:gold", "")),
			ask(chatPath, chatBody("menu", ""), "X-Deadline", "soon"),
			ask(chatPath, chatBody("menu", ""), "X-Deadline", "-1s"),
			ask(chatPath, chatBody("menu", ""), "X-Deadline", "1999-12-31T23:00:00Z"),
			ask(chatPath, chatBody("proof", ""), "X-Deadline", "3s"),
			then(func(r *rig, _ *ticketDesk) {
				r.engine.fault = func(_ netip.AddrPort, _ wire.GenerateRequest, index int) error {
					return failAt(1, &front.CallError{Reason: "reset"})(index)
				}
			}),
			ask(chatPath, chatBody("menu", ""), "X-Deadline", "3s"),
			ask(chatPath, chatBody("menu", `,"stream":true`), "X-Deadline", "3s"),
			then(func(r *rig, _ *ticketDesk) { r.handler.Drain() }),
			ask(chatPath, chatBody("menu", "")),
		},
		"services": {
			ask("GET /services/tickets/orders/17?full=1", ""),
			ask("PUT /services/tickets/notes/a%2Fb", "late"),
			ask("GET /services/kitchen/orders", ""),
			ask("GET /services/assist/orders", ""),
			ask("GET /services/tickets/x/../issue", ""),
			then(func(_ *rig, d *ticketDesk) { d.unsent = 1 }),
			ask("PUT /services/tickets/notes/17", "late"),
			then(func(_ *rig, d *ticketDesk) { d.unsent, d.lose = 0, 1 }),
			ask("PUT /services/tickets/notes/17", "late"),
			then(func(r *rig, d *ticketDesk) {
				d.lose = 0
				r.table.ApplyInstances(nil)
			}),
			ask("GET /services/tickets/orders/17", ""),
		},
		"run-once": {
			ask("POST /services/tickets/issue", "seat 1"),
			ask("POST /services/tickets/issue", "seat 1", "Idempotency-Key", "two words"),
			ask("POST /services/tickets/issue", "seat 1", key("k1")...),
			ask("POST /services/tickets/issue", "seat 1", key("k1")...),
			ask("POST /services/tickets/issue", "seat 2", key("k1")...),
			then(func(_ *rig, d *ticketDesk) { d.unsent = 1 }),
			ask("POST /services/tickets/issue", "seat 3", key("k3")...),
			then(func(_ *rig, d *ticketDesk) { d.unsent = 0 }),
			ask("POST /services/tickets/issue", "seat 3", key("k3")...),
			then(func(_ *rig, d *ticketDesk) { d.lose = 1 }),
			ask("POST /services/tickets/issue", "seat 4", key("k4")...),
			then(func(_ *rig, d *ticketDesk) { d.lose = 0 }),
			ask("POST /services/tickets/issue", "seat 4", key("k4")...),
			then(func(r *rig, _ *ticketDesk) { r.driver.Stop() }),
			ask("POST /services/tickets/issue", "seat 5", append(key("k5"), "X-Deadline", "2s")...),
		},
		"tenants": {
			warm,
			then(func(r *rig, _ *ticketDesk) {
				sum := sha256.Sum256([]byte("secret"))
				r.config.Tenants = map[string]config.Tenant{
					"vendors": {KeyHashes: []string{hex.EncodeToString(sum[:])}, RequestsPerSecond: 1},
					"clerks":  {Concurrency: 1},
				}
				next := *r.config
				r.config = &next
			}),
			ask(chatPath, chatBody("menu", "")),
			ask(chatPath, chatBody("menu", ""), "Authorization", "Bearer wrong"),
			ask(chatPath, chatBody("menu", ""), "X-Tenant", "vendors"),
			ask(chatPath, chatBody("menu", ""), "X-Tenant", "clerks"),
			ask(chatPath, chatBody("menu", ""), "Authorization", "Bearer secret"),
			ask(chatPath, chatBody("menu", ""), "Authorization", "Bearer secret"),
		},
	}
}

// TestSessions compares whole sessions of callers with golden files.
func TestSessions(t *testing.T) {
	for name, steps := range sessions() {
		t.Run(name, func(t *testing.T) {
			var got string
			synctest.Test(t, func(t *testing.T) { got = play(t, steps) })
			file := filepath.Join("testdata", name+".golden")
			if *update {
				if err := os.WriteFile(file, []byte(got), 0o644); err != nil {
					t.Fatal(err)
				}
			}
			want, err := os.ReadFile(file)
			if err != nil {
				t.Fatal(err)
			}
			if diff := cmp.Diff(string(want), got); diff != "" {
				t.Errorf("session (-want +got):\n%s", diff)
			}
		})
	}
}

func play(t *testing.T, steps []step) string {
	desk := newTicketDesk(1)
	r := newRig(t, func(r *rig) {
		r.services = desk
		r.demand = nil
	})
	defer r.driver.Stop()
	r.table.ApplyInstances([]ports.Instance{
		{ID: "d1", Kind: ports.InstanceService, Service: "tickets", Zone: "bul-a", Region: "bulacan"},
	})
	var out strings.Builder
	for _, s := range steps {
		if s.do != nil {
			s.do(r, desk)
			continue
		}
		start := time.Now()
		s.transcribe(&out, r)
		fmt.Fprintf(&out, "\n(after %v; %s)\n\n", time.Since(start), summary(r))
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(time.Minute)
	return out.String()
}

func (s step) transcribe(out *strings.Builder, r *rig) {
	method, path, _ := strings.Cut(s.request, " ")
	req := httptest.NewRequest(method, path, strings.NewReader(s.body))
	fmt.Fprintf(out, "> %s\n", s.request)
	for i := 0; i+1 < len(s.headers); i += 2 {
		req.Header.Set(s.headers[i], s.headers[i+1])
		fmt.Fprintf(out, "> %s: %s\n", s.headers[i], s.headers[i+1])
	}
	if s.body != "" {
		fmt.Fprintf(out, "%s\n", s.body)
	}
	w := httptest.NewRecorder()
	aborted := serveAborting(r.handler, w, req)
	fmt.Fprintf(out, "< %d %s\n", w.Code, http.StatusText(w.Code))
	for _, name := range slices.Sorted(maps.Keys(w.Header())) {
		fmt.Fprintf(out, "< %s: %s\n", name, strings.Join(w.Header()[name], ", "))
	}
	fmt.Fprintf(out, "%s", strings.TrimRight(w.Body.String(), "\n"))
	if aborted {
		fmt.Fprint(out, "\n(connection cut)")
	}
}

// summary is what the day page hears of the latest request.
func summary(r *rig) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	o := r.outcomes[len(r.outcomes)-1]
	text := fmt.Sprintf("%s tenant=%q class=%q", o.Status, o.Tenant, o.Class)
	if o.Reason != "" {
		text += fmt.Sprintf(" reason=%s notRun=%v", o.Reason, o.NotRun)
	}
	if o.Claim != "" {
		text += " claim=" + o.Claim
	}
	if o.Retries > 0 {
		text += fmt.Sprint(" retries=", o.Retries)
	}
	return text
}
