package proxy

import (
	"testing"
	"time"

	"chivecroft.example/chivecroft/internal/state/fleet"
)

// TestWaitUntil guards against requests that are queued for longer than their callers wait,
// and against a limit where callers have none.
func TestWaitUntil(t *testing.T) {
	arrived := time.Unix(1_000_000, 0)
	event := arrived.Add(time.Minute)
	for _, c := range []struct {
		name        string
		route       fleet.Route
		lastEventAt time.Time
		want        time.Time
	}{
		{"least", fleet.Route{Kind: fleet.KindStream, Goal: 100 * time.Millisecond}, time.Time{}, arrived.Add(2 * time.Second)},
		{"goal", fleet.Route{Kind: fleet.KindStream, Goal: time.Second}, time.Time{}, arrived.Add(4 * time.Second)},
		{"gap", fleet.Route{Kind: fleet.KindStream, Goal: time.Second, GapGoal: time.Second}, time.Time{}, arrived.Add(8 * time.Second)},
		{"resumed", fleet.Route{Kind: fleet.KindStream, Goal: time.Second}, event, event.Add(4 * time.Second)},
		{"no goal", fleet.Route{Kind: fleet.KindStream}, time.Time{}, time.Time{}},
		{"no stream", fleet.Route{Kind: fleet.KindSafe, Goal: time.Second}, time.Time{}, time.Time{}},
	} {
		t.Run(c.name, func(t *testing.T) {
			if got := waitUntil(&c.route, arrived, c.lastEventAt); !got.Equal(c.want) {
				t.Errorf("%v, want %v", got, c.want)
			}
		})
	}
}
