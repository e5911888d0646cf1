package front_test

import (
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/dedup"
	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/stand/kvmem"
	"chivecroft.example/chivecroft/internal/stand/world"
	"chivecroft.example/chivecroft/internal/state/timer"
)

func newDriver(store *kvmem.Store, self string, incarnation uint64) *dedup.Driver {
	clock := timer.NewSystem()
	random := rand.New(rand.NewPCG(7, incarnation))
	kv := world.NewKV(store, clock, random)
	part := dedup.New(dedup.Settings{Self: self, Incarnation: incarnation}, random)
	return dedup.NewDriver(part, ports.Env{KV: kv, Timer: clock})
}

func (r *rig) do(method, path, body string, header ...string) *http.Response {
	req := httptest.NewRequest(method, path, strings.NewReader(body))
	for i := 0; i+1 < len(header); i += 2 {
		req.Header.Set(header[i], header[i+1])
	}
	w := httptest.NewRecorder()
	r.handler.ServeHTTP(w, req)
	return w.Result()
}

func text(t testing.TB, resp *http.Response) string {
	t.Helper()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return string(body)
}

func TestColdThenWarmChat(t *testing.T) {
	r := newRig(t)
	go func() {
		time.Sleep(50 * time.Millisecond)
		r.rows(1, replicaRow("r1", "menu", 9001))
	}()
	const body = `{"model":"menu","messages":[{"role":"user","content":"hi"}],"max_tokens":2,"seed":5}`
	for range 2 {
		resp := r.do("POST", "/v1/chat/completions", body)
		if resp.StatusCode != http.StatusOK || !strings.Contains(text(t, resp), "menu//hi/5:0 menu//hi/5:1 ") {
			t.Fatalf("status %d", resp.StatusCode)
		}
	}
	if !r.outcomes[0].Cold || r.outcomes[1].Cold || len(r.demands) != 1 {
		t.Errorf("cold %v then %v after %d demands", r.outcomes[0].Cold, r.outcomes[1].Cold, len(r.demands))
	}
}

func TestStreamedChat(t *testing.T) {
	r := newRig(t)
	r.rows(1, replicaRow("r1", "menu", 9001))
	resp := r.do("POST", "/v1/chat/completions", `{"model":"menu","messages":[{"role":"user","content":"hi"}],"max_tokens":1,"seed":5,"stream":true}`)
	created := `"object":"chat.completion.chunk","created":`
	var got []string
	for _, line := range strings.Split(strings.TrimSpace(text(t, resp)), "\n\n") {
		before, after, ok := strings.Cut(line, created)
		if ok {
			_, after, _ = strings.Cut(after, ",")
			line = before + after
		}
		got = append(got, line)
	}
	const head = `data: {"id":"chatcmpl-id-1","model":"menu","choices":[{"index":0,"delta":`
	want := []string{
		head + `{"role":"assistant","content":""},"finish_reason":null}]}`,
		head + `{"content":"menu//hi/5:0 "},"finish_reason":null}]}`,
		head + `{},"finish_reason":"length"}]}`,
		`data: [DONE]`,
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("events (-want +got):\n%s", diff)
	}
}
