package quota

import (
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

var (
	start  = time.Unix(1000, 0)
	target = fleet.Identity{ID: "t", Born: 1}
)

// named returns the notice of a response that names a limit.
func named(perSecond float64) Notice {
	return Notice{Text: "a number", PerSecond: perSecond, Readable: true}
}

// TestChangesAreReportedOnce names limits, the same one twice, and one that is no number:
// an operator must see each change, and no line for each response.
func TestChangesAreReportedOnce(t *testing.T) {
	var got []Change
	s := NewShare(WithObserver(func(c Change) { got = append(got, c) }))
	for _, n := range []Notice{named(2), named(2), {Text: "two"}, {Text: "two"}, {Text: "three"}, named(1)} {
		s.Hear(target, n, start, true, start)
	}
	want := []Change{
		{Target: target, Source: SourceResponse, PerSecond: 2, InForce: 1},
		{Target: target, Source: SourceResponse, Unreadable: "two", InForce: 1},
		{Target: target, Source: SourceResponse, Unreadable: "three", InForce: 1},
		{Target: target, Source: SourceResponse, PerSecond: 1, InForce: 1},
	}
	if diff := cmp.Diff(want, got); diff != "" {
		t.Errorf("changes (-want +got):\n%s", diff)
	}
}

// inHolder returns a Share that has just heard from a holder.
func inHolder() *Share {
	s := NewShare(WithRandom(func() float64 { return 0.99 }))
	s.Apply(Reply{Term: 1, Members: 8, SentAt: start}, start)
	return s
}

// TestWhatResponsesSayOfALimit lists what a response may say after one that named two
// requests a second, what is in force then, and what the holder is told.
func TestWhatResponsesSayOfALimit(t *testing.T) {
	report := func(perSecond float64) []Report {
		return []Report{{Identity: target, PerSecond: perSecond}}
	}
	for _, c := range []struct {
		name    string
		n       Notice
		isRun   bool
		inForce float64
		reports []Report
	}{
		{"the same", named(2), true, 2, nil},
		{"lower", named(1.5), true, 1.5, report(1.5)},
		{"zero, which would never be heard to end", named(0), true, minPerSecond, report(minPerSecond)},
		{"higher, for the holder to decide", named(3), true, 2, report(3)},
		{"far above any load", named(1e9), true, 2, report(0)},
		{"none", Notice{}, true, 2, report(0)},
		{"none, in a rejection", Notice{}, false, 2, nil},
		{"no number", Notice{Text: "NaN"}, true, 2, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := inHolder()
			s.Hear(target, named(2), start, true, start)
			s.Apply(Reply{Term: 1, Members: 8, SentAt: start, Reports: s.Reports(start)}, start)
			sentAt := start.Add(time.Second)
			s.Hear(target, c.n, sentAt, c.isRun, sentAt)
			inForce, _ := s.Limit(target, sentAt)
			if inForce != c.inForce {
				t.Errorf("limit %v, wanted %v", inForce, c.inForce)
			}
			if diff := cmp.Diff(c.reports, s.Reports(sentAt)); diff != "" {
				t.Errorf("reports (-want +got):\n%s", diff)
			}
		})
	}
}

// TestHoldersWordOnALimit checks that an instance follows the holder, but for a lower
// limit of which the holder has not heard yet, as at the beginning of a term.
func TestHoldersWordOnALimit(t *testing.T) {
	s := inHolder()
	var got []float64
	adopt := func(perSecond float64) {
		s.Adopt(target, perSecond, start)
		inForce, _ := s.Limit(target, start)
		got = append(got, inForce)
	}
	adopt(2)
	adopt(3)
	s.Hear(target, named(1), start, true, start)
	adopt(3)
	reports := s.Reports(start)
	s.Apply(Reply{Term: 1, Members: 8, SentAt: start, Reports: reports}, start)
	adopt(1)
	s.Apply(Reply{Term: 2, Members: 8, SentAt: start}, start)
	adopt(0)
	s.Apply(Reply{Term: 2, Members: 8, SentAt: start, Reports: s.Reports(start)}, start)
	adopt(0)
	if diff := cmp.Diff([]float64{2, 3, 1, 1, 1, 0}, got); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
}

// TestPermitsDoNotAddUp checks that permits last for a short time from the sending of the
// message that asked for them, that a lower limit ends them, and that each is used once.
func TestPermitsDoNotAddUp(t *testing.T) {
	s := inHolder()
	s.Hear(target, named(10), start, true, start)
	s.Apply(Reply{Term: 1, Members: 8, SentAt: start, Grants: []Grant{{Identity: target, Permits: 3}}}, start)
	got := []int{s.Permits(target, start)}
	s.Take(target)
	got = append(got, s.Permits(target, start.Add(permitTTL-1)), s.Permits(target, start.Add(permitTTL)))
	s.Apply(Reply{Term: 1, Members: 8, SentAt: start.Add(time.Second), Grants: []Grant{{Identity: target, Permits: 3}}}, start.Add(time.Second))
	s.Hear(target, named(9), start, true, start.Add(time.Second))
	got = append(got, s.Permits(target, start.Add(time.Second)))
	if diff := cmp.Diff([]int{3, 2, 0, 0}, got); diff != "" {
		t.Errorf("permits (-want +got):\n%s", diff)
	}
}

// TestAloneWithoutAHolder checks that an instance that hears no holder, or one that issues
// no permits, uses a small part of the limit by itself, and no more once it hears of one.
func TestAloneWithoutAHolder(t *testing.T) {
	s := inHolder()
	s.Hear(target, named(50), start, true, start)
	later := start.Add(10 * time.Second)
	got := []int{s.Permits(target, start), s.Permits(target, later)}
	s.Apply(Reply{Term: 1, Members: 8, SentAt: later}, later)
	s.Wants(map[fleet.Identity]Queued{target: {Count: 1, Deadline: later}}, later)
	got = append(got, s.Permits(target, later.Add(aloneSlot)))
	for at := time.Second; at <= 10*time.Second; at += time.Second {
		s.Apply(Reply{Term: 1, Members: 8, SentAt: later.Add(at)}, later.Add(at))
	}
	got = append(got, s.Permits(target, later.Add(10*time.Second)))
	if diff := cmp.Diff([]int{0, 1, 0, 1}, got); diff != "" {
		t.Errorf("permits (-want +got):\n%s", diff)
	}
}

// TestLimitEndsWithoutAHolder checks that an instance without a holder believes a response
// that names no limit any more, if its request was sent well after the limit was named.
func TestLimitEndsWithoutAHolder(t *testing.T) {
	s := NewShare()
	s.Hear(target, named(2), start, true, start)
	var got []bool
	for _, sent := range []time.Duration{raiseDelay - 1, raiseDelay} {
		s.Hear(target, Notice{}, start.Add(sent), true, start.Add(time.Minute))
		got = append(got, s.InForce())
	}
	if diff := cmp.Diff([]bool{true, false}, got); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
}

// TestLimitOfAGoneTargetIsForgotten checks that a limit is kept while its target may come
// back and forgotten afterwards.
func TestLimitOfAGoneTargetIsForgotten(t *testing.T) {
	s := inHolder()
	s.Hear(target, named(2), start, true, start)
	gone := func(fleet.Identity) bool { return false }
	var got []bool
	for _, at := range []time.Duration{0, absentFor, absentFor + 1} {
		s.Retain(gone, start.Add(at))
		got = append(got, s.InForce())
	}
	if diff := cmp.Diff([]bool{true, true, false}, got); diff != "" {
		t.Errorf("in force (-want +got):\n%s", diff)
	}
}
