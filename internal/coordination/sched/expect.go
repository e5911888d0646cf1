package sched

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// servingDelay is the time from the end of a load until the planner learns of it.
const servingDelay = maxReportAge + 40*time.Millisecond

// Expected returns the time until each model is loaded that is being loaded or that
// requests are queued for, as of the latest plan.
func (p *Planner) Expected(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(p.expected))
	for model, at := range p.expected {
		out[model] = max(at.Sub(now), 0)
	}
	return out
}

// updateExpected estimates when models will be loaded: those of jobs, and those that wait
// for a target or for a slot for a load from the weight store.
func (p *Planner) updateExpected(now time.Time, requests []*loadRequest) {
	clear(p.expected)
	for _, w := range p.index.sorted {
		if w.job != nil {
			p.setExpected(w.job.model, timer.Later(w.job.expectedAt, now).Add(servingDelay))
		}
	}
	queue := p.storeQueue(now)
	for _, n := range requests {
		if n.waiting == 0 || p.index.copies[n.model] > 0 || p.index.loading[n.model] > 0 {
			continue
		}
		if !n.ready.IsZero() && n.tier != TierStore {
			p.setExpected(n.model, n.ready.Add(servingDelay))
			continue
		}
		p.setExpected(n.model, now.Add(queue.schedule(p.loadTime(n.model, TierStore))))
	}
}

// setExpected records an expected load time unless an earlier one is known.
func (p *Planner) setExpected(model string, at time.Time) {
	if have, ok := p.expected[model]; !ok || at.Before(have) {
		p.expected[model] = at
	}
}

// storeQueue holds the times until each slot for loads from the weight store becomes
// free.
type storeQueue []time.Duration

func (p *Planner) storeQueue(now time.Time) storeQueue {
	var q storeQueue
	for _, w := range p.workers {
		if w.job != nil && w.job.tier == TierStore {
			q = append(q, max(w.job.expectedAt.Sub(now), 0))
		}
	}
	for len(q) < p.StoreLoads() {
		q = append(q, 0)
	}
	return q
}

// schedule assigns a load to the slot that becomes free first and returns the time until
// the model is known to be loaded.
func (q storeQueue) schedule(took time.Duration) time.Duration {
	earliest := 0
	for i, free := range q {
		if free < q[earliest] {
			earliest = i
		}
	}
	q[earliest] += took
	return q[earliest] + servingDelay
}
