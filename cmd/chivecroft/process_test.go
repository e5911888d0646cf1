package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/google/go-cmp/cmp"
)

// TestSixProcesses is the whole path as an operator and a caller walk it.
func TestSixProcesses(t *testing.T) {
	s := newSystem(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan")
	s.startTarget("bul-a-t2", "bul-a", "bulacan")
	s.startService("bul-a-s1", "bul-a", "bulacan")
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	s.startEntry("bul-a-e2", "bul-a", "bulacan")

	var got []string
	note := func(format string, args ...any) { got = append(got, fmt.Sprintf(format, args...)) }
	code, out := s.command("bul-a-e1", patch, "patch", "--json")
	note("patch: exit %d %s", code, strings.Join(strings.Fields(out), ""))
	s.settled(1, "bul-a-e1", "bul-a-e2")

	for _, step := range []struct{ name, entry, model, adapter string }{
		{"cold", "bul-a-e1", "menu-7b", ""},
		{"warm", "bul-a-e2", "menu-7b", ""},
		{"adapter", "bul-a-e1", "menu-7b", "menu-tagalog"},
	} {
		name := step.model
		if step.adapter != "" {
			name += ":" + step.adapter
		}
		text, whole, status, err := chat(s.callers[step.entry], name, "What is for supper?", 8)
		if err != nil {
			t.Fatal(err)
		}
		same := text == wanted(step.model, step.adapter, "What is for supper?", 8)
		note("%s: %d, whole %t, right %t, loads %d", step.name, status, whole, same, s.loads())
	}
	status, _ := s.request(http.MethodGet, s.callers["bul-a-e1"]+"/services/ticket-desk/seats", "", nil)
	note("service: %d", status)
	ready := 0
	for _, r := range s.status("bul-a-e2").Replicas {
		if r.Model == "menu-7b" && r.Phase == "ready" {
			ready++
		}
	}
	note("status: %d ready", ready)
	code, out = s.command("bul-a-e2", patch, "patch")
	note("repeated patch: exit %d %s", code, strings.TrimSpace(out))
	code, _ = s.command("bul-a-e2", strings.Replace(patch, "test-1", "test-2", 1), "patch")
	note("stale patch: exit %d", code)
	note("stop: exit %d", s.entries["bul-a-e1"].stop(t))

	want := []string{
		`patch: exit 0 {"version":1,"repeated":false}`,
		"cold: 200, whole true, right true, loads 1",
		"warm: 200, whole true, right true, loads 1",
		"adapter: 200, whole true, right true, loads 1",
		"service: 200",
		"status: 1 ready",
		"repeated patch: exit 0 version 1: had been accepted before",
		"stale patch: exit 1",
		"stop: exit 0",
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("session (-want +got):\n%s", diff)
	}
}
