package daily

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/ports"
	"chivecroft.example/chivecroft/internal/state/timer"
)

var keepOrigin = ports.CountOrigin{Instance: "e1", Incarnation: 4, Zone: "bul-a", Nonce: 9}

// keepScript steps a keeper through messages and KV answers and returns what it
// does as text.
type keepScript struct {
	now    time.Time
	keeper *Keeper
	out    strings.Builder
}

func (s *keepScript) step(ev ports.Event) {
	for _, effect := range s.keeper.Step(s.now, ev) {
		switch e := effect.(type) {
		case ports.Note:
			answer := e.Value.(TellAnswered)
			fmt.Fprintf(&s.out, "answer %d resend %v err %v\n", answer.ID, answer.Reply.Resend, answer.Err != nil)
		case ports.KVCall:
			s.call(e)
		}
	}
}

func (s *keepScript) call(e ports.KVCall) {
	put, ok := e.Req.(ports.KVPut)
	if !ok {
		fmt.Fprintf(&s.out, "%T %v\n", e.Req, e.Req)
		return
	}
	row, _ := decodeRow(put.Value)
	fmt.Fprintf(&s.out, "put %s expect %d seq %d kept %v", put.Key, put.Expect, row.Seq, row.Kept)
	for _, c := range row.Counts.Counters {
		fmt.Fprintf(&s.out, " %s/%s %d", c.Kind, c.Reason, c.Count)
	}
	fmt.Fprintln(&s.out)
}

func (s *keepScript) tell(seq uint64, whole, exact bool, counts ...ports.ToldCount) {
	s.step(TellArrived{ID: seq, Tell: ports.TellCounts{Origin: keepOrigin, Seq: seq, Whole: whole, Exact: exact, Counts: counts}})
}

// quiet lets the time pass after which a copy is written.
func (s *keepScript) quiet() {
	s.now = s.now.Add(quietAfter)
	s.step(ports.TimerFired{Tag: s.keeper.timer})
}

func (s *keepScript) done(status ports.KVStatus, items ...ports.Item) {
	s.step(ports.KVDone{Tag: s.keeper.job.tag, Reply: ports.KVReply{Status: status, Items: items}})
}

// counted is a total with its key.
func counted(id uint32, kind Kind, reason string, n uint64) ports.ToldCount {
	return ports.ToldCount{ID: id, Total: n, Key: &ports.CountKey{Date: "2026-03-28", Kind: string(kind), Reason: reason}}
}

func keptRow(t *testing.T, change func(*Row), counters ...Counter) ports.Item {
	row := Row{
		Format: rowFormat, Date: sumDate.String(), Instance: "e1", Incarnation: 4, Nonce: 9, Seq: 7,
		Counts: Counts{Counters: counters},
	}
	if change != nil {
		change(&row)
	}
	value, err := json.Marshal(row)
	if err != nil {
		t.Fatal(err)
	}
	return ports.Item{Key: "day/2026-03-28/e1-4", Value: value, Revision: 30}
}

func TestKeeper(t *testing.T) {
	served, refused := Key{Kind: KindServed}, Key{Kind: KindRefused, Reason: "late"}
	cases := []struct {
		name string
		play func(s *keepScript)
		want string
	}{
		{"merges the larger of each total", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5), counted(2, KindRefused, "late", 1))
			s.tell(2, false, true, ports.ToldCount{ID: 1, Total: 8})
			s.quiet()
			s.done(ports.KVOK, keptRow(t, nil, Counter{served, 6}, Counter{refused, 2}))
			s.done(ports.KVOK)
			s.quiet()
		}, `answer 1 resend false err false
answer 2 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 30 seq 7 kept true refused/late 2 served/ 8
`},
		{"is not exact after a gap, whatever comes late", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.tell(3, false, false)
			s.tell(2, false, true, ports.ToldCount{ID: 1, Total: 8})
			s.quiet()
			s.done(ports.KVNotFound)
			s.done(ports.KVOK)
		}, `answer 1 resend false err false
answer 3 resend true err false
answer 2 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 0 seq 0 kept false served/ 8
`},
		{"is not exact if the first message comes after a later one", func(s *keepScript) {
			s.tell(2, false, false)
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.quiet()
			s.done(ports.KVNotFound)
		}, `answer 2 resend true err false
answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 0 seq 0 kept false served/ 5
`},
		{"takes nothing away from a row that is further", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.quiet()
			s.done(ports.KVOK, keptRow(t, nil, Counter{served, 6}))
		}, `answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 30 seq 7 kept true served/ 6
`},
		{"leaves a closed row alone", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.quiet()
			s.done(ports.KVOK, keptRow(t, func(r *Row) { r.Final = true }, Counter{served, 6}))
		}, `answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
`},
		{"asks again after a gap, and no longer vouches", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.tell(3, false, true, ports.ToldCount{ID: 1, Total: 8})
			s.quiet()
			s.done(ports.KVNotFound)
		}, `answer 1 resend false err false
answer 3 resend true err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 0 seq 0 kept false served/ 5
`},
		{"asks for everything first", func(s *keepScript) {
			s.tell(6, false, true, ports.ToldCount{ID: 1, Total: 8})
		}, "answer 6 resend true err false\n"},
		{"passes over what was overtaken", func(s *keepScript) {
			s.tell(2, true, true, counted(1, KindServed, "", 5))
			s.tell(1, true, true, counted(1, KindServed, "", 4))
			s.quiet()
			s.done(ports.KVNotFound)
		}, `answer 2 resend false err false
answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 0 seq 0 kept true served/ 5
`},
		{"refuses totals without a key", func(s *keepScript) {
			s.tell(1, true, true, ports.ToldCount{ID: 1, Total: 8})
		}, "answer 1 resend false err true\n"},
		{"refuses a date that is none", func(s *keepScript) {
			s.tell(1, true, true, ports.ToldCount{ID: 1, Total: 8, Key: &ports.CountKey{Date: "today"}})
		}, "answer 1 resend false err true\n"},
		{"goes beside the row of another writer", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.quiet()
			s.done(ports.KVOK, keptRow(t, func(r *Row) { r.Nonce = 8 }, Counter{served, 6}))
			s.done(ports.KVNotFound)
		}, `answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
ports.KVGet {day/2026-03-28/e1-4.9}
put day/2026-03-28/e1-4.9 expect 0 seq 0 kept true served/ 5
`},
		{"tries again after a lost answer, a conflict and an outage", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindServed, "", 5))
			s.quiet()
			s.done(ports.KVUnavailable)
			s.quiet()
			s.done(ports.KVNotFound)
			s.done(ports.KVConflict)
			s.done(ports.KVOK, keptRow(t, nil, Counter{served, 4}))
			s.done(ports.KVUnknown)
			s.quiet()
			s.done(ports.KVOK, keptRow(t, func(r *Row) { r.Kept = true }, Counter{served, 5}))
			s.quiet()
		}, `answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 0 seq 0 kept true served/ 5
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 30 seq 7 kept true served/ 5
ports.KVGet {day/2026-03-28/e1-4}
`},
		{"shows that an instance outlived a date", func(s *keepScript) {
			next := counted(2, KindServed, "", 1)
			next.Key.Date = "2026-03-29"
			s.tell(1, true, false, counted(1, KindServed, "", 5), next)
			s.quiet()
			s.done(ports.KVOK, keptRow(t, nil, Counter{served, 5}))
			s.done(ports.KVOK)
			s.done(ports.KVNotFound)
		}, `answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 30 seq 7 kept false served/ 5
ports.KVGet {day/2026-03-29/e1-4}
put day/2026-03-29/e1-4 expect 0 seq 0 kept false served/ 1
`},
		{"counts a cut row's rest once", func(s *keepScript) {
			s.tell(1, true, true, counted(1, KindRefused, "late", 5), counted(2, KindRefused, "full", 3))
			s.quiet()
			rest := Key{Kind: KindRefused, Service: Other, Reason: Other}
			s.done(ports.KVOK, keptRow(t, nil, Counter{refused, 4}, Counter{rest, 3}))
		}, `answer 1 resend false err false
ports.KVGet {day/2026-03-28/e1-4}
put day/2026-03-28/e1-4 expect 30 seq 7 kept true refused/full 3 refused/late 5
`},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := &keepScript{now: sumDate.Start(time.UTC), keeper: NewKeeper()}
			c.play(s)
			if diff := cmp.Diff(c.want, s.out.String()); diff != "" {
				t.Errorf("effects (-want +got):\n%s", diff)
			}
		})
	}
}

// TestKeeperIsBounded offers a keeper the counts of more entries than it keeps.
func TestKeeperIsBounded(t *testing.T) {
	k := NewKeeper()
	refused := 0
	for n := range 2 * maxCopies {
		tell := ports.TellCounts{Origin: ports.CountOrigin{Instance: fmt.Sprint(n)}, Seq: 1, Whole: true}
		if _, err := k.keep(time.Time{}, tell); err != nil {
			refused++
		}
	}
	if refused != maxCopies || len(k.copies) != maxCopies {
		t.Errorf("%d copies, %d refused, wanted %d of each", len(k.copies), refused, maxCopies)
	}
}

// tellScript drives a teller whose neighbour answers at once.
type tellScript struct {
	clock    *timer.Virtual
	recorder *Recorder
	teller   *Teller
	bytes    int
	messages int
	wholes   int
	exact    bool
	resend   bool
	timers   map[ports.Tag]bool
}

func newTellScript() *tellScript {
	s := &tellScript{clock: timer.NewVirtual(sumDate.Start(time.UTC)), timers: make(map[ports.Tag]bool)}
	s.recorder = NewRecorder(s.clock, time.UTC)
	self := ports.Member{ID: "e1", Zone: "bul-a", Phase: ports.MemberAlive}
	s.teller = NewTeller(self, 9, s.recorder)
	s.step(Start{})
	s.step(MembersChanged{Members: []ports.Member{self, {ID: "e2", Zone: "bul-a", Phase: ports.MemberAlive}}})
	return s
}

func (s *tellScript) step(ev ports.Event) {
	for _, effect := range s.teller.Step(s.clock.Now(), ev) {
		switch e := effect.(type) {
		case ports.PeerCall:
			msg := e.Msg.(ports.TellCounts)
			s.messages++
			s.bytes += messageBytes + countBytes*len(msg.Counts)
			if msg.Whole {
				s.wholes++
			}
			reply := ports.TellReply{Resend: s.resend}
			s.resend = false
			s.step(ports.PeerDone{Tag: e.Tag, Reply: ports.PeerReply{Msg: reply}})
		case ports.ArmTimer:
			s.clock.After(e.After, func() { s.step(ports.TimerFired{Tag: e.Tag}) })
		case ports.Note:
			s.exact = e.Value.(Told).Exact
		}
	}
}

// serve plays requests at a rate, and returns the share of those whose outcome
// was told at once.
func (s *tellScript) serve(perSecond int, span time.Duration) float64 {
	told, all := 0, 0
	for end := s.clock.Now().Add(span); s.clock.Now().Before(end); {
		s.recorder.Arrived("assist", "interactive")
		s.step(Counted{})
		s.clock.Advance(time.Second / time.Duration(2*perSecond))
		s.recorder.Served("assist", "interactive")
		s.step(Counted{Outcome: true})
		s.clock.Advance(time.Second / time.Duration(2*perSecond))
		all++
		if s.exact && s.teller.through == s.recorder.changes.count() {
			told++
		}
	}
	return float64(told) / float64(all)
}

// TestTellingKeepsToItsBudget bounds what telling costs at any rate, and requires
// that at the target's rate of 40 requests a second every outcome is told.
func TestTellingKeepsToItsBudget(t *testing.T) {
	for _, c := range []struct {
		rate  int
		span  time.Duration
		least float64
	}{{1, 20 * time.Minute, 1}, {10, 20 * time.Minute, 1}, {40, 20 * time.Minute, 1}, {56, 20 * time.Minute, 0.3}, {300, 5 * time.Minute, 0}} {
		s := newTellScript()
		share := s.serve(c.rate, c.span)
		perSecond := float64(s.bytes) / c.span.Seconds()
		t.Logf("%d requests/s: %.0f B/s, %d messages, %.1f %% of the outcomes told at once", c.rate, perSecond, s.messages, 100*share)
		if limit := tellRate + float64(tellBurst)/c.span.Seconds() + messageBytes; perSecond > limit {
			t.Errorf("%d requests/s cost %.0f B/s, wanted at most %.0f", c.rate, perSecond, limit)
		}
		if share < c.least {
			t.Errorf("at %d requests/s %.1f %% of the outcomes are told at once, wanted %.0f %%", c.rate, 100*share, 100*c.least)
		}
	}
}

// TestResendIsWhole lets a neighbour ask for everything.
func TestResendIsWhole(t *testing.T) {
	s := newTellScript()
	s.serve(10, time.Second)
	s.resend = true
	s.serve(10, time.Second)
	if s.wholes != 2 {
		t.Errorf("%d messages held all totals, wanted the first and the one asked for", s.wholes)
	}
}
