package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestLowerLimitWins reports limits that contradict each other. A lower one counts at
// once, a higher one or the end only from a request that was sent a while after the lower
// one was heard.
func TestLowerLimitWins(t *testing.T) {
	l := NewLedger()
	var got []float64
	for _, c := range []struct {
		at, age   time.Duration
		perSecond float64
	}{
		{0, 0, 2},
		{500 * time.Millisecond, 0, 3},
		{2 * time.Second, 1500 * time.Millisecond, 0},
		{2 * time.Second, 0, 3},
		{3 * time.Second, time.Second, 1},
		{3500 * time.Millisecond, 0, 0},
		{4 * time.Second, 0, 0},
		{5 * time.Second, 0, -1},
	} {
		r := Report{Identity: target, PerSecond: c.perSecond, AgeMS: c.age.Milliseconds()}
		l.Report(start.Add(c.at), []Report{r})
		got = append(got, l.Limit(target))
	}
	if diff := cmp.Diff([]float64{2, 2, 2, 3, 1, 1, 0, 0}, got); diff != "" {
		t.Errorf("limits (-want +got):\n%s", diff)
	}
}

// TestLineServesInOrder has three instances ask for more than the limit allows. Permits
// go to those that asked first, even if others ask again sooner, and each is told how long
// its turn takes.
func TestLineServesInOrder(t *testing.T) {
	l := NewLedger()
	perSecond := 1 / issueShare
	l.Report(start, []Report{{Identity: target, PerSecond: perSecond}})
	ask := func(at time.Duration, member string, n int) Grant {
		got := l.Ask(start.Add(at), member, []Want{{Identity: target, Queued: n, PatienceMS: 3500}})
		if len(got) != 1 {
			t.Fatalf("%d grants for one want", len(got))
		}
		return got[0]
	}
	second := time.Second
	got := []Grant{
		ask(0, "a", 2), ask(0, "b", 1), ask(0, "c", 5),
		ask(second, "b", 1), ask(second, "a", 2), ask(second, "b", 1),
		ask(2*second, "a", 0), ask(2*second, "b", 1),
	}
	grant := func(permits int, line int64, waits ...int64) Grant {
		return Grant{Identity: target, Permits: permits, WaitsMS: waits, LineMS: line}
	}
	want := []Grant{
		grant(0, 3000, 1000, 2000), grant(0, 4000, 3000), grant(0, 4000),
		grant(0, 3000, 2000), grant(1, 3000, 1000), grant(0, 3000, 2000),
		grant(0, 1000), grant(1, 1000),
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("grants (-want +got):\n%s", diff)
	}
}

// TestSilentMembersLoseTheirPlaces checks that an instance that has gone does not hold up
// those behind it.
func TestSilentMembersLoseTheirPlaces(t *testing.T) {
	l := NewLedger()
	l.Report(start, []Report{{Identity: target, PerSecond: 1}})
	wants := []Want{{Identity: target, Queued: 1, PatienceMS: 60000}}
	l.Ask(start, "gone", wants)
	permits := 0
	for at := time.Duration(0); at <= memberTimeout+memberTimeout/4; at += 100 * time.Millisecond {
		permits += l.Ask(start.Add(at), "waiting", wants)[0].Permits
	}
	if permits == 0 {
		t.Error("no permit while a gone instance was first in line")
	}
}

// TestSparePermitsAreWhatNobodyWaitsFor checks that an instance whose requests found
// another target gets permits only beyond those that queued requests need.
func TestSparePermitsAreWhatNobodyWaitsFor(t *testing.T) {
	l := NewLedger()
	l.Report(start, []Report{{Identity: target, PerSecond: 10}})
	now := start.Add(time.Second)
	l.Ask(start, "queued", []Want{{Identity: target, Queued: 5, PatienceMS: 60000}})
	got := []int{
		l.Ask(now, "spare", []Want{{Identity: target, Spare: 8}})[0].Permits,
		l.Ask(now, "queued", []Want{{Identity: target, Queued: 5, PatienceMS: 60000}})[0].Permits,
	}
	if diff := cmp.Diff([]int{2, 5}, got); diff != "" {
		t.Errorf("permits (-want +got):\n%s", diff)
	}
}

// TestLedgerForgetsGoneTargets checks that targets that do not come back take no memory.
func TestLedgerForgetsGoneTargets(t *testing.T) {
	l := NewLedger()
	l.Report(start, []Report{{Identity: target, PerSecond: 10}})
	gone := func(fleet.Identity) bool { return false }
	l.Retain(gone, start)
	l.Retain(gone, start.Add(absentFor+1))
	if got := l.Limit(target); got != 0 {
		t.Errorf("limit %v of a target that is gone", got)
	}
}
