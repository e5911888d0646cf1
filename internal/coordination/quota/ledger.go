package quota

import (
	"math"
	"slices"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	// raiseDelay is how long after a limit was last lowered a request must have been sent
	// whose response raises or ends it. Earlier ones may have been under way before.
	raiseDelay = time.Second
	// issueShare is the part of a limit that is issued. The rest covers what instances
	// without a holder draw.
	issueShare = 0.9
	// burstTime is how much of a limit may be issued at a time.
	burstTime = 600 * time.Millisecond
	// memberTimeout is how long an instance that does not ask keeps its places in line.
	memberTimeout = 2 * time.Second
	// maxPlaces limits the places of one instance in the line for one target.
	maxPlaces = 64
)

// Ledger issues the permits of all instances. The lease holder has one for its term,
// which begins empty. It is not safe for concurrent use.
type Ledger struct {
	accounts map[fleet.Identity]*account
}

// account is the token bucket of one target and the line of those that want tokens.
type account struct {
	perSecond float64
	// loweredAt is when the present value was first heard.
	loweredAt  time.Time
	tokens     float64
	refilledAt time.Time
	// line holds the instance of each place, in the order of asking.
	line []string
	// places counts the places of each instance, askedAt is when it last asked.
	places   map[string]int
	askedAt  map[string]time.Time
	prunedAt time.Time
	absence  absence
}

// NewLedger returns a Ledger without limits.
func NewLedger() *Ledger {
	return &Ledger{accounts: make(map[fleet.Identity]*account)}
}

// Report applies an instance's reports and returns the targets whose limit has changed.
func (l *Ledger) Report(now time.Time, reports []Report) []fleet.Identity {
	var changed []fleet.Identity
	for _, r := range reports {
		if l.report(now, r) {
			changed = append(changed, r.Identity)
		}
	}
	return changed
}

// report applies a report and reports whether the limit has changed. Of limits that
// contradict each other the lower one counts.
func (l *Ledger) report(now time.Time, r Report) bool {
	a := l.accounts[r.Identity]
	if r.PerSecond < 0 {
		return false
	}
	isLower := r.PerSecond > 0 && (a == nil || r.PerSecond < a.perSecond)
	switch {
	case a == nil && !isLower:
		return false
	case a == nil:
		l.accounts[r.Identity] = &account{
			perSecond: r.PerSecond, loweredAt: now, refilledAt: now,
			places: make(map[string]int), askedAt: make(map[string]time.Time),
		}
	case isLower:
		a.refill(now)
		a.perSecond, a.loweredAt = r.PerSecond, now
		a.tokens = min(a.tokens, a.maxTokens())
	case r.PerSecond == a.perSecond:
		a.loweredAt = now
		return false
	case now.Add(-time.Duration(r.AgeMS) * time.Millisecond).Before(a.loweredAt.Add(raiseDelay)):
		return false
	case r.PerSecond == 0:
		delete(l.accounts, r.Identity)
	default:
		a.refill(now)
		a.perSecond = r.PerSecond
	}
	return true
}

// Limit returns a target's limit in requests a second, 0 if there is none.
func (l *Ledger) Limit(target fleet.Identity) float64 {
	if a := l.accounts[target]; a != nil {
		return a.perSecond
	}
	return 0
}

// Ask answers what an instance wants. Whatever it does not ask for any more leaves the
// line.
func (l *Ledger) Ask(now time.Time, member string, wants []Want) []Grant {
	var out []Grant
	asked := make(map[fleet.Identity]Want, len(wants))
	for _, w := range wants {
		asked[w.Identity] = w
	}
	for target, a := range l.accounts {
		w, wanted := asked[target]
		a.refill(now)
		a.prune(now)
		a.setPlaces(member, min(w.Queued, maxPlaces), w.PatienceMS, now)
		if !wanted {
			continue
		}
		g := Grant{Identity: target, Permits: a.issue(member)}
		g.Permits += a.issueSpare(w.Spare)
		g.WaitsMS, g.LineMS = a.waits(member)
		out = append(out, g)
	}
	return out
}

// Retain forgets the limits of targets that have been gone for so long that they do not
// come back.
func (l *Ledger) Retain(isListed func(fleet.Identity) bool, now time.Time) {
	for target, a := range l.accounts {
		if a.absence.isOver(isListed(target), now) {
			delete(l.accounts, target)
		}
	}
}

func (a *account) refill(now time.Time) {
	elapsed := max(now.Sub(a.refilledAt), 0).Seconds()
	a.tokens = min(a.tokens+issueShare*a.perSecond*elapsed, a.maxTokens())
	a.refilledAt = now
}

func (a *account) maxTokens() float64 {
	return 1 + a.perSecond*burstTime.Seconds()
}

// setPlaces makes an instance have up to n places in the line. New ones are at the end,
// and those that it gives up are its last. It gets no place whose turn comes too late:
// such places, given up again, would hold up those behind them.
func (a *account) setPlaces(member string, n int, patienceMS int64, now time.Time) {
	have := a.places[member]
	for i := len(a.line) - 1; have > n; i-- {
		if a.line[i] == member {
			a.line = slices.Delete(a.line, i, i+1)
			have--
		}
	}
	for ; have < n && a.waitMS(len(a.line)) <= patienceMS; have++ {
		a.line = append(a.line, member)
	}
	if have == 0 {
		delete(a.places, member)
		delete(a.askedAt, member)
		return
	}
	a.places[member] = have
	a.askedAt[member] = now
}

// prune removes the instances that have not asked for some time, so that they hold up
// nobody behind them.
func (a *account) prune(now time.Time) {
	if now.Sub(a.prunedAt) < memberTimeout/4 {
		return
	}
	a.prunedAt = now
	for member, at := range a.askedAt {
		if now.Sub(at) > memberTimeout {
			a.setPlaces(member, 0, 0, now)
		}
	}
}

// issue issues a token for each place of an instance whose turn has come. Tokens for
// places of others further ahead are left to them.
func (a *account) issue(member string) int {
	issued := 0
	ready := min(int(math.Floor(a.tokens)), len(a.line))
	a.line = slices.Concat(slices.DeleteFunc(slices.Clone(a.line[:ready]), func(m string) bool {
		if m != member {
			return false
		}
		issued++
		return true
	}), a.line[ready:])
	a.tokens -= float64(issued)
	if a.places[member] -= issued; a.places[member] <= 0 {
		delete(a.places, member)
		delete(a.askedAt, member)
	}
	return issued
}

// issueSpare issues up to n tokens that nobody in line waits for.
func (a *account) issueSpare(n int) int {
	free := int(math.Floor(a.tokens)) - len(a.line)
	n = min(n, max(free, 0))
	a.tokens -= float64(n)
	return n
}

// waits returns the expected times until an instance's places have their turn, and until
// one more at the end has, in milliseconds.
func (a *account) waits(member string) (own []int64, end int64) {
	if a.places[member] > 0 {
		for i, m := range a.line {
			if m == member {
				own = append(own, a.waitMS(i))
			}
		}
	}
	return own, a.waitMS(len(a.line))
}

func (a *account) waitMS(ahead int) int64 {
	missing := float64(ahead+1) - a.tokens
	return int64(math.Ceil(max(missing, 0) / (issueShare * a.perSecond) * 1000))
}
