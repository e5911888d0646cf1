package link

import (
	"sync"
	"time"
)

// lostAfter is how long no zone beside the weight store may have answered before
// its region counts as cut off. Gossip takes a minute to say so of other zones,
// which is longer than most callers wait.
const lostAfter = 5 * time.Second

// Contact follows whether demands reach the region of the weight store; it is safe
// for use by several goroutines.
type Contact struct {
	mu sync.Mutex
	// since is when the first of the demands failed that nothing has answered since.
	since time.Time
}

// Answered notes an answer from the region.
func (c *Contact) Answered() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.since = time.Time{}
}

// Failed notes a demand that none of the region's zones answered.
func (c *Contact) Failed(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.since.IsZero() {
		c.since = now
	}
}

// Lost tells whether demands have failed for so long that the region counts as cut
// off.
func (c *Contact) Lost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return !c.since.IsZero() && now.Sub(c.since) >= lostAfter
}
