package main

import (
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"
)

// TestRestartWithoutPlatform replaces instances while the platform is down. One
// comes back at its address, where the others find it; one comes at an address
// that nobody knows and learns the members and the configuration from its seeds;
// and one without seeds learns nothing, which shows that they are the way.
func TestRestartWithoutPlatform(t *testing.T) {
	t.Parallel()
	s := newSystem(t)
	s.startTarget("bul-a-t1", "bul-a", "bulacan")
	// The first entry takes every shard and lives through the test: replicas of a
	// shard whose owner is gone cannot be learnt of while the platform is down.
	s.startEntry("bul-a-e1", "bul-a", "bulacan")
	if code, out := s.command("bul-a-e1", patch, "patch"); code != 0 {
		t.Fatalf("patch: exit %d\n%s", code, out)
	}
	s.settled(1, "bul-a-e1")
	s.startEntry("bul-a-e2", "bul-a", "bulacan")
	s.settled(1, "bul-a-e1", "bul-a-e2")
	if _, whole, status, err := chat(s.callers["bul-a-e1"], "menu-7b", "warm up", 4); err != nil || !whole {
		t.Fatalf("warm-up: %d, %v", status, err)
	}
	s.request(http.MethodPost, s.platform+"/faults", `{"outage":"hang"}`, nil)
	s.entries["bul-a-e2"].kill()
	s.startUnlisted("bul-a-e2", "bul-a", "bulacan")
	s.seed("bul-a-e3", s.entries["bul-a-e1"].ready["peers"].(string))
	s.startUnlisted("bul-a-e3", "bul-a", "bulacan")
	s.startUnlisted("bul-a-e4", "bul-a", "bulacan")
	for _, id := range []string{"bul-a-e2", "bul-a-e3"} {
		s.eventually(19*time.Second, func() string {
			status := s.status(id)
			if status.ConfigVersion != 1 || len(status.Members) < 2 {
				return fmt.Sprintf("%s is at version %d and knows %d members", id, status.ConfigVersion, len(status.Members))
			}
			return ""
		})
		s.eventually(10*time.Second, func() string {
			question := "with the platform down"
			text, whole, status, err := chat(s.callers[id], "menu-7b", question, 6)
			if err != nil || !whole || text != wanted("menu-7b", "", question, 6) {
				return fmt.Sprintf("%s: %d, whole %t, %v: %s", id, status, whole, err, text)
			}
			return ""
		})
	}
	if status := s.status("bul-a-e4"); status.ConfigVersion != 0 {
		t.Errorf("bul-a-e4 has no seed and no platform, and yet is at version %d", status.ConfigVersion)
	}
	s.request(http.MethodDelete, s.platform+"/faults", "", nil)
	s.settled(1, "bul-a-e1", "bul-a-e2", "bul-a-e3", "bul-a-e4")
	s.checkReplicas(2)
}

// seed adds a seed to the settings of an entry, for its next start.
func (s *system) seed(id, addr string) {
	s.t.Helper()
	path := s.settings(id, "bul-a", "bulacan")
	data, err := os.ReadFile(path)
	if err != nil {
		s.t.Fatal(err)
	}
	data = append(data, "[peers]\nseeds = "+addr+"\n"...)
	if err := os.WriteFile(path, data, 0o600); err != nil {
		s.t.Fatal(err)
	}
}
