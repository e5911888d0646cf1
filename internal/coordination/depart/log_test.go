package depart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/depart"
	"chivecroft.example/chivecroft/internal/coordination/ports"
)

var start = time.Unix(1_000_000, 0)

// TestJudge compares descriptions of a target with its departure at revision 20. It guards
// against outdated descriptions that put the target back into use, and against a departure that outlives the
// target's next registration.
func TestJudge(t *testing.T) {
	for _, c := range []struct {
		name     string
		revision ports.Revision
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
			l := depart.NewLog()
			l.Leave("a", 20, start, 0)
			_, got := l.Judge("a", c.revision, c.askedAt)
			_, isKnown := l.Find("a")
			if got != c.want || isKnown != (c.want == depart.Outdated) {
				t.Errorf("verdict %v, want %v; departure known: %t", got, c.want, isKnown)
			}
			if _, other := l.Judge("b", c.revision, c.askedAt); other != depart.Present {
				t.Errorf("verdict of another target: %v", other)
			}
		})
	}
}

// TestLeaveTwice guards against a target whose use is prolonged by each report that it
// has left.
func TestLeaveTwice(t *testing.T) {
	l := depart.NewLog()
	var got []depart.Departure
	for _, c := range []struct {
		revision ports.Revision
		after    time.Duration
		use      time.Duration
	}{{20, 0, 2 * time.Second}, {25, time.Second, 2 * time.Second}, {22, time.Second, 500 * time.Millisecond}} {
		got = append(got, l.Leave("a", c.revision, start.Add(c.after), c.use))
	}
	want := []depart.Departure{
		{Revision: 20, NotedAt: start, UsableUntil: start.Add(2 * time.Second)},
		{Revision: 25, NotedAt: start, UsableUntil: start.Add(2 * time.Second)},
		{Revision: 25, NotedAt: start, UsableUntil: start.Add(1500 * time.Millisecond)},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("departures (-want +got):\n%s", diff)
	}
}

// TestForgetsOldestDeparture guards against a Log that grows without bound.
func TestForgetsOldestDeparture(t *testing.T) {
	l := depart.NewLog()
	const most = 8192
	for i := range most + 1 {
		l.Leave(fmt.Sprint(i), 1, start.Add(time.Duration(i)), 0)
	}
	_, hasFirst := l.Find("0")
	_, hasSecond := l.Find("1")
	if hasFirst || !hasSecond {
		t.Errorf("first known: %t, second known: %t", hasFirst, hasSecond)
	}
}
