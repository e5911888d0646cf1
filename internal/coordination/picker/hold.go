package picker

import (
	"maps"
	"math"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/load"
)

const (
	// holdMargin is the multiple of the mean level of all teams from which on a team is
	// held back, releaseMargin that below which it no longer is. Rates of a few requests
	// per second vary by about a third.
	holdMargin    = 1.3
	releaseMargin = 0.7
	// ownHalfLife is the half-life of a team's use at this instance, the same as that of
	// the rates in load snapshots, which it is compared with.
	ownHalfLife = 1500 * time.Millisecond
	// minOwnUse is the use of a team below which it is forgotten, in quotas.
	minOwnUse = 1e-6
	// holdBurst is the time over which an unused budget accumulates.
	holdBurst = 500 * time.Millisecond
	// waitingDelay is the time in the queue from which on a request lacks a target.
	waitingDelay = 500 * time.Millisecond
)

// hold limits what a team uses at this instance while it has more than its share of all
// instances and other teams wait elsewhere. Order alone cannot give those their share: a
// target's slot that becomes free is known first to the instance that has used it, which
// would give it to the same team again.
type hold struct {
	// rate is in quotas, budget is what the team has left as of at, in seconds of its
	// quota.
	rate, budget float64
	at           time.Time
}

// HoldChange reports that this instance has begun or ceased to hold back a team.
type HoldChange struct {
	Team string
	// Held reports whether the team is held back from now on.
	Held bool
	// Use is the team's use at all instances and Mean the mean of all teams, in quotas. Age
	// is the age of the snapshot that says so.
	Use, Mean float64
	Age       time.Duration
}

// WithHoldObserver calls f when a team begins or ceases to be held back; f must not block.
func WithHoldObserver(f func(HoldChange)) Option {
	return func(p *Picker) { p.teams.onHold = f }
}

// endHolds ends all holds, for want of a recent snapshot.
func (p *Picker) endHolds(now time.Time) {
	for team := range p.teams.holds {
		p.setHold(now, team, nil)
	}
}

// setHold sets or, with nil, ends the hold of a team.
func (p *Picker) setHold(now time.Time, team string, h *hold) {
	t := &p.teams
	if h == nil && t.holds[team] == nil {
		return
	}
	t.holds[team] = h
	if h == nil {
		delete(t.holds, team)
	}
	age, _ := p.view.Age(now)
	t.onHold(HoldChange{Team: team, Held: h != nil, Use: p.view.Use()[team] / useUnits, Mean: t.level, Age: age})
}

// refill adds to the budget what has become due.
func (h *hold) refill(now time.Time) {
	h.budget = min(h.budget+h.rate*now.Sub(h.at).Seconds(), h.rate*holdBurst.Seconds())
	h.at = now
}

// holdOf returns the hold that a request of a team for a model is subject to, nil for none.
// Where no other team waits for the model, the team may use all of it.
func (p *Picker) holdOf(team, service, model string) *hold {
	h := p.teams.holds[team]
	if h == nil || !p.view.Waiting().HasOther(load.Model{Service: service, Model: model}, team) {
		return nil
	}
	return h
}

// isHeld reports whether a request's team has used up the budget that its hold leaves it.
func (p *Picker) isHeld(now time.Time, q *Request) bool {
	h := p.holdOf(q.Team, q.Service, q.Model)
	if h == nil {
		return false
	}
	h.refill(now)
	return h.budget <= 0
}

// waitingTeams returns the teams whose requests have been queued for waitingDelay although
// they are not held back and targets serve their model.
func (p *Picker) waitingTeams(now time.Time) load.Waiting {
	out := make(load.Waiting)
	for _, w := range p.queue {
		q := &w.req
		if q.Team == "" || now.Sub(q.Arrived) < waitingDelay || p.teams.holds[q.Team] != nil ||
			len(p.copiesFor(q, p.hasFreshUpdates(now))) == 0 {
			continue
		}
		out.Add(load.Model{Service: q.Service, Model: q.Model}, q.Team)
	}
	return out
}

// renewHolds adapts the holds to a new snapshot.
func (p *Picker) renewHolds(now time.Time) {
	t := &p.teams
	decay := math.Exp2(-now.Sub(t.heldAt).Seconds() / ownHalfLife.Seconds())
	t.heldAt = now
	for team, n := range t.own {
		t.own[team] = n * decay
	}
	for team, n := range t.sent {
		t.own[team] += n * math.Ln2 / ownHalfLife.Seconds()
	}
	for team := range t.own {
		p.renewHold(now, team)
	}
	maps.DeleteFunc(t.own, func(_ string, n float64) bool { return n < minOwnUse })
	clear(t.sent)
}

// renewHold adapts the hold of a team. Of the team's share this instance gets the part that
// it has of the team's use.
func (p *Picker) renewHold(now time.Time, team string) {
	t := &p.teams
	h, use, share := t.holds[team], p.view.Use()[team]/useUnits, t.level
	if !p.view.Waiting().HasOtherAnywhere(team) || use < releaseMargin*share {
		p.setHold(now, team, nil)
		return
	}
	if h == nil {
		if use < holdMargin*share {
			return
		}
		h = &hold{at: now}
		p.setHold(now, team, h)
	}
	h.refill(now)
	h.rate = share * min(t.own[team]/use, 1)
}
