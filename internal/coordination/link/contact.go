package link

import (
	"sync"
	"time"
)

// lostTimeout is how long demands to the region of the weight store may fail before the region
// is considered cut off. Gossip takes a minute to detect this for other zones, which is longer
// than most callers wait.
const lostTimeout = 5 * time.Second

// Reachability tracks whether demands reach the region of the weight store. It is safe for
// concurrent use.
type Reachability struct {
	mu sync.Mutex
	// failingSince is the time of the first failure since the last answer, zero if there is
	// none.
	failingSince time.Time
}

// Answered records an answer from the region.
func (c *Reachability) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.failingSince = time.Time{}
}

// Failed records a demand that no zone of the region answered.
func (c *Reachability) Failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failingSince.IsZero() {
		c.failingSince = now
	}
}

// IsLost reports whether the region is considered cut off, because demands have failed for
// lostTimeout.
func (c *Reachability) IsLost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.failingSince.IsZero() && now.Sub(c.failingSince) >= lostTimeout
}
