package daily

import (
	"cmp"
	"slices"
	"sync"
)

// changes are the counters that moved since a Teller last took them.
type changes struct {
	mu sync.Mutex
	// noted is the number of changes so far.
	noted uint64
	moved map[dated]struct{}
}

// dated is a counter's key on a date.
type dated struct {
	date Date
	key  Key
}

// total is where a counter stands.
type total struct {
	dated
	count uint64
}

// note takes a change after it was counted.
func (c *changes) note(date Date, key Key) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.noted++
	if c.moved != nil {
		c.moved[dated{date, key}] = struct{}{}
	}
}

// count returns the number of changes so far.
func (c *changes) count() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.noted
}

// take returns the counters that moved and empties the list.
func (c *changes) take() (map[dated]struct{}, uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	moved := c.moved
	c.moved = make(map[dated]struct{})
	return moved, c.noted
}

// moved returns where the counters stand that moved since the last call, with
// the number of changes that the totals hold at least. The first call begins to
// keep the list.
func (r *Recorder) moved() ([]total, uint64) {
	keys, through := r.changes.take()
	totals := make([]total, 0, len(keys))
	for at := range keys {
		// The day of a late outcome may have been forgotten with its row written.
		if d := r.held(at.date); d != nil {
			n, _ := d.counters.Get(at.key)
			totals = append(totals, total{at, n})
		}
	}
	sortTotals(totals)
	return totals, through
}

// totals returns where all counters of the held dates stand, and the number of
// changes that they hold at least.
func (r *Recorder) totals() ([]total, uint64) {
	_, through := r.changes.take()
	var all []total
	for date := range r.versions() {
		d := r.held(date)
		if d == nil {
			continue
		}
		d.counters.Each(func(key Key, n uint64) bool {
			all = append(all, total{dated{date, key}, n})
			return true
		})
	}
	if n := r.carried(r.Today()); n > 0 {
		all = append(all, total{dated{r.Today(), Key{Kind: KindCarried}}, n})
	}
	sortTotals(all)
	return all, through
}

func sortTotals(all []total) {
	slices.SortFunc(all, func(a, b total) int {
		return cmp.Or(compareDates(a.date, b.date), compareKeys(a.key, b.key))
	})
}
