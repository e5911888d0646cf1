package main

import (
	"fmt"
	"net/http"
	"testing"
	"time"
)

// TestWarmWithoutOwner kills the owner of a warm model's shard while the platform
// is down, so that nobody can take the shard over. The model stays warm for the
// callers of the entry that is left, also once it knows that the owner is gone,
// and for those of an entry that starts only then.
func TestWarmWithoutOwner(t *testing.T) {
	t.Parallel()
	s := newPair(t)
	for _, id := range []string{"bul-a-e1", "bul-a-e2"} {
		if text, whole, status, err := chat(s.callers[id], "menu-7b", "warm up", 4); err != nil || !whole {
			t.Fatalf("warm-up: %d, %v: %s", status, err, text)
		}
	}
	owner, left := s.ownerOf("menu-7b")
	s.request(http.MethodPost, s.platform+"/faults", `{"outage":"hang"}`, nil)
	s.entries[owner].kill()
	s.eventually(40*time.Second, func() string {
		for _, m := range s.status(left).Members {
			if m.ID == owner && m.Phase == "alive" {
				return owner + " still counts as alive"
			}
		}
		return ""
	})
	time.Sleep(2 * time.Second)
	s.seed("bul-a-e3", s.entries[left].ready["peers"].(string))
	s.startUnlisted("bul-a-e3", "bul-a", "bulacan")
	s.eventually(10*time.Second, func() string {
		if status, _ := s.request(http.MethodGet, s.callers["bul-a-e3"]+"/readyz", "", nil); status != http.StatusOK {
			return "bul-a-e3 is not ready"
		}
		return ""
	})
	for _, id := range []string{left, "bul-a-e3"} {
		for n := range 5 {
			question := fmt.Sprintf("without an owner %d", n)
			text, whole, status, err := chat(s.callers[id], "menu-7b", question, 4)
			if err != nil || !whole || text != wanted("menu-7b", "", question, 4) {
				t.Errorf("%s: %d, whole %t, %v: %s", id, status, whole, err, text)
			}
		}
	}
	s.request(http.MethodDelete, s.platform+"/faults", "", nil)
	s.settled(1, left, "bul-a-e3")
	s.checkReplicas(2)
}
