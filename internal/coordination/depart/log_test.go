package depart_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/coordination/depart"
)

var start = time.Unix(1_000_000, 0)

// TestLeaveTwice guards against a target whose use is prolonged by each piece of news that it
// has left.
func TestLeaveTwice(t *testing.T) {
	l := depart.NewLog()
	var got []depart.Departure
	for _, c := range []struct {
		after, use time.Duration
	}{{0, 2 * time.Second}, {time.Second, 2 * time.Second}, {time.Second, 500 * time.Millisecond}} {
		got = append(got, l.Leave("a", start.Add(c.after), c.use))
	}
	want := []depart.Departure{
		{NotedAt: start, UsableUntil: start.Add(2 * time.Second)},
		{NotedAt: start, UsableUntil: start.Add(2 * time.Second)},
		{NotedAt: start, UsableUntil: start.Add(1500 * time.Millisecond)},
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
		l.Leave(fmt.Sprint(i), start.Add(time.Duration(i)), 0)
	}
	_, hasFirst := l.Find("0")
	_, hasSecond := l.Find("1")
	if hasFirst || !hasSecond {
		t.Errorf("first known: %t, second known: %t", hasFirst, hasSecond)
	}
}
