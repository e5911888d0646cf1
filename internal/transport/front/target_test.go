package front_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/stand/target"
	"chivecroft.example/chivecroft/internal/state/timer"
	engines "chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/probe"
)

// startTargets serves a rig before two real engines that hold model "menu".
func startTargets(t *testing.T) (*rig, *httptest.Server, []*target.Server) {
	t.Helper()
	client := engines.New()
	r := newRig(t, func(r *rig) { r.engines = probe.NewEngines(client, timer.NewSystem(), nil) })
	var stands []*target.Server
	for i := range 2 {
		stand := target.New(
			target.WithID(fmt.Sprint("t", i)), target.WithDelays(5*time.Millisecond, 5*time.Millisecond),
			target.WithLoadTime(func(string) time.Duration { return time.Millisecond }), target.WithConcurrency(64),
		)
		at, err := stand.Start(t.Context(), netip.MustParseAddrPort("127.0.0.1:0"))
		if err != nil {
			t.Fatal(err)
		}
		id := fmt.Sprint("r", i)
		stand.Order(ports.Order{Kind: ports.OrderLoad, Epoch: 1, Replica: id, Model: "menu", Checkpoint: "menu", MemoryBytes: 1})
		for stand.Engine().State().Replicas[0].Phase != ports.PhaseReady {
			time.Sleep(time.Millisecond)
		}
		row := replicaRow(id, "menu", at.Port())
		row.Concurrency = 64
		r.rows(uint64(i+1), row)
		stands = append(stands, stand)
	}
	server := httptest.NewServer(r.handler)
	t.Cleanup(func() {
		server.Close()
		client.Close()
		for _, stand := range stands {
			stand.Close()
		}
		r.driver.Stop()
	})
	return r, server, stands
}

// TestRealTargets lets callers at two real engines while one of them fails, and
// compares every answer with what the engine generates for that request.
func TestRealTargets(t *testing.T) {
	table := []struct {
		name string
		fail func(*target.Server)
		// most bounds the longest answer, which takes about 200 ms by itself.
		most time.Duration
	}{
		{"healthy", func(*target.Server) {}, time.Second},
		{"connections fall silent", func(s *target.Server) { s.Freeze() }, 4 * time.Second},
		{"killed", func(s *target.Server) { s.Close() }, 2 * time.Second},
		{"leaves", func(s *target.Server) { s.Leave() }, time.Second},
	}
	for _, c := range table {
		t.Run(c.name, func(t *testing.T) {
			r, server, stands := startTargets(t)
			const callers, each = 4, 10
			var wg sync.WaitGroup
			var mu sync.Mutex
			longest := time.Duration(0)
			for i := range callers {
				wg.Go(func() {
					for j := range each {
						took := askTarget(t, server.URL, fmt.Sprintf("q%d-%d", i, j))
						mu.Lock()
						longest = max(longest, took)
						mu.Unlock()
					}
				})
			}
			time.Sleep(700 * time.Millisecond)
			c.fail(stands[0])
			wg.Wait()
			t.Logf("longest answer %v, %d retries and hedges", longest.Round(time.Millisecond), repeats(r))
			if longest > c.most {
				t.Errorf("an answer took %v", longest)
			}
		})
	}
}

func askTarget(t *testing.T, url, question string) time.Duration {
	req := wire.GenerateRequest{
		Model: "menu", MaxTokens: 30, Seed: 1, Messages: []wire.Message{{Role: "user", Content: question}},
	}
	body := fmt.Sprintf(`{"model":"menu","messages":[{"role":"user","content":%q}],"max_tokens":30,"seed":1}`, question)
	start := time.Now()
	resp, err := http.Post(url+"/v1/chat/completions", "application/json", strings.NewReader(body))
	if err != nil {
		t.Error(err)
		return 0
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Error(err)
	}
	want := strings.Join(target.Answer(req), "")
	if !strings.Contains(string(got), `"content":"`+want+`"`) {
		t.Errorf("%s: status %d: %s, want %q", question, resp.StatusCode, got, want)
	}
	return time.Since(start)
}

func repeats(r *rig) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	sum := 0
	for _, o := range r.outcomes {
		sum += o.Retries + o.Hedges
	}
	return sum
}
