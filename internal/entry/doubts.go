package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// doubtFor is how long a source counts as doubtful without a sign of it. The
// pull from the source goes on meanwhile and fails once in pullWait and the
// timeout of a call, so a doubt lasts for as long as the silence does.
const doubtFor = 15 * time.Second

// cutPrefix begins the names under which zones are doubted so far that they are
// sent no requests either.
const cutPrefix = "cut/"

// doubts are the sources of the routing table, entries of the own zone and other
// zones, that have lately left a demand without an answer. Membership takes 10 s
// to 60 s to notice a silence; until then a doubtful source is asked last, so
// that the callers of cold models do not each wait for it.
type doubts struct {
	timer timer.Service
	// count is the number of doubts, read without the lock by every request.
	count atomic.Int64
	mu    sync.Mutex
	until map[string]time.Time
}

func newDoubts(clock timer.Service) *doubts {
	return &doubts{timer: clock, until: make(map[string]time.Time)}
}

// raise begins a doubt.
func (d *doubts) raise(source string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.until[source] = d.timer.Now().Add(doubtFor)
	d.count.Store(int64(len(d.until)))
}

// renew prolongs a doubt that there is: a pull that failed is one entry's, and
// says too little of a zone to begin one.
func (d *doubts) renew(source string) {
	if d.has(source) {
		d.raise(source)
	}
}

// clear ends a doubt after a sign of the source, and tells whether there was one.
func (d *doubts) clear(source string) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	_, doubted := d.until[source]
	delete(d.until, source)
	d.count.Store(int64(len(d.until)))
	return doubted
}

// has tells whether a source is doubtful.
func (d *doubts) has(source string) bool {
	if d.count.Load() == 0 {
		return false
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.timer.Now().Before(d.until[source])
}

// last moves the doubtful ones to the end, in order.
func last[T any](all []T, doubtful func(T) bool) []T {
	var sure, rest []T
	for _, one := range all {
		if doubtful(one) {
			rest = append(rest, one)
		} else {
			sure = append(sure, one)
		}
	}
	return append(sure, rest...)
}
