package depart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/depart"
	"chivecroft.example/chivecroft/internal/state/eras"
)

var start = time.Unix(1_000_000, 0)

// leaseTime is how long an entry that nobody renews is there after a return of the store.
const leaseTime = 5 * time.Second

// rev returns a revision of a store that tells no era.
func rev(number uint64) eras.Revision { return eras.Revision{Number: number} }

// newLog returns an empty Log and the history of its store.
func newLog() (*depart.Log, *eras.History) {
	history := eras.NewHistory(func(eras.Return) {})
	return depart.NewLog(history, leaseTime), history
}

// TestJudge compares descriptions of a target with its departure at revision 20. It guards
// against outdated descriptions that put the target back into use, and against a departure that outlives the
// target's next registration.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name     string
		revision uint64
		askedAt  time.Time
		want     depart.Verdict
	}{
		{"an entry from before", 20, time.Time{}, depart.Outdated},
		{"an entry from after", 21, time.Time{}, depart.Returned},
		{"an entry from before, asked for before", 19, start, depart.Outdated},
		{"an entry of an older copy of the store, asked for after", 19, start.Add(1), depart.Returned},
		{"a message without revisions", 0, time.Time{}, depart.Returned},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, _ := newLog()
			l.Leave("a", rev(20), start, 0)
			_, got := l.Judge(start, depart.Description{ID: "a", Revision: rev(c.revision), AskedAt: c.askedAt})
			_, isKnown := l.Find("a")
			if got != c.want || isKnown != (c.want == depart.Outdated) {
				t.Errorf("verdict %v, want %v; departure known: %t", got, c.want, isKnown)
			}
			if _, other := l.Judge(start, depart.Description{ID: "b", Revision: rev(c.revision), AskedAt: c.askedAt}); other != depart.Present {
				t.Errorf("verdict of another target: %v", other)
			}
		})
	}
}

// TestLeaveTwice guards against a target whose use is prolonged by each report that it
// has left.
func TestLeaveTwice(t *testing.T) {
	l, _ := newLog()
	var got []depart.Departure
	for _, c := range []struct {
		revision uint64
		after    time.Duration
		use      time.Duration
	}{{20, 0, 2 * time.Second}, {25, time.Second, 2 * time.Second}, {22, time.Second, 500 * time.Millisecond}} {
		d, _ := l.Leave("a", rev(c.revision), start.Add(c.after), c.use)
		got = append(got, d)
	}
	want := []depart.Departure{
		{Revision: rev(20), NotedAt: start, UsableUntil: start.Add(2 * time.Second)},
		{Revision: rev(25), NotedAt: start, UsableUntil: start.Add(2 * time.Second)},
		{Revision: rev(25), NotedAt: start, UsableUntil: start.Add(1500 * time.Millisecond)},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("departures (-want +got):\n%s", diff)
	}
}

// TestForgetsOldestDeparture guards against a Log that grows without bound.
func TestForgetsOldestDeparture(t *testing.T) {
	l, _ := newLog()
	const most = 8192
	for i := range most + 1 {
		l.Leave(fmt.Sprint(i), rev(1), start.Add(time.Duration(i)), 0)
	}
	_, hasFirst := l.Find("0")
	_, hasSecond := l.Find("1")
	if hasFirst || !hasSecond {
		t.Errorf("first known: %t, second known: %t", hasFirst, hasSecond)
	}
}

// TestJudgeAfterAReturn has a target leave at revision 20 of era 1, and the store come back with era 2 at
// revision 30. It guards against an entry of the older copy that puts the target back into use, and against a
// target that is there and is kept out.
func TestJudgeAfterAReturn(t *testing.T) {
	at := func(era, number uint64) eras.Revision { return eras.Revision{Era: era, Number: number} }
	for _, c := range []struct {
		name     string
		revision eras.Revision
		after    time.Duration
		// isListed means that this instance has asked for the entry itself.
		isListed bool
		want     depart.Verdict
	}{
		{"an entry that may be the copy's", at(2, 15), 0, true, depart.Unproven},
		{"one with a number above that of the departure", at(2, 25), 0, true, depart.Unproven},
		{"the last number that the copy may have", at(2, 30), 0, false, depart.Unproven},
		{"an entry written after the return", at(2, 31), 0, false, depart.Returned},
		{"an entry that outlasts its lease", at(2, 15), leaseTime, false, depart.Returned},
		{"a late answer of the former history", at(1, 40), 0, true, depart.Outdated},
		{"a late answer, after the lease", at(1, 40), leaseTime, true, depart.Outdated},
	} {
		t.Run(c.name, func(t *testing.T) {
			l, history := newLog()
			history.Note(start, at(1, 18))
			l.Leave("a", at(1, 20), start, 0)
			history.Note(start.Add(time.Second), at(2, 30))
			now := start.Add(time.Second + c.after)
			d := depart.Description{ID: "a", Revision: c.revision}
			if c.isListed {
				d.AskedAt = now
			}
			if c.revision.Era == 1 {
				// What was asked for after the departure shows a return in the same history only.
				l.Leave("a", at(2, 31), now, 0)
			}
			if _, got := l.Judge(now, d); got != c.want {
				t.Errorf("verdict %v, want %v", got, c.want)
			}
		})
	}
}

// TestLeaveOfAFormerHistory guards against a late message of a former history by which a target leaves that
// has registered in the present one, and against one that is ignored although the target may only be in the copy.
func TestLeaveOfAFormerHistory(t *testing.T) {
	for _, c := range []struct {
		number uint64
		want   bool
	}{{30, true}, {31, false}} {
		l, history := newLog()
		history.Note(start, eras.Revision{Era: 1, Number: 18})
		history.Note(start, eras.Revision{Era: 2, Number: 30})
		l.Judge(start, depart.Description{ID: "a", Revision: eras.Revision{Era: 2, Number: c.number}})
		if _, hasLeft := l.Leave("a", eras.Revision{Era: 1, Number: 40}, start, 0); hasLeft != c.want {
			t.Errorf("entry of number %d: left %t", c.number, hasLeft)
		}
	}
}

// TestFormerIncarnation guards against the entry of an older copy that puts a former incarnation of a
// target in place of the present one.
func TestFormerIncarnation(t *testing.T) {
	l, history := newLog()
	history.Note(start, eras.Revision{Era: 1, Number: 18})
	judge := func(now time.Time, era, number uint64, born int64) depart.Verdict {
		_, v := l.Judge(now, depart.Description{ID: "a", Born: born, Revision: eras.Revision{Era: era, Number: number}})
		return v
	}
	got := []depart.Verdict{judge(start, 1, 20, 9)}
	history.Note(start, eras.Revision{Era: 2, Number: 18})
	got = append(got, judge(start, 2, 10, 7), judge(start, 2, 10, 9), judge(start.Add(leaseTime), 2, 10, 7))
	want := []depart.Verdict{depart.Present, depart.Unproven, depart.Present, depart.Present}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("verdicts (-want +got):\n%s", diff)
	}
}
