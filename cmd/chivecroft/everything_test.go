package main

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/bench"
	"chivecroft.example/chivecroft/internal/demo"
)

// Deadlines of the calls of TestEverythingAtOnce.
const (
	urgentDeadline     = 8 * time.Second
	deferrableDeadline = 15 * time.Second
)

// deferrableKey is the API key of a tenant whose work can wait.
const deferrableKey = "engravers-key"

// everything is the patch that adds calls of every class.
var everything = fmt.Sprintf(`{
  "id": "test-2", "base": 1,
  "set": {
    "services": {"ticket-desk": {"kind": "plain", "class": "lookup", "deadline": "10s", "routes": [
      {"method": "POST", "prefix": "/tickets", "class": "runOnce"},
      {"method": "POST", "prefix": "/notes", "class": "interactive"}
    ]}},
    "tenants": {"engravers": {"keyHashes": [%q], "class": "deferrable"}}
  }
}`, demo.KeyHash(deferrableKey))

// sent is one request and how it ended.
type sent struct {
	kind, name, entry string
	// repeat tells that another request with the same key was answered before.
	repeat       bool
	began, ended time.Time
	answer       bench.Answer
}

// trouble is a time in which an entry is dead or stands still, or, with an empty
// entry, in which the KV service is out.
type trouble struct {
	entry        string
	began, ended time.Time
}

// overlaps tells whether a request was under way in it, or had to do with what it
// left behind: membership takes a while to notice a death.
func (x trouble) overlaps(r sent, after time.Duration) bool {
	return r.began.Before(x.ended.Add(after)) && r.ended.After(x.began)
}

// traffic is a steady load of every class of calls.
type traffic struct {
	s      *system
	ids    []string
	client *http.Client
	stop   atomic.Bool
	work   sync.WaitGroup

	mu       sync.Mutex
	requests []sent
	troubles []trouble
	// flying is the number of requests under way at each entry.
	flying map[string]int
}

func newTraffic(s *system, ids []string) *traffic {
	// A kept connection that its entry closes just when a call uses it would be the
	// callers' trouble.
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	return &traffic{s: s, ids: ids, client: client, flying: make(map[string]int)}
}

// start begins the load of several callers.
func (l *traffic) start(callers int) {
	for c := range callers {
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			for n := 0; !l.stop.Load(); n++ {
				l.round(c, n)
				time.Sleep(30 * time.Millisecond)
			}
		}()
	}
}

// ready returns an entry that says that it is ready, as the balancer does, other
// than the given one if there is any.
func (l *traffic) ready(n int, but string) string {
	for i := range l.ids {
		id := l.ids[(n+i)%len(l.ids)]
		if id != but && l.isReady(id) {
			return id
		}
	}
	return l.ids[n%len(l.ids)]
}

func (l *traffic) isReady(id string) bool {
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url(id)+"/readyz", nil)
	if err != nil {
		return false
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func (l *traffic) url(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.s.callers[id]
}

// restart starts an entry at its earlier addresses.
func (l *traffic) restart(id string) {
	regions := map[string]string{"bul-a": "bulacan", "pam-a": "pampanga"}
	l.mu.Lock()
	l.s.startEntry(id, id[:5], regions[id[:5]])
	l.mu.Unlock()
}

// during makes trouble and notes its time; at an entry it begins while requests
// are under way there.
func (l *traffic) during(entry string, work func()) {
	for entry != "" && l.count(entry, 0) == 0 {
		time.Sleep(time.Millisecond)
	}
	x := trouble{entry: entry, began: time.Now()}
	work()
	x.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.troubles = append(l.troubles, x)
}

// count changes the number of requests under way at an entry and returns it.
func (l *traffic) count(entry string, by int) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.flying[entry] += by
	return l.flying[entry]
}

func (l *traffic) send(r sent, key string, call func(*bench.Caller) bench.Answer) sent {
	caller := bench.NewCaller(l.url(r.entry), key, l.client)
	r.began = time.Now()
	l.count(r.entry, 1)
	r.answer = call(caller)
	l.count(r.entry, -1)
	r.ended = time.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.requests = append(l.requests, r)
	return r
}

// round makes a call of each kind that is not run once, or a run-once call and its
// repeat at another entry: those wait while the KV service is out.
func (l *traffic) round(c, n int) {
	name := func(kind string) string { return fmt.Sprintf("%s-%d-%d", kind, c, n) }
	if c%2 == 0 {
		first := l.call("ticket", name("ticket"), http.MethodPost, "/tickets", l.ready(c+n, ""), false)
		l.call("ticket", name("ticket"), http.MethodPost, "/tickets", l.ready(c+n+1, first.entry), true)
		return
	}
	l.chat("chat", name("chat"), l.ready(c+n, ""), demo.CallerKey, urgentDeadline)
	l.chat("draft", name("draft"), l.ready(c+n, ""), deferrableKey, deferrableDeadline)
	l.call("lookup", name("lookup"), http.MethodGet, "/seats", l.ready(c+n, ""), false)
	l.call("note", name("note"), http.MethodPost, "/notes", l.ready(c+n, ""), false)
}

func (l *traffic) chat(kind, name, entry, key string, deadline time.Duration) {
	l.send(sent{kind: kind, name: name, entry: entry}, key, func(c *bench.Caller) bench.Answer {
		return c.Chat(context.Background(), bench.Chat{Model: "menu-7b", Content: name, Seed: 7, Tokens: 20, Deadline: deadline})
	})
}

func (l *traffic) call(kind, name, method, path, entry string, repeat bool) sent {
	body := name
	if method == http.MethodGet {
		body = ""
	}
	return l.send(sent{kind: kind, name: name, entry: entry, repeat: repeat}, demo.CallerKey, func(c *bench.Caller) bench.Answer {
		return c.Call(context.Background(), bench.Call{
			Service: "ticket-desk", Method: method, Path: path, Body: body, Key: name, Deadline: urgentDeadline,
		})
	})
}

// settle is how long after a trouble requests may still meet what it left: a death
// is noticed, leases lapse and shards change hands within it.
const settle = 8 * time.Second

// judge says what is wrong with a request's end, empty if nothing is.
func (l *traffic) judge(r sent) string {
	own, any := false, false
	for _, x := range l.troubles {
		own = own || x.entry == r.entry && x.overlaps(r, 0)
		any = any || x.overlaps(r, settle)
	}
	switch r.answer.Verdict {
	case bench.Served:
		return ""
	case bench.Wrong:
		return "is not what its target answered"
	case bench.Cut, bench.Lost, bench.Late, bench.Unreached:
		// Only who is at an entry that dies or stands still gets no word in time.
		if own {
			return ""
		}
		return "has no answer in time, and its entry lived"
	case bench.Refused, bench.Unknown, bench.Repeated:
		if any {
			return ""
		}
		return "is refused without need"
	}
	return "has no known end"
}

// check judges every request and compares them with the services' own counts.
func (l *traffic) check(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.work.Wait()
	runs := l.s.executions()
	ends := make(map[string]int)
	byKey := make(map[string][]sent)
	for _, r := range l.requests {
		end := r.kind + " " + string(r.answer.Verdict)
		if r.answer.Verdict != bench.Served {
			end += " " + r.answer.Reason
		}
		ends[end]++
		byKey[r.name] = append(byKey[r.name], r)
		if fault := l.judge(r); fault != "" {
			t.Errorf("%s at %s, %v after the start, %s: %s %s after %v",
				r.name, r.entry, r.began.Sub(l.requests[0].began), fault, r.answer.Verdict, r.answer.Reason, r.answer.Took)
		}
	}
	for _, x := range l.troubles {
		met := slices.ContainsFunc(l.requests, func(r sent) bool { return (x.entry == "" || x.entry == r.entry) && x.overlaps(r, 0) })
		if !met {
			t.Errorf("no request met the trouble at %q", x.entry)
		}
	}
	for key, requests := range byKey {
		checkRuns(t, key, requests, runs[key])
	}
	for _, end := range slices.Sorted(maps.Keys(ends)) {
		t.Logf("%6d %s", ends[end], end)
	}
}

// checkRuns compares what the callers of one key heard with how often it ran.
func checkRuns(t *testing.T, key string, requests []sent, runs int) {
	t.Helper()
	kind := requests[0].kind
	if kind == "chat" || kind == "draft" {
		return
	}
	served, notRun := 0, 0
	for _, r := range requests {
		switch r.answer.Verdict {
		case bench.Served, bench.Late, bench.Wrong:
			served++
		case bench.Refused, bench.Unreached:
			notRun++
		}
	}
	switch {
	case runs > 1 && kind != "lookup":
		t.Errorf("%s ran %d times", key, runs)
	case served > 0 && runs == 0:
		t.Errorf("%s was answered and did not run", key)
	case notRun == len(requests) && runs > 0:
		t.Errorf("%s was refused as not run and ran %d times", key, runs)
	}
}

// TestEverythingAtOnce restarts all entries in turn, kills two, freezes one past
// its lease and takes the KV service away meanwhile, all under one load of every
// class, and judges every request that was sent.
func TestEverythingAtOnce(t *testing.T) {
	t.Parallel()
	s := deploy(t)
	if code, out := s.command("bul-a-e1", everything, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	ids := []string{"bul-a-e1", "bul-a-e2", "pam-a-e1", "pam-a-e2"}
	s.settled(2, ids...)
	l := newTraffic(s, ids)
	l.start(16)
	for _, id := range ids {
		time.Sleep(500 * time.Millisecond)
		if code := s.entries[id].stop(t); code != 0 {
			t.Errorf("%s: exit code %d\n%s", id, code, s.entries[id].log)
		}
		l.restart(id)
		s.settled(2, id)
	}
	l.during("pam-a-e1", func() {
		s.entries["pam-a-e1"].kill()
		time.Sleep(time.Second)
		l.restart("pam-a-e1")
	})
	time.Sleep(time.Second)
	l.during("bul-a-e2", func() {
		frozen := s.entries["bul-a-e2"].cmd.Process
		_ = frozen.Signal(syscall.SIGSTOP)
		time.Sleep(time.Second)
		l.during("", func() {
			s.request(http.MethodPost, s.platform+"/faults", `{"outage":"hang"}`, nil)
			l.during("pam-a-e2", func() {
				s.entries["pam-a-e2"].kill()
				time.Sleep(5 * time.Second)
				l.restart("pam-a-e2")
			})
			s.request(http.MethodDelete, s.platform+"/faults", "", nil)
		})
		time.Sleep(3 * time.Second)
		_ = frozen.Signal(syscall.SIGCONT)
	})
	// From settle after the last trouble on, everything has to be served again.
	time.Sleep(settle + 2*time.Second)
	l.check(t)
	s.checkReplicas(2)
}
