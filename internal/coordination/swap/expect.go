package swap

import (
	"time"

	"chivecroft.example/chivecroft/internal/state/timer"
)

// servesLag is the time between the end of a load and the knowledge of it.
const servesLag = reportLag + 40*time.Millisecond

// Expected returns how long it takes until each model serves that requests wait
// for, as of the latest plan.
func (p *Planner) Expected(now time.Time) map[string]time.Duration {
	out := make(map[string]time.Duration, len(p.expected))
	for model, at := range p.expected {
		out[model] = max(at.Sub(now), 0)
	}
	return out
}

// expect works out when models will serve: those of jobs, and those that wait for
// a target or for a place among the loads from the weight store.
func (p *Planner) expect(now time.Time, needs []*need) {
	clear(p.expected)
	for _, w := range p.fleet.order {
		if w.job != nil {
			p.expectAt(w.job.model, timer.Later(w.job.due, now).Add(servesLag))
		}
	}
	queue := p.storeQueue(now)
	for _, n := range needs {
		if n.waiting == 0 || p.fleet.copies[n.model] > 0 || p.fleet.coming[n.model] {
			continue
		}
		if !n.ready.IsZero() && n.tier != TierStore {
			p.expectAt(n.model, n.ready.Add(servesLag))
			continue
		}
		p.expectAt(n.model, now.Add(queue.next(p.loadTime(n.model, TierStore))))
	}
}

func (p *Planner) expectAt(model string, at time.Time) {
	if have, ok := p.expected[model]; !ok || at.Before(have) {
		p.expected[model] = at
	}
}

// storeQueue holds when the places for loads from the weight store come free.
type storeQueue []time.Duration

func (p *Planner) storeQueue(now time.Time) storeQueue {
	var q storeQueue
	for _, w := range p.workers {
		if w.job != nil && w.job.tier == TierStore {
			q = append(q, max(w.job.due.Sub(now), 0))
		}
	}
	for len(q) < int(p.storeLoads) {
		q = append(q, 0)
	}
	return q
}

// next takes the earliest place for a load and returns when the load ends.
func (q storeQueue) next(took time.Duration) time.Duration {
	first := 0
	for i, free := range q {
		if free < q[first] {
			first = i
		}
	}
	q[first] += took
	return q[first] + servesLag
}
