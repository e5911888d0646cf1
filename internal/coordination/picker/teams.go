package picker

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/coordination/fairq"
)

// leadHorizon is the time over which the use of a team by all instances in excess of its
// share counts. Rates in load snapshots cover about as much.
const leadHorizon = 2 * time.Second

// useUnits is the number of units in load reports in which a team uses its quota's amount
// per second, 1 for a team without a quota.
const useUnits = 1000

// useResolution is the number of steps into which load reports divide a unit.
const useResolution = 100

// teamQueue holds the queued requests of a team with one priority in their order. Those
// before next have been tried in the current pass.
type teamQueue struct {
	waiting []*queuedRequest
	next    int
}

// teamSchedule orders the teams of a priority, teamFlow is one of them.
type (
	teamSchedule = fairq.Schedule[string, teamQueue]
	teamFlow     = fairq.Flow[string, teamQueue]
)

// teamQueues orders the queued requests by priority, then by the teams' virtual time,
// within a team by the time at which queueing ends.
type teamQueues struct {
	schedules map[int]*teamSchedule
	// queued counts the queued requests by service and model.
	queued map[modelKey]int
	// use is what each team has used since the last load report, over its weight.
	use map[string]float64
	// leads holds what teams have used over all instances beyond their share as of the
	// last snapshot, and level the mean use of the teams, both over their weights.
	leads map[string]float64
	level float64
	// holds limits the teams that have much more than their share while others wait. sent
	// is what each team has used here since the last snapshot, own its rate up to that.
	holds     map[string]*hold
	sent, own map[string]float64
	onHold    func(HoldChange)
	// heldAt is when the holds were last renewed.
	heldAt time.Time
}

func newTeamQueues() teamQueues {
	return teamQueues{
		schedules: make(map[int]*teamSchedule), queued: make(map[modelKey]int),
		use:   make(map[string]float64),
		holds: make(map[string]*hold), onHold: func(HoldChange) {}, sent: make(map[string]float64), own: make(map[string]float64),
	}
}

// compareInTeam orders the requests of a team by the time at which their queueing ends,
// those without a team by their arrival.
func compareInTeam(x, y *queuedRequest) int {
	if x.req.Team == "" {
		return x.req.Arrived.Compare(y.req.Arrived)
	}
	return cmp.Or(x.req.until().Compare(y.req.until()), x.req.Arrived.Compare(y.req.Arrived))
}

// addToTeam adds a queued request to the queue of its team.
func (p *Picker) addToTeam(w *queuedRequest) {
	t, q := &p.teams, &w.req
	s := t.schedules[q.Priority]
	if s == nil {
		s = fairq.New[string, teamQueue]()
		t.schedules[q.Priority] = s
	}
	f := s.Ensure(q.Team)
	f.SetLead(t.leads[q.Team])
	s.Add(f)
	f.Items.waiting = insertQueued(f.Items.waiting, w, compareInTeam)
	t.queued[modelKey{q.Service, q.Model}]++
}

// removeFromTeam removes a request from the queue of its team.
func (p *Picker) removeFromTeam(w *queuedRequest) {
	t, q := &p.teams, &w.req
	s := t.schedules[q.Priority]
	f := s.Flow(q.Team)
	i := slices.Index(f.Items.waiting, w)
	f.Items.waiting = slices.Delete(f.Items.waiting, i, i+1)
	s.Remove(f)
	key := modelKey{q.Service, q.Model}
	t.queued[key]--
	if t.queued[key] == 0 {
		delete(t.queued, key)
	}
}

// takesTurn reports whether a request that has just arrived must not be assigned before
// those that are queued for the same model. Without teams it may: targets that become free
// are given to queued requests first.
func (p *Picker) takesTurn(q *Request) bool {
	return q.Team != "" && (p.teams.queued[modelKey{q.Service, q.Model}] > 0 || p.teams.holds[q.Team] != nil)
}

// pass is one pass over the queue.
type pass struct {
	now time.Time
	// only restricts the pass to the service and model of a request, nil for all.
	only *Request
	// full holds what no target can take in this pass, lastFull what was last found so.
	full     map[copiesKey]bool
	lastFull copiesKey
}

// serve assigns queued requests to targets in their order and refuses those for which
// further waiting cannot help. Requests that no target can take are passed over. If only
// is not nil, just the requests for its service and model are considered.
func (p *Picker) serve(now time.Time, only *Request) {
	if len(p.queue) == 0 {
		return
	}
	if p.teams.leads != nil && !p.usesSnapshot(now) {
		p.setLeads(now)
		p.endHolds(now)
	}
	run := pass{now: now, only: only, full: make(map[copiesKey]bool)}
	for _, priority := range slices.Sorted(maps.Keys(p.teams.schedules)) {
		s := p.teams.schedules[priority]
		for f := range s.Active() {
			f.Items.next = 0
		}
		s.Walk(func(f *teamFlow) bool { return p.serveTeam(&run, s, f) })
	}
	p.compact()
}

// serveTeam assigns the next request of a team that a target can take, and reports whether
// there was one.
func (p *Picker) serveTeam(run *pass, s *teamSchedule, f *teamFlow) bool {
	for f.Items.next < len(f.Items.waiting) {
		w := f.Items.waiting[f.Items.next]
		if run.only != nil && (w.req.Service != run.only.Service || w.req.Model != run.only.Model) {
			f.Items.next++
			continue
		}
		if r := p.tryInPass(run, &w.req); r != nil {
			s.Charge(f, w.req.amount(), w.req.weight())
			p.leave(w, acquireResult{reservation: r})
			return true
		}
		if refusal := p.refuseInPass(run, &w.req); refusal != nil {
			p.leave(w, acquireResult{err: refusal})
			continue
		}
		f.Items.next++
	}
	return false
}

// tryInPass is tryAcquire for a request in the queue. It tries no second request where the
// first has shown that there is no room, unless they may differ in what they may use.
func (p *Picker) tryInPass(run *pass, q *Request) *Reservation {
	key := copiesKey{service: q.Service, model: q.Model, adapter: q.Adapter}
	if key == run.lastFull || p.isHeld(run.now, q) {
		return nil
	}
	if run.full[key] {
		run.lastFull = key
		return nil
	}
	r := p.tryAcquire(run.now, q)
	if r == nil && len(q.Exclude) == 0 && !p.hasRamps(run.now, q) {
		run.full[key] = true
	}
	return r
}

// refuseInPass is refuse for a request in the queue. A pass for a request that has just
// arrived judges no other.
func (p *Picker) refuseInPass(run *pass, q *Request) *Refusal {
	if run.only != nil && run.only != q {
		return nil
	}
	return p.refuse(run.now, q)
}

// hasRamps reports whether a target of the request has a limit, which only some requests
// may use.
func (p *Picker) hasRamps(now time.Time, q *Request) bool {
	return slices.ContainsFunc(p.copiesFor(q, p.hasFreshUpdates(now)), func(r *target) bool { return r.limit > 0 })
}

// countUse records that a request of a team is sent to a target, or with a negative number
// that the target has not run it. used is its amount over its weight.
func (p *Picker) countUse(team, service, model string, used float64) {
	if team == "" {
		return
	}
	t := &p.teams
	t.use[team] += used
	t.sent[team] += used
	if h := p.holdOf(team, service, model); h != nil {
		h.budget -= used
	}
}

// setLeads derives from the load snapshot what the teams have received elsewhere. Without
// a recent snapshot only the use at this instance counts.
func (p *Picker) setLeads(now time.Time) {
	t := &p.teams
	t.leads = nil
	if p.usesSnapshot(now) {
		t.leads, t.level = leadsOf(p.view.Use())
	}
	for _, s := range t.schedules {
		for f := range s.Active() {
			f.SetLead(t.leads[f.Key])
		}
	}
}

// leadsOf returns the use of each team beyond its share over leadHorizon, and the mean use,
// given the use in thousandths of the teams' quotas. Shares are equal in that unit.
func leadsOf(use map[string]float64) (leads map[string]float64, mean float64) {
	for n := range maps.Values(use) {
		mean += n / useUnits / float64(len(use))
	}
	leads = make(map[string]float64)
	for team, n := range use {
		if excess := n/useUnits - mean; excess > 0 {
			leads[team] = excess * leadHorizon.Seconds()
		}
	}
	return leads, mean
}

// takeUse returns the teams' use since the last call, in thousandths of a second of their
// quotas.
func (p *Picker) takeUse() map[string]float64 {
	out := make(map[string]float64)
	for team, used := range p.teams.use {
		// What was not run may have been in the report before.
		if used > 0 {
			out[team] = math.Round(used*useUnits*useResolution) / useResolution
		}
		if used >= 0 {
			delete(p.teams.use, team)
		}
	}
	return out
}

func (q *Request) amount() float64 {
	if q.Amount > 0 {
		return q.Amount
	}
	return 1
}

func (q *Request) weight() float64 {
	if q.Weight > 0 {
		return q.Weight
	}
	return 1
}
