package main

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/demo"
)

// silenceBound is how soon new work has to go on after open connections went
// silent: less than a caller of the workloads waits for an answer.
const silenceBound = 10 * time.Second

// freeze silences the connections that a stand-in has open, but for the one
// over which it is told to.
func (s *system) freeze(url string) {
	s.t.Helper()
	if status, text := s.request(http.MethodPost, url+"/faults", `{"freeze":true}`, nil); status != http.StatusOK {
		s.t.Fatalf("freeze %s: %d %s", url, status, text)
	}
}

// goesOn makes a round of calls, each within silenceBound, at several callers
// at once; every one has to be served whole and right.
func (s *system) goesOn(t *testing.T, id, phase string) {
	t.Helper()
	const callers = 16
	var work sync.WaitGroup
	for n := range callers {
		work.Add(1)
		go func() {
			defer work.Done()
			name := fmt.Sprintf("%s-%d", phase, n)
			caller := bench.NewCaller(s.callers[id], demo.CallerKey, http.DefaultClient)
			chat := bench.Chat{Model: "menu-7b", Content: name, Seed: 7, Tokens: 40, Deadline: silenceBound}
			if a := caller.Chat(t.Context(), chat); a.Verdict != bench.Served {
				t.Errorf("%s: chat: %s %s after %v", name, a.Verdict, a.Reason, a.Took)
			}
			call := bench.Call{Service: "ticket-desk", Method: http.MethodPost, Path: "/tickets", Body: name, Key: name, Deadline: silenceBound}
			if a := caller.Call(t.Context(), call); a.Verdict != bench.Served {
				t.Errorf("%s: ticket: %s %s after %v", name, a.Verdict, a.Reason, a.Took)
			}
		}()
	}
	work.Wait()
	for n := range callers {
		name := fmt.Sprintf("%s-%d", phase, n)
		if runs := s.executions()[name]; runs != 1 {
			t.Errorf("%s ran %d times, want once", name, runs)
		}
	}
}

// TestSilentConnections freezes the connections that stand open to the
// platform, to a target and to a service, one kind after the other.
func TestSilentConnections(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan")
	s.startService("bul-a-s1", "bul-a", "bulacan")
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	// With one replica alone, its silent connections take all of its places.
	single := strings.Replace(patch, `"maxReplicas": 2`, `"maxReplicas": 1`, 1)
	if code, out := s.command("bul-a-e1", single, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1")
	s.goesOn(t, "bul-a-e1", "before")
	for _, frozen := range []struct{ name, url string }{
		{"platform", s.platform},
		{"target", s.targets["bul-a-t1"].ready["url"].(string)},
		{"service", s.services["bul-a-s1"].ready["url"].(string)},
	} {
		s.freeze(frozen.url)
		s.goesOn(t, "bul-a-e1", frozen.name)
		s.goesOn(t, "bul-a-e1", "after-"+frozen.name)
	}
	s.checkReplicas(1)
}

// TestSilentPeers makes every open connection between two entries silent. The
// entry that owns no shard has to bring a model back from idle, which takes a
// demand to the owner and its news back, and both have to take up a patch.
func TestSilentPeers(t *testing.T) {
	t.Parallel()
	s := newNetworked(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan")
	s.startService("bul-a-s1", "bul-a", "bulacan")
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	s.startEntry("bul-a-e2", "bul-a", "bulacan")
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1", "bul-a-e2")
	toEntries := func(_, to end) bool { return s.entries[to.id] != nil }
	silenced := s.net.silence(toEntries)
	if silenced == 0 {
		t.Fatal("no connection between the entries was open")
	}
	began := time.Now()
	s.goesOn(t, "bul-a-e1", "cold-e1")
	s.goesOn(t, "bul-a-e2", "cold-e2")
	t.Logf("%d connections silent, both entries served after %v", silenced, time.Since(began))
	s.net.silence(toEntries)
	next := strings.NewReplacer("test-1", "test-2", `"base": 0`, `"base": 1`, "500ms", "400ms").Replace(patch)
	if code, out := s.command("bul-a-e2", next, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(2, "bul-a-e1", "bul-a-e2")
	s.checkReplicas(2)
}
