package seat

import (
	"sort"
	"time"
)

// Demand is what an instance tells the holder of one model.
type Demand struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Waiting counts the requests without a place, WaitedMS is the longest wait of
	// them in milliseconds.
	Waiting  int   `json:"waiting,omitempty"`
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// Adapters are those that requests wait for.
	Adapters []string `json:"adapters,omitempty"`
	// Flying counts the requests at targets, Arrived those that came since the
	// last summary.
	Flying  int `json:"flying,omitempty"`
	Arrived int `json:"arrived,omitempty"`
	// At splits Flying by the targets' ids.
	At map[string]int `json:"at,omitempty"`
}

// Demand returns the demand for each model that is used or waited for, and starts
// the next count of arrivals.
func (b *Board) Demand() []Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	sums := make(map[modelKey]*Demand)
	at := func(service, model string) *Demand {
		d := sums[modelKey{service, model}]
		if d == nil {
			d = &Demand{Service: service, Model: model}
			sums[modelKey{service, model}] = d
		}
		return d
	}
	for _, r := range b.targets {
		for model, n := range r.byModel {
			if n > 0 {
				at(r.Service, model).fly(r.ID, n)
			}
		}
	}
	for _, w := range b.waiting {
		if w.req.Model != "" {
			at(w.req.Service, w.req.Model).add(now, &w.req)
		}
	}
	for key, n := range b.arrivals {
		at(key.service, key.model).Arrived += n
	}
	clear(b.arrivals)
	out := make([]Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, *d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// Due returns the time until the first model that requests wait for is expected to
// serve, 0 if nothing is known of any.
func (b *Board) Due() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	var due time.Duration
	for _, w := range b.waiting {
		in := b.expected[w.req.Model].Sub(now)
		if w.req.Model != "" && in > 0 && (due == 0 || in < due) {
			due = in
		}
	}
	return due
}

// Waits tells whether any request waits for a model.
func (b *Board) Waits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.waiting {
		if w.req.Model != "" {
			return true
		}
	}
	return false
}

func (d *Demand) fly(target string, n int) {
	if d.At == nil {
		d.At = make(map[string]int)
	}
	d.At[target] += n
	d.Flying += n
}

func (d *Demand) add(now time.Time, q *Request) {
	d.Waiting++
	d.WaitedMS = max(d.WaitedMS, now.Sub(q.Arrived).Milliseconds())
	if q.Adapter != "" {
		d.Adapters = appendNew(d.Adapters, q.Adapter)
	}
}

func appendNew(list []string, s string) []string {
	for _, have := range list {
		if have == s {
			return list
		}
	}
	return append(list, s)
}
