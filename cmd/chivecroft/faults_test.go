package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// deploy starts two zones with two entries, two targets and a service each.
func deploy(t *testing.T) *system {
	s := newSystem(t)
	for _, zone := range []struct{ name, region string }{{"bul-a", "bulacan"}, {"pam-a", "pampanga"}} {
		for n := 1; n <= 2; n++ {
			s.startTarget(fmt.Sprintf("%s-t%d", zone.name, n), zone.name, zone.region)
		}
		s.startService(zone.name+"-s1", zone.name, zone.region)
		for n := 1; n <= 2; n++ {
			s.startEntry(fmt.Sprintf("%s-e%d", zone.name, n), zone.name, zone.region)
		}
	}
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1", "bul-a-e2", "pam-a-e1", "pam-a-e2")
	return s
}

// load is traffic that checks every answer it gets.
type load struct {
	s       *system
	stop    atomic.Bool
	work    sync.WaitGroup
	mu      sync.Mutex
	chats   int
	tickets map[string]string
	faults  []string
	refused map[string]int
}

// entryOf is what a load balancer knows: which entries say that they are ready.
func (l *load) pick(n int, ids []string) string {
	for i := range ids {
		id := ids[(n+i)%len(ids)]
		url := l.url(id)
		if status, _, err := send(http.MethodGet, url+"/readyz", "", nil); err == nil && status == http.StatusOK {
			return url
		}
	}
	return l.url(ids[n%len(ids)])
}

func (l *load) url(id string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.s.callers[id]
}

func (l *load) fault(format string, args ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, args...))
}

// startLoad sends chats and run-once calls from several callers until stopped.
func startLoad(s *system, callers int, ids []string) *load {
	l := &load{s: s, tickets: make(map[string]string), refused: make(map[string]int)}
	for c := range callers {
		l.work.Add(1)
		go func() {
			defer l.work.Done()
			for n := 0; !l.stop.Load(); n++ {
				l.chat(c, n, ids)
				l.ticket(c, n, ids)
				time.Sleep(20 * time.Millisecond)
			}
		}()
	}
	return l
}

func (l *load) chat(c, n int, ids []string) {
	question := fmt.Sprintf("caller %d asks %d", c, n)
	text, whole, status, err := chat(l.pick(c+n, ids), "menu-7b", question, 20)
	l.mu.Lock()
	l.chats++
	l.mu.Unlock()
	switch {
	case err != nil:
		l.fault("%s: cut: %v", question, err)
	case status != http.StatusOK:
		l.refusal(status, text)
	case whole && text != wanted("menu-7b", "", question, 20):
		l.fault("%s: whole but wrong: %q", question, text)
	case !whole:
		l.fault("%s: cut after %q", question, text)
	}
}

func (l *load) ticket(c, n int, ids []string) {
	key := fmt.Sprintf("ticket-%d-%d", c, n)
	status, text, err := send(http.MethodPost, l.pick(c+n, ids)+"/services/ticket-desk/tickets", key, http.Header{"Idempotency-Key": {key}})
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case err != nil:
		l.tickets[key] = "cut"
	case status == http.StatusOK:
		l.tickets[key] = "ran"
	case strings.Contains(text, `"notRun":true`):
		l.tickets[key] = "notRun"
		l.refused[fmt.Sprintf("ticket: %d %s", status, reasonOf(text))]++
	default:
		l.tickets[key] = "unknown"
	}
}

func (l *load) refusal(status int, text string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.refused[fmt.Sprintf("chat: %d %s", status, reasonOf(text))]++
}

// reasonOf is the reason of a refusal.
func reasonOf(text string) string {
	var problem struct{ Reason string }
	if err := json.Unmarshal([]byte(text), &problem); err != nil {
		return text
	}
	return problem.Reason
}

// finish stops the traffic and checks each run-once call against the services'
// own counts.
func (l *load) finish(t *testing.T) {
	t.Helper()
	l.stop.Store(true)
	l.work.Wait()
	runs := l.s.executions()
	outcomes := make(map[string]int)
	for key, outcome := range l.tickets {
		outcomes[outcome]++
		switch n := runs[key]; {
		case n > 1:
			t.Errorf("%s ran %d times", key, n)
		case outcome == "ran" && n == 0:
			t.Errorf("%s was answered but did not run", key)
		case outcome == "notRun" && n != 0:
			t.Errorf("%s was refused as not run but ran", key)
		}
	}
	t.Logf("%d chats, refused %v; tickets %v", l.chats, l.refused, outcomes)
	for _, f := range l.faults {
		t.Log(f)
	}
}

// executions adds up the services' counts by key.
func (s *system) executions() map[string]int {
	s.t.Helper()
	runs := make(map[string]int)
	for _, p := range s.services {
		_, out := s.request(http.MethodGet, p.ready["url"].(string)+"/executions", "", nil)
		var e struct{ Runs map[string]int }
		decode(s.t, out, &e)
		for key, n := range e.Runs {
			runs[key] += n
		}
	}
	return runs
}

// TestRollingRestart replaces every entry under load: no request is cut, none is
// refused and no ticket is lost or doubled.
func TestRollingRestart(t *testing.T) {
	s := deploy(t)
	ids := []string{"bul-a-e1", "bul-a-e2", "pam-a-e1", "pam-a-e2"}
	l := startLoad(s, 4, ids)
	for _, id := range ids {
		time.Sleep(500 * time.Millisecond)
		if code := s.entries[id].stop(t); code != 0 {
			t.Errorf("%s: exit code %d\n%s", id, code, s.entries[id].log)
		}
		l.mu.Lock()
		s.startEntry(id, id[:5], map[string]string{"bul-a": "bulacan", "pam-a": "pampanga"}[id[:5]])
		l.mu.Unlock()
		s.settled(1, id)
	}
	l.finish(t)
	for _, f := range l.faults {
		t.Error(f)
	}
	for key, outcome := range l.tickets {
		if outcome != "ran" {
			t.Errorf("%s: %s", key, outcome)
		}
	}
	if len(l.refused) > 0 {
		t.Errorf("refused: %v", l.refused)
	}
}

// TestKillsAndFreezes kills one owner and freezes another past its lease, under
// load. Requests at a killed entry may be cut, which their callers see; nothing
// else may go wrong, and no more replicas are loaded than decided.
func TestKillsAndFreezes(t *testing.T) {
	s := deploy(t)
	ids := []string{"bul-a-e1", "bul-a-e2", "pam-a-e1", "pam-a-e2"}
	l := startLoad(s, 4, ids)
	time.Sleep(time.Second)
	s.entries["bul-a-e1"].kill()
	s.eventually(19*time.Second, func() string {
		for _, m := range s.status("bul-a-e2").Members {
			if m.ID == "bul-a-e2" && len(m.Shards) == 2 {
				return ""
			}
		}
		return "bul-a-e2 has not taken both shards"
	})
	frozen := s.entries["bul-a-e2"].cmd.Process
	_ = frozen.Signal(syscall.SIGSTOP)
	l.mu.Lock()
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	l.mu.Unlock()
	s.eventually(30*time.Second, func() string {
		for _, m := range s.status("bul-a-e1").Members {
			if m.ID == "bul-a-e1" && len(m.Shards) == 2 {
				return ""
			}
		}
		return "bul-a-e1 has not taken both shards"
	})
	_ = frozen.Signal(syscall.SIGCONT)
	time.Sleep(2 * time.Second)
	s.settled(1, "bul-a-e1", "bul-a-e2")
	l.finish(t)
	for _, f := range l.faults {
		if strings.Contains(f, "wrong") {
			t.Error(f)
		}
	}
	s.checkReplicas(2)
}

// checkReplicas compares what the targets really hold with the rule.
func (s *system) checkReplicas(most int) {
	s.t.Helper()
	held := 0
	for id, p := range s.targets {
		_, out := s.request(http.MethodPost, p.ready["url"].(string)+"/engine/order", `{"kind":"report"}`, nil)
		var reply struct {
			State struct {
				Replicas []struct {
					Model string `json:"model"`
					Phase string `json:"phase"`
				} `json:"replicas"`
			} `json:"state"`
		}
		decode(s.t, out, &reply)
		for _, r := range reply.State.Replicas {
			if r.Phase != "failed" {
				held++
			}
		}
		_, out = s.request(http.MethodGet, p.ready["url"].(string)+"/record", "", nil)
		var record struct{ Overcommitted int }
		decode(s.t, out, &record)
		if record.Overcommitted > 0 {
			s.t.Errorf("%s was ordered to overcommit its memory %d times", id, record.Overcommitted)
		}
	}
	if held > most {
		s.t.Errorf("%d replicas are loaded, the rule allows %d", held, most)
	}
}

// TestOutage takes the KV service away under load: warm models go on being
// served, tickets are refused as not run, and both recover.
func TestOutage(t *testing.T) {
	s := deploy(t)
	ids := []string{"bul-a-e1", "pam-a-e1"}
	for _, id := range ids {
		if _, whole, status, err := chat(s.callers[id], "menu-7b", "warm up", 4); err != nil || !whole {
			t.Fatalf("warm-up at %s: %d, %v", id, status, err)
		}
	}
	s.request(http.MethodPost, s.platform+"/faults", `{"outage":"hang"}`, nil)
	for n := range 10 {
		question := fmt.Sprintf("during the outage %d", n)
		text, whole, status, err := chat(s.callers[ids[n%2]], "menu-7b", question, 8)
		if err != nil || !whole || text != wanted("menu-7b", "", question, 8) {
			t.Errorf("%s: %d, whole %t, %v: %s", question, status, whole, err, text)
		}
	}
	status, text := s.request(http.MethodPost, s.callers["bul-a-e1"]+"/services/ticket-desk/tickets", "x",
		http.Header{"Idempotency-Key": {"during"}, "X-Deadline": {"3s"}})
	if status != http.StatusServiceUnavailable || !strings.Contains(text, `"notRun":true`) {
		t.Errorf("ticket during the outage: %d %s", status, text)
	}
	s.request(http.MethodDelete, s.platform+"/faults", "", nil)
	s.eventually(19*time.Second, func() string {
		status, text := s.request(http.MethodPost, s.callers["bul-a-e1"]+"/services/ticket-desk/tickets", "x",
			http.Header{"Idempotency-Key": {"after"}, "X-Deadline": {"3s"}})
		if status != http.StatusOK {
			return fmt.Sprintf("ticket: %d %s", status, text)
		}
		return ""
	})
	if n := s.executions(); n["during"] != 0 || n["after"] != 1 {
		t.Errorf("executions: %v", n)
	}
}
