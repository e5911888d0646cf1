package quota

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

const (
	step = 10 * time.Millisecond
	// contact is how long after a limit was first named it need not be kept, and window
	// the time in which requests are counted then.
	contact = 3 * time.Second
	window  = 4 * time.Second
	// toldAfter is how long an instance must have known of a limit for its requests to
	// count while instances cannot reach each other.
	toldAfter = 500 * time.Millisecond
	// patience is how long a request may wait.
	patience = 5 * time.Second
	// replyTimeout is how long an instance waits for the holder's reply.
	replyTimeout = 700 * time.Millisecond
)

// world is a fleet of Shares with one Ledger, one target and callers that press at every
// instance, on virtual time and without a network. It leaves out how Package picker
// chooses between targets.
type world struct {
	random  *rand.Rand
	now     time.Time
	members []*member
	ledger  *Ledger
	term    int64
	// holderUp tells whether the holder answers.
	holderUp bool
	// limit is what the target's responses name, 0 for nothing.
	limit    float64
	pressure float64
	arrivals []arrival
	refused  int
	// troubles are the times in which the holder or some instances cannot be reached.
	troubles []span
	events   []worldEvent
}

// arrival is a request at the target. isTold tells that its instance had known for half a
// second what the target names then.
type arrival struct {
	at     time.Time
	isTold bool
}

type span struct{ from, to time.Time }

type worldEvent struct {
	at time.Time
	do func()
}

// member is an instance.
type member struct {
	name    string
	share   *Share
	queue   []time.Time
	cut     bool
	busy    bool
	nextAsk time.Time
	// known is the limit that the instance knows, since when.
	known      float64
	knownSince time.Time
}

func newWorld(seed uint64, instances int, pressure float64) *world {
	w := &world{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, ledger: NewLedger(), term: 1, holderUp: true, pressure: pressure,
	}
	for range instances {
		w.join()
	}
	return w
}

func (w *world) join() {
	m := &member{name: fmt.Sprintf("i%d", len(w.members))}
	w.members = append(w.members, m)
	w.restart(m)
	m.nextAsk = w.now.Add(w.within(time.Second))
}

// restart replaces an instance by one that knows nothing. It takes no requests until it
// has the holder's updates, if there is a holder.
func (w *world) restart(m *member) {
	*m = member{name: m.name, share: NewShare(WithRandom(w.random.Float64)), nextAsk: w.now}
	if w.holderUp && !m.cut {
		w.adopt(m, w.ledger.Limit(target))
	}
}

func (w *world) within(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// delay is the time of one way over the network.
func (w *world) delay() time.Duration { return 2*time.Millisecond + w.within(40*time.Millisecond) }

func (w *world) at(d time.Duration, do func()) {
	w.events = append(w.events, worldEvent{w.now.Add(d), do})
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); w.now = w.now.Add(step) {
		due := w.events
		w.events = nil
		for _, e := range due {
			if e.at.After(w.now) {
				w.events = append(w.events, e)
				continue
			}
			e.do()
		}
		for _, m := range w.members {
			w.serve(m)
		}
	}
}

// serve takes new requests of an instance, sends those that it may and asks the holder
// when it is time.
func (w *world) serve(m *member) {
	if known, _ := m.share.Limit(target, w.now); known != m.known {
		m.known, m.knownSince = known, w.now
	}
	if w.random.Float64() < w.pressure*step.Seconds() {
		m.queue = append(m.queue, w.now.Add(patience))
	}
	for len(m.queue) > 0 && !m.share.Blocks(target, w.now) {
		m.share.Take(target)
		m.queue = m.queue[1:]
		w.send(m)
	}
	ahead := 0
	m.queue = slices.DeleteFunc(m.queue, func(deadline time.Time) bool {
		wait, known := m.share.Wait(target, ahead, w.now)
		if known && w.now.Add(wait).After(deadline) || !w.now.Before(deadline) {
			w.refused++
			return true
		}
		ahead++
		return false
	})
	due, waiting := m.share.NextPermit(w.now)
	if !m.busy && (!w.now.Before(m.nextAsk) || waiting && due <= 0) {
		w.ask(m)
	}
}

// send sends a request to the target, whose response says what it names then.
func (w *world) send(m *member) {
	share, sentAt := m.share, w.now
	w.at(w.delay(), func() {
		isTold := m.known == w.limit && w.now.Sub(m.knownSince) > toldAfter
		w.arrivals = append(w.arrivals, arrival{w.now, isTold})
		n := Notice{}
		if w.limit > 0 {
			n = named(w.limit)
		}
		w.at(w.delay()+w.within(200*time.Millisecond), func() { share.Hear(target, n, sentAt, true, w.now) })
	})
}

// ask sends a message to the holder.
func (w *world) ask(m *member) {
	spread := time.Duration(len(w.members)) * 2 * time.Millisecond
	m.nextAsk = w.now.Add(350*time.Millisecond + spread)
	if len(m.queue) > 0 {
		m.nextAsk = w.now.Add(100*time.Millisecond + spread)
	}
	if m.cut || !w.holderUp {
		return
	}
	m.busy = true
	share, r := m.share, Reply{SentAt: w.now, Reports: m.share.Reports(w.now)}
	queued := Queued{Count: len(m.queue)}
	if queued.Count > 0 {
		queued.Deadline = m.queue[queued.Count-1]
	}
	wants := m.share.Wants(map[fleet.Identity]Queued{target: queued}, w.now)
	w.at(replyTimeout, func() { m.busy = false })
	w.at(w.delay(), func() {
		if !w.holderUp || m.cut {
			return
		}
		r.Term, r.Members = w.term, len(w.members)
		w.ledger.Report(w.now, r.Reports)
		r.Grants = w.ledger.Ask(w.now, m.name, wants)
		limit := w.ledger.Limit(target)
		w.at(w.delay(), func() {
			if m.share != share || m.cut || w.now.Sub(r.SentAt) > replyTimeout {
				return
			}
			m.busy = false
			share.Apply(r, w.now)
			w.adopt(m, limit)
		})
	})
}

func (w *world) adopt(m *member, limit float64) { m.share.Adopt(target, limit, w.now) }

// loseHolder leaves the fleet without a holder for a time; the next one knows nothing.
func (w *world) loseHolder(d time.Duration) {
	w.holderUp = false
	w.trouble(d)
	w.at(d, func() {
		w.ledger, w.term, w.holderUp = NewLedger(), w.term+1, true
	})
}

// freezeHolder lets no message through to the holder and back for a time.
func (w *world) freezeHolder(d time.Duration) {
	w.holderUp = false
	w.trouble(d)
	w.at(d, func() { w.holderUp = true })
}

func (w *world) trouble(d time.Duration) { w.troubles = append(w.troubles, span{w.now, w.now.Add(d)}) }

// check counts arrivals from a time on: in no window more than the limit allows, and in
// all at least leastUse of it.
func (w *world) check(t *testing.T, limit float64, from time.Time, leastUse float64) {
	t.Helper()
	arrivals := slices.DeleteFunc(slices.Clone(w.arrivals), func(a arrival) bool { return a.at.Before(from) })
	most, first := 0, 0
	for last := range arrivals {
		for arrivals[last].at.Sub(arrivals[first].at) > window {
			first++
		}
		most = max(most, last-first+1)
	}
	if allowed := int(1.5*limit*window.Seconds()) + 5; most > allowed {
		t.Errorf("%d requests in a window, allowed %d", most, allowed)
	}
	if least := leastUse * limit * w.now.Sub(from).Seconds(); float64(len(arrivals)) < least {
		t.Errorf("%d requests in %v, wanted at least %.0f", len(arrivals), w.now.Sub(from), least)
	}
}

// TestFleetsOfAllSizesKeepTheLimit has callers press at every instance of fleets in which
// an instance's part of the limit is several requests a second or one in ten minutes. The
// target must get no more than the limit allows, also while the fleet is disturbed, and
// make full use of it while it is not.
func TestFleetsOfAllSizesKeepTheLimit(t *testing.T) {
	calm := func(*world) {}
	cases := []struct {
		name     string
		disturb  func(*world)
		leastUse float64
	}{
		{"calm", calm, 0.8},
		{"holder lost", func(w *world) { w.loseHolder(1500 * time.Millisecond) }, 0},
		{"holder lost for long", func(w *world) { w.loseHolder(15 * time.Second) }, 0},
		{"holder replaced at once, five times", func(w *world) {
			for i := range 5 {
				w.at(contact+time.Duration(i+1)*900*time.Millisecond, func() { w.loseHolder(0) })
			}
		}, 0},
		{"holder frozen", func(w *world) { w.freezeHolder(2 * time.Second) }, 0},
		{"half of the fleet cut off", func(w *world) { w.cut(len(w.members)/2, 15*time.Second) }, 0},
		{"instances restart", func(w *world) {
			for range 20 {
				w.at(w.within(10*time.Second), func() { w.restart(w.members[w.random.IntN(len(w.members))]) })
			}
		}, 0.6},
		{"instances join", func(w *world) {
			for range len(w.members) / 2 {
				w.at(w.within(5*time.Second), w.join)
			}
		}, 0.6},
	}
	for _, c := range cases {
		for _, instances := range []int{6, 8, 84, 300} {
			for _, limit := range []float64{0.5, 1.5, 50} {
				t.Run(fmt.Sprintf("%s/%d/%v", c.name, instances, limit), func(t *testing.T) {
					t.Parallel()
					w := newWorld(uint64(instances), instances, max(2, 4*limit/float64(instances)))
					w.run(3 * time.Second)
					w.limit = limit
					named := w.now
					c.disturb(w)
					w.run(contact + 25*time.Second)
					w.check(t, limit, named.Add(contact), c.leastUse)
				})
			}
		}
	}
}

// cut cuts n instances off from the holder for a time.
func (w *world) cut(n int, d time.Duration) {
	w.trouble(d)
	for _, m := range w.members[:n] {
		m.cut = true
		w.at(d, func() { m.cut = false })
	}
}

// namedLimit is a limit that the target names from a time on, 0 for none.
type namedLimit struct {
	at    time.Time
	limit float64
}

// allowed returns how many requests a window may hold that begins at a time, given what
// the target has named: what the highest limit allows that was named since contact before
// the window, and any number if it named none for a while.
func allowed(history []namedLimit, begin time.Time) (int, bool) {
	highest := 0.0
	for i, n := range history {
		isOver := i+1 < len(history) && history[i+1].at.Before(begin.Add(-contact))
		if isOver || n.at.After(begin.Add(window)) {
			continue
		}
		if n.limit == 0 {
			return 0, false
		}
		highest = max(highest, n.limit)
	}
	return int(1.5*highest*window.Seconds()) + 5, true
}

// TestAnyFleetKeepsTheLimit draws fleets, demands and limits that come, change and end
// while the holder is lost or frozen, instances are cut off, restart and join, in any
// order and at once.
func TestAnyFleetKeepsTheLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 24).Draw(t, "instances"), rapid.Float64Range(0.1, 20).Draw(t, "pressure"))
		history := []namedLimit{{at: w.now}}
		name := func(limit float64) {
			w.limit = limit
			history = append(history, namedLimit{at: w.now, limit: limit})
		}
		limits := rapid.SampledFrom([]float64{0, 0.2, 0.5, 1.5, 4, 50})
		w.run(time.Second)
		for range rapid.IntRange(2, 8).Draw(t, "changes") {
			switch rapid.IntRange(0, 6).Draw(t, "change") {
			case 0, 1, 2:
				name(limits.Draw(t, "limit"))
			case 3:
				w.loseHolder(time.Duration(rapid.IntRange(500, 6000).Draw(t, "lost for ms")) * time.Millisecond)
			case 4:
				w.freezeHolder(time.Duration(rapid.IntRange(100, 3000).Draw(t, "frozen for ms")) * time.Millisecond)
			case 5:
				w.cut(rapid.IntRange(1, len(w.members)).Draw(t, "cut off"), time.Duration(rapid.IntRange(500, 6000).Draw(t, "cut for ms"))*time.Millisecond)
			case 6:
				w.join()
			}
			w.run(time.Duration(rapid.IntRange(100, 8000).Draw(t, "then ms")) * time.Millisecond)
		}
		w.run(contact + window)
		for first, a := range w.arrivals {
			most, limited := allowed(history, a.at)
			if n := w.countFrom(first); limited && n > most {
				t.Fatalf("%d requests in the window from %v on, allowed %d; limits %v", n, a.at.Sub(start), most, history)
			}
		}
	})
}

// countFrom counts the requests of the window that begins with an arrival. While instances
// cannot reach the holder, only those of instances count that the target has told: the
// others cannot know.
func (w *world) countFrom(first int) int {
	begin := w.arrivals[first].at
	isTroubled := slices.ContainsFunc(w.troubles, func(s span) bool {
		return s.from.Before(begin.Add(window)) && s.to.After(begin.Add(-contact))
	})
	n := 0
	for _, a := range w.arrivals[first:] {
		if a.at.Sub(begin) > window {
			break
		}
		if a.isTold || !isTroubled {
			n++
		}
	}
	return n
}
