package picker

import (
	"sort"
	"time"
)

// Demand describes an instance's use of one model; instances send it to the lease holder.
type Demand struct {
	Service string `json:"service"`
	Model   string `json:"model"`
	// Queued is the number of queued requests, LongestWaitMS the longest time that one of
	// them has been queued, in milliseconds.
	Queued        int   `json:"waiting,omitempty"`
	LongestWaitMS int64 `json:"waitedMs,omitempty"`
	// Adapters lists the adapters that queued requests need.
	Adapters []string `json:"adapters,omitempty"`
	// Limited is the number of requests that were refused since the previous call of
	// Picker.Demand, or are queued for long, because all targets that serve the model have
	// rate limits. LimitedAdapters lists the adapters that they need.
	Limited         int      `json:"limited,omitempty"`
	LimitedAdapters []string `json:"limitedAdapters,omitempty"`
	// InFlight is the number of requests in flight, Arrived the number of requests that
	// arrived since the previous call of Picker.Demand.
	InFlight int `json:"flying,omitempty"`
	Arrived  int `json:"arrived,omitempty"`
	// InFlightByTarget splits InFlight by target id.
	InFlightByTarget map[string]int `json:"at,omitempty"`
}

// Demand returns the demand for each model that is in use or that requests are queued
// for, and resets the count of arrivals.
func (p *Picker) Demand() []Demand {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	sums := make(map[modelKey]*Demand)
	demandOf := func(service, model string) *Demand {
		d := sums[modelKey{service, model}]
		if d == nil {
			d = &Demand{Service: service, Model: model}
			sums[modelKey{service, model}] = d
		}
		return d
	}
	for _, r := range p.targets {
		for model, n := range r.inFlightByModel {
			if n > 0 {
				demandOf(r.Service, model).addInFlight(r.ID, n)
			}
		}
	}
	for _, w := range p.queue {
		if w.req.Model != "" {
			demandOf(w.req.Service, w.req.Model).addQueued(now, &w.req)
		}
	}
	for key, n := range p.arrivals {
		demandOf(key.service, key.model).Arrived += n
	}
	clear(p.arrivals)
	p.addLimited(now, demandOf)
	out := make([]Demand, 0, len(sums))
	for _, d := range sums {
		out = append(out, *d)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Model < out[j].Model })
	return out
}

// TimeToNextLoad returns the time until the first expected load of a model that requests
// are queued for, 0 if no such time is known.
func (p *Picker) TimeToNextLoad() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.timer.Now()
	var due time.Duration
	for _, w := range p.queue {
		delay := p.expected[w.req.Model].Sub(now)
		if w.req.Model != "" && delay > 0 && (due == 0 || delay < due) {
			due = delay
		}
	}
	return due
}

// HasQueued reports whether any request is queued for a model.
func (p *Picker) HasQueued() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, w := range p.queue {
		if w.req.Model != "" {
			return true
		}
	}
	return false
}

// addInFlight adds n requests in flight at a target.
func (d *Demand) addInFlight(target string, n int) {
	if d.InFlightByTarget == nil {
		d.InFlightByTarget = make(map[string]int)
	}
	d.InFlightByTarget[target] += n
	d.InFlight += n
}

// addQueued adds a queued request.
func (d *Demand) addQueued(now time.Time, q *Request) {
	d.Queued++
	d.LongestWaitMS = max(d.LongestWaitMS, now.Sub(q.Arrived).Milliseconds())
	if q.Adapter != "" {
		d.Adapters = appendUnique(d.Adapters, q.Adapter)
	}
}

// addLimited adds a request that limits refuse or hold up.
func (d *Demand) addLimited(q *Request) {
	d.Limited++
	if q.Adapter != "" {
		d.LimitedAdapters = appendUnique(d.LimitedAdapters, q.Adapter)
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
