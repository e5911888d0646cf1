package retry

import (
	"testing"
	"time"
)

var limits = Limits{RetriesPerRequest: 0.2, RetriesPerWindow: 60, Window: 10 * time.Second}

// TestFleetKeepsTheWindow lets every instance retry whenever its budget allows it, while
// requests arrive in bursts, and checks the limits in each window.
func TestFleetKeepsTheWindow(t *testing.T) {
	const instances, step = 6, 100 * time.Millisecond
	start := time.Unix(0, 0)
	budgets := make([]*Budget, instances)
	for i := range budgets {
		budgets[i] = NewBudget(limits)
		budgets[i].SetInstances(instances)
	}
	var requests, retries []int
	for n := range 600 {
		now := start.Add(time.Duration(n) * step)
		arrived, retried := 0, 0
		for i, b := range budgets {
			if n%50 < 10 {
				arrived += 5
				for range 5 {
					b.Earn("desk", now)
				}
			}
			for range 1 + i {
				if b.Spend("desk", now) {
					retried++
				}
			}
		}
		requests, retries = append(requests, arrived), append(retries, retried)
	}
	const window = 100
	for from := 0; from+window <= len(retries); from++ {
		earned, spent := 0, 0
		for i := from; i < from+window; i++ {
			earned += requests[i]
			spent += retries[i]
		}
		if allowed := limits.RetriesPerRequest*float64(earned) + limits.RetriesPerWindow; float64(spent) > allowed {
			t.Fatalf("window from %v: %d retries, %.0f allowed", time.Duration(from)*step, spent, allowed)
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
		t.Errorf("%d retries before the number of instances is known", spent)
	}
}
