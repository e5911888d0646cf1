package main

import (
	"syscall"
	"testing"
	"time"
)

const (
	// leaseTime is the lease in the settings of the tests.
	leaseTime = 6 * time.Second
	// takenAfterLease is how soon after the end of its owner's lease a shard has
	// another one: candidates look each second, the first of them at once.
	takenAfterLease = 2500 * time.Millisecond
	// takenAfterSilence is the same where nothing but its silence tells of an
	// owner's end.
	takenAfterSilence = 20 * time.Second
)

// TestTakeoverTime kills the owner of a zone's shards, or stops it where it
// stands, and measures until the entry that is left owns them.
func TestTakeoverTime(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		name string
		sig  syscall.Signal
		most time.Duration
	}{
		{"killed", syscall.SIGKILL, leaseTime + takenAfterLease},
		{"frozen", syscall.SIGSTOP, takenAfterSilence + takenAfterLease},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			s := newSystem(t)
			s.startTarget("bul-a-t1", "bul-a", "bulacan")
			s.startEntry("bul-a-e1", "bul-a", "bulacan")
			s.patched(t, "bul-a-e1", patch)
			s.settled(1, "bul-a-e1")
			s.startEntry("bul-a-e2", "bul-a", "bulacan")
			s.settled(1, "bul-a-e2")
			time.Sleep(2 * time.Second)
			began := time.Now()
			if err := s.entries["bul-a-e1"].cmd.Process.Signal(c.sig); err != nil {
				t.Fatal(err)
			}
			s.eventually(c.most, func() string {
				for _, m := range s.status("bul-a-e2").Members {
					if m.ID == "bul-a-e2" && len(m.Shards) == 2 {
						return ""
					}
				}
				return "bul-a-e2 has not taken both shards"
			})
			t.Logf("taken over %v after", time.Since(began).Round(10*time.Millisecond))
		})
	}
}
