package picker

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// teamLoad is the load of one team: requests of amount tokens at random times, perSecond on
// average, at the instances that at returns.
type teamLoad struct {
	team      string
	model     string
	amount    float64
	perSecond float64
	at        func(*rand.Rand) int
}

// teamWorld is a world whose requests belong to teams, run for their amount in
// milliseconds and wait for at most 4 s.
type teamWorld struct {
	*world
	slots            int
	waiting, pending []*queuedRequest
	// pending are the requests that have arrived since waiting was last looked through.
	// got and asked are the tokens of each team that were served and that arrived, since
	// the last call of reset; refused counts its requests that got no target.
	got, asked map[string]float64
	refused    map[string]int
}

// newTeamWorld returns a teamWorld with targets of the given slots.
func newTeamWorld(instances, targets, slots int) *teamWorld {
	w := &teamWorld{world: newWorld(instances, targets, time.Second), slots: slots}
	for _, p := range w.pickers {
		for _, r := range p.targets {
			r.Slots, r.update.Slots = slots, slots
		}
		p.dropCopies()
	}
	w.reset()
	return w
}

// reset begins a new measurement.
func (w *teamWorld) reset() {
	w.got, w.asked, w.refused = make(map[string]float64), make(map[string]float64), make(map[string]int)
}

// offer lets a load arrive from now on.
func (w *teamWorld) offer(l teamLoad) {
	interval := time.Duration(w.random.ExpFloat64() / l.perSecond * float64(time.Second))
	w.timer.After(interval, func() {
		w.offer(l)
		w.arrive(w.pickers[l.at(w.random)], l)
	})
}

// arrive lets a request arrive at an instance as Acquire does.
func (w *teamWorld) arrive(p *Picker, l teamLoad) {
	now := w.timer.Now()
	w.asked[l.team] += l.amount
	w.enqueue(p, Request{
		Service: "llm", Model: l.model, Team: l.team, Amount: l.amount, Arrived: now,
		Deadline: now.Add(time.Minute), WaitUntil: now.Add(4 * time.Second),
	})
}

// enqueue is Acquire without the wait for the result.
func (w *teamWorld) enqueue(p *Picker, req Request) {
	p.mu.Lock()
	defer p.mu.Unlock()
	q := &queuedRequest{result: make(chan acquireResult, 1), req: req}
	if req.Arrived.Equal(w.timer.Now()) {
		p.countArrival(&q.req)
	}
	p.expected = map[string]time.Time{req.Model: w.timer.Now()}
	p.enqueue(q)
	p.serve(w.timer.Now(), &q.req)
	p.scheduleCheckLocked()
	w.pending = append(w.pending, q)
}

// runFor advances the time and takes what the pickers have decided every 5 ms.
func (w *teamWorld) runFor(d time.Duration) {
	const step = 5 * time.Millisecond
	for range int(d / step) {
		w.timer.Advance(step)
		w.waiting = append(w.waiting, w.pending...)
		w.pending = nil
		w.waiting = slices.DeleteFunc(w.waiting, w.take)
	}
}

// take takes the result of a request if there is one.
func (w *teamWorld) take(q *queuedRequest) bool {
	select {
	case a := <-q.result:
		if a.reservation == nil {
			w.refused[q.req.Team]++
			return true
		}
		w.start(q, a.reservation)
		return true
	default:
		return false
	}
}

// start runs a request at its target, which rejects it if it is full.
func (w *teamWorld) start(q *queuedRequest, s *Reservation) {
	r := w.byID[s.Target.ID]
	if r.running >= w.slots {
		r.rejected++
		s.Release(Outcome{Rejected: true})
		w.enqueue(s.picker, q.req)
		return
	}
	r.running++
	w.got[q.req.Team] += q.req.Amount
	w.timer.After(time.Duration(q.req.Amount)*time.Millisecond, func() {
		r.running--
		s.Release(Outcome{Answered: true})
	})
}

// serveOnly makes a target serve only one model.
func (w *teamWorld) serveOnly(id, model string) {
	for _, p := range w.pickers {
		r := p.targets[id]
		r.Models = []fleet.Loaded{{Model: model}}
		r.update.Models = r.Models
		p.dropCopies()
	}
}

func anywhere(r *rand.Rand) int   { return r.IntN(84) }
func first(*rand.Rand) int        { return 0 }
func firstThree(r *rand.Rand) int { return r.IntN(3) }

// offerTeams offers a hot team beside fifteen usual ones, of which each asks for
// tokensPerSecond and the hot one for ten times that.
func (w *teamWorld) offerTeams(amount, tokensPerSecond float64, hotAt, usualAt func(*rand.Rand) int) {
	for i := range 15 {
		w.offer(teamLoad{fmt.Sprintf("team%02d", i), "m", amount, tokensPerSecond / amount, usualAt})
	}
	w.offer(teamLoad{"hot", "m", amount, 10 * tokensPerSecond / amount, hotAt})
}

// least returns the least part of a fair share that a usual team got, less one request of
// the given amount. The fair share is that of total, or what the team has asked for.
func (w *teamWorld) least(total, amount float64) float64 {
	least := 1.0
	for team, asked := range w.asked {
		if team != "hot" {
			fair := min(asked, total/16)
			least = min(least, (w.got[team]+amount)/fair)
		}
	}
	return least
}

// total returns the tokens of all teams that were served.
func (w *teamWorld) total() float64 {
	sum := 0.0
	for n := range maps.Values(w.got) {
		sum += n
	}
	return sum
}

// TestHotTeam guards against a hot team that takes the shares of others. Load: one instance
// with room for 16,000 tokens/s, fifteen teams with 1,200 tokens/s each and one with
// 12,000, in requests of 100 tokens.
func TestHotTeam(t *testing.T) {
	w := newTeamWorld(1, 1, 16)
	w.offerTeams(100, 1200, first, first)
	w.runFor(5 * time.Second)
	w.reset()
	w.runFor(10 * time.Second)
	if got := w.least(w.total(), 100); got < 1 {
		t.Errorf("a team got %.2f of its fair share: %v of %v", got, w.got, w.asked)
	}
}

// TestRequestSizes guards against a team with large requests that starves beside small
// ones, and the reverse. Load: one instance with room for 16,000 tokens/s, two teams with
// 20,000 tokens/s each, one in requests of 2,000 tokens, one in requests of 200.
func TestRequestSizes(t *testing.T) {
	w := newTeamWorld(1, 1, 16)
	w.offer(teamLoad{"large", "m", 2000, 10, first})
	w.offer(teamLoad{"small", "m", 200, 100, first})
	w.runFor(5 * time.Second)
	w.reset()
	w.runFor(10 * time.Second)
	if math.Abs(w.got["large"]-w.got["small"]) > 2*2000 {
		t.Errorf("got %v", w.got)
	}
}

// TestRareModel guards against requests for a full model that block or delay those for
// another. Load: one instance, a hot team with twelve times the room for model m and few
// requests for a rare model, and a usual team with requests for both; the target of the
// rare model is half busy.
func TestRareModel(t *testing.T) {
	w := newTeamWorld(1, 2, 8)
	w.serveOnly("e1", "rare")
	w.offer(teamLoad{"hot", "m", 400, 240, first})
	w.offer(teamLoad{"usual", "m", 400, 5, first})
	w.offer(teamLoad{"hot, rare", "rare", 400, 5, first})
	w.offer(teamLoad{"usual, rare", "rare", 400, 5, first})
	w.runFor(10 * time.Second)
	for _, team := range []string{"usual", "hot, rare", "usual, rare"} {
		if w.refused[team] > 0 || w.got[team] < w.asked[team]-10*400 {
			t.Errorf("team %s got %.0f of %.0f, %d refused", team, w.got[team], w.asked[team], w.refused[team])
		}
	}
}

// TestSharesOfFleet guards against queues that are each fair while the fleet is not. Load:
// 84 instances with snapshots every 0.52 s, 12 targets with 16 slots, requests of 2,000
// tokens that run for 2 s, fifteen teams with 14,000 tokens/s each at all instances and one
// with 140,000 at three. The bounds allow for about 120 requests of a team.
func TestSharesOfFleet(t *testing.T) {
	w := newTeamWorld(84, 12, 16)
	w.interval = 520 * time.Millisecond
	w.offerTeams(2000, 14_000, firstThree, anywhere)
	w.runFor(10 * time.Second)
	w.reset()
	// A hold ends while the team has less than its share, so one moment says little.
	const samples = 30
	held := 0
	for range samples {
		w.runFor(time.Second)
		if w.pickers[0].teams.holds["hot"] != nil {
			held++
		}
		if w.pickers[5].teams.holds["hot"] != nil {
			t.Error("the hot team is held back where it does not come")
		}
	}
	if held < samples/2 {
		t.Errorf("the hot team is held back at %d of %d times where it comes", held, samples)
	}
	least, hot := w.least(w.total(), 2000), w.got["hot"]*16/w.total()
	report(t, least < 0.7 || hot > 1.5, "least usual team %.2f of its fair share, hot team %.2f; %.0f tokens", least, hot, w.total())
}

// TestWaitUntil guards against a request that is queued for longer than its caller waits,
// and against callers that are refused together and come again together. Load: requests
// for a full model without and with an expected load.
func TestWaitUntil(t *testing.T) {
	r := newFixture()
	now := r.timer.Now()
	r.ApplyUpdates(nil, map[string]time.Time{"soon": now.Add(time.Second), "late": now.Add(3 * time.Second)})
	q := r.request("soon")
	q.WaitUntil = now.Add(2*time.Second + 10*time.Millisecond)
	queued := r.acquire(t.Context(), q)
	r.waitForQueue(t, 1)
	r.timer.Advance(q.WaitUntil.Sub(now) - time.Millisecond)
	r.waitForQueue(t, 1)
	r.timer.Advance(time.Millisecond)
	if got := queued.refusal(t); got.Reason != ReasonDeadline {
		t.Errorf("refused with %s", got.Reason)
	}
	q = r.request("late")
	q.WaitUntil = now.Add(2500 * time.Millisecond)
	seen := make(map[time.Duration]bool)
	for range 20 {
		refusal := r.acquire(t.Context(), q).refusal(t)
		left := now.Add(3 * time.Second).Sub(r.timer.Now())
		if refusal.Reason != ReasonTooLate || refusal.RetryAfter < left || refusal.RetryAfter > left*11/10 || seen[refusal.RetryAfter] {
			t.Errorf("refused with %s, Retry-After %v", refusal.Reason, refusal.RetryAfter)
		}
		seen[refusal.RetryAfter] = true
	}
}

// TestOrderWithoutTeams guards against a change of the order without teams: priority, then
// arrival. Load: random priorities and arrivals, one slot.
func TestOrderWithoutTeams(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newFixture()
		var want, got []*queuedRequest
		for range rapid.IntRange(1, 30).Draw(t, "requests") {
			q := r.request("m")
			q.Priority = rapid.IntRange(0, 2).Draw(t, "priority")
			q.Arrived = q.Arrived.Add(-time.Duration(rapid.IntRange(0, 5).Draw(t, "age")) * time.Millisecond)
			q.Amount = float64(rapid.IntRange(0, 1000).Draw(t, "amount"))
			w := &queuedRequest{req: q, result: make(chan acquireResult, 1)}
			r.enqueue(w)
			want = append(want, w)
		}
		slices.SortStableFunc(want, compareQueued)
		one := engineTarget("one", "a1", "m")
		one.Slots = 1
		r.SetTarget(one)
		for range want {
			i := slices.IndexFunc(want, func(w *queuedRequest) bool { return len(w.result) > 0 })
			got = append(got, want[i])
			(<-want[i].result).reservation.Release(Outcome{Answered: true})
		}
		if !slices.Equal(want, got) {
			t.Errorf("order of %d requests differs", len(want))
		}
	})
}

// BenchmarkQueue measures one request that leaves and one that joins a queue of 1,000
// requests of sixteen teams for a full model.
func BenchmarkQueue(b *testing.B) {
	r := newFixture()
	r.SetTarget(engineTarget("one", "a1", "other"))
	r.ApplyUpdates(nil, map[string]time.Time{"m": r.timer.Now().Add(time.Second)})
	list := make([]*queuedRequest, 1000)
	for i := range list {
		q := r.request("m")
		q.Team, q.Amount = fmt.Sprint("team", i%16), 100
		list[i] = &queuedRequest{req: q, result: make(chan acquireResult, 1)}
		r.enqueue(list[i])
	}
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		w := list[i%len(list)]
		r.leave(w, acquireResult{})
		r.compact()
		<-w.result
		w.hasLeft = false
		r.enqueue(w)
		r.serve(r.timer.Now(), &w.req)
	}
}
