package usage

import (
	"math"
	"time"
)

// MaxHandoverAge is how long after the end of a term its ledger may be handed over. An
// instance that held the lease in between without being heard of would have issued permits
// that the ledger lacks; its term and the lease after it last longer.
const MaxHandoverAge = 3 * time.Second

// Handover is the state of a Ledger, which the former holder sends to its successor.
type Handover struct {
	// Term is the term of the ledger and Slot its present slot. The successor counts on from
	// there, so that permits of that term can still be returned.
	Term int64 `json:"term"`
	Slot int64 `json:"slot"`
	// IdleMS is the time since the former holder stopped issuing permits, in milliseconds.
	IdleMS int64 `json:"idleMs"`
	// StoppedMS is the time since the ledger stopped, in milliseconds, if instances were told so.
	StoppedMS int64 `json:"stoppedMs,omitempty"`
	// Accounts are the buckets by team.
	Accounts map[string]HandoverAccount `json:"accounts"`
	// Silent are the instances that may be cut off.
	Silent []string `json:"silent,omitempty"`
}

// HandoverAccount is the state of a team's bucket.
type HandoverAccount struct {
	Rate     float64 `json:"rate"`
	Capacity float64 `json:"capacity"`
	// First is the oldest slot whose grants can be returned, Level the level at its beginning.
	First int64   `json:"first"`
	Level float64 `json:"level"`
	// Granted are the grants of the slots from First on, also those reserved ahead.
	Granted []float64 `json:"granted,omitempty"`
	// Uses are the recent grants by instance.
	Uses map[string]float64 `json:"uses,omitempty"`
	// Stopped are the parts of the quota of the instances that were told of the stop.
	Stopped map[string]float64 `json:"stopped,omitempty"`
}

// HandOver returns the state of the Ledger, which grants nothing from then on. endedAt is when
// its term ended.
func (l *Ledger) HandOver(now, endedAt time.Time) Handover {
	out := Handover{
		Term: l.term, Slot: l.slot(now), IdleMS: now.Sub(endedAt).Milliseconds(),
		Accounts: make(map[string]HandoverAccount, len(l.accounts)), Silent: l.silent,
	}
	if !l.stoppedAt.IsZero() {
		out.StoppedMS = max(now.Sub(l.stoppedAt).Milliseconds(), 1)
	}
	for team, a := range l.accounts {
		if l.slot(now) < a.calendar.now {
			// The bucket has not opened yet, so that it holds nothing.
			continue
		}
		a.calendar.advance(l.slot(now))
		h := HandoverAccount{
			Rate: a.rate, Capacity: a.capacity, First: a.calendar.first, Level: a.calendar.base,
			Uses: make(map[string]float64, len(a.uses)), Stopped: make(map[string]float64),
		}
		for slot := h.First; slot <= a.calendar.last; slot++ {
			h.Granted = append(h.Granted, *a.calendar.at(slot))
		}
		for name, u := range a.uses {
			if sum := math.Floor(u.value(now)); sum > 0 {
				h.Uses[name] = sum
			}
			if u.stopShare > 0 {
				h.Stopped[name] = u.stopShare
			}
		}
		out.Accounts[team] = h
	}
	l.accounts = make(map[string]*account)
	return out
}

// TakeOver continues with the ledger of the former holder. It must be called before SetTeams.
// Time that passed on the way counts as not passed, so that it refills no bucket.
//
// Instances that have asked in vain since the end of that term may have decided without a
// holder, and go on until their next message; what they have admitted is taken from the
// buckets, but no more than these have, since a successor without a ledger starts with empty
// buckets as well. What others may have admitted because they were told that the ledger has stopped is
// taken in full: it begins before the reservations of that term have ended.
func (l *Ledger) TakeOver(now time.Time, h *Handover) {
	l.start = now.Add(-time.Duration(h.Slot) * slotTime)
	l.former, l.silent = h.Term, h.Silent
	stop := time.Duration(h.StoppedMS) * time.Millisecond
	alone := time.Duration(h.IdleMS)*time.Millisecond + heartbeatInterval - aloneAfter
	for team, account := range h.Accounts {
		a, ok := account.restore(now, h.Slot)
		if !ok {
			continue
		}
		a.chargeSilent(h.Slot, alone)
		l.accounts[team] = a
		for name := range a.uses {
			l.heardAt[name] = now
		}
	}
	for _, name := range h.Silent {
		l.heardAt[name] = now.Add(-silentAfter - time.Millisecond)
	}
	for _, a := range l.accounts {
		// An instance that does not find the successor counts as cut off.
		for name, u := range a.uses {
			u.told, u.toldAt = min(u.sum/max(a.total.sum, 1), 1), l.heardAt[name]
		}
		a.charge(h.Slot, stop)
	}
}

// Stop refuses a message, since the Ledger issues no permits since a time. It returns what the instance
// is told. It decides on the teams of the requests in the message by itself until the Ledger resumes,
// which is with its next answer.
func (l *Ledger) Stop(now, since time.Time, m Message) Stop {
	if l.stoppedAt.IsZero() {
		l.stoppedAt = since
	}
	for _, ask := range m.Asks {
		a := l.accounts[ask.Team]
		if !ask.isForRequest() || a == nil {
			continue
		}
		u := a.use(m.From)
		if u.stopShare = u.told; u.toldAt.IsZero() {
			u.stopShare = 1 / float64(l.members)
		}
	}
	return Stop{Term: l.term, ForMS: now.Sub(l.stoppedAt).Milliseconds()}
}

// resume charges the buckets for what the instances may have admitted while the Ledger had stopped.
// None counts as silent for that time.
func (l *Ledger) resume(now time.Time) {
	if l.stoppedAt.IsZero() {
		return
	}
	d := now.Sub(l.stoppedAt)
	for name, at := range l.heardAt {
		l.heardAt[name] = at.Add(d)
	}
	for _, a := range l.accounts {
		for _, u := range a.uses {
			u.toldAt = u.toldAt.Add(d)
		}
		a.calendar.advance(l.slot(now))
		a.charge(a.calendar.now, d)
		a.chargeSilent(a.calendar.now, d+heartbeatInterval-aloneAfter)
	}
	l.stoppedAt = time.Time{}
}

// charge takes what the instances that were told of a stop may admit until they notice its end out of a
// bucket. If that is more than it has, it grants nothing until it is refilled. After a long stop nothing
// that was reserved can still start, so that an empty bucket is as safe as that of a successor.
func (a *account) charge(slot int64, stop time.Duration) {
	if stop <= 0 {
		return
	}
	part, sum := alonePart*a.rate*(stop+stopTime).Seconds()+stopSpare*a.capacity, 0.0
	for _, u := range a.uses {
		u.charged, u.stopShare = part*u.stopShare, 0
		sum += u.charged
	}
	a.chargedAt, a.chargedAll = slot, true
	if have := max(a.calendar.current(), 0); stop > longStop && sum > have {
		for _, u := range a.uses {
			u.charged *= have / sum
		}
		sum, a.chargedAll = have, false
	}
	a.calendar.grant(slot, sum)
}

// chargeSilent takes what instances that have asked in vain may have admitted in a time out of a bucket,
// as far as it has that.
func (a *account) chargeSilent(slot int64, d time.Duration) {
	if d > 0 {
		a.calendar.grant(slot, min(alonePart*a.rate*d.Seconds(), max(a.calendar.current(), 0)))
	}
}

// settle replaces an instance's part of the charge for a stop by what it has admitted.
func (l *Ledger) settle(now time.Time, m Message) {
	for team, a := range l.accounts {
		u := a.uses[m.From]
		if u == nil || u.charged == 0 && m.Admitted[team] == 0 {
			continue
		}
		more := max(m.Admitted[team], 0) - u.charged
		u.charged = 0
		a.calendar.advance(l.slot(now))
		if more <= 0 {
			a.calendar.giveBack(a.chargedAt, -more)
		} else if a.chargedAll {
			a.calendar.grant(a.calendar.now, min(more, a.capacity))
		}
	}
}

// restore returns the account as of a slot. It returns false if the state is not consistent.
func (h *HandoverAccount) restore(now time.Time, slot int64) (*account, bool) {
	last := h.First + int64(len(h.Granted)) - 1
	if h.First > slot || last < slot || last > slot+futureSlots+1 || h.First < slot-pastSlots-1 || !(h.Level <= h.Capacity) {
		return nil, false
	}
	a := &account{rate: h.Rate, capacity: h.Capacity, uses: make(map[string]*use), calendar: newCalendar(h.Rate, h.Capacity, h.First)}
	c := a.calendar
	c.base, c.level = h.Level, h.Level
	for i, amount := range h.Granted {
		c.grant(h.First+int64(i), amount)
	}
	c.now, c.level = slot, c.replay(h.First, slot, h.Level)
	for name, sum := range h.Uses {
		a.use(name).add(now, sum)
		a.total.add(now, sum)
	}
	for name, share := range h.Stopped {
		a.use(name).stopShare = min(max(share, 0), 1)
	}
	return a, true
}
