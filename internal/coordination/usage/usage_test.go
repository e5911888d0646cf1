package usage

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

func newFullLedger(limits ...Limit) *Ledger {
	l := NewLedger(1, start)
	l.SetTeams(start, bounds, limits)
	return l
}

// TestCapacityFollowsTheBounds checks that a small burst is raised to a large request where
// the bounds have room for it, and never beyond them.
func TestCapacityFollowsTheBounds(t *testing.T) {
	for _, c := range []struct {
		name           string
		bounds         Bounds
		limit          Limit
		rate, capacity float64
	}{
		{"small team", bounds, Limit{Rate: 2700, Burst: 2700, Largest: 15_000}, 2700, 13_646},
		{"tiny burst", bounds, Limit{Rate: 2700, Burst: 10, Largest: 15_000}, 2700, 10_687},
		{"large team", bounds, Limit{Rate: 230_000, Burst: 230_000, Largest: 15_000}, 230_000, 230_000},
		{"requests", bounds, Limit{Rate: 5, Burst: 5, Largest: 1}, 5, 5},
		{"no room at all", Bounds{Window: 8 * time.Second}, Limit{Rate: 892, Burst: 100, Largest: 15_000}, 800, 100},
		{"not judged", Bounds{}, Limit{Rate: 5, Burst: 5, Largest: 15_000}, 5, 15_000},
	} {
		t.Run(c.name, func(t *testing.T) {
			rate, capacity := c.bounds.bucket(c.limit)
			if diff := cmp.Diff([]int{int(c.rate), int(c.capacity)}, []int{int(rate + 0.5), int(capacity + 0.5)}); diff != "" {
				t.Errorf("rate and capacity (-want +got):\n%s", diff)
			}
		})
	}
}

// TestUrgentRequestsFindRoom fills the line with requests of low priority: an urgent request
// must still get a permit, one of low priority is told when to come back, and that is true.
func TestUrgentRequestsFindRoom(t *testing.T) {
	l := newFullLedger(Limit{Team: "t", Rate: 1000, Burst: 1000})
	now := start.Add(10 * time.Second)
	ask := func(priority int) Answer {
		m := Message{From: "i", Asks: []Ask{{Team: "t", Amount: 100, Priority: priority, MaxDelayMS: 1000}}}
		return l.Answer(now, 1, m).Answers[0]
	}
	low := ask(2)
	for low.Granted > 0 {
		low = ask(2)
	}
	if a := ask(0); a.Granted != 100 || a.DelayMS == 0 {
		t.Errorf("an urgent request got %+v", a)
	}
	now = now.Add(time.Duration(low.DelayMS+100) * time.Millisecond)
	if a := ask(2); a.Granted != 100 {
		t.Errorf("after the time of the refusal %+v: %+v", low, a)
	}
}

// TestQuotaIsChanged lowers and raises a quota: neither may make tokens, or leave more than
// the new capacity.
func TestQuotaIsChanged(t *testing.T) {
	l := newFullLedger(Limit{Team: "t", Rate: 1000, Burst: 1000, Largest: 1})
	now := start.Add(10 * time.Second)
	got := []float64{l.Levels(now)["t"]}
	for _, rate := range []float64{100, 5000} {
		l.SetTeams(now, bounds, []Limit{{Team: "t", Rate: rate, Burst: rate, Largest: 1}})
		got = append(got, l.Levels(now)["t"])
	}
	if diff := cmp.Diff([]float64{1000, 100, 100}, got); diff != "" {
		t.Errorf("levels (-want +got):\n%s", diff)
	}
}

// TestAloneOnAverage has 300 instances without a holder share a quota of less than one
// request a second each: together they must admit what they may, neither nothing nor all.
func TestAloneOnAverage(t *testing.T) {
	team := &testTeam{Limit: Limit{Team: "t", Rate: 230_000, Burst: 230_000, Largest: 15_000}, load: 7, smallest: 4000}
	for i := range 300 {
		team.at = append(team.at, i)
	}
	w := newWorld(4, 300, team)
	w.run(5 * time.Second)
	w.holder = false
	w.run(6 * time.Second)
	from := w.now
	w.run(10 * time.Second)
	if got := w.used(team, from); got < 0.5 || got > 0.7 {
		t.Errorf("%.2f of the rate used without a holder, wanted about %v", got, alonePart)
	}
}

// TestDeadHolderLeavesItsLevel has an instance find the holder dead: it may use what the
// holder's bucket had left, once, if it was told of that recently and nothing was reserved.
func TestDeadHolderLeavesItsLevel(t *testing.T) {
	s := (*Share)(nil)
	at := func(ms int) time.Time { return start.Add(time.Duration(ms) * time.Millisecond) }
	reply := func(ms int, sent *Sent, term int64, level float64) {
		s.Apply(at(ms), sent, Reply{
			Term: term, Members: 1, Answers: make([]Answer, len(sent.Message.Asks)),
			Shares: map[string]float64{"t": 0.5}, Levels: map[string]float64{"t": level},
		})
	}
	told := func(ms int, term int64, level float64) { reply(ms, s.Message(at(ms)), term, level) }
	fail := func(ms int, why Failure) { s.Fail(at(ms), s.Message(at(ms)), why) }
	ask := func(ms int) string {
		out, pending := s.Request(at(ms), Demand{Team: "t", Amount: 15_000, Until: at(ms + 1000)}, func(Outcome) {})
		if pending != nil {
			return "waits"
		}
		return out.Status.String()
	}
	for _, c := range []struct {
		name string
		do   func() []string
		want []string
	}{
		{"its part of the level", func() []string {
			told(0, 1, 200_000)
			fail(100, HolderDead)
			return []string{ask(100), ask(100), ask(100), ask(100)}
		}, []string{"granted", "granted", "granted", "waits"}},
		{"no reply", func() []string { told(0, 1, 200_000); fail(100, NoReply); return []string{ask(100)} }, []string{"waits"}},
		{"level told long ago", func() []string { told(0, 1, 200_000); fail(1300, HolderDead); return []string{ask(1300)} }, []string{"waits"}},
		{"nothing left", func() []string { told(0, 1, -1); fail(100, HolderDead); return []string{ask(1000)} }, []string{"waits"}},
		{"less than the reserve", func() []string { told(0, 1, 80_000); fail(100, HolderDead); return []string{ask(100)} }, []string{"waits"}},
		{"no longer the holder", func() []string {
			told(0, 1, 200_000)
			fail(50, NotHolder)
			fail(100, HolderDead)
			return []string{ask(100)}
		}, []string{"waits"}},
		{"late reply", func() []string {
			told(0, 1, 200_000)
			late := s.Message(at(90))
			fail(100, HolderDead)
			reply(110, late, 1, 200_000)
			return []string{ask(120)}
		}, []string{"granted"}},
		{"refill ends", func() []string {
			told(0, 1, -1)
			fail(100, HolderDead)
			for range 45 {
				ask(9000)
			}
			return []string{ask(9000)}
		}, []string{"waits"}},
		{"found dead twice", func() []string {
			told(0, 1, 200_000)
			fail(100, HolderDead)
			for ask(100) == "granted" {
			}
			told(110, 1, 200_000)
			fail(120, HolderDead)
			first := ask(120)
			told(130, 2, 200_000)
			fail(140, HolderDead)
			return []string{first, ask(140)}
		}, []string{"waits", "granted"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			s = NewShare("i", func() float64 { return 0.999999 })
			s.SetTeams(bounds, []Limit{{Team: "t", Rate: 230_000, Burst: 230_000, Largest: 15_000}})
			if diff := cmp.Diff(c.want, c.do()); diff != "" {
				t.Errorf("requests (-want +got):\n%s", diff)
			}
		})
	}
}

// TestLedgerIsHandedOver hands a ledger with a reservation over: the successor must continue with
// the levels, take back permits of the former term once, and count what instances may have
// admitted without a holder. The former holder must grant nothing more.
func TestLedgerIsHandedOver(t *testing.T) {
	limit := Limit{Team: "t", Rate: 1000, Burst: 1000, Largest: 1}
	now := start.Add(10 * time.Second)
	for _, c := range []struct {
		name   string
		idle   time.Duration
		change func(*Handover)
		want   []float64
	}{
		{"at once", 0, nil, []float64{-300, 0, 0}},
		{"after a time without a holder", 1800 * time.Millisecond, nil, []float64{400, 400, 400}},
		{"after a long time without one", 2900 * time.Millisecond, nil, []float64{0, 0, 0}},
		{"without the team", 0, func(h *Handover) { delete(h.Accounts, "t") }, []float64{0, 0, 0}},
		{"grants beyond the calendar", 0, func(h *Handover) {
			a := h.Accounts["t"]
			a.Granted = make([]float64, 5*ringSlots)
			h.Accounts["t"] = a
		}, []float64{0, 0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) {
			old, next := newFullLedger(limit), NewLedger(2, now.Add(c.idle))
			ask := func(l *Ledger, at time.Time, amount float64) Answer {
				m := Message{From: "i", Asks: []Ask{{Team: "t", Amount: amount, MaxDelayMS: 1000}}}
				return l.Answer(at, 1, m).Answers[0]
			}
			ask(old, now, 1000)
			reserved := ask(old, now, 300)
			h := old.HandOver(now.Add(c.idle), now)
			if a := ask(old, now, 100); a.Granted > 0 {
				t.Errorf("the former holder has granted %+v", a)
			}
			if c.change != nil {
				c.change(&h)
			}
			at := now.Add(c.idle)
			next.TakeOver(at, &h)
			next.SetTeams(at, bounds, []Limit{limit})
			got := []float64{next.Levels(at)["t"]}
			for range 2 {
				next.Answer(at, 1, Message{From: "i", Term: 1, Returns: []Returned{{"t", 300, reserved.Slot}}})
				got = append(got, next.Levels(at)["t"])
			}
			if diff := cmp.Diff(c.want, got); diff != "" {
				t.Errorf("levels (-want +got):\n%s", diff)
			}
		})
	}
}

// TestSilentInstancesAreHandedOver hands over a ledger for which an instance is cut off: its part
// must stay kept back, and that of one that does not find the successor must be.
func TestSilentInstancesAreHandedOver(t *testing.T) {
	old, next := newFullLedger(Limit{Team: "t", Rate: 1000, Burst: 1000}), NewLedger(2, start)
	at := func(ms int) time.Time { return start.Add(10*time.Second + time.Duration(ms)*time.Millisecond) }
	var got [][]string
	ask := func(l *Ledger, ms int, names ...string) {
		for _, name := range names {
			l.Answer(at(ms), 3, Message{From: name, Asks: []Ask{{Team: "t", Amount: 100, MaxDelayMS: 1000}}})
		}
		got = append(got, l.Silent())
	}
	ask(old, 0, "cut", "lost", "well")
	ask(old, 700, "lost", "well")
	ask(old, 1300, "lost", "well")
	h := old.HandOver(at(1300), at(1300))
	next.TakeOver(at(1300), &h)
	next.SetTeams(at(1300), bounds, []Limit{{Team: "t", Rate: 1000, Burst: 1000}})
	ask(next, 1300, "well")
	ask(next, 2600, "well")
	if diff := cmp.Diff([][]string{nil, nil, {"cut"}, {"cut"}, {"cut", "lost"}}, got); diff != "" {
		t.Errorf("silent instances (-want +got):\n%s", diff)
	}
}

// TestReturnsDuringAChange has an instance return a permit while the holder changes: it may be
// credited only by a ledger that knows it, and only once.
func TestReturnsDuringAChange(t *testing.T) {
	for _, c := range []struct {
		name string
		why  Failure
		next Reply
		want int
	}{
		{"ledger taken over", NotHolder, Reply{Term: 2, Former: 1}, 1},
		{"new ledger", NotHolder, Reply{Term: 2}, 0},
		{"another ledger taken over", NotHolder, Reply{Term: 3, Former: 2}, 0},
		{"message may have been taken", NoReply, Reply{Term: 2, Former: 1}, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := NewShare("i", nil)
			s.SetTeams(bounds, []Limit{{Team: "t", Rate: 1000, Burst: 1000}})
			s.Apply(start, s.Message(start), Reply{Term: 1})
			s.Return(Permit{Team: "t", Amount: 1, term: 1})
			s.Fail(start, s.Message(start), c.why)
			late := s.Message(start)
			late.Message.Returns, s.returns = nil, late.Message.Returns
			s.Apply(start, late, c.next)
			if got := len(s.Message(start).Message.Returns); got != c.want {
				t.Errorf("%d permits returned, wanted %d", got, c.want)
			}
		})
	}
}

// TestIdleIsToldAgain loses the message with which an instance says that it no longer uses its
// share: it must be sent again, since the holder keeps the share back otherwise.
func TestIdleIsToldAgain(t *testing.T) {
	s := NewShare("i", nil)
	s.SetTeams(bounds, []Limit{{Team: "t", Rate: 1000, Burst: 1000}})
	_, q := s.Request(start, Demand{Team: "t", Amount: 1, Until: start}, func(Outcome) {})
	s.Cancel(q)
	var got []bool
	for i := range 3 {
		now := start.Add(idleAfter + time.Second*time.Duration(i+1))
		if _, isUsed := s.NextHeartbeat(now); !isUsed {
			break
		}
		sent := s.Message(now)
		got = append(got, sent.Message.IsIdle)
		if i == 0 {
			s.Fail(now, sent, NotHolder)
		} else {
			s.Apply(now, sent, Reply{Answers: make([]Answer, len(sent.Message.Asks))})
		}
	}
	if diff := cmp.Diff([]bool{true, true}, got); diff != "" {
		t.Errorf("messages that say so (-want +got):\n%s", diff)
	}
}

// BenchmarkAsk measures an ask at the ledger among many teams under full load.
func BenchmarkAsk(b *testing.B) {
	var limits []Limit
	for i := range 100 {
		limits = append(limits, Limit{Team: string(rune('A' + i)), Rate: 230_000, Burst: 230_000, Largest: 15_000})
	}
	l, now := newFullLedger(limits...), start.Add(5*time.Second)
	m := Message{From: "i", Asks: make([]Ask, 1)}
	b.ReportAllocs()
	for i := range b.N {
		now = now.Add(20 * time.Microsecond)
		m.Asks[0] = Ask{Team: limits[i%len(limits)].Team, Amount: 500 + 14_000*rand.Float64(), MaxDelayMS: 500}
		l.Answer(now, 300, m)
	}
}

// BenchmarkPrefetched measures the fast path of a request: a permit that is there.
func BenchmarkPrefetched(b *testing.B) {
	s := NewShare("i", nil)
	s.SetTeams(bounds, []Limit{{Team: "t", Rate: 230_000, Burst: 230_000, Largest: 15_000}})
	now := start
	s.teams["t"].pool = []Permit{{Team: "t", Amount: 1e18, Start: now, Until: now.Add(time.Hour)}}
	b.ReportAllocs()
	for range b.N {
		now = now.Add(time.Microsecond)
		if _, pending := s.Request(now, Demand{Team: "t", Amount: 1000}, nil); pending != nil {
			b.Fatal("no permit")
		}
	}
}
