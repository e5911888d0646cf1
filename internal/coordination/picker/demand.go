package picker

import (
	"sort"
	"time"
)

// Demand describes an instance's use of one model; instances send it to the lease holder.
type Demand struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Waiting is the number of queued requests, WaitedMS the longest time that one of
	// them has been queued, in milliseconds.
	Waiting  int   `json:"waiting,omitempty"`
	WaitedMS int64 `json:"waitedMs,omitempty"`
	// Adapters lists the adapters that queued requests need.
	Adapters []string `json:"adapters,omitempty"`
	// Flying is the number of requests in flight, Arrived the number of requests that
	// arrived since the previous call of Board.Demand.
	Flying  int `json:"flying,omitempty"`
	Arrived int `json:"arrived,omitempty"`
	// At splits Flying by target id.
	At map[string]int `json:"at,omitempty"`
}

// Demand returns the demand for each model that is in use or that requests are queued
// for, and resets the count of arrivals.
func (b *Board) Demand() []Demand {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	sums := make(map[modelKey]*Demand)
	demandOf := func(service, model string) *Demand {
		d := sums[modelKey{service, model}]
		if d == nil {
			d = &Demand{Service: service, Model: model}
			sums[modelKey{service, model}] = d
		}
		return d
	}
	for _, r := range b.targets {
		for model, n := range r.inFlightByModel {
			if n > 0 {
				demandOf(r.Service, model).addInFlight(r.ID, n)
			}
		}
	}
	for _, w := range b.queue {
		if w.req.Model != "" {
			demandOf(w.req.Service, w.req.Model).addQueued(now, &w.req)
		}
	}
	for key, n := range b.arrivals {
		demandOf(key.service, key.model).Arrived += n
	}
	clear(b.arrivals)
	out := make([]Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, *d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// Due returns the time until the first expected load of a model that requests are queued
// for, 0 if no such time is known.
func (b *Board) Due() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.timer.Now()
	var due time.Duration
	for _, w := range b.queue {
		delay := b.expected[w.req.Model].Sub(now)
		if w.req.Model != "" && delay > 0 && (due == 0 || delay < due) {
			due = delay
		}
	}
	return due
}

// Waits reports whether any request is queued for a model.
func (b *Board) Waits() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, w := range b.queue {
		if w.req.Model != "" {
			return true
		}
	}
	return false
}

// addInFlight adds n requests in flight at a target.
func (d *Demand) addInFlight(target string, n int) {
	if d.At == nil {
		d.At = make(map[string]int)
	}
	d.At[target] += n
	d.Flying += n
}

// addQueued adds a queued request.
func (d *Demand) addQueued(now time.Time, q *Request) {
	d.Waiting++
	d.WaitedMS = max(d.WaitedMS, now.Sub(q.Arrived).Milliseconds())
	if q.Adapter != "" {
		d.Adapters = appendUnique(d.Adapters, q.Adapter)
	}
}

func appendUnique(list []string, s string) []string {
	for _, item := range list {
		if item == s {
			return list
		}
	}
	return append(list, s)
}
