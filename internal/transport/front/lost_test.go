package front_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"chivecroft.example/chivecroft/internal/protocol/wire"
	"chivecroft.example/chivecroft/internal/state/timer"
	engines "chivecroft.example/chivecroft/internal/transport/engine"
	"chivecroft.example/chivecroft/internal/transport/probe"
)

// firstSends fails the first send of each request in the given way.
func firstSends(err error) func(netip.AddrPort, wire.GenerateRequest, int) error {
	var mu sync.Mutex
	seen := make(map[string]bool)
	return func(_ netip.AddrPort, req wire.GenerateRequest, index int) error {
		mu.Lock()
		defer mu.Unlock()
		if index >= 0 || seen[req.RequestID] {
			return nil
		}
		seen[req.RequestID] = true
		return err
	}
}

// ask sends chats of ten tokens at a time and returns how many were whole.
func (r *rig) ask(t *testing.T, chats int, within string) int {
	var work sync.WaitGroup
	var mu sync.Mutex
	whole := 0
	for range chats {
		work.Add(1)
		go func() {
			defer work.Done()
			resp := r.do(http.MethodPost, "/v1/chat/completions", tenTokens, "X-Deadline", within)
			body := text(t, resp)
			mu.Lock()
			defer mu.Unlock()
			if resp.StatusCode == http.StatusOK && strings.Contains(body, wantTen()) {
				whole++
			}
		}()
	}
	work.Wait()
	return whole
}

// TestLostConnections silences the kept connections of all calls that a tenant
// without savings has in flight, as many as the only replica has places and
// more: the calls go on over connections opened for them.
func TestLostConnections(t *testing.T) {
	for _, chats := range []int{8, 40} {
		t.Run(fmt.Sprint(chats), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				r := newRig(t, func(r *rig) {
					r.engine.kept = true
					r.engine.fault = firstSends(errSilent)
				})
				defer r.driver.Stop()
				row := replicaRow("r1", "menu", 9001)
				row.Concurrency = chats
				r.rows(1, row)
				start := time.Now()
				if whole := r.ask(t, chats, "10s"); whole != chats {
					t.Errorf("%d of %d chats whole after %v and %d sends", whole, chats, time.Since(start), len(r.engine.sends()))
				}
				time.Sleep(20 * time.Second)
			})
		})
	}
}

// mute is an engine that answers everything whole until it takes no request any
// more, though it still shows signs of life.
type mute struct {
	silent atomic.Bool
	asked  atomic.Int64
}

// ServeHTTP answers as an engine does.
func (m *mute) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path != wire.PathGenerate {
		return
	}
	var req wire.GenerateRequest
	if err := json.NewDecoder(r.Body).Decode(&req); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	m.asked.Add(1)
	if m.silent.Load() {
		<-r.Context().Done()
		return
	}
	// All are in flight together, so that as many connections are kept.
	time.Sleep(200 * time.Millisecond)
	out := json.NewEncoder(w)
	for i := range req.MaxTokens {
		_ = out.Encode(wire.Chunk{RequestID: req.RequestID, Index: i, Text: token(req, i)})
	}
	_ = out.Encode(wire.Chunk{RequestID: req.RequestID, Done: true, Tokens: req.MaxTokens, Reason: wire.FinishLength})
}

// TestMuteTarget counts what a target is sent that keeps its connections open
// and takes no request: a tenth more than its callers ask, and once more for each
// connection that was kept before.
func TestMuteTarget(t *testing.T) {
	t.Parallel()
	m := &mute{}
	server := httptest.NewServer(m)
	defer server.Close()
	client := engines.New()
	defer client.Close()
	r := newRig(t, func(r *rig) { r.engines = probe.NewEngines(client, timer.NewSystem(), nil) })
	defer r.driver.Stop()
	row := replicaRow("r1", "menu", netip.MustParseAddrPort(server.Listener.Addr().String()).Port())
	row.Concurrency = 1000
	r.rows(1, row)
	const kept, waves, chats = 40, 3, 100
	if whole := r.ask(t, kept, "5s"); whole != kept {
		t.Fatalf("%d of %d chats whole before", whole, kept)
	}
	m.asked.Store(0)
	m.silent.Store(true)
	began := time.Now()
	for range waves {
		if whole := r.ask(t, chats, "3s"); whole != 0 {
			t.Errorf("%d chats whole at a mute target", whole)
		}
	}
	// A tenant may hedge ten times beyond its tenth, and once more a second.
	hedges := 11 + int(time.Since(began)/time.Second)
	most := waves*chats*11/10 + kept/10 + kept + hedges
	t.Logf("%d sends for %d chats after %d connections were kept", m.asked.Load(), waves*chats, kept)
	if got := int(m.asked.Load()); got > most {
		t.Errorf("%d sends for %d chats, want at most %d", got, waves*chats, most)
	}
}

// TestResumeBudget cuts every answer after two tokens: the targets see a tenth
// extra, and what a model may be gone on with at once.
func TestResumeBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, func(r *rig) {
			r.engine.fault = func(_ netip.AddrPort, req wire.GenerateRequest, index int) error {
				if index == req.Offset+2 {
					return errors.New("reset")
				}
				return nil
			}
		})
		defer r.driver.Stop()
		for i := range 8 {
			r.rows(uint64(i+1), replicaRow(fmt.Sprintf("r%d", i), "menu", uint16(9000+i)))
		}
		const requests = 2000
		for range requests {
			r.do(http.MethodPost, "/v1/chat/completions", tenTokens)
		}
		sends := len(r.engine.sends())
		t.Logf("%d sends for %d requests", sends, requests)
		if most := requests*11/10 + 1 + 100; sends > most {
			t.Errorf("%d sends for %d requests that were all cut, want at most %d", sends, requests, most)
		}
	})
}
