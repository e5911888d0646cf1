package picker

import (
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
	"chivecroft.example/chivecroft/internal/state/fleet"
)

// drawSteps is the number of evenly spaced values of a request's random number over which
// probabilities are averaged. It bounds how long the Picker is locked.
const drawSteps = 32

// Explanation says where a request would go now and why.
type Explanation struct {
	// Target is the most probable target, empty if none can take the request.
	Target string `json:"target,omitempty"`
	// IsShared reports whether the choice is based on a load snapshot, SnapshotAgeMS is the
	// snapshot's age in milliseconds.
	IsShared      bool  `json:"isShared"`
	SnapshotAgeMS int64 `json:"snapshotAgeMs,omitempty"`
	// ModelAt and AdapterAt are the numbers of targets that serve the model, and that serve
	// it with the adapter.
	ModelAt   int `json:"modelAt"`
	AdapterAt int `json:"adapterAt"`
	// LoadInMS is the time until the model is expected to be loaded, in milliseconds; valid
	// if IsLoadExpected.
	IsLoadExpected bool           `json:"isLoadExpected"`
	LoadInMS       int64          `json:"loadInMs,omitempty"`
	Candidates     []Candidate    `json:"candidates"`
	Refused        *RefusalNotice `json:"refused,omitempty"`
}

// Candidate is a target of the request's service.
type Candidate struct {
	Target string  `json:"target"`
	Zone   string  `json:"zone"`
	Load   float64 `json:"load"`
	Slots  int     `json:"slots"`
	// Pace is how long work takes, as a multiple of the usual time.
	Pace float64 `json:"pace"`
	// StartLimit is the limit of requests in flight after a start or recovery, 0 for none.
	StartLimit  int     `json:"startLimit,omitempty"`
	FailureRate float64 `json:"failureRate"`
	// EjectedMS and BackoffMS are the rest of an ejection and of a backoff, in milliseconds.
	EjectedMS int64 `json:"ejectedMs,omitempty"`
	BackoffMS int64 `json:"backoffMs,omitempty"`
	// PerSecond is the rate limit in requests a second, 0 for none; Permits are this
	// instance's.
	PerSecond float64 `json:"perSecond,omitempty"`
	Permits   int     `json:"permits,omitempty"`
	// Cost is in requests in flight, or with a load snapshot in the time of a request
	// there alone; it is valid if HasCost.
	Cost        float64 `json:"cost"`
	Probability float64 `json:"probability"`
	// PassedOver is why the request does not go there, empty if it may.
	PassedOver string `json:"passedOver,omitempty"`
}

// HasCost reports whether the target was compared with others by its cost.
func (c *Candidate) HasCost() bool {
	return c.PassedOver == "" || c.PassedOver == obstacleCost.String()
}

// RefusalNotice is the refusal of a request that no target can take now.
type RefusalNotice struct {
	Reason       Reason `json:"reason"`
	RetryAfterMS int64  `json:"retryAfterMs"`
	// AfterMS is how long the request is queued before, in milliseconds.
	AfterMS int64 `json:"afterMs"`
}

// Explain returns where a request would go now. It reserves and counts nothing.
func (p *Picker) Explain(q Request) Explanation {
	p.mu.Lock()
	defer p.mu.Unlock()
	// The next refusal is to get the Retry-After that is told here.
	defer func(n int) { p.refusals = n }(p.refusals)
	now := p.timer.Now()
	fresh := p.hasFreshUpdates(now)
	out := Explanation{
		ModelAt:   len(p.copiesFor(&Request{Service: q.Service, Model: q.Model}, fresh)),
		AdapterAt: len(p.copiesFor(&q, fresh)),
	}
	age, shared := p.view.Age(now)
	if out.IsShared = shared; shared {
		out.SnapshotAgeMS = age.Milliseconds()
	}
	if at, ok := p.expected[q.Model]; ok && q.Model != "" {
		out.IsLoadExpected, out.LoadInMS = true, max(at.Sub(now), 0).Milliseconds()
	}
	verdicts := p.judgeAlone
	if shared {
		verdicts = p.judgeShared
	}
	out.addCandidates(p, now, &q, verdicts(now, &q))
	if out.Target == "" {
		out.Refused = p.explainRefusal(now, q)
	}
	return out
}

// verdict is what a choice makes of a target.
type verdict struct {
	cost, probability float64
	obstacle          obstacle
}

// judgeAlone judges the targets that serve a request by this instance's own observations.
func (p *Picker) judgeAlone(now time.Time, q *Request) map[*target]verdict {
	out := make(map[*target]verdict)
	best, ejected := p.bestTarget(now, q, false), false
	if best == nil {
		best, ejected = p.bestTarget(now, q, true), true
	}
	if best == nil {
		ejected = false
	}
	for _, r := range p.copiesFor(q, p.hasFreshUpdates(now)) {
		v := verdict{obstacle: p.obstacleAlone(now, q, r, ejected)}
		if v.obstacle == noObstacle {
			v.cost, v.obstacle = p.cost(now, r), obstacleCost
		}
		if r == best {
			v.probability, v.obstacle = 1, noObstacle
		}
		out[r] = v
	}
	return out
}

// judgeShared judges them by the load snapshot.
func (p *Picker) judgeShared(now time.Time, q *Request) map[*target]verdict {
	out := make(map[*target]verdict)
	copies := p.copiesFor(q, p.hasFreshUpdates(now))
	steps := 1
	for _, r := range copies {
		if r.limit > 0 {
			steps = drawSteps
		}
	}
	for i := range steps {
		// A number that is set is not drawn.
		q.draw, q.drawnFor = (float64(i)+0.5)/float64(steps), p.snapshotAt
		p.judgeDraw(now, q, copies, 1/float64(steps), out)
	}
	return out
}

// judgeDraw adds the verdicts for the request's random number, which has a probability of
// weight.
func (p *Picker) judgeDraw(now time.Time, q *Request, copies []*target, weight float64, out map[*target]verdict) {
	used, chances := choiceTiers[0], map[*target]float64{}
	costs := map[*target]float64{}
	for _, tier := range choiceTiers {
		c := p.weigh(now, q, tier)
		if len(p.options) == 0 {
			continue
		}
		used = c.tier
		probabilities := load.Probabilities(p.options, 1+c.sent)
		if p.prefersLimited(&c) {
			clear(probabilities)
			probabilities[c.limitedAt] = 1
		}
		for i, at := range p.candidates {
			chances[copies[at]], costs[copies[at]] = probabilities[i], p.options[i].Start
		}
		break
	}
	for _, r := range copies {
		v := out[r]
		v.probability += weight * chances[r]
		o := p.obstacleShared(now, q, r, used)
		if o == noObstacle {
			v.cost, o = costs[r], obstacleCost
		}
		if v.obstacle = o; v.probability > 0 {
			v.obstacle = noObstacle
		}
		out[r] = v
	}
}

// addCandidates adds the targets of the request's service with their verdicts.
func (e *Explanation) addCandidates(p *Picker, now time.Time, q *Request, verdicts map[*target]verdict) {
	e.Candidates = []Candidate{}
	highest := 0.0
	for _, r := range p.copiesFor(&Request{Service: q.Service}, false) {
		v, ok := verdicts[r]
		if !ok {
			v.obstacle = obstacleNoModel
		}
		c := p.describe(now, r, e.IsShared)
		c.Cost, c.Probability, c.PassedOver = v.cost, v.probability, v.obstacle.String()
		if v.probability > highest {
			highest, e.Target = v.probability, r.ID
		}
		e.Candidates = append(e.Candidates, c)
	}
}

// describe returns the state of a target.
func (p *Picker) describe(now time.Time, r *target, shared bool) Candidate {
	c := Candidate{
		Target: r.ID, Zone: r.Zone, Load: r.load(now), Slots: r.Slots, Pace: r.slowness, StartLimit: r.limit,
		FailureRate: r.currentFailureRate(now),
		EjectedMS:   max(r.ejectedUntil.Sub(now), 0).Milliseconds(),
		BackoffMS:   max(r.backoffUntil.Sub(now), 0).Milliseconds(),
	}
	if shared {
		c.Load = r.sharedLoad()
	}
	limit := p.limitOf(r.Identity, now)
	c.PerSecond, c.Permits = limit.PerSecond, limit.Permits
	return c
}

// explainRefusal returns the refusal of a request that no target can take, at once or after
// it has been queued without a change.
func (p *Picker) explainRefusal(now time.Time, q Request) *RefusalNotice {
	if r := p.refuse(now, &q); r != nil {
		return newRefusalNotice(r, 0)
	}
	if at, ok := p.placeOf(now, &q, p.aheadOf(now, &q)); ok {
		if r := p.refuseAt(now, &q, at); r != nil {
			return newRefusalNotice(r, 0)
		}
	}
	if _, known := p.expected[q.Model]; q.Model != "" && !known && !p.waitsForPermit(now, &q) {
		// The request as it will be once its queue time is over. Permits are not asked for as
		// of a later time, since that would expire them.
		wait := p.maxQueueTime(&q) + 1
		aged := q
		aged.Arrived, aged.Deadline = q.Arrived.Add(-wait), q.Deadline.Add(-wait)
		if r := p.refuse(now, &aged); r != nil {
			return newRefusalNotice(r, wait)
		}
	}
	if r := p.refuse(q.Deadline, &q); r != nil {
		return newRefusalNotice(r, q.Deadline.Sub(now))
	}
	return nil
}

// aheadOf returns how many queued requests are ahead of a request for each target's permits.
func (p *Picker) aheadOf(now time.Time, q *Request) map[fleet.Identity]int {
	ahead := make(map[fleet.Identity]int)
	if !p.share.InForce() {
		return ahead
	}
	mine := &queuedRequest{req: *q}
	for _, w := range p.queue {
		if compareQueued(w, mine) > 0 {
			break
		}
		if at, ok := p.placeOf(now, &w.req, ahead); ok {
			ahead[at.target]++
		}
	}
	return ahead
}

func newRefusalNotice(r *Refusal, after time.Duration) *RefusalNotice {
	return &RefusalNotice{Reason: r.Reason, RetryAfterMS: r.RetryAfter.Milliseconds(), AfterMS: after.Milliseconds()}
}
