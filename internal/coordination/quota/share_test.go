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
		s.Hear(target, n, start)
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
