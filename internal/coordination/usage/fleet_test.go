package usage

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"
)

const (
	step         = 5 * time.Millisecond
	replyTimeout = 250 * time.Millisecond
	retryDelay   = 50 * time.Millisecond
	patience     = time.Second
)

var (
	start  = time.Unix(1000, 0)
	bounds = Bounds{Window: 8 * time.Second, Excess: 0.1, Slack: 11_000}
)

// world is a fleet of Shares with one Ledger on virtual time. It stands for what package
// edge and the network do.
type world struct {
	random *rand.Rand
	now    time.Time
	ledger *Ledger
	term   int64
	holder bool
	// former is the ledger of the last holder, until endedAt, if it can be handed over.
	former  *Ledger
	endedAt time.Time
	// stoppedAt is when the ledger of a holder that still answers has stopped, zero if it has not.
	stoppedAt time.Time
	// handoverBytes is the size of the last handover.
	handoverBytes int
	// isDead means that the address of the last holder refuses new connections.
	isDead  bool
	teams   []*testTeam
	members []*testMember
	events  map[int64][]func()
	// loss is the probability that a message is lost or late, and waste the part of the
	// requests that find no target.
	loss, waste float64
	// isBusy means that requests wait for a target until their permits have almost expired.
	isBusy bool
	// patience is how long a request waits for its permit.
	patience time.Duration
}

type testTeam struct {
	Limit
	// load is the demand as a multiple of the rate, spread over some instances.
	load     float64
	at       []int
	smallest float64
	// spread is the difference between the largest and the smallest amount.
	spread float64
	owed   float64
	// arrivals are the amounts that reached targets, unused those returned by requests.
	arrivals []arrival
	offered  float64
	requests int
	unused   float64
}

type arrival struct {
	at     time.Time
	amount float64
}

type testMember struct {
	share       *Share
	cut         bool
	frozenUntil time.Time
	retryAt     time.Time
}

func newWorld(seed uint64, instances int, teams ...*testTeam) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, teams: teams, holder: true, term: 1,
		events: make(map[int64][]func()), patience: patience,
	}
	for i := range instances {
		w.members = append(w.members, &testMember{})
		w.restart(i)
	}
	w.newTerm()
	return w
}

func (w *world) limits() []Limit {
	var out []Limit
	for _, t := range w.teams {
		out = append(out, t.Limit)
	}
	return out
}

func (w *world) newTerm() {
	w.term++
	w.ledger = NewLedger(w.term, w.now)
	if successor := w.members[w.random.IntN(len(w.members))]; w.isDead && !successor.cut {
		w.ledger.SetDead(successor.share.DeadAt())
	}
	w.takeOver()
	w.holder, w.isDead, w.stoppedAt = true, false, time.Time{}
	w.ledger.SetTeams(w.now, bounds, w.limits())
}

// takeOver hands the ledger of the former holder over, in JSON as on the network.
func (w *world) takeOver() {
	if w.former == nil || w.now.Sub(w.endedAt) > MaxHandoverAge {
		return
	}
	data, err := json.Marshal(w.former.HandOver(w.now, w.endedAt))
	var h Handover
	if err = errors.Join(err, json.Unmarshal(data, &h)); err != nil {
		panic(err)
	}
	w.handoverBytes = len(data)
	w.ledger.TakeOver(w.now, &h)
	w.former = nil
}

func (w *world) restart(i int) {
	s := NewShare(fmt.Sprintf("i%d", i), w.random.Float64)
	s.SetTeams(bounds, w.limits())
	*w.members[i] = testMember{share: s}
}

func (w *world) at(d time.Duration, do func()) {
	k := int64(w.now.Add(d+step-1).Sub(start) / step)
	k = max(k, int64(w.now.Sub(start)/step)+1)
	w.events[k] = append(w.events[k], do)
}

func (w *world) within(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		k := int64(w.now.Sub(start) / step)
		for _, do := range w.events[k] {
			do()
		}
		delete(w.events, k)
		for _, t := range w.teams {
			w.demand(t)
		}
		for _, m := range w.members {
			w.exchange(m)
		}
	}
}

// demand has a team's callers send what is due.
func (w *world) demand(t *testTeam) {
	for t.owed += t.load * t.Rate * step.Seconds(); t.owed > 0; {
		spread := t.spread
		if spread == 0 {
			spread = min(10*t.smallest, 15_000-t.smallest)
		}
		amount := t.smallest + w.random.Float64()*spread
		t.owed -= amount
		t.offered += amount
		t.requests++
		m := w.members[t.at[w.random.IntN(len(t.at))]]
		if w.now.Before(m.frozenUntil) {
			continue
		}
		d := Demand{Team: t.Team, Amount: amount, Priority: w.random.IntN(3), Until: w.now.Add(w.patience)}
		share := m.share
		if out, pending := share.Request(w.now, d, func(o Outcome) { w.use(m, share, t, o) }); pending == nil {
			w.use(m, share, t, out)
		}
	}
}

// use sends a request with a permit, after a wait for a target.
func (w *world) use(m *testMember, share *Share, t *testTeam, o Outcome) {
	if o.Status != Granted {
		return
	}
	if w.random.Float64() < w.waste {
		t.unused += o.Permit.Amount
		share.Return(o.Permit)
		return
	}
	wait := max(o.Permit.Start.Sub(w.now), 0) + w.within(30*time.Millisecond)
	if w.isBusy {
		wait = o.Permit.Until.Sub(w.now) - w.within(30*time.Millisecond)
	}
	w.at(wait, func() {
		switch {
		case m.share != share:
		case w.now.Before(m.frozenUntil):
			w.at(m.frozenUntil.Sub(w.now), func() { w.send(share, t, o.Permit) })
		default:
			w.send(share, t, o.Permit)
		}
	})
}

func (w *world) send(share *Share, t *testTeam, p Permit) {
	if !w.now.Before(p.Until) {
		t.unused += p.Amount
		share.Return(p)
		return
	}
	w.at(time.Millisecond+w.within(30*time.Millisecond), func() {
		t.arrivals = append(t.arrivals, arrival{w.now, p.Amount})
	})
}

// exchange sends the message of an instance that is due.
func (w *world) exchange(m *testMember) {
	if w.now.Before(m.frozenUntil) {
		return
	}
	m.share.Expire(w.now)
	heartbeat, isUsed := m.share.NextHeartbeat(w.now)
	if w.now.Before(m.retryAt) || !m.share.IsMessageDue() && (!isUsed || heartbeat > 0) {
		return
	}
	share := m.share
	sent := share.Message(w.now)
	ledger, delay := w.ledger, w.delay()
	if w.isDead && !m.cut {
		w.at(min(delay, replyTimeout), func() { w.fail(m, share, sent, HolderDead) })
		return
	}
	w.at(delay, func() {
		if m.cut || ledger != w.ledger || !w.holder && w.stoppedAt.IsZero() {
			return
		}
		if !w.stoppedAt.IsZero() {
			stop := ledger.Stop(w.now, w.stoppedAt, sent.Message)
			w.at(w.delay(), func() {
				if m.share == share && !m.cut && !sent.isDone {
					m.retryAt = w.now.Add(retryDelay)
					w.thaw(m, func() { share.Stopped(w.now, sent, stop) })
				}
			})
			return
		}
		r := ledger.Answer(w.now, len(w.members), sent.Message)
		w.at(w.delay(), func() {
			if m.share == share && !m.cut && w.now.Sub(sent.at) < replyTimeout {
				w.thaw(m, func() { share.Apply(w.now, sent, r) })
			}
		})
	})
	w.at(replyTimeout, func() {
		why := NoReply
		if !w.holder && !m.cut && !w.isDead {
			why = NotHolder
		}
		w.fail(m, share, sent, why)
	})
}

// fail ends a message without a reply.
func (w *world) fail(m *testMember, share *Share, sent *Sent, why Failure) {
	if m.share == share && !sent.isDone {
		m.retryAt = w.now.Add(retryDelay)
		w.thaw(m, func() { share.Fail(w.now, sent, why) })
	}
}

// thaw calls do when an instance is not frozen.
func (w *world) thaw(m *testMember, do func()) {
	if wait := m.frozenUntil.Sub(w.now); wait > 0 {
		w.at(wait, do)
		return
	}
	do()
}

// delay is the time of one way over the network.
func (w *world) delay() time.Duration {
	if w.random.Float64() < w.loss {
		return w.within(2 * time.Second)
	}
	return time.Millisecond + w.within(20*time.Millisecond)
}

// changeHolder replaces the holder after a gap without one.
func (w *world) changeHolder(gap time.Duration) {
	w.holder, w.former, w.stoppedAt = false, nil, time.Time{}
	w.at(max(gap, HolderGap), w.newTerm)
}

// killHolder ends the holder's process, and replaces it after a gap.
func (w *world) killHolder(gap time.Duration) {
	w.isDead = true
	w.changeHolder(gap)
}

// releaseLease ends the term of a holder that hands its ledger over to its successor.
func (w *world) releaseLease(gap time.Duration) {
	stoppedAt := w.now
	if !w.stoppedAt.IsZero() {
		stoppedAt = w.stoppedAt
	}
	w.changeHolder(gap)
	w.former, w.endedAt, w.stoppedAt = w.ledger, stoppedAt, stoppedAt
}

// stopLedger stops the ledger of a holder that still answers, for a time after which it resumes, is
// handed over, or is succeeded by an empty one.
func (w *world) stopLedger(d time.Duration, end string) {
	if !w.holder || !w.stoppedAt.IsZero() {
		return
	}
	ledger, stoppedAt := w.ledger, w.now
	if w.stoppedAt = stoppedAt; end != "resumes" {
		d = max(d, HolderGap)
	}
	w.at(d, func() {
		switch {
		case w.ledger != ledger || !w.holder || w.stoppedAt != stoppedAt:
			return
		case end == "resumes":
			w.stoppedAt = time.Time{}
			return
		case end == "handed over":
			w.former, w.endedAt = ledger, stoppedAt
		}
		w.newTerm()
	})
}

// check looks for windows over the bound.
func (w *world) check(t rapid.TB) {
	t.Helper()
	for _, team := range w.teams {
		sum, most, first := 0.0, 0.0, 0
		for _, a := range team.arrivals {
			for sum += a.amount; a.at.Sub(team.arrivals[first].at) > bounds.Window; first++ {
				sum -= team.arrivals[first].amount
			}
			most = max(most, sum)
		}
		if allowed := bounds.MaxUse(team.Limit); most > allowed {
			t.Errorf("%s (%+v): %.0f in a window, allowed %.0f", team.Team, team.Limit, most, allowed)
		}
	}
}

// used returns the part of the quota that arrived since a time.
func (w *world) used(t *testTeam, from time.Time) float64 {
	sum := 0.0
	for _, a := range t.arrivals {
		if !a.at.Before(from) {
			sum += a.amount
		}
	}
	return sum / (t.Rate * w.now.Sub(from).Seconds())
}

func drawTeam(t *rapid.T, i, instances int) *testTeam {
	rate := rapid.SampledFrom([]float64{2700, 20_000, 230_000}).Draw(t, "rate")
	out := &testTeam{
		Limit:    Limit{Team: fmt.Sprintf("t%d", i), Rate: rate, Burst: rate * rapid.SampledFrom([]float64{0.2, 1, 2}).Draw(t, "burst"), Largest: 15_000},
		load:     rapid.SampledFrom([]float64{0.15, 0.55, 1.3, 7}).Draw(t, "load"),
		smallest: rapid.SampledFrom([]float64{200, 500, 4000}).Draw(t, "smallest"),
	}
	callers := rapid.IntRange(1, instances).Draw(t, "callers")
	for range callers {
		out.at = append(out.at, rapid.IntRange(0, instances-1).Draw(t, "at"))
	}
	return out
}

// TestNeverOverTheBound runs random fleets through kills, freezes, cuts, lost and late
// messages, changes of the holder, times without one and changes of the load. A fault in
// the calendar, the permits' times or the mode without a holder puts a window over the bound.
func TestNeverOverTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := rapid.SampledFrom([]int{6, 84, 300}).Draw(t, "instances")
		var teams []*testTeam
		for i := range rapid.IntRange(1, 3).Draw(t, "teams") {
			teams = append(teams, drawTeam(t, i, instances))
		}
		w := newWorld(rapid.Uint64().Draw(t, "seed"), instances, teams...)
		w.loss = rapid.SampledFrom([]float64{0, 0.01, 0.1}).Draw(t, "loss")
		w.waste = rapid.SampledFrom([]float64{0, 0.05, 0.5}).Draw(t, "waste")
		w.run(2 * time.Second)
		for range rapid.IntRange(1, 5).Draw(t, "faults") {
			w.fault(t)
			w.run(time.Duration(rapid.IntRange(100, 6000).Draw(t, "ms")) * time.Millisecond)
		}
		w.check(t)
	})
}

func (w *world) fault(t *rapid.T) {
	team := w.teams[rapid.IntRange(0, len(w.teams)-1).Draw(t, "team")]
	some := team.at[:rapid.IntRange(1, len(team.at)).Draw(t, "some")]
	d := w.within(9 * time.Second)
	switch rapid.SampledFrom([]string{"kill", "freeze", "cut", "busy", "holder", "dead", "release", "stop", "outage", "load"}).Draw(t, "fault") {
	case "kill":
		for _, i := range some {
			w.restart(i)
		}
	case "freeze":
		for _, i := range some {
			w.members[i].frozenUntil = w.now.Add(d)
		}
	case "cut":
		for _, i := range some {
			m := w.members[i]
			m.cut = true
			w.at(d, func() { m.cut = false })
		}
	case "busy":
		w.isBusy = true
		w.at(d, func() { w.isBusy = false })
	case "holder":
		w.changeHolder(w.within(3 * time.Second))
	case "dead":
		w.killHolder(w.within(3 * time.Second))
	case "release":
		w.releaseLease(w.within(MaxHandoverAge))
	case "stop":
		w.stopLedger(300*time.Millisecond+w.within(2700*time.Millisecond), rapid.SampledFrom([]string{"resumes", "handed over", "lost"}).Draw(t, "end"))
	case "outage":
		w.changeHolder(10 * time.Second)
	case "load":
		before := team.load
		team.load *= 7
		w.at(d, func() { team.load = before })
	}
}

// TestWorstCases brings about what comes closest to the bound: a full bucket and permits that
// are all used at the end of their time, alone and together with a change of the holder,
// with returned permits, with cut-off instances and without a holder.
func TestWorstCases(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world)
	}{
		{"permits used late", func(*world) {}},
		{"holder changes", func(w *world) { w.run(2 * time.Second); w.changeHolder(0) }},
		{"holder changes three times", func(w *world) {
			for range 3 {
				w.run(1500 * time.Millisecond)
				w.changeHolder(0)
			}
		}},
		{"holder dies", func(w *world) { w.killHolder(2 * time.Second) }},
		{"holder dies three times", func(w *world) {
			for range 3 {
				w.run(1500 * time.Millisecond)
				w.killHolder(0)
			}
		}},
		{"holder dies three times, each time for longer", func(w *world) {
			for range 3 {
				w.killHolder(1500 * time.Millisecond)
				w.run(2500 * time.Millisecond)
			}
		}},
		{"holder releases the lease three times", func(w *world) {
			for range 3 {
				w.run(time.Second)
				w.releaseLease(0)
			}
		}},
		{"holder releases the lease three times, successors are late", func(w *world) {
			for range 3 {
				w.releaseLease(MaxHandoverAge)
				w.run(MaxHandoverAge + time.Second)
			}
		}},
		{"ledger stops and resumes", func(w *world) { w.stopLedger(300*time.Millisecond, "resumes") }},
		{"ledger stops and resumes three times", func(w *world) {
			for range 3 {
				w.stopLedger(time.Second, "resumes")
				w.run(1200 * time.Millisecond)
			}
		}},
		{"ledger stops and is handed over", func(w *world) { w.stopLedger(1500*time.Millisecond, "handed over") }},
		{"ledger stops for long and is handed over", func(w *world) { w.stopLedger(2900*time.Millisecond, "handed over") }},
		{"ledger stops and is lost", func(w *world) { w.stopLedger(0, "lost") }},
		{"half of the requests return their permits late", func(w *world) { w.waste = 0.5; w.run(time.Second); w.waste = 0 }},
		{"half of the callers' instances cut off", func(w *world) {
			w.run(2 * time.Second)
			w.members[0].cut, w.members[1].cut = true, true
		}},
		{"no holder", func(w *world) { w.run(time.Second); w.holder = false }},
	} {
		t.Run(c.name, func(t *testing.T) {
			team := &testTeam{Limit: Limit{Team: "t", Rate: 230_000, Burst: 230_000, Largest: 15_000}, load: 0.1, smallest: 500, at: []int{0, 1, 2, 3}}
			w := newWorld(9, 6, team)
			w.run(5 * time.Second)
			team.load, w.isBusy = 5, true
			w.run(permitLifetime)
			w.isBusy = false
			c.do(w)
			w.run(12 * time.Second)
			w.check(t)
		})
	}
	t.Run("holder dies as the load rises", func(t *testing.T) {
		team := &testTeam{Limit: Limit{Team: "t", Rate: 230_000, Burst: 230_000, Largest: 15_000}, load: 0.9, smallest: 500, at: []int{0, 1, 2, 3}}
		w := newWorld(9, 6, team)
		w.run(10 * time.Second)
		team.load = 0
		w.run(time.Second)
		team.load = 7
		w.killHolder(time.Second)
		w.run(12 * time.Second)
		w.check(t)
	})
}

// TestUseOfTheQuota has demand above the quota, evenly and at 3 of 84 instances: in steady
// state 0.9 of the quota must be used, and 0.8 while instances are replaced. Of a demand
// within the quota 0.99 must be served.
func TestUseOfTheQuota(t *testing.T) {
	for _, c := range []struct {
		name      string
		rate      float64
		instances int
		callers   []int
		replace   time.Duration
		load      float64
		least     float64
	}{
		{"small team everywhere", 2700, 84, nil, 0, 1.3, 0.9},
		{"large team everywhere", 230_000, 300, nil, 0, 1.3, 0.9},
		{"large team at three", 230_000, 84, []int{1, 2, 3}, 0, 1.3, 0.9},
		{"small team at three", 2700, 6, []int{1, 2, 3}, 0, 1.3, 0.9},
		{"instances come and go", 60_000, 84, nil, 250 * time.Millisecond, 1.3, 0.8},
		{"few instances come and go", 230_000, 6, nil, 2 * time.Second, 1.3, 0.8},
		{"usual load at three", 60_000, 84, []int{1, 2, 3}, 0, 0.55, 0.99 * 0.55},
	} {
		t.Run(c.name, func(t *testing.T) {
			team := &testTeam{Limit: Limit{Team: "t", Rate: c.rate, Burst: c.rate, Largest: 15_000}, load: c.load, smallest: 500, at: c.callers}
			for i := 0; c.callers == nil && i < c.instances; i++ {
				team.at = append(team.at, i)
			}
			w := newWorld(7, c.instances, team)
			w.run(5 * time.Second)
			from := w.now
			for end := w.now.Add(30 * time.Second); w.now.Before(end); {
				if c.replace == 0 {
					w.run(30 * time.Second)
					break
				}
				w.run(c.replace)
				w.restart(w.random.IntN(c.instances))
			}
			w.check(t)
			if got := w.used(team, from); got < c.least {
				t.Errorf("%.3f of the quota used, wanted %.2f", got, c.least)
			}
		})
	}
}

// TestAccountIsBalanced runs a fleet without faults until all is quiet: what was granted
// must have arrived or been returned, so that no tokens are lost or made.
func TestAccountIsBalanced(t *testing.T) {
	team := &testTeam{Limit: Limit{Team: "t", Rate: 60_000, Burst: 60_000, Largest: 15_000}, load: 1.2, smallest: 500, at: []int{0, 1, 2, 3}}
	w := newWorld(5, 6, team)
	w.waste = 0.2
	w.run(20 * time.Second)
	team.load = 0
	w.run(idleAfter)
	arrived, totals := 0.0, w.ledger.Totals("t")
	for _, a := range team.arrivals {
		arrived += a.amount
	}
	if diff := totals.Granted - totals.Returned - arrived; max(diff, -diff) > 0.01*arrived {
		t.Errorf("granted %.0f, returned %.0f, arrived %.0f", totals.Granted, totals.Returned, arrived)
	}
	if level := w.ledger.Levels(w.now)["t"]; level < team.Burst {
		t.Errorf("the bucket has %.0f of %.0f tokens", level, team.Burst)
	}
}

// TestHolderIsLost counts the requests that are admitted in the 3 s after the holder is lost, in
// a fleet of 84 instances with teams at 0.55 of their quotas. It fails if instances wait for a
// successor although they know that the holder is dead.
func TestHolderIsLost(t *testing.T) {
	for _, c := range []struct {
		name string
		do   func(w *world)
		// patience is how long requests wait for a permit.
		patience time.Duration
		least    float64
	}{
		{"killed", func(w *world) { w.killHolder(2 * time.Second) }, patience, 0.6},
		{"not heard", func(w *world) { w.changeHolder(2 * time.Second) }, patience, 0.2},
		{"released", func(w *world) { w.releaseLease(800 * time.Millisecond) }, patience, 0.9},
		{"released, handover lost", func(w *world) { w.changeHolder(800 * time.Millisecond) }, patience, 0.6},
		{"stopped, resumes", func(w *world) { w.stopLedger(1100*time.Millisecond, "resumes") }, 300 * time.Millisecond, 0.78},
		{"stopped, handed over", func(w *world) { w.stopLedger(1100*time.Millisecond, "handed over") }, 300 * time.Millisecond, 0.77},
		{"stopped, succeeded without it", func(w *world) { w.stopLedger(1100*time.Millisecond, "lost") }, 300 * time.Millisecond, 0.6},
	} {
		t.Run(c.name, func(t *testing.T) {
			sum, size := make(map[string]lossCount), 0
			for seed := range uint64(20) {
				w := newWorld(seed, 84)
				for _, rate := range []float64{2700, 20_000, 60_000, 230_000} {
					team := &testTeam{
						Limit: Limit{Team: fmt.Sprintf("t%.0f", rate), Rate: rate, Burst: rate, Largest: 15_000},
						load:  0.55, smallest: 500, spread: 13_000,
					}
					for i := range w.members {
						team.at = append(team.at, i)
					}
					w.teams = append(w.teams, team)
				}
				w.setTeams()
				w.run(15 * time.Second)
				w.patience = c.patience
				w.countLoss(sum, -1)
				c.do(w)
				w.run(3 * time.Second)
				for _, team := range w.teams {
					team.load = 0
				}
				w.run(patience + permitLifetime)
				w.countLoss(sum, 1)
				size = max(size, w.handoverBytes)
				w.check(t)
			}
			t.Logf("handover of up to %d bytes", size)
			for team, n := range sum {
				t.Logf("%s: %.3f of the tokens, %.3f of the requests", team, n.arrived/n.offered, float64(n.served)/float64(n.requests))
			}
			if n := sum["t230000"]; float64(n.served) < c.least*float64(n.requests) {
				t.Errorf("%d of %d requests of the largest team were served, wanted %.2f", n.served, n.requests, c.least)
			}
		})
	}
}

// lossCount is what a team has offered and what of it has arrived.
type lossCount struct {
	offered, arrived float64
	requests, served int
}

func (w *world) countLoss(sum map[string]lossCount, sign float64) {
	for _, t := range w.teams {
		n := sum[t.Team]
		n.offered += sign * t.offered
		n.requests += int(sign) * t.requests
		n.served += int(sign) * len(t.arrivals)
		for _, a := range t.arrivals {
			n.arrived += sign * a.amount
		}
		sum[t.Team] = n
	}
}

// setTeams tells all instances and the holder of the teams.
func (w *world) setTeams() {
	for _, m := range w.members {
		m.share.SetTeams(bounds, w.limits())
	}
	w.ledger.SetTeams(w.now, bounds, w.limits())
}
