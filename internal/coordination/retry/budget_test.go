package retry

import (
	"testing"
	"time"
)

var limits = Limits{Ratio: 0.2, Extra: 60, Window: 10 * time.Second}

// TestFleetKeepsTheWindow lets every instance of a fleet repeat whatever its
// budget allows, while requests come in bursts, and checks each window.
func TestFleetKeepsTheWindow(t *testing.T) {
	const instances, step = 6, 100 * time.Millisecond
	start := time.Unix(0, 0)
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(limits)
		budgets[i].SetInstances(instances)
	}
	var requests, repeats []int
	for n := range 600 {
		now := start.Add(time.Duration(n) * step)
		came, again := 0, 0
		for i, b := range budgets {
			if n%50 < 10 {
				came += 5
				for range 5 {
					b.Earn("desk", now)
				}
			}
			for range 1 + i {
				if b.Spend("desk", now) {
					again++
				}
			}
		}
		requests, repeats = append(requests, came), append(repeats, again)
	}
	const window = 100
	for from := 0; from+window <= len(repeats); from++ {
		earned, spent := 0, 0
		for i := from; i < from+window; i++ {
			earned += requests[i]
			spent += repeats[i]
		}
		if allowed := limits.Ratio*float64(earned) + limits.Extra; float64(spent) > allowed {
			t.Fatalf("window from %v: %d repeats, %.0f allowed", time.Duration(from)*step, spent, allowed)
		}
	}
}

func TestUnknownFleetSpendsLittle(t *testing.T) {
	b := NewBudget(limits)
	spent := 0
	for range 50 {
		if b.Spend("desk", time.Unix(0, 0)) {
			spent++
		}
	}
	if spent > 1 {
		t.Errorf("%d repeats before the size of the fleet is known", spent)
	}
}
