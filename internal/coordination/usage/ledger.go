package usage

import (
	"math"
	"slices"
	"time"
)

const (
	// maxDelay is the longest time that a permit may start ahead.
	maxDelay = time.Second
	// HolderGap is how long before a successor's term the last holder has stopped issuing
	// permits at the latest.
	HolderGap = 400 * time.Millisecond
	// prefetchFill is the part of a bucket below which nothing is prefetched.
	prefetchFill = 0.5
	// useMemory is the time constant of the average of an instance's grants.
	useMemory = 10 * time.Second
	// silentAfter is how long an instance may be silent until it counts as cut off; its
	// messages are heartbeatInterval apart, and one of them may be lost. cutOffFor is how long an instance may be without
	// a holder while that may still issue permits, plus messages under way.
	silentAfter = 1200 * time.Millisecond
	cutOffFor   = maxCutOff + time.Second
	// evenPart is the part of each share that does not depend on recent grants, so that an
	// instance with new demand has something.
	evenPart = 0.05
	// sweepInterval is the interval at which silent instances are looked for.
	sweepInterval = 250 * time.Millisecond
)

// maxBacklog limits the reservations ahead of a request by its priority, in time at the
// rate. Urgent requests find room that others cannot take; the line is short, since a
// standing one makes all answers late and admits no more requests.
var maxBacklog = []time.Duration{600 * time.Millisecond, 300 * time.Millisecond, 150 * time.Millisecond}

// Ledger issues the permits of all instances. The lease holder has one for its term. It is
// not safe for concurrent use.
type Ledger struct {
	bounds Bounds
	term   int64
	// former is the term whose ledger was taken over, 0 for none.
	former int64
	// start is the beginning of slot 0, openFrom that of the term.
	start, openFrom time.Time
	// deadAt is when the last holder was found dead, zero if it was not.
	deadAt time.Time
	// stoppedAt is when the Ledger stopped, if an instance was told so, zero otherwise.
	stoppedAt time.Time
	accounts  map[string]*account
	// heardAt is when each instance last sent a message.
	heardAt map[string]time.Time
	sweptAt time.Time
	// silent are the instances that may be cut off.
	silent  []string
	members int
	totals  map[string]Totals
}

// Totals are the amounts that a Ledger has granted, refused and got back for a team.
type Totals struct{ Granted, Refused, Returned float64 }

// account is the quota of one team.
type account struct {
	rate, capacity float64
	// cutOff is the part of the rate that instances may use which are cut off.
	cutOff   float64
	calendar *calendar
	uses     map[string]*use
	total    average
	// chargedAt is the slot of the last charge for a stop, chargedAll whether nothing was left out.
	chargedAt  int64
	chargedAll bool
}

// use is what an instance uses of a team's quota. told is the part that it was told of at
// toldAt.
type use struct {
	average
	told   float64
	toldAt time.Time
	// stopShare is its part of the quota if it was told of the present stop, 0 otherwise.
	stopShare float64
	// charged is its part of the charge for a stop, until it tells what it has admitted.
	charged float64
}

// average is an exponentially decaying sum.
type average struct {
	sum float64
	at  time.Time
}

func (a *average) add(now time.Time, amount float64) {
	a.sum, a.at = a.value(now)+amount, now
}

func (a *average) value(now time.Time) float64 {
	return a.sum * math.Exp(-now.Sub(a.at).Seconds()/useMemory.Seconds())
}

// NewLedger returns a Ledger without teams for a term that starts at a time, at least
// HolderGap after the last permit of an earlier term.
func NewLedger(term int64, start time.Time) *Ledger {
	return &Ledger{
		term: term, start: start, openFrom: start, accounts: make(map[string]*account),
		heardAt: make(map[string]time.Time), members: 1, totals: make(map[string]Totals),
	}
}

// SetTeams sets the bounds and the quotas in force. Buckets of new teams are empty.
func (l *Ledger) SetTeams(now time.Time, bounds Bounds, limits []Limit) {
	l.bounds = bounds
	listed := make(map[string]bool, len(limits))
	for _, limit := range limits {
		listed[limit.Team] = true
		rate, capacity := l.bounds.bucket(limit)
		a := l.accounts[limit.Team]
		if a == nil {
			a = &account{uses: make(map[string]*use)}
			a.calendar = newCalendar(rate, capacity, max(l.slot(now), l.opening(limit, rate, capacity)))
			l.accounts[limit.Team] = a
		}
		if a.rate == rate && a.capacity == capacity {
			continue
		}
		a.rate, a.capacity = rate, capacity
		a.adapt(l.slot(now))
	}
	for team := range l.accounts {
		if !listed[team] {
			delete(l.accounts, team)
		}
	}
}

// SetDead tells that the last holder was found dead at a time, so that it has issued no permits
// since. It must be called before the first SetTeams.
func (l *Ledger) SetDead(at time.Time) { l.deadAt = at }

// opening returns the first slot of a bucket that starts empty. The reservations of the last holder may go on
// for maxDelay; what the bounds leave of them need not be awaited.
func (l *Ledger) opening(limit Limit, rate, capacity float64) int64 {
	wait := (maxDelay - HolderGap).Seconds()
	if !l.deadAt.IsZero() {
		// Instances decide without a holder until their next message.
		wait = min(wait, l.deadAt.Add(maxDelay+heartbeatInterval).Sub(l.openFrom).Seconds())
	}
	if l.bounds.Window > 0 && rate > 0 {
		wait -= (l.bounds.MaxUse(limit) - capacity - rate*l.bounds.span()) / rate
	}
	from := l.openFrom.Add(time.Duration(max(wait, 0) * float64(time.Second))).Sub(l.start)
	return int64((from + slotTime - 1) / slotTime)
}

func (l *Ledger) slot(now time.Time) int64 { return int64(now.Sub(l.start) / slotTime) }

// adapt applies the present rate and capacity to the calendar.
func (a *account) adapt(slot int64) {
	a.calendar.advance(slot)
	a.calendar.setBucket(a.rate*(1-a.cutOff), a.capacity)
}

// Answer answers a message. members is the number of instances.
func (l *Ledger) Answer(now time.Time, members int, m Message) Reply {
	l.members = max(members, 1)
	l.resume(now)
	l.heardAt[m.From] = now
	l.sweep(now)
	if m.Term == l.term || l.former != 0 && m.Term == l.former {
		for _, r := range m.Returns {
			l.takeBack(now, m.From, r)
		}
		l.settle(now, m)
	}
	if m.IsIdle {
		l.forget(m.From)
	}
	out := Reply{Term: l.term, Former: l.former, Members: l.members, Shares: make(map[string]float64), Levels: make(map[string]float64)}
	for _, ask := range m.Asks {
		out.Answers = append(out.Answers, l.answer(now, m.From, ask))
	}
	for _, ask := range m.Asks {
		l.tell(now, m.From, ask.Team, &out)
	}
	return out
}

// tell adds what an instance needs to know of a team.
func (l *Ledger) tell(now time.Time, from, team string, out *Reply) {
	a := l.accounts[team]
	if _, told := out.Shares[team]; told || a == nil {
		return
	}
	u, even := a.use(from), 1/float64(l.members)
	u.told, u.toldAt = even, now
	if total := a.total.value(now); total > 0 {
		u.told = (1-evenPart)*min(u.value(now)/total, 1) + evenPart*even
	}
	// Four digits suffice and keep the reply short.
	u.told = math.Round(u.told*1e4) / 1e4
	out.Shares[team] = u.told
	a.calendar.advance(l.slot(now))
	out.Levels[team] = math.Floor(a.calendar.current())
	if a.isFilled(0) {
		out.Filled = append(out.Filled, team)
	}
}

// isFilled reports whether an amount can be taken from a bucket that is well filled.
func (a *account) isFilled(amount float64) bool {
	return a.calendar.current()-amount >= prefetchFill*a.capacity
}

func (l *Ledger) answer(now time.Time, from string, ask Ask) Answer {
	a := l.accounts[ask.Team]
	if a == nil || ask.Amount <= 0 || ask.Amount > a.capacity {
		return Answer{DelayMS: maxDelay.Milliseconds()}
	}
	present := l.slot(now)
	a.calendar.advance(present)
	slot := a.calendar.find(ask.Amount)
	delay := time.Duration(min(slot-present, int64(time.Hour/slotTime))) * slotTime
	patience := a.patience(ask)
	if delay > patience || ask.IsPrefetch && !a.isFilled(ask.Amount) {
		if !ask.IsPrefetch {
			l.count(ask.Team, Totals{Refused: ask.Amount})
		}
		return Answer{DelayMS: delay.Milliseconds(), AgainMS: (delay - patience).Milliseconds()}
	}
	a.calendar.grant(slot, ask.Amount)
	a.use(from).add(now, ask.Amount)
	a.total.add(now, ask.Amount)
	l.count(ask.Team, Totals{Granted: ask.Amount})
	return Answer{Granted: ask.Amount, Slot: slot, DelayMS: delay.Milliseconds()}
}

// patience returns the longest delay of an ask. The time that its own amount takes to fill
// comes on top of the backlog, so that large requests have the same chance as small ones.
func (a *account) patience(ask Ask) time.Duration {
	if ask.IsPrefetch {
		return 0
	}
	backlog := maxBacklog[min(max(ask.Priority, 0), len(maxBacklog)-1)]
	own := time.Duration(ask.Amount / max(a.rate, 1) * float64(time.Second))
	return min(backlog+own, time.Duration(ask.MaxDelayMS)*time.Millisecond, maxDelay)
}

func (a *account) use(from string) *use {
	u := a.uses[from]
	if u == nil {
		u = &use{}
		a.uses[from] = u
	}
	return u
}

func (l *Ledger) takeBack(now time.Time, from string, r Returned) {
	a := l.accounts[r.Team]
	if a == nil || r.Amount <= 0 {
		return
	}
	a.calendar.advance(l.slot(now))
	if !a.calendar.giveBack(r.Slot, r.Amount) {
		return
	}
	a.use(from).add(now, -min(r.Amount, a.use(from).value(now)))
	a.total.add(now, -min(r.Amount, a.total.value(now)))
	l.count(r.Team, Totals{Returned: r.Amount})
}

func (l *Ledger) count(team string, t Totals) {
	have := l.totals[team]
	l.totals[team] = Totals{have.Granted + t.Granted, have.Refused + t.Refused, have.Returned + t.Returned}
}

// Totals returns what was granted, refused and returned for a team in this term.
func (l *Ledger) Totals(team string) Totals { return l.totals[team] }

// Levels returns the present level of each team's bucket, without reserved tokens.
func (l *Ledger) Levels(now time.Time) map[string]float64 {
	out := make(map[string]float64, len(l.accounts))
	for team, a := range l.accounts {
		a.calendar.advance(l.slot(now))
		out[team] = a.calendar.current()
	}
	return out
}

// Silent returns the instances for which a part of the quotas is kept back.
func (l *Ledger) Silent() []string { return l.silent }

// forget removes an instance that uses no quotas any more.
func (l *Ledger) forget(name string) {
	delete(l.heardAt, name)
	for _, a := range l.accounts {
		delete(a.uses, name)
	}
}

// sweep keeps back what instances may use that are cut off: their part of what all
// instances would use without a holder.
func (l *Ledger) sweep(now time.Time) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt, l.silent = now, nil
	for name, at := range l.heardAt {
		switch quiet := now.Sub(at); {
		case quiet > cutOffFor:
			l.forget(name)
		case quiet > silentAfter:
			l.silent = append(l.silent, name)
		}
	}
	slices.Sort(l.silent)
	for _, a := range l.accounts {
		cutOff := 0.0
		for _, name := range l.silent {
			// An instance that uses a quota asks for its share with each heartbeat.
			if u := a.uses[name]; u != nil && l.heardAt[name].Sub(u.toldAt) < silentAfter {
				cutOff += alonePart * u.told
			}
		}
		if cutOff = min(cutOff, alonePart); math.Abs(cutOff-a.cutOff) > roundingError {
			a.cutOff = cutOff
			a.adapt(l.slot(now))
		}
	}
}
